//! One co-ordinator.

use crate::actions::{Actions, MS_PER_SECOND};
use crate::decode::{self, Arrival, PartArrival, SearchArrival};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use woadreach_routing::api::{ListedReplica, Search, SearchId, Seconds};
use woadreach_search_driver::{SearchTable, SettingsError, parse_settings};

/// The name of the timer after which a refused watch is requested again; timers of searches have numbers.
pub(crate) const WATCH_TIMER: &str = "watch";

/// Wait after the first refusal.
const MIN_WATCH_WAIT: Seconds = 0.25;
/// Number of refusals after which the wait doubles no more.
const MAX_DOUBLINGS: u32 = 4;
/// Least multiple of the wait that an instance waits.
const MIN_SPREAD: f64 = 0.75;
/// Width of the range of these multiples.
const SPREAD_WIDTH: f64 = 0.5;
/// Steps of the golden ratio's fraction spread instances evenly over the range.
const INSTANCE_STEP: f64 = 0.618_034;
/// What the golden ratio's fraction leaves of 1: the step from one refusal to the next.
const REFUSAL_STEP: f64 = 0.381_966;

/// Endpoint lists by their numbers on the wire.
pub(crate) type Lists = BTreeMap<u64, Vec<ListedReplica>>;

/// How long until a watch is requested again after `refused` refusals in a row.
///
/// The wait doubles from a quarter second to 4 s, spread by instance to between 0.75 and 1.25 times that: well
/// within the four times `askWithinMs` that a failed call allows. Otherwise the calls of all co-ordinators would
/// keep the list's source too busy to answer any (on one simulated day it granted 14 watches to 92,759 calls).
/// The list is late by as much.
fn watch_wait(refused: u32, instance: i64) -> Seconds {
    let wait = MIN_WATCH_WAIT * 2f64.powi(refused.min(MAX_DOUBLINGS) as i32);
    let steps = instance as f64 * INSTANCE_STEP + refused as f64 * REFUSAL_STEP;
    wait * (MIN_SPREAD + SPREAD_WIDTH * steps.rem_euclid(1.0))
}

/// One co-ordinator, from its start to its end.
pub(crate) struct Instance {
    id: i64,
    search_table: SearchTable,
    /// Searches in flight by the simulator's number of the query.
    by_query: BTreeMap<u64, SearchId>,
    query_type_count: usize,
    /// Whether clients mark retries.
    marks_retries: bool,
    /// Whether the list is sent only on request (`discovery = "subscribe"`): a watch is kept open, and
    /// requested anew when it is refused or breaks.
    subscribes: bool,
    /// Watches refused in a row.
    refused_watches: u32,
    /// Searches that arrived in this batch, or gained parts: placed once all their parts are there.
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

    /// The co-ordinator's first actions.
    pub(crate) fn start(&self, out: &mut Vec<Value>) {
        if self.subscribes {
            out.push(json!(["observe", true]));
        }
    }

    /// Handles an event by its name; `None` for one that is malformed or about something that is not in
    /// flight any more.
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

    /// `["sync", list, form, ...]`
    fn list_synced(&mut self, event: &Value, lists: &Lists, out: &mut Vec<Value>) -> Option<()> {
        let form = event.get(2)?.as_str()?;
        if form == "refused" && self.subscribes {
            // A failed call or a broken watch: the old list is still in force, and a new watch is allowed.
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
