//! One process of instances: events in, actions out.

use crate::decode;
use serde_json::{Value, json};
use std::collections::{BTreeMap, VecDeque};
use woadreach::api::*;
use woadreach::balance::Balancer;

struct InHand {
    search: Search,
    /// When its next timer comes; infinite = none set.
    due: f64,
}

struct Instance {
    balancer: Balancer,
    searches: BTreeMap<SearchId, InHand>,
    by_number: BTreeMap<u64, SearchId>,
    by_part: BTreeMap<PartId, SearchId>,
    query_types: usize,
    marks_repeats: bool,
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
        let now = batch.get("simTimeMs").and_then(decode::seconds).ok_or("no simTimeMs")?;
        let groups = batch.get("groups").and_then(Value::as_array).ok_or("no groups")?;
        // An instance may come in several groups; a restart in a later one voids what an earlier one asked.
        let mut outs: BTreeMap<i64, Vec<Value>> = BTreeMap::new();
        for group in groups {
            let id =
                group.get("co-ordinatorId").and_then(Value::as_i64).ok_or("a group has no co-ordinatorId")?;
            let events = group.get("in").and_then(Value::as_array).ok_or("a group has no in")?;
            let out = outs.entry(id).or_default();
            for event in events {
                self.event(now, id, event, out);
            }
        }
        let mut replies = Vec::new();
        for (id, mut out) in outs {
            if let Some(instance) = self.instances.get_mut(&id) {
                for search in std::mem::take(&mut instance.fresh) {
                    instance.ask(now, search, &mut out);
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
                match decode::settings(event.get(1)?.as_u64()?, event.get(2)?) {
                    Ok(set) => {
                        let marks = event.pointer("/2/clients/marksRetry").and_then(Value::as_bool);
                        self.instances.insert(id, Instance::new(set, marks == Some(true)));
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
                let lines = event.get(2)?.as_array()?.iter().filter_map(decode::listed).collect();
                self.sheets.insert(event.get(1)?.as_u64()?, lines);
                return Some(());
            }
            _ => {}
        }
        let instance = self.instances.get_mut(&id)?;
        match name {
            "sync" => {
                let form = event.get(2)?.as_str()?;
                if matches!(form, "all" | "remembered" | "changes") {
                    let lines = self.sheets.get(&event.get(1)?.as_u64()?)?;
                    instance.balancer.list(form != "changes", lines);
                }
            }
            "newRequest" => instance.arrival(now, event)?,
            "closedAttempt" => {
                let outcome = decode::outcome(event)?;
                let search = instance.by_part.get(&outcome.part).copied();
                let held = search.and_then(|s| instance.searches.get_mut(&s)).map(|h| &mut h.search);
                let plan = instance.balancer.after(now, held, &outcome);
                instance.carry_out(now, search, plan, out);
            }
            "timer" => {
                let search = SearchId(event.get(1)?.as_str()?.parse().ok()?);
                let held = instance.searches.get_mut(&search)?;
                // Timers cannot be revoked: one that an earlier one replaced is ignored. The wire counts
                // in microseconds, so a timer may seem to come a moment early.
                if held.due > now + 1e-5 {
                    return None;
                }
                held.due = f64::INFINITY;
                instance.ask(now, search, out);
            }
            "withdrawn" => {
                let search = SearchId(event.get(1)?.as_u64()?);
                let held = instance.searches.get_mut(&search)?;
                let plan = instance.balancer.left(&mut held.search);
                instance.carry_out(now, Some(search), plan, out);
            }
            _ => {}
        }
        Some(())
    }
}

impl Instance {
    fn new(set: Settings, marks_repeats: bool) -> Self {
        Instance {
            marks_repeats,
            query_types: set.query_types.len(),
            balancer: Balancer::new(set),
            searches: BTreeMap::new(),
            by_number: BTreeMap::new(),
            by_part: BTreeMap::new(),
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
            let ends = now + event.get(5).and_then(decode::seconds)?;
            let mut in_hand = Search::new(search, query_type, tenant, now, ends);
            let options = event.get(10).and_then(Value::as_u64).unwrap_or(0);
            in_hand.repeated = self.marks_repeats.then_some(options & 2 != 0);
            self.searches.insert(search, InHand { search: in_hand, due: f64::INFINITY });
            self.by_number.insert(number, search);
            self.fresh.push(search);
            return Some(());
        }
        let search = *self.by_number.get(&number)?;
        let held = &mut self.searches.get_mut(&search)?.search;
        held.parts.push(Part {
            id: PartId(id),
            shard: ShardId(segment as u64),
            weight: event.get(9).and_then(Value::as_f64).unwrap_or(0.0),
            step: held.step,
            answered: false,
            held: None,
            subs: Vec::new(),
        });
        self.by_part.insert(PartId(id), search);
        if !self.fresh.contains(&search) {
            self.fresh.push(search);
        }
        Some(())
    }

    fn ask(&mut self, now: f64, search: SearchId, out: &mut Vec<Value>) {
        if let Some(held) = self.searches.get_mut(&search) {
            let plan = self.balancer.place(now, &mut held.search);
            self.carry_out(now, Some(search), plan, out);
        }
    }

    fn carry_out(&mut self, now: f64, search: Option<SearchId>, plan: Plan, out: &mut Vec<Value>) {
        let mut plans = VecDeque::from([(search, plan)]);
        while let Some((search, plan)) = plans.pop_front() {
            self.encode(search, &plan, out);
            if let Some(id) = search {
                self.settle(now, id, out);
            }
            for next in plan.ask_again {
                if let Some(held) = self.searches.get_mut(&next) {
                    plans.push_back((Some(next), self.balancer.place(now, &mut held.search)));
                }
            }
        }
    }

    fn encode(&self, search: Option<SearchId>, plan: &Plan, out: &mut Vec<Value>) {
        out.extend(plan.notes.iter().map(|n| json!(["remark", n])));
        out.extend(plan.cancel.iter().map(|(part, nth)| json!(["undoSend", part.0, nth])));
        for s in &plan.send {
            out.push(json!(["place", s.part.0, &*s.replica.0, s.timeout * 1000.0]));
        }
        if let (Some(id), Some(reply)) = (search, plan.reply) {
            out.push(match reply {
                Reply::Answered { whole } => json!(["conclude", id.0, whole]),
                Reply::Shed { retry_after } => json!(["turnAway", id.0, retry_after * 1000.0]),
                Reply::Errored => json!(["endFailed", id.0]),
            });
        }
    }

    /// Lets go of a search that is over, or sees to it that its next timer comes in time.
    fn settle(&mut self, now: f64, id: SearchId, out: &mut Vec<Value>) {
        let Some(held) = self.searches.get_mut(&id) else { return };
        if held.search.over {
            held.search.parts.iter().for_each(|p| {
                self.by_part.remove(&p.id);
            });
            self.by_number.retain(|_, s| *s != id);
            self.searches.remove(&id);
            return;
        }
        let wait = self.balancer.wait(now, &held.search);
        if now + wait < held.due {
            held.due = now + wait;
            out.push(json!(["setTimer", wait * 1000.0, id.0.to_string()]));
        }
    }
}
