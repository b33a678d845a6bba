//! Conversion of plans into actions of the simulator's protocol.

use serde_json::{Value, json};
use std::collections::BTreeMap;
use woadreach_routing::api::{AttemptId, Placement, Reply, Search, SearchId, Seconds};
use woadreach_search_driver::PlanExecutor;

/// The protocol has times in milliseconds, the routing decisions in seconds.
pub(crate) const MS_PER_SECOND: f64 = 1000.0;

/// Plan executor that appends actions to the output of a co-ordinator.
pub(crate) struct Actions<'a> {
    pub(crate) out: &'a mut Vec<Value>,
    /// Searches in flight, by the simulator's query number.
    pub(crate) by_query: &'a mut BTreeMap<u64, SearchId>,
}

impl PlanExecutor for Actions<'_> {
    fn log(&mut self, line: &str) {
        self.out.push(json!(["remark", line]));
    }

    fn cancel(&mut self, attempt: AttemptId) {
        self.out
            .push(json!(["undoSend", attempt.part.0, attempt.index]));
    }

    fn send(&mut self, _: &Search, placement: &Placement, _: usize) {
        let timeout_ms = placement.timeout * MS_PER_SECOND;
        let replica = &*placement.replica.0;
        self.out
            .push(json!(["place", placement.part.0, replica, timeout_ms]));
    }

    fn reply(&mut self, search: &Search, reply: Reply) {
        let id = search.id.0;
        self.out.push(match reply {
            Reply::Answered { complete } => json!(["conclude", id, complete]),
            Reply::Shed { retry_after } => json!(["turnAway", id, retry_after * MS_PER_SECOND]),
            Reply::Errored => json!(["endFailed", id]),
        });
    }

    fn set_timer(&mut self, search: SearchId, wait: Seconds) {
        let (wait_ms, name) = (wait * MS_PER_SECOND, search.0.to_string());
        self.out.push(json!(["setTimer", wait_ms, name]));
    }

    fn search_finished(&mut self, search: &Search) {
        self.by_query.retain(|_, id| *id != search.id);
    }
}
