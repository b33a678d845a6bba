//! Safeguards that tests switch off (mutation testing), to show that the checkers find the faults that they
//! prevent. Never in a release build.

use crate::requests::Reply;
use crate::state::{Rejection, Undecided, Verdict};

/// A safeguard that is switched off, described by the resulting behaviour.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// Messages that must wait for a sync are sent at once.
    AcknowledgeBeforeSync,
    /// Messages are handled whatever their epoch.
    NoEpochCheck,
    /// A restart loses the digests of applied configurations.
    DigestsForgotten,
    /// A member that hears a majority reports that it is in quorum, even if the majority does not hear it.
    QuorumByHearing,
    /// The committed state is requested also from members that do not hear this one.
    StateRequestWithoutContact,
    /// A read is answered without a barrier.
    ReadWithoutBarrier,
    /// A change on a generation that isn't in force yet is rejected.
    RejectedFutureBase,
    /// A change that is too old to be remembered is rejected.
    RejectedForgotten,
    /// A rejection leaves before the state that it is based on is committed and confirmed by a barrier.
    RejectedBeforeCommit,
    /// A duplicate of a change is acknowledged before the change is committed.
    DuplicateBeforeCommit,
    /// A member that is shutting down exits at once.
    LeavesAtOnce,
    /// A member that is shutting down exits once a view without it is installed.
    LeavesWithTheView,
}

impl Mutation {
    /// The verdict that replaces `verdict`. `current` is the generation in force.
    pub(crate) fn mutate_verdict(self, verdict: Verdict, current: u64) -> Verdict {
        let rejected = Verdict::Rejected(Rejection::BaseMismatch { current });
        match (self, verdict) {
            (Mutation::RejectedFutureBase, Verdict::Undecided(Undecided::FutureBase { .. })) => {
                rejected
            }
            (Mutation::RejectedForgotten, Verdict::Undecided(Undecided::Forgotten { .. })) => {
                rejected
            }
            _ => verdict,
        }
    }

    /// The reply that leaves at once, although it should wait for a commit.
    pub(crate) fn premature_reply(self, verdict: Verdict) -> Option<Reply> {
        match (self, verdict) {
            (Mutation::RejectedBeforeCommit, Verdict::Rejected(rejection)) => {
                Some(Reply::Rejected(rejection))
            }
            (Mutation::DuplicateBeforeCommit, Verdict::AlreadyApplied) => {
                Some(Reply::AlreadyCommitted)
            }
            _ => None,
        }
    }
}
