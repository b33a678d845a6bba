//! How one attempt ended.

/// How the attempt of a call at one replica ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// The whole answer came, any status but a replica's own failure.
    Answered,
    /// The replica's own 5xx: it has run the call.
    ReplicaError,
    /// The replica promises that it did not run the call (`Not-Executed`); when it asked to come back, in
    /// seconds.
    NotExecuted { retry_after: Option<f64> },
    /// 421: another replica has this address. The call has not run.
    Misdirected,
    /// No connection came up, or none of the request's bytes left.
    Unreachable,
    /// The connection ended early: whether a byte of the request had left, and how many events had come.
    Broken { sent: bool, events: u32 },
    /// No answer within the attempt's timeout; it may have run.
    TimedOut,
    /// The driver did not send it, for a reason of its own.
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

/// What a replica tells of itself with an answer (`Server-Load`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLoad {
    pub running: u32,
    pub waiting: u32,
    pub slots: u32,
}
