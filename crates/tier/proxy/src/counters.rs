//! Counters of this process; the state line has `ends` and `unread_hints` only.

use crate::request::state::RequestEnd;
use parking_lot::Mutex;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};

/// Counters since the process started.
#[derive(Debug, Default)]
pub struct Counters {
    request_ends: Mutex<BTreeMap<RequestEnd, u64>>,
    /// Requests rejected as malformed, too long, too slow or too early.
    pub rejected: AtomicU64,
    /// Hints (`Prefix-Hash`, `Affinity-Key`) that could not be read.
    pub unread_hints: AtomicU64,
    /// Requests that no route matched.
    pub unrouted: AtomicU64,
    /// Client connections accepted.
    pub connections: AtomicU64,
    /// Client connections closed at once because the maximum was open and none was idle.
    pub shed_connections: AtomicU64,
}

impl Counters {
    /// Counts the end of a request.
    pub fn count(&self, end: RequestEnd) {
        *self.request_ends.lock().entry(end).or_default() += 1;
    }

    /// Adds one to a counter.
    pub fn add(counter: &AtomicU64) {
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Number of requests by how they ended.
    pub fn request_ends(&self) -> BTreeMap<RequestEnd, u64> {
        self.request_ends.lock().clone()
    }
}
