//! A queue of scheduled events.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// An event that was removed from an [`EventQueue`].
#[derive(Debug)]
pub struct Scheduled<Time, Event> {
    /// Time at which the event is due.
    pub at: Time,
    /// The scheduled event.
    pub event: Event,
    order: u64,
}

/// A queue of events, ordered by time. Events with equal times are ordered as they were scheduled, so that a run
/// depends only on its seed.
#[derive(Debug)]
pub struct EventQueue<Time, Event> {
    events: BinaryHeap<Reverse<Scheduled<Time, Event>>>,
    next_order: u64,
}

impl<Time: Ord, Event> EventQueue<Time, Event> {
    /// Returns an empty queue.
    pub fn new() -> Self {
        Self {
            events: BinaryHeap::new(),
            next_order: 0,
        }
    }

    /// Adds an event that is due at time `at`, after the events that are already scheduled for that time.
    pub fn schedule(&mut self, at: Time, event: Event) {
        let order = self.next_order;
        self.next_order += 1;
        self.events.push(Reverse(Scheduled { at, event, order }));
    }

    /// Adds a removed event again for a later time. It is ordered among the events of that time by when it was first
    /// scheduled.
    pub fn postpone(&mut self, scheduled: Scheduled<Time, Event>, at: Time) {
        self.events.push(Reverse(Scheduled { at, ..scheduled }));
    }

    /// Time of the next event; `None` if the queue is empty.
    pub fn next_time(&self) -> Option<&Time> {
        self.events.peek().map(|Reverse(next)| &next.at)
    }

    /// Removes and returns the next event.
    pub fn pop(&mut self) -> Option<Scheduled<Time, Event>> {
        self.events.pop().map(|Reverse(next)| next)
    }

    /// Removes and returns the next event if it is due at `until` or before.
    pub fn pop_due(&mut self, until: &Time) -> Option<Scheduled<Time, Event>> {
        if self.next_time()? <= until {
            self.pop()
        } else {
            None
        }
    }
}

impl<Time: Ord, Event> Default for EventQueue<Time, Event> {
    fn default() -> Self {
        Self::new()
    }
}

impl<Time: Ord, Event> PartialEq for Scheduled<Time, Event> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl<Time: Ord, Event> Eq for Scheduled<Time, Event> {}

impl<Time: Ord, Event> PartialOrd for Scheduled<Time, Event> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<Time: Ord, Event> Ord for Scheduled<Time, Event> {
    fn cmp(&self, other: &Self) -> Ordering {
        (&self.at, self.order).cmp(&(&other.at, other.order))
    }
}
