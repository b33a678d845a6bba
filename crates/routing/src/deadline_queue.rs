//! Calls queued for each replica, earliest deadline first. [`crate::decide::hold`] decides when the next call may be
//! sent.

use crate::api::Seconds;
use std::collections::{BTreeMap, BTreeSet};

const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// A queued call, ordered by its deadline. Whole microseconds have a total order, unlike floating-point seconds.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueuedCall<C> {
    deadline_us: i64,
    call: C,
}

impl<C> QueuedCall<C> {
    fn new(deadline: Seconds, call: C) -> Self {
        QueuedCall {
            deadline_us: (deadline * MICROSECONDS_PER_SECOND) as i64,
            call,
        }
    }
}

/// A queue of calls `C` for each replica `R`, earliest deadline first. Calls whose deadline has passed stay queued.
pub struct DeadlineQueue<R, C> {
    calls: BTreeMap<R, BTreeSet<QueuedCall<C>>>,
}

impl<R: Ord + Clone, C: Ord + Copy> Default for DeadlineQueue<R, C> {
    fn default() -> Self {
        DeadlineQueue {
            calls: BTreeMap::new(),
        }
    }
}

impl<R: Ord + Clone, C: Ord + Copy> DeadlineQueue<R, C> {
    /// Queues a call for a replica. The caller removes it with [`DeadlineQueue::remove`].
    pub fn insert(&mut self, replica: &R, deadline: Seconds, call: C) {
        self.calls
            .entry(replica.clone())
            .or_default()
            .insert(QueuedCall::new(deadline, call));
    }

    /// Removes a call that is sent, moved to another replica or abandoned. `deadline` must be that of its insertion.
    pub fn remove(&mut self, replica: &R, deadline: Seconds, call: C) {
        self.calls
            .get_mut(replica)
            .map(|queue| queue.remove(&QueuedCall::new(deadline, call)));
    }

    /// The call with the earliest deadline, which is sent next when backpressure allows it.
    pub fn first(&self, replica: &R) -> Option<C> {
        self.calls
            .get(replica)
            .and_then(|queue| queue.first())
            .map(|first| first.call)
    }

    /// Whether a call that comes earlier in the order is queued for the replica. `call` itself need not be queued.
    pub fn is_behind(&self, replica: &R, deadline: Seconds, call: C) -> bool {
        let first = self.calls.get(replica).and_then(|queue| queue.first());
        first.is_some_and(|first| *first < QueuedCall::new(deadline, call))
    }

    /// Removes all calls queued for a replica that has departed.
    pub fn forget(&mut self, replica: &R) {
        self.calls.remove(replica);
    }
}
