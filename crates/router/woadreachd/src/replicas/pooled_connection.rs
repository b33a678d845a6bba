//! What the pool knows of one connection to a replica.

use super::config::ConnectionConfig;
use super::write_queue::{Closing, QueuedAttempt, WriteQueue};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use woadreach_routing::api::{AttemptId, Ending, ReplicaId};

/// An attempt that is no longer in flight, to whose wire id an answer may still come.
#[derive(PartialEq)]
struct FinishedAttempt {
    wire_id: String,
    /// Whether its first answer may still be received; else only a second one can.
    given_up: bool,
}

/// A connection of the pool.
///
/// `connected` and `retired` are independent: each of the four combinations occurs.
///
/// | `connected` | `retired` | state |
/// | --- | --- | --- |
/// | no | no | It is being established; attempts already wait on it. |
/// | yes | no | It is in use. |
/// | yes | yes | It finishes what is in flight, or was aborted. |
/// | no | yes | Its replica drains, has departed, or has a new address or incarnation. |
///
/// How it is to end is the [`Closing`] of its queue, which is independent of `connected`:
///
/// - [`Closing::Open`] occurs with `retired` as long as attempts are in flight.
/// - [`Closing::AfterQueue`] occurs with and without `retired`, and never with an attempt in flight. One that
///   is not retired was idle for too long; for the same reason [`PooledConnection::can_take`] is false.
/// - [`Closing::Abort`] and [`Closing::Reset`] occur only with `retired`, and never with an attempt in flight.
pub(super) struct PooledConnection {
    pub(super) replica: ReplicaId,
    /// What waits to be written; its other owner is the connection's task.
    pub(super) queue: Rc<WriteQueue>,
    /// Whether the task has reported that the connection is established. Never becomes false again.
    pub(super) connected: bool,
    /// Whether it takes nothing new, and is closed once nothing is in flight on it. Never becomes false again.
    pub(super) retired: bool,
    /// Attempts on it without an outcome, by their wire ids.
    pub(super) in_flight: BTreeMap<String, AttemptId>,
    /// The latest attempts that are no longer in flight, oldest first.
    finished: VecDeque<FinishedAttempt>,
    /// When an attempt was last put on it or ended on it, in Unix seconds; at first, when it was opened.
    pub(super) last_used: f64,
    /// When an answer was last received on it, in Unix seconds; `None` before the first.
    pub(super) last_heard: Option<f64>,
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
            last_heard: None,
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

    /// Has a retired connection closed if nothing is in flight on it any more.
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
        let idle = self.in_flight.is_empty() && now - self.last_used >= config.max_idle_s();
        let capacity = config.max_attempts_in_flight.max(attempts.len());
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
