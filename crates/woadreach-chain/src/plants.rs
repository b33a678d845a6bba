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
    /// A member that is being stopped ends at once.
    LeavesAtOnce,
    /// A member that is being stopped ends once a view without it is in force.
    LeavesWithTheView,
}
