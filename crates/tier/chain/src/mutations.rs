//! Defences that tests switch off, to show that the checker finds what they prevent. Never in a release
//! build.

use crate::requests::Reply;
use crate::state::{Rejection, Undecided, Verdict};

/// A safeguard that is switched off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// What must be synced first is said at once.
    AcknowledgeBeforeSync,
    /// Messages of the chain are taken whatever their epoch.
    NoEpochCheck,
    /// The digests of taken configurations are lost by a restart.
    DigestsForgotten,
    /// A member that hears a majority takes itself for in quorum, whoever hears it.
    QuorumByHearing,
    /// The committed state is asked for at members that do not hear this one, too.
    StateFromTheDeaf,
    /// A read is answered without a barrier.
    ReadWithoutBarrier,
    /// A change on a generation that isn't current yet is refused.
    RefusedFutureBase,
    /// A change that is too old to be remembered is refused.
    RefusedForgotten,
    /// A refusal leaves before what it is based on is committed and known to be the newest.
    RefusedBeforeCommit,
    /// A repeated change is acknowledged before its first copy is committed.
    RepeatBeforeCommit,
    /// A member that is being stopped ends at once.
    LeavesAtOnce,
    /// A member that is being stopped ends once a view without it is in force.
    LeavesWithTheView,
}

impl Mutation {
    /// The verdict that is given in the place of `verdict`.
    pub(crate) fn mutate_verdict(self, verdict: Verdict, current: u64) -> Verdict {
        let refused = Verdict::Rejected(Rejection::BaseMismatch { current });
        match (self, verdict) {
            (Mutation::RefusedFutureBase, Verdict::Undecided(Undecided::FutureBase { .. })) => {
                refused
            }
            (Mutation::RefusedForgotten, Verdict::Undecided(Undecided::Forgotten { .. })) => {
                refused
            }
            _ => verdict,
        }
    }

    /// The reply that leaves at once, although something has yet to be committed for it.
    pub(crate) fn premature_reply(self, verdict: Verdict) -> Option<Reply> {
        match (self, verdict) {
            (Mutation::RefusedBeforeCommit, Verdict::Rejected(rejection)) => {
                Some(Reply::Rejected(rejection))
            }
            (Mutation::RepeatBeforeCommit, Verdict::AlreadyTaken) => Some(Reply::AlreadyTaken),
            _ => None,
        }
    }
}
