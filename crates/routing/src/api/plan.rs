//! What a caller has to carry out.

use super::{AttemptId, Change, PartId, ReplicaId, SearchId, Seconds, ZoneId};
use std::fmt;

/// The reply to a search, or to its first step.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reply {
    /// An answer from the parts that have come.
    Answered {
        /// Whether no part that counts is missing.
        complete: bool,
    },
    /// Rejected: asking again is harmless, since nothing has run or what ran may run again.
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

/// A change for the log, which the `Display` text words.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Note {
    /// The health of a replica has changed.
    Replica {
        /// The replica.
        replica: ReplicaId,
        /// The change.
        change: Change,
    },
    /// The health of a zone has changed, by this co-ordinator's own calls.
    Zone {
        /// The zone.
        zone: ZoneId,
        /// The change.
        change: Change,
    },
    /// The fleet has become overloaded.
    OverloadBegan,
    /// The fleet is no longer overloaded.
    OverloadEnded,
}

impl fmt::Display for Note {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Note::Replica { replica, change } => {
                write!(f, "replica {} {}", replica.0, change.as_str())
            }
            Note::Zone { zone, change } => {
                write!(f, "zone {} {} by own calls", zone.0, change.as_str())
            }
            Note::OverloadBegan => f.write_str("overload began"),
            Note::OverloadEnded => f.write_str("overload ended"),
        }
    }
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
    /// What the log has to say.
    pub notes: Vec<Note>,
}
