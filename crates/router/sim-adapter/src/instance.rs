//! A single co-ordinator: handling of its events, and of its watch of the endpoint list.

use crate::actions::{Actions, MS_PER_SECOND};
use crate::decode::{self, Arrival, PartArrival, SearchArrival};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use woadreach_routing::api::{ListedReplica, Search, SearchId, Seconds};
use woadreach_search_driver::{SearchTable, SettingsError, parse_settings};

/// Name of the timer after which a refused watch is requested again. Timers of searches are named by search numbers.
pub(crate) const WATCH_TIMER: &str = "watch";

/// Wait after the first refusal, before it is spread by instance.
const MIN_WATCH_WAIT: Seconds = 0.25;
/// Maximum number of times that the wait doubles.
const MAX_DOUBLINGS: u32 = 4;
/// Smallest factor by which an instance multiplies the wait.
const MIN_SPREAD: f64 = 0.75;
/// Width of the range of these factors.
const SPREAD_WIDTH: f64 = 0.5;
/// Step from one instance to the next: the fractional part of the golden ratio, whose multiples are spread evenly over
/// the range.
const INSTANCE_STEP: f64 = 0.618_034;
/// Step from one refusal to the next: 1 less the fractional part of the golden ratio.
const REFUSAL_STEP: f64 = 0.381_966;

/// Endpoint lists by their numbers in the simulator's protocol.
pub(crate) type Lists = BTreeMap<u64, Vec<ListedReplica>>;

/// Wait until a watch is requested again, after `refused` consecutive refusals before this one.
///
/// The wait doubles from 0.25 s to 4 s, and is spread by instance to between 0.75 and 1.25 times that. This is well
/// within the limit of four times `askWithinMs` after a failed call. Without the wait, the calls of all co-ordinators
/// overload the source of the list: on one simulated day it granted 14 watches out of 92,759 calls. The cost is that
/// the list is out of date for longer, by the wait.
fn watch_wait(refused: u32, instance: i64) -> Seconds {
    let wait = MIN_WATCH_WAIT * 2f64.powi(refused.min(MAX_DOUBLINGS) as i32);
    let steps = instance as f64 * INSTANCE_STEP + refused as f64 * REFUSAL_STEP;
    wait * (MIN_SPREAD + SPREAD_WIDTH * steps.rem_euclid(1.0))
}

/// One co-ordinator, from its start until it is destroyed or restarted.
pub(crate) struct Instance {
    id: i64,
    search_table: SearchTable,
    /// Searches in flight, by the simulator's query number.
    by_query: BTreeMap<u64, SearchId>,
    query_type_count: usize,
    /// Whether clients mark retries.
    marks_retries: bool,
    /// Whether the endpoint list is sent only on request (`discovery = "subscribe"`). The co-ordinator then keeps a
    /// watch open, and requests a new one after a refusal or a broken connection.
    subscribes: bool,
    /// Number of consecutive refused watches.
    refused_watches: u32,
    /// Searches that arrived in this batch, or got parts in it. They are placed at the end of the batch, when all their
    /// parts have arrived.
    unplaced: Vec<SearchId>,
}

impl Instance {
    /// A co-ordinator with these settings.
    pub(crate) fn new(id: i64, seed: u64, settings: &Value) -> Result<Self, SettingsError> {
        let marks_retries = settings.pointer("/clients/marksRetry") == Some(&Value::Bool(true));
        let discovery = settings.pointer("/discovery").and_then(Value::as_str);
        let subscribes = discovery == Some("subscribe");
        let settings = parse_settings(seed, settings)?;
        Ok(Instance {
            id,
            query_type_count: settings.query_types.len(),
            search_table: SearchTable::new(settings),
            by_query: BTreeMap::new(),
            marks_retries,
            subscribes,
            refused_watches: 0,
            unplaced: Vec::new(),
        })
    }

    /// Appends the co-ordinator's first actions to `out`.
    pub(crate) fn start(&self, out: &mut Vec<Value>) {
        if self.subscribes {
            out.push(json!(["observe", true]));
        }
    }

    /// Handles an event by its name. Returns `None` if the event is malformed, or refers to a list, search or part
    /// that is unknown or no longer in flight.
    pub(crate) fn handle_event(
        &mut self,
        now: Seconds,
        name: &str,
        event: &Value,
        lists: &Lists,
        out: &mut Vec<Value>,
    ) -> Option<()> {
        let actions = &mut Actions {
            out,
            by_query: &mut self.by_query,
        };
        match name {
            "sync" => self.list_synced(event, lists, out)?,
            "newRequest" => match decode::arrival(event)? {
                Arrival::Search(arrival) => self.search_arrived(now, arrival)?,
                Arrival::Part(arrival) => self.part_arrived(arrival)?,
            },
            "closedAttempt" => {
                let outcome = decode::outcome(event)?;
                self.search_table.attempt_finished(now, &outcome, actions);
            }
            "timer" => match event.get(1)?.as_str()? {
                WATCH_TIMER => out.push(json!(["observe", true])),
                number => {
                    let search = SearchId(number.parse().ok()?);
                    self.search_table.timer_fired(now, search, actions);
                }
            },
            "withdrawn" => {
                let search = SearchId(event.get(1)?.as_u64()?);
                self.search_table.client_disconnected(now, search, actions);
            }
            _ => {}
        }
        Some(())
    }

    /// Places the searches of this batch.
    pub(crate) fn place_searches(&mut self, now: Seconds, out: &mut Vec<Value>) {
        let mut actions = Actions {
            out,
            by_query: &mut self.by_query,
        };
        for search in std::mem::take(&mut self.unplaced) {
            self.search_table.place(now, search, &mut actions);
        }
    }

    /// Applies an endpoint list or the refusal of one: `["sync", list, form, ...]`.
    fn list_synced(&mut self, event: &Value, lists: &Lists, out: &mut Vec<Value>) -> Option<()> {
        let form = event.get(2)?.as_str()?;
        if form == "refused" && self.subscribes {
            // A call has failed or a watch is broken. The current list stays valid, and a new watch may be requested.
            let wait_ms = watch_wait(self.refused_watches, self.id) * MS_PER_SECOND;
            self.refused_watches += 1;
            out.push(json!(["setTimer", wait_ms, WATCH_TIMER]));
        } else if form != "remembered" {
            self.refused_watches = 0;
        }
        if matches!(form, "all" | "remembered" | "changes") {
            let lines = lists.get(&event.get(1)?.as_u64()?)?;
            self.search_table
                .apply_endpoint_list(form != "changes", lines);
        }
        Some(())
    }

    fn search_arrived(&mut self, now: Seconds, arrival: SearchArrival) -> Option<()> {
        if arrival.query_type.0 >= self.query_type_count {
            return None;
        }
        let id = arrival.search;
        let client_deadline = now + arrival.client_timeout;
        let mut search = Search::new(id, arrival.query_type, arrival.tenant, now, client_deadline);
        search.marked_as_retry = self.marks_retries.then_some(arrival.is_retry);
        self.search_table.insert(search);
        self.by_query.insert(arrival.query, id);
        self.unplaced.push(id);
        Some(())
    }

    fn part_arrived(&mut self, arrival: PartArrival) -> Option<()> {
        let search = *self.by_query.get(&arrival.query)?;
        let (part, shard, weight) = (arrival.part, arrival.shard, arrival.weight);
        if !self.search_table.add_part(search, part, shard, weight) {
            return None;
        }
        if !self.unplaced.contains(&search) {
            self.unplaced.push(search);
        }
        Some(())
    }
}
