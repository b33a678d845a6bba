//! What the pool knows of one connection.

use super::config::ConnectionConfig;
use super::write_queue::{Closing, QueuedAttempt, WriteQueue};
use crate::events::AttemptId;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use woadreach_routing::api::{Ending, ReplicaId};

/// An attempt that is no longer in flight, to whose wire id an answer may still come.
#[derive(PartialEq)]
struct FinishedAttempt {
    wire_id: String,
    /// Its first answer may still come; else only a second one.
    given_up: bool,
}

/// A connection of the pool.
pub(super) struct PooledConnection {
    pub(super) replica: ReplicaId,
    pub(super) queue: Rc<WriteQueue>,
    pub(super) connected: bool,
    /// It takes nothing new, and is closed once nothing is in flight on it.
    pub(super) retired: bool,
    /// Attempts by their wire ids.
    pub(super) in_flight: BTreeMap<String, AttemptId>,
    /// The latest attempts that are no longer in flight.
    finished: VecDeque<FinishedAttempt>,
    /// In Unix seconds.
    pub(super) last_used: f64,
    /// When bytes of an answer were last read, in Unix seconds; 0 before.
    pub(super) last_heard: f64,
}

impl PooledConnection {
    pub(super) fn new(replica: ReplicaId, queue: Rc<WriteQueue>, now: f64) -> Self {
        PooledConnection {
            replica,
            queue,
            connected: false,
            retired: false,
            in_flight: BTreeMap::new(),
            finished: VecDeque::new(),
            last_used: now,
            last_heard: 0.0,
        }
    }

    /// Takes an attempt out of those in flight. At most `max_finished` are remembered: as many as may be in
    /// flight at once.
    pub(super) fn attempt_finished(&mut self, wire_id: &str, ending: Ending, max_finished: usize) {
        if self.in_flight.remove(wire_id).is_none() || ending == Ending::NeverSent {
            return;
        }
        if self.finished.len() >= max_finished {
            self.finished.pop_front();
        }
        self.finished.push_back(FinishedAttempt {
            wire_id: wire_id.to_string(),
            given_up: matches!(ending, Ending::TimedOut | Ending::Cancelled),
        });
    }

    /// Whether an attempt with this wire id was in flight lately.
    pub(super) fn has_finished(&self, wire_id: &str) -> bool {
        self.finished.iter().any(|f| f.wire_id == wire_id)
    }

    pub(super) fn close_if_retired(&self) {
        if self.retired && self.in_flight.is_empty() {
            self.queue.close(Closing::AfterQueue);
        }
    }

    /// Whether it has capacity for these attempts, and none of their answers could be taken for another's.
    pub(super) fn can_take(
        &self,
        attempts: &[QueuedAttempt],
        now: f64,
        config: &ConnectionConfig,
    ) -> bool {
        let idle = self.in_flight.is_empty() && now - self.last_used >= config.max_idle();
        let capacity = config.max_attempts.max(attempts.len());
        !self.retired
            && !idle
            && self.in_flight.len() + attempts.len() <= capacity
            && !attempts.iter().any(|a| self.is_ambiguous(&a.wire_id))
    }

    /// Whether an answer under this wire id could be one to an earlier attempt.
    fn is_ambiguous(&self, wire_id: &str) -> bool {
        self.in_flight.contains_key(wire_id)
            || self
                .finished
                .iter()
                .any(|f| f.given_up && f.wire_id == wire_id)
    }
}
