//! Injected bugs, each of which the simulation must find.

/// Bug injected into the storage tier under test.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Mutation {
    /// The unchanged code.
    None,
    /// Disks acknowledge a sync that they did not perform.
    EndBeforeSync,
    /// Quorum sizes are computed for one tolerated loss fewer than configured.
    OneReplicaTooFew,
    /// A reservation is acknowledged before it is synced.
    ReservationInMemory,
    /// The core ends a joint epoch before the next members have pulled.
    JointEpochEndsEarly,
    /// A machine whose disk was wiped keeps its disk identity.
    WipedMachineCounts,
    /// A machine accepts requests of older epochs.
    Unfenced,
    /// A process that is asked to stop exits without waiting until its disk is no longer needed by the others.
    ExitsAtOnce,
    /// A machine acknowledges a turn although it lacks turns that this one continues.
    ChainNotRequired,
    /// A proxy grants a reservation that fits after the first round.
    OneReservationRound,
}
