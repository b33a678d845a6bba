//! All co-ordinators of a process: batches of events in, actions out.

use crate::decode;
use crate::error::{AdapterError, MissingGroupKeySnafu, MissingKeySnafu, NotJsonSnafu};
use crate::instance::{Instance, Lists};
use serde_json::{Value, json};
use snafu::{OptionExt, ResultExt};
use std::collections::BTreeMap;
use woadreach_routing::api::Seconds;

const COORDINATOR_ID: &str = "co-ordinatorId";

/// The co-ordinators by their numbers, and the lists that were declared.
#[derive(Default)]
pub(crate) struct Instances {
    instances: BTreeMap<i64, Instance>,
    lists: Lists,
}

impl Instances {
    /// Handles one line: the events of a moment, in groups by co-ordinator. Returns the actions, in such groups.
    pub(crate) fn handle_batch(&mut self, line: &str) -> Result<Value, AdapterError> {
        let batch: Value = serde_json::from_str(line).context(NotJsonSnafu)?;
        let now = batch.get("simTimeMs").and_then(decode::seconds);
        let now = now.context(MissingKeySnafu { key: "simTimeMs" })?;
        let groups = batch.get("groups").and_then(Value::as_array);
        let groups = groups.context(MissingKeySnafu { key: "groups" })?;
        // A co-ordinator may have several groups; a restart in a later one voids the actions of an earlier.
        let mut actions: BTreeMap<i64, Vec<Value>> = BTreeMap::new();
        for group in groups {
            let key = COORDINATOR_ID;
            let id = group.get(key).and_then(Value::as_i64);
            let id = id.context(MissingGroupKeySnafu { key })?;
            let key = "in";
            let events = group.get(key).and_then(Value::as_array);
            let events = events.context(MissingGroupKeySnafu { key })?;
            let out = actions.entry(id).or_default();
            for event in events {
                self.handle_event(now, id, event, out);
            }
        }
        let mut replies = Vec::new();
        for (id, mut out) in actions {
            if let Some(instance) = self.instances.get_mut(&id) {
                instance.place_searches(now, &mut out);
            }
            if !out.is_empty() {
                replies.push(json!({COORDINATOR_ID: id, "out": out}));
            }
        }
        Ok(json!({"groups": replies}))
    }

    /// Handles an event. One that is unknown, malformed or about something that is not in flight any more is
    /// skipped.
    fn handle_event(
        &mut self,
        now: Seconds,
        id: i64,
        event: &Value,
        out: &mut Vec<Value>,
    ) -> Option<()> {
        match event.get(0)?.as_str()? {
            "newInstance" => {
                // What the instance before it asked for is void: actions run after the complete batch.
                self.remove(id, out);
                self.start(id, event.get(1)?.as_u64()?, event.get(2)?, out);
            }
            "destroy" => self.remove(id, out),
            "sheet" => {
                let lines = event.get(2)?.as_array()?.iter();
                let lines = lines.filter_map(decode::listed).collect();
                self.lists.insert(event.get(1)?.as_u64()?, lines);
            }
            name => {
                let instance = self.instances.get_mut(&id)?;
                instance.handle_event(now, name, event, &self.lists, out)?;
            }
        }
        Some(())
    }

    fn remove(&mut self, id: i64, out: &mut Vec<Value>) {
        out.clear();
        self.instances.remove(&id);
    }

    /// Starts a co-ordinator, or has it end where its settings cannot be used.
    fn start(&mut self, id: i64, seed: u64, settings: &Value, out: &mut Vec<Value>) {
        match Instance::new(id, seed, settings) {
            Ok(instance) => {
                instance.start(out);
                self.instances.insert(id, instance);
            }
            Err(error) => {
                eprintln!("co-ordinator {id}: {error}");
                out.push(json!(["die", error.to_string()]));
            }
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/instances.rs"]
mod tests;
