//! Outcome of one attempt, and the load reported with it.

/// Outcome of one attempt of a call at one replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// A complete response was received, with any status except a 5xx of the replica.
    Answered,
    /// The replica itself answered with a 5xx status. The call has run.
    ReplicaError,
    /// The replica rejected the call and reported that it has not run it (`Not-Executed`).
    NotExecuted {
        /// `Retry-After` of the response in seconds; `None` if the response has none.
        retry_after: Option<f64>,
    },
    /// The response status was 421: a different replica has this address. The call has not run.
    Misdirected,
    /// No connection could be established, or no byte of the request was sent.
    Unreachable,
    /// The connection was closed before the response was complete.
    Broken {
        /// Whether any byte of the request was sent.
        sent: bool,
        /// Number of events that had been received.
        events: u32,
    },
    /// No response was received within the attempt's time-out. The call may have run.
    TimedOut,
    /// The driver did not send the attempt: all connections were in use, the replica was no longer listed, or the
    /// state of the request did not allow it.
    NeverSent,
}

impl Outcome {
    /// Whether the attempt is known not to have run and never to run later. If false, it may have run.
    pub fn has_not_run(self) -> bool {
        match self {
            Outcome::NotExecuted { .. } | Outcome::Misdirected => true,
            Outcome::Unreachable | Outcome::NeverSent | Outcome::Broken { sent: false, .. } => true,
            Outcome::Answered | Outcome::ReplicaError | Outcome::TimedOut => false,
            Outcome::Broken { sent: true, .. } => false,
        }
    }
}

/// What the driver does with a response that has started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub enum StartedResponse {
    /// Forward the response: the attempt is in flight.
    Forward,
    /// Drop the response: the attempt was aborted or has ended, and another may have been sent in its place.
    Discard,
}

/// Load of a replica, as reported with a response (`Server-Load`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLoad {
    /// Number of requests that the replica is processing.
    pub running: u32,
    /// Number of requests in the replica's queue.
    pub waiting: u32,
    /// Number of requests that the replica can process concurrently.
    pub slots: u32,
}
