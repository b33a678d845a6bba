//! Counters of leases.

/// Counters since the start of the process.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LeaseCounters {
    /// Actions of other members that were rejected since a later token had been seen.
    pub stale_tokens: u64,
    /// How often this member's clock went back, or jumped ahead while a grant was valid.
    pub clock_jumps: u64,
    /// Leases acquired.
    pub acquired: u64,
    /// Leases expired or released.
    pub lost: u64,
}
