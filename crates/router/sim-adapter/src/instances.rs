//! All co-ordinators of the process. Each batch of events is answered with a batch of actions.

use crate::decode;
use crate::error::{AdapterError, MissingGroupKeySnafu, MissingKeySnafu, NotJsonSnafu};
use crate::instance::{Instance, Lists};
use serde_json::{Value, json};
use snafu::{OptionExt, ResultExt};
use std::collections::BTreeMap;
use woadreach_routing::api::Seconds;

const COORDINATOR_ID: &str = "co-ordinatorId";

/// Co-ordinators by their numbers, and the endpoint lists that were declared in `sheet` events.
#[derive(Default)]
pub(crate) struct Instances {
    instances: BTreeMap<i64, Instance>,
    lists: Lists,
}

impl Instances {
    /// Handles one line of input: the events at one simulated time, in groups by co-ordinator. Returns the actions,
    /// grouped in the same way.
    pub(crate) fn handle_batch(&mut self, line: &str) -> Result<Value, AdapterError> {
        let batch: Value = serde_json::from_str(line).context(NotJsonSnafu)?;
        let now = batch.get("simTimeMs").and_then(decode::seconds);
        let now = now.context(MissingKeySnafu { key: "simTimeMs" })?;
        let groups = batch.get("groups").and_then(Value::as_array);
        let groups = groups.context(MissingKeySnafu { key: "groups" })?;
        // A co-ordinator may have several groups. A restart in a later group discards the actions of earlier ones.
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

    /// Handles an event. Events that are unknown, malformed, or refer to something that is not in flight have no
    /// effect.
    fn handle_event(
        &mut self,
        now: Seconds,
        id: i64,
        event: &Value,
        out: &mut Vec<Value>,
    ) -> Option<()> {
        match event.get(0)?.as_str()? {
            "newInstance" => {
                // Actions are carried out after the complete batch, so those of the previous instance are discarded.
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

    /// Starts a co-ordinator. If its settings are invalid, logs the error and requests its end.
    fn start(&mut self, id: i64, seed: u64, settings: &Value, out: &mut Vec<Value>) {
        match Instance::new(id, seed, settings) {
            Ok(instance) => {
                instance.start(out);
                self.instances.insert(id, instance);
            }
            Err(error) => {
                eprintln!("co-ordinator {id} not started: {error}");
                out.push(json!(["die", error.to_string()]));
            }
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/instances.rs"]
mod tests;
