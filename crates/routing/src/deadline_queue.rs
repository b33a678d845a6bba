//! The calls that are queued for their replicas, earliest deadline first. A data structure that decides nothing:
//! [`crate::decide::hold`] says when a call may leave.

use crate::api::Seconds;
use std::collections::{BTreeMap, BTreeSet};

/// Microseconds in a second.
const MICROSECONDS: f64 = 1e6;

/// A call in a queue, ordered by its deadline in whole microseconds: these have a total order.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueuedCall<C> {
    deadline_us: i64,
    call: C,
}

impl<C> QueuedCall<C> {
    fn new(deadline: Seconds, call: C) -> Self {
        QueuedCall {
            deadline_us: (deadline * MICROSECONDS) as i64,
            call,
        }
    }
}

/// A queue of calls `C` for each replica `R`, earliest deadline first, also if that has passed.
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
    /// Queues a call until `first` names it.
    pub fn insert(&mut self, replica: &R, deadline: Seconds, call: C) {
        self.calls
            .entry(replica.clone())
            .or_default()
            .insert(QueuedCall::new(deadline, call));
    }

    /// Removes a call that leaves, goes elsewhere or is given up.
    pub fn remove(&mut self, replica: &R, deadline: Seconds, call: C) {
        self.calls
            .get_mut(replica)
            .map(|queue| queue.remove(&QueuedCall::new(deadline, call)));
    }

    /// The call that leaves next, once the replica's hold allows one.
    pub fn first(&self, replica: &R) -> Option<C> {
        self.calls
            .get(replica)
            .and_then(|queue| queue.first())
            .map(|first| first.call)
    }

    /// Whether another call goes before this one.
    pub fn is_behind(&self, replica: &R, deadline: Seconds, call: C) -> bool {
        let first = self.calls.get(replica).and_then(|queue| queue.first());
        first.is_some_and(|first| *first < QueuedCall::new(deadline, call))
    }

    /// Forgets a replica that has departed.
    pub fn forget(&mut self, replica: &R) {
        self.calls.remove(replica);
    }
}
