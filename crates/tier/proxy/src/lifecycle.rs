//! Phases of the process from start to exit, and its requests in flight.

use parking_lot::Mutex;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::time::Instant;

/// How far a graceful shutdown has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Requests are served.
    #[default]
    Serving,
    /// SIGTERM has arrived: readiness is 503, requests are served, responses close their connections.
    Draining,
    /// The platform has noticed: idle connections are closed, and a request is accepted only if its deadline is
    /// before the process's end.
    Closing,
}

/// The phase of this process and the number of its requests in flight.
#[derive(Default)]
pub struct Lifecycle {
    /// Never goes back to an earlier phase.
    phase: Mutex<Phase>,
    requests_in_flight: AtomicUsize,
    /// When the process ends at the latest; set when the shutdown starts.
    shutdown_deadline: OnceLock<Instant>,
}

impl Lifecycle {
    /// The current phase.
    pub fn phase(&self) -> Phase {
        *self.phase.lock()
    }

    /// Enters `phase` if it is a later one.
    pub fn enter(&self, phase: Phase) {
        let mut current = self.phase.lock();
        *current = phase.max(*current);
    }

    /// Sets when the process ends, whatever is in flight then. Only the first call counts.
    pub fn set_shutdown_deadline(&self, deadline: Instant) {
        let _ = self.shutdown_deadline.set(deadline);
    }

    /// Whether a request with this deadline may be accepted.
    ///
    /// Where less than half of a zone's edges are ready, the platform opens connections to draining ones as well,
    /// until they end: a request with a later deadline could be interrupted.
    pub fn accepts_request(&self, request_deadline: Instant) -> bool {
        match (self.phase(), self.shutdown_deadline.get()) {
            (Phase::Closing, Some(&shutdown_deadline)) => request_deadline <= shutdown_deadline,
            _ => true,
        }
    }

    /// Counts a request whose head has been read.
    pub fn request_started(&self) {
        self.requests_in_flight.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts off a request whose response has been handed to its connection, or whose connection has closed.
    pub fn request_finished(&self) {
        self.requests_in_flight.fetch_sub(1, Ordering::Relaxed);
    }

    /// Number of requests being read or answered.
    pub fn requests_in_flight(&self) -> usize {
        self.requests_in_flight.load(Ordering::Relaxed)
    }
}
