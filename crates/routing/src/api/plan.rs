//! The actions that a caller has to carry out.

use super::{AttemptId, HealthChange, PartId, ReplicaId, SearchId, Seconds, ZoneId};
use std::fmt;

/// Reply to a search, or result of its first step.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reply {
    /// An answer from the parts that were answered.
    Answered {
        /// Whether the answered parts make the answer complete; false after an incomplete first step.
        complete: bool,
    },
    /// The search was rejected, and the client may retry it: nothing has run, or what ran may run again.
    Shed {
        /// Advised wait before the client's retry; 0 for no advice.
        retry_after: Seconds,
    },
    /// The search failed, and a retry by the client might take effect twice.
    Errored,
}

/// An attempt to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// Part to be sent.
    pub part: PartId,
    /// Replica that the part is sent to.
    pub replica: ReplicaId,
    /// Timeout of the attempt, from now.
    pub timeout: Seconds,
    /// Latest time at which sending may start; infinite if there is no limit.
    pub begin_by: Seconds,
}

/// An event to be logged, with its `Display` text as the log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// The health of a replica has changed.
    Replica {
        /// Replica whose health has changed.
        replica: ReplicaId,
        /// Kind of change.
        change: HealthChange,
    },
    /// The health of a zone, as judged by this co-ordinator's own calls, has changed.
    Zone {
        /// Zone whose health has changed.
        zone: ZoneId,
        /// Kind of change.
        change: HealthChange,
    },
    /// The fleet has become overloaded.
    OverloadBegan,
    /// The fleet is no longer overloaded.
    OverloadEnded,
}

impl fmt::Display for LogEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LogEvent::Replica { replica, change } => {
                write!(f, "replica {} {}", replica.0, change.as_str())
            }
            LogEvent::Zone { zone, change } => {
                write!(f, "zone {} {} by own calls", zone.0, change.as_str())
            }
            LogEvent::OverloadBegan => f.write_str("overload began"),
            LogEvent::OverloadEnded => f.write_str("overload ended"),
        }
    }
}

/// Actions to be carried out now, in this order: cancel, send, reply, then call `Balancer::place` for each search in
/// `reconsider`.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Attempts to be cancelled.
    pub cancel: Vec<AttemptId>,
    /// Attempts to be sent.
    pub send: Vec<Placement>,
    /// Reply to the search; `None` if it is not due yet.
    pub reply: Option<Reply>,
    /// Searches with queued parts that can perhaps be sent now.
    pub reconsider: Vec<SearchId>,
    /// Events to be logged.
    pub log_events: Vec<LogEvent>,
}
