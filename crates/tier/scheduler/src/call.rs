//! A client's request, as the driver describes it.

use std::sync::Arc;

/// Identifier of one request of a client at this process. It is never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Whether a call is idempotent, and whether its response is a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Idempotent: may run more than once.
    Idempotent,
    /// Not idempotent: runs once at most.
    NonIdempotent,
    /// The response is a stream of events.
    Streaming {
        /// Whether the stream may be resumed at another replica, and the call may run more than once.
        resumable: bool,
    },
}

impl CallKind {
    /// Whether the call may be sent again after an attempt that may have run.
    pub fn may_run_again(self) -> bool {
        matches!(
            self,
            CallKind::Idempotent | CallKind::Streaming { resumable: true }
        )
    }

    /// Whether the response is a stream of events of a model.
    pub fn is_streaming(self) -> bool {
        matches!(self, CallKind::Streaming { .. })
    }
}

/// A service that may run a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: Arc<str>,
    /// Its weight among the services of the call. If all weights are 0, the first service is chosen.
    pub weight: u32,
}

/// A part of a prompt that other requests may share (`Prefix-Hash`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefixPart {
    /// Hash that identifies the part and everything before it.
    pub id: u64,
    /// Tokens of the part.
    pub tokens: u32,
}

/// One request of a client, as it arrived. Times are seconds from any origin.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// Identifier of the call.
    pub id: CallId,
    /// Name of the route that it matched.
    pub route: Arc<str>,
    /// Whether it is idempotent or a stream.
    pub kind: CallKind,
    /// Services that may run it; one is drawn by weight.
    pub services: Vec<WeightedService>,
    /// When it arrived.
    pub arrived_at: f64,
    /// The earliest of the client's deadline and the route's timeout.
    pub deadline: f64,
    /// Latency target: seconds from arrival within which a response (a stream's first event) has its full
    /// value.
    pub target_latency: f64,
    /// When the program should end (`Finish-Ms`).
    pub program_deadline: Option<f64>,
    /// Hash of the program's identifier.
    pub program: Option<u64>,
    /// Hash of the identifier of a conversation within the program.
    pub session: Option<u64>,
    /// Hash of the object that the request is about, if replicas are faster on objects that they have seen
    /// lately.
    pub affinity: Option<u64>,
    /// Parts of the prompt in order; empty if unknown.
    pub prefix: Vec<PrefixPart>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Limit on the tokens that it may generate.
    pub max_output_tokens: u32,
    /// Priority of the route; 0 is the highest.
    pub priority: u8,
    /// Limit on the replicas that bytes of the call may reach.
    pub max_replicas: u32,
}

impl Call {
    /// The parts of the prompt. If they are unknown, the prompt of a session counts as one part that grows.
    pub(crate) fn known_prefix(&self) -> Vec<PrefixPart> {
        match self.session {
            Some(id) if self.prefix.is_empty() => vec![PrefixPart {
                id,
                tokens: self.prompt_tokens,
            }],
            _ => self.prefix.clone(),
        }
    }
}
