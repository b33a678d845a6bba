//! The calls that are queued for their replicas, earliest deadline first. A data structure that decides nothing:
//! [`crate::decide::hold`] says when a call may leave.

use std::collections::{BTreeMap, BTreeSet};

/// A queue of calls `C` for each replica `R`, earliest deadline first, also if that has passed.
pub struct DeadlineQueue<R, C> {
    calls: BTreeMap<R, BTreeSet<(i64, C)>>,
}

impl<R: Ord + Clone, C: Ord + Copy> Default for DeadlineQueue<R, C> {
    fn default() -> Self {
        DeadlineQueue {
            calls: BTreeMap::new(),
        }
    }
}

impl<R: Ord + Clone, C: Ord + Copy> DeadlineQueue<R, C> {
    fn key(deadline: f64, call: C) -> (i64, C) {
        ((deadline * 1e6) as i64, call) // microseconds have an order
    }

    /// Queues a call until `first` names it.
    pub fn insert(&mut self, replica: &R, deadline: f64, call: C) {
        self.calls
            .entry(replica.clone())
            .or_default()
            .insert(Self::key(deadline, call));
    }

    /// Removes a call that leaves, goes elsewhere or is given up.
    pub fn remove(&mut self, replica: &R, deadline: f64, call: C) {
        self.calls
            .get_mut(replica)
            .map(|queue| queue.remove(&Self::key(deadline, call)));
    }

    /// The call that leaves next, once the replica's hold allows one.
    pub fn first(&self, replica: &R) -> Option<C> {
        self.calls
            .get(replica)
            .and_then(|queue| queue.first())
            .map(|first| first.1)
    }

    /// Whether another call goes before this one.
    pub fn is_behind(&self, replica: &R, deadline: f64, call: C) -> bool {
        let first = self.calls.get(replica).and_then(|queue| queue.first());
        first.is_some_and(|first| *first < Self::key(deadline, call))
    }

    /// Forgets a replica that has departed.
    pub fn forget(&mut self, replica: &R) {
        self.calls.remove(replica);
    }
}
