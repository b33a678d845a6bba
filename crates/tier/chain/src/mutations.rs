//! Mutation testing: tests disable one safeguard at a time, to show that the checkers detect the resulting
//! fault. Not available in release builds.

use crate::requests::Reply;
use crate::state::{Rejection, Undecided, Verdict};

/// A disabled safeguard, described by the resulting behaviour.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// Messages that must be sent only after a sync are sent at once.
    AcknowledgeBeforeSync,
    /// Messages of any epoch are handled.
    NoEpochCheck,
    /// A restart loses the digests of applied configurations.
    DigestsForgotten,
    /// A member that receives messages from a majority reports that it is in quorum, even if the majority does
    /// not receive its messages.
    QuorumByHearing,
    /// The committed state is also requested from members that do not receive this member's messages.
    StateRequestWithoutContact,
    /// A read is answered without a barrier.
    ReadWithoutBarrier,
    /// A change whose base is above the current generation is rejected instead of left undecided.
    RejectedFutureBase,
    /// A change that is older than every retained digest is rejected instead of left undecided.
    RejectedForgotten,
    /// A rejection is sent before the state on which it is based is committed and confirmed by a barrier.
    RejectedBeforeCommit,
    /// A duplicate of a change is acknowledged before the change is committed.
    DuplicateBeforeCommit,
    /// A member that is shutting down exits at once.
    LeavesAtOnce,
    /// A member that is shutting down exits once a view without it is installed.
    LeavesWithTheView,
}

impl Mutation {
    /// The verdict that replaces `verdict`. `current` is the generation of the current configuration.
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

    /// The reply that is sent at once although it requires a commit; `None` if the mutation does not concern
    /// `verdict`.
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
