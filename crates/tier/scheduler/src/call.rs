//! What the driver tells of a client's request.

use std::sync::Arc;

/// Identity of one try of a client at this process; never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// What may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// May run more than once.
    Safe,
    /// Runs once at most.
    Unsafe,
    /// A stream of events; only a resumable one may run more than once.
    Streaming { resumable: bool },
}

impl CallKind {
    /// Whether the call may be sent again after it may have run.
    pub fn may_run_again(self) -> bool {
        matches!(
            self,
            CallKind::Safe | CallKind::Streaming { resumable: true }
        )
    }

    /// Whether the answer is a stream of events of a model.
    pub fn is_streaming(self) -> bool {
        matches!(self, CallKind::Streaming { .. })
    }
}

/// A part of a prompt that other requests may share (`Prefix-Hash`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefixPart {
    pub id: u64,
    pub tokens: u32,
}

/// One try of a client, as it arrived. Times are seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    pub id: CallId,
    /// Name of the route that it came by.
    pub route: Arc<str>,
    pub kind: CallKind,
    /// Services that may run it, with their weights.
    pub clusters: Vec<(Arc<str>, u32)>,
    pub arrived: f64,
    /// The earliest of the client's deadline and the route's timeout.
    pub give_up_at: f64,
    /// Seconds from arrival within which an answer (a stream's first event) earns its full worth.
    pub target_latency: f64,
    /// When the program should be over (`Finish-Ms`).
    pub finish_at: Option<f64>,
    pub program: Option<u64>,
    /// A line of turns of a program.
    pub session: Option<u64>,
    /// The object that the request is about, where replicas are faster on what they have seen lately.
    pub affinity: Option<u64>,
    /// Parts of the prompt in order; empty if unknown.
    pub prefix: Vec<PrefixPart>,
    /// Tokens of the prompt, and the most that it may generate.
    pub tokens_in: u32,
    pub tokens_out: u32,
    /// Rank of the route, 0 the highest.
    pub priority: u8,
    /// The largest number of replicas that this try may be sent to.
    pub max_replicas: u32,
}

impl Call {
    /// The parts of the prompt; where none are told, a session's prompt counts as one part that grows.
    pub(crate) fn known_prefix(&self) -> Vec<PrefixPart> {
        match self.session {
            Some(id) if self.prefix.is_empty() => vec![PrefixPart {
                id,
                tokens: self.tokens_in,
            }],
            _ => self.prefix.clone(),
        }
    }
}
