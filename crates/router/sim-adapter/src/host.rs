//! One process of instances: events in, actions out.

use crate::decode;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use woadreach_routing::api::*;
use woadreach_search_driver::{PlanExecutor, SearchTable};

/// The name of the timer after which a refused watch is asked for again; search timers carry numbers.
const WATCH: &str = "watch";

/// Seconds until a watch is asked for again after `refused` refusals in a row. Danger: asked again at once,
/// the calls of all co-ordinators keep the list's source too busy to answer any (a norte-movimientos day:
/// 92,759 calls, 14 watches granted). The wait doubles from a quarter second to 4 s, spread by instance to
/// between 0.75 and 1.25 times that: well within the four times `askWithinMs` that a failed call allows.
/// Harm: a list late by as much.
fn watch_wait(refused: u32, instance: i64) -> f64 {
    let wait = 0.25 * 2f64.powi(refused.min(4) as i32);
    let spread = (instance as f64 * 0.618_034 + refused as f64 * 0.381_966).rem_euclid(1.0);
    wait * (0.75 + 0.5 * spread)
}

struct Instance {
    hand: SearchTable,
    by_number: BTreeMap<u64, SearchId>,
    query_types: usize,
    marks_repeats: bool,
    /// The list comes only when asked (`discovery = "subscribe"`): a watch is kept open, and asked for
    /// anew when it is refused or breaks. Danger: without it the list is the one remembered at the start,
    /// and the drain rule counts the instance as told of what the list said `askWithinMs` ago.
    asks: bool,
    /// Watches refused in a row; the next is asked for after a wait that doubles with each.
    refused: u32,
    /// Arrived in this batch, or grew by a step: to be asked about once all their parts are in.
    fresh: Vec<SearchId>,
}

#[derive(Default)]
pub struct Host {
    instances: BTreeMap<i64, Instance>,
    sheets: BTreeMap<u64, Vec<Listed>>,
}

impl Host {
    pub fn batch(&mut self, line: &str) -> Result<Value, String> {
        let batch: Value = serde_json::from_str(line).map_err(|e| format!("not JSON: {e}"))?;
        let now = batch
            .get("simTimeMs")
            .and_then(decode::seconds)
            .ok_or("no simTimeMs")?;
        let groups = batch
            .get("groups")
            .and_then(Value::as_array)
            .ok_or("no groups")?;
        // An instance may come in several groups; a restart in a later one voids what an earlier one asked.
        let mut outs: BTreeMap<i64, Vec<Value>> = BTreeMap::new();
        for group in groups {
            let id = group
                .get("co-ordinatorId")
                .and_then(Value::as_i64)
                .ok_or("a group has no co-ordinatorId")?;
            let events = group
                .get("in")
                .and_then(Value::as_array)
                .ok_or("a group has no in")?;
            let out = outs.entry(id).or_default();
            for event in events {
                self.event(now, id, event, out);
            }
        }
        let mut replies = Vec::new();
        for (id, mut out) in outs {
            if let Some(instance) = self.instances.get_mut(&id) {
                let mut actions = Actions {
                    out: &mut out,
                    by_number: &mut instance.by_number,
                };
                for search in std::mem::take(&mut instance.fresh) {
                    instance.hand.ask(now, search, &mut actions);
                }
            }
            if !out.is_empty() {
                replies.push(json!({"co-ordinatorId": id, "out": out}));
            }
        }
        Ok(json!({"groups": replies}))
    }

