//! Defences that tests switch off, to show that the checker finds what they prevent. Never in a release
//! build.

/// A defence that is switched off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plant {
    /// What must be synced first is said at once.
    AcknowledgeBeforeSync,
    /// Messages of the chain are taken whatever their epoch.
    NoEpochCheck,
    /// The digests of taken configurations are lost by a restart.
    DigestsForgotten,
    /// A member that hears a majority takes itself for in quorum, whoever hears it.
    QuorumByHearing,
    /// A read is answered without a barrier.
    ReadWithoutBarrier,
}
