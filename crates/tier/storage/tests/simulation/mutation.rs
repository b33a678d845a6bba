//! Injected bugs, each of which the simulation must find.

/// A bug that is put into the tier under test.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Mutation {
    /// The unchanged code.
    None,
    /// Disks report a sync that they have not made.
    EndBeforeSync,
    /// Quorums are those of one tolerated loss fewer.
    OneReplicaTooFew,
    /// A reservation is acknowledged before it is synced.
    ReservationInMemory,
    /// The core ends a joint epoch before the next members have pulled.
    JointEpochEndsEarly,
    /// A machine whose disk was wiped keeps its disk identity.
    WipedMachineCounts,
    /// A machine takes requests of older epochs.
    Unfenced,
    /// A process that is asked to stop exits without waiting until the others do without its disk.
    ExitsAtOnce,
}
