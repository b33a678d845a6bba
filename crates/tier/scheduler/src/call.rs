//! A client's request, as the driver describes it.

use std::sync::Arc;

/// Identifier of one client request within this process; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Whether a call is idempotent, and whether its response is a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// The call may run more than once.
    Idempotent,
    /// The call may run at most once.
    NonIdempotent,
    /// The response is a stream of events.
    Streaming {
        /// Whether another replica may resume the stream. If so, the call may run more than once.
        resumable: bool,
    },
}

impl CallKind {
    /// Whether the call may be sent again although an earlier attempt may have run.
    pub fn may_run_again(self) -> bool {
        matches!(
            self,
            CallKind::Idempotent | CallKind::Streaming { resumable: true }
        )
    }

    /// Whether the response is a stream of events.
    pub fn is_streaming(self) -> bool {
        matches!(self, CallKind::Streaming { .. })
    }
}

/// A service that may run a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: Arc<str>,
    /// Weight of the service among those of the call. If all weights are 0, the first service is chosen.
    pub weight: u32,
}

/// A part of a prompt that other requests may share (`Prefix-Hash`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefixPart {
    /// Hash of the prompt up to and including this part.
    pub id: u64,
    /// Number of tokens in the part.
    pub tokens: u32,
}

/// One client request as received. Times are seconds on the driver's clock.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// Identifier of the call.
    pub id: CallId,
    /// Name of the route that the request matched.
    pub route: Arc<str>,
    /// Whether the call is idempotent, and whether its response is a stream.
    pub kind: CallKind,
    /// Services that may run the call; one is drawn at random by weight.
    pub services: Vec<WeightedService>,
    /// Time at which the request was received.
    pub arrived_at: f64,
    /// Earlier of the client's deadline and the end of the route's time-out.
    pub deadline: f64,
    /// Latency target of the response, or of a stream's first event, in seconds from arrival.
    pub target_latency: f64,
    /// Time at which the program should end (`Finish-Ms`); `None` if the client did not report it.
    pub program_deadline: Option<f64>,
    /// Hash of the program's identifier; `None` if the call belongs to no program.
    pub program: Option<u64>,
    /// Hash of the identifier of the conversation; `None` if the call belongs to none.
    pub session: Option<u64>,
    /// Hash of the object that the request is about, if replicas respond faster for recently used objects.
    pub affinity: Option<u64>,
    /// Parts of the prompt in order; empty if unknown.
    pub prefix: Vec<PrefixPart>,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Limit on the number of generated tokens.
    pub max_output_tokens: u32,
    /// Priority of the route; 0 is the highest.
    pub priority: u8,
    /// Limit on the number of replicas that may receive bytes of the call; 0 counts as 1.
    pub max_replicas: u32,
}

impl Call {
    /// Parts of the prompt. If they are unknown, the whole prompt of a session counts as one part, which grows with
    /// each call.
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
