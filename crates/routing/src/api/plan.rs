//! What a caller has to carry out.

use super::{AttemptId, PartId, ReplicaId, SearchId, Seconds};

/// The reply to a search, or to its first step.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reply {
    /// An answer from the parts that have come.
    Answered {
        /// Whether no part that counts is missing.
        complete: bool,
    },
    /// Rejected before anything ran: asking again is harmless.
    Shed {
        /// Advised wait before the next attempt; 0 for no advice.
        retry_after: Seconds,
    },
    /// Neither an answer nor proof that asking again is harmless.
    Errored,
}

/// An attempt to be made.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// The part.
    pub part: PartId,
    /// The replica that it is sent to.
    pub replica: ReplicaId,
    /// How long it may run.
    pub timeout: Seconds,
    /// Latest time at which it may begin to leave; infinite if there is none.
    pub begin_by: Seconds,
}

/// What to do now, in this order: cancel, send, reply, then ask again about the searches named.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Attempts to be cancelled.
    pub cancel: Vec<AttemptId>,
    /// Attempts to be made.
    pub send: Vec<Placement>,
    /// The reply, if it is due.
    pub reply: Option<Reply>,
    /// Searches that may have become able to send: the caller asks for their plans next.
    pub reconsider: Vec<SearchId>,
    /// Messages for the log.
    pub notes: Vec<String>,
}