    /// Events that are unknown, malformed or about something no longer held are skipped.
    fn event(&mut self, now: f64, id: i64, event: &Value, out: &mut Vec<Value>) -> Option<()> {
        let name = event.get(0)?.as_str()?;
        match name {
            "newInstance" => {
                // What the instance before it wanted is void: actions run after the whole batch.
                out.clear();
                self.instances.remove(&id);
                match woadreach_search_driver::settings(event.get(1)?.as_u64()?, event.get(2)?) {
                    Ok(set) => {
                        let marks = event
                            .pointer("/2/clients/marksRetry")
                            .and_then(Value::as_bool);
                        let asks = event.pointer("/2/discovery").and_then(Value::as_str)
                            == Some("subscribe");
                        let mut instance = Instance::new(set, marks == Some(true));
                        instance.asks = asks;
                        self.instances.insert(id, instance);
                        if asks {
                            out.push(json!(["observe", true]));
                        }
                    }
                    Err(why) => {
                        eprintln!("co-ordinator {id}: {why}");
                        out.push(json!(["die", why]));
                    }
                }
                return Some(());
            }
            "destroy" => {
                out.clear();
                self.instances.remove(&id);
                return Some(());
            }
            "sheet" => {
                let lines = event
                    .get(2)?
                    .as_array()?
                    .iter()
                    .filter_map(decode::listed)
                    .collect();
                self.sheets.insert(event.get(1)?.as_u64()?, lines);
                return Some(());
            }
            _ => {}
        }
        let instance = self.instances.get_mut(&id)?;
        let actions = &mut Actions {
            out,
            by_number: &mut instance.by_number,
        };
        match name {
            "sync" => {
                let form = event.get(2)?.as_str()?;
                if form == "refused" && instance.asks {
                    // A failed call or a broken watch: the old list still holds, and a new watch is allowed.
                    let wait = watch_wait(instance.refused, id);
                    instance.refused += 1;
                    actions.out.push(json!(["setTimer", wait * 1000.0, WATCH]));
                } else if form != "remembered" {
                    instance.refused = 0;
                }
                if matches!(form, "all" | "remembered" | "changes") {
                    let lines = self.sheets.get(&event.get(1)?.as_u64()?)?;
                    instance.hand.list(form != "changes", lines);
                }
            }
            "newRequest" => instance.arrival(now, event)?,
            "closedAttempt" => instance
                .hand
                .outcome(now, &decode::outcome(event)?, actions),
            "timer" if event.get(1)?.as_str()? == WATCH => {
                actions.out.push(json!(["observe", true]))
            }
            "timer" => {
                instance.hand.due(
                    now,
                    SearchId(event.get(1)?.as_str()?.parse().ok()?),
                    actions,
                );
            }
            "withdrawn" => instance
                .hand
                .left(now, SearchId(event.get(1)?.as_u64()?), actions),
            _ => {}
        }
        Some(())
    }
}

impl Instance {
    fn new(set: Settings, marks_repeats: bool) -> Self {
        Instance {
            marks_repeats,
            asks: false,
            refused: 0,
            query_types: set.query_types.len(),
            hand: SearchTable::new(set),
            by_number: BTreeMap::new(),
            fresh: Vec::new(),
        }
    }

    /// `["newRequest", id, class, tenant, key, left, hint, query, segment, amount, options]`
    fn arrival(&mut self, now: f64, event: &Value) -> Option<()> {
        let id = event.get(1)?.as_u64()?;
        let number = event.get(7)?.as_u64()?;
        let segment = event.get(8)?.as_f64()?;
        if segment < 0.0 {
            let search = SearchId(id);
            let query_type = QueryTypeId(event.get(2)?.as_u64()? as usize);
            if query_type.0 >= self.query_types {
                return None;
            }
            let tenant = TenantId(event.get(3).and_then(Value::as_u64).unwrap_or(0) as usize);
            let client_deadline = now + event.get(5).and_then(decode::seconds)?;
            let mut in_hand = Search::new(search, query_type, tenant, now, client_deadline);
            let options = event.get(10).and_then(Value::as_u64).unwrap_or(0);
            in_hand.repeated = self.marks_repeats.then_some(options & 2 != 0);
            self.hand.take(in_hand);
            self.by_number.insert(number, search);
            self.fresh.push(search);
            return Some(());
        }
        let search = *self.by_number.get(&number)?;
        let weight = event.get(9).and_then(Value::as_f64).unwrap_or(0.0);
        if !self
            .hand
            .add_part(search, PartId(id), ShardId(segment as u64), weight)
        {
            return None;
        }
        if !self.fresh.contains(&search) {
            self.fresh.push(search);
        }
        Some(())
    }
}

/// Writes a plan's steps as actions.
struct Actions<'a> {
    out: &'a mut Vec<Value>,
    by_number: &'a mut BTreeMap<u64, SearchId>,
}

impl PlanExecutor for Actions<'_> {
    fn note(&mut self, line: &str) {
        self.out.push(json!(["remark", line]));
    }

    fn cancel(&mut self, part: PartId, attempt_index: usize) {
        self.out.push(json!(["undoSend", part.0, attempt_index]));
    }

    fn send(&mut self, _: &Search, s: &Placement, _: usize) {
        self.out.push(json!([
            "place",
            s.part.0,
            &*s.replica.0,
            s.timeout * 1000.0
        ]));
    }

    fn reply(&mut self, search: &Search, reply: Reply) {
        let id = search.id.0;
        self.out.push(match reply {
            Reply::Answered { complete: whole } => json!(["conclude", id, whole]),
            Reply::Shed { retry_after } => json!(["turnAway", id, retry_after * 1000.0]),
            Reply::Errored => json!(["endFailed", id]),
        });
    }

    fn timer(&mut self, search: SearchId, wait: f64) {
        self.out
            .push(json!(["setTimer", wait * 1000.0, search.0.to_string()]));
    }

    fn finished(&mut self, search: &Search) {
        self.by_number.retain(|_, s| *s != search.id);
    }
}

#[cfg(test)]
#[path = "../tests/unit/host.rs"]
mod tests;
