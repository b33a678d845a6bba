//! Timers of the core task, earliest first.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use woadreach_routing::api::{AttemptId, SearchId};

/// What is due at a time.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// The routing decisions want to be asked about a search.
    Search(SearchId),
    /// A final answer leaves that waited for the search's last attempt to be read.
    Answer(SearchId),
    /// An attempt's time is over.
    AttemptTimeout(AttemptId),
    /// An attempt that has not begun to leave by now may not leave any more.
    AttemptBeginBy(AttemptId),
    /// Connections that have been idle for too long are closed.
    IdleSweep,
    /// Observations of zones are due to the peers.
    Observation,
    /// The report of what is in memory is due.
    UsageReport,
}

/// Microseconds since the queue's start: whole numbers, so that timers have an order.
type DueMicros = u64;

/// A timer that has become due.
pub(super) struct DueTimer {
    /// When it was due, in Unix seconds.
    pub(super) due: f64,
    pub(super) timer: Timer,
}

/// Timers ordered by the time at which they are due.
pub(super) struct TimerQueue {
    /// In Unix seconds.
    start: f64,
    heap: BinaryHeap<Reverse<(DueMicros, Timer)>>,
}

impl TimerQueue {
    /// An empty queue whose times count from `start`, in Unix seconds.
    pub(super) fn new(start: f64) -> Self {
        TimerQueue {
            start,
            heap: BinaryHeap::new(),
        }
    }

    /// The time from which the queue counts, in Unix seconds.
    pub(super) fn start(&self) -> f64 {
        self.start
    }

    /// Adds a timer that is due at `time`, rounded up to the next microsecond.
    pub(super) fn insert(&mut self, time: f64, timer: Timer) {
        let due = ((time - self.start).max(0.0) * 1e6).ceil() as DueMicros;
        self.heap.push(Reverse((due, timer)));
    }

    /// When the earliest timer is due, in Unix seconds.
    pub(super) fn next_due(&self) -> Option<f64> {
        self.heap
            .peek()
            .map(|Reverse((due, _))| self.start + *due as f64 / 1e6)
    }

    /// Removes the earliest timer if it is due by `now`.
    pub(super) fn pop_due(&mut self, now: f64) -> Option<DueTimer> {
        let due = self.next_due().filter(|due| *due <= now)?;
        let Reverse((_, timer)) = self.heap.pop()?;
        Some(DueTimer { due, timer })
    }

    /// Number of timers, including those that a later one has replaced.
    pub(super) fn len(&self) -> usize {
        self.heap.len()
    }
}
