//! Counters of leases.

/// Counters since the start of the process.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LeaseCounters {
    /// Actions of other members that were rejected because a later token had been seen.
    pub stale_tokens: u64,
    /// Jumps of this member's clock: backwards at any time, or forwards while a grant was valid.
    pub clock_jumps: u64,
    /// Leases acquired.
    pub acquired: u64,
    /// Leases expired or released.
    pub lost: u64,
}
