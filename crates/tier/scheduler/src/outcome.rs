//! Outcome of one attempt.

/// How the attempt of a call at one replica ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// The complete response arrived, with any status except a replica's own error.
    Answered,
    /// The replica answered 5xx itself: it has run the call.
    ReplicaError,
    /// The replica reported that it has not run the call (`Not-Executed`).
    NotExecuted {
        /// Its `Retry-After` in seconds, if it sent one.
        retry_after: Option<f64>,
    },
    /// 421: another replica has this address. The call has not run.
    Misdirected,
    /// No connection could be established, or no byte of the request was sent.
    Unreachable,
    /// The connection was closed before the response was complete.
    Broken {
        /// Whether any byte of the request was sent.
        sent: bool,
        /// Number of events that had arrived.
        events: u32,
    },
    /// No response within the attempt's time-out. It may have run.
    TimedOut,
    /// The driver made no attempt: all connections are in use, the replica is no longer listed, or the request's
    /// state forbids it.
    NeverSent,
}

impl Outcome {
    /// Whether the attempt is known not to have run, and never to run later.
    pub fn has_not_run(self) -> bool {
        match self {
            Outcome::NotExecuted { .. } | Outcome::Misdirected => true,
            Outcome::Unreachable | Outcome::NeverSent | Outcome::Broken { sent: false, .. } => true,
            Outcome::Answered | Outcome::ReplicaError | Outcome::TimedOut => false,
            Outcome::Broken { sent: true, .. } => false,
        }
    }
}

/// Load that a replica reports with a response (`Server-Load`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLoad {
    /// Requests that it is processing.
    pub running: u32,
    /// Requests in its queue.
    pub waiting: u32,
    /// Requests that it can process concurrently.
    pub slots: u32,
}
