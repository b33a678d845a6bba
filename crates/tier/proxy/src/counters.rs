//! Counters of this process, for its state line.

use crate::request_state::RequestEnd;
use parking_lot::Mutex;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};

/// Counters since the process started.
#[derive(Debug, Default)]
pub struct Counters {
    ends: Mutex<BTreeMap<RequestEnd, u64>>,
    /// Requests that could not be read: malformed, too long, too slow.
    pub rejected: AtomicU64,
    /// Headers that only help to place a request, and could not be read.
    pub unread_hints: AtomicU64,
    /// Requests for no route.
    pub unrouted: AtomicU64,
    /// Client connections taken.
    pub connections: AtomicU64,
    /// Client connections closed at once for want of room.
    pub shed_connections: AtomicU64,
}

impl Counters {
    /// Counts the end of a request.
    pub fn count(&self, end: RequestEnd) {
        *self.ends.lock().entry(end).or_default() += 1;
    }

    /// Adds one to a counter.
    pub fn add(counter: &AtomicU64) {
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Requests by how they ended.
    pub fn ends(&self) -> BTreeMap<RequestEnd, u64> {
        self.ends.lock().clone()
    }
}
