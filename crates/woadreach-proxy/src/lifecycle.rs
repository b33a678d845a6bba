//! From start to exit: readiness, and the order of a planned stop.

use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::sync::watch;

/// How far a planned stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Requests are served.
    Serving,
    /// SIGTERM has come: not ready any more, requests are served, answers close their connections.
    Leaving,
    /// The platform has noticed: idle connections are closed.
    Closing,
}

/// The phase of this process and the requests in its hands.
pub struct Lifecycle {
    phase: watch::Sender<Phase>,
    requests: AtomicUsize,
}

impl Default for Lifecycle {
    fn default() -> Self {
        Lifecycle { phase: watch::Sender::new(Phase::Serving), requests: AtomicUsize::new(0) }
    }
}

impl Lifecycle {
    /// The phase now.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Tells of each change of phase.
    pub fn changes(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Enters a later phase.
    pub fn enter(&self, phase: Phase) {
        self.phase.send_if_modified(|current| {
            let later = phase > *current;
            if later {
                *current = phase;
            }
            later
        });
    }

    /// Notes a request that is being read or answered.
    pub fn request_began(&self) {
        self.requests.fetch_add(1, Ordering::Relaxed);
    }

    /// Notes that a request's answer has been handed to its connection, or its connection has ended.
    pub fn request_ended(&self) {
        self.requests.fetch_sub(1, Ordering::Relaxed);
    }

    /// Requests being read or answered.
    pub fn requests(&self) -> usize {
        self.requests.load(Ordering::Relaxed)
    }
}
