//! From start to exit: readiness, and the order of a planned stop.

use std::sync::OnceLock;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::sync::watch;
use tokio::time::Instant;

/// How far a planned stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Requests are served.
    Serving,
    /// SIGTERM has come: not ready any more, requests are served, answers close their connections.
    Leaving,
    /// The platform has noticed: idle connections are closed, and a request is taken only if its answer is
    /// due before the process ends.
    Closing,
}

/// The phase of this process and the requests in its hands.
pub struct Lifecycle {
    phase: watch::Sender<Phase>,
    requests: AtomicUsize,
    end: OnceLock<Instant>,
}

impl Default for Lifecycle {
    fn default() -> Self {
        Lifecycle {
            phase: watch::Sender::new(Phase::Serving),
            requests: AtomicUsize::new(0),
            end: OnceLock::new(),
        }
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

    /// Notes when the process ends, whatever is left then. Only the first time counts.
    pub fn plan_end(&self, end: Instant) {
        let _ = self.end.set(end);
    }

    /// Whether a request that is given up at `give_up` may be taken.
    ///
    /// Where less than half of a zone's edges are ready, the platform passes connections to those that are
    /// leaving as well, until they end: a request whose answer may be due later than that would be cut off.
    pub fn takes_request(&self, give_up: Instant) -> bool {
        match (self.phase(), self.end.get()) {
            (Phase::Closing, Some(&end)) => give_up <= end,
            _ => true,
        }
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
