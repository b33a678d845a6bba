//! Timing and limits of quota allocation.

/// Timing and limits of quota allocation. Times are in seconds of the member's own clock.
#[derive(Clone, Debug)]
pub struct QuotaConfig {
    /// For how long a share is released, beyond `window_s`, in seconds.
    pub release_duration_s: f64,
    /// A member that has neither demanded nor sent anything for this time, in seconds, releases its share. Why it
    /// exceeds `window_s`: `docs/leases.md#what-would-change-our-mind`.
    pub idle_timeout_s: f64,
    /// For how long a grant is valid, in seconds. It must be at least three of `report_interval_s`, so that a grant is
    /// renewed in time, and shorter than `release_duration_s` by the age of a beacon.
    /// Measurements: `docs/leases.md#grant-duration`.
    pub grant_duration_s: f64,
    /// Time between two reports of a member to the allocators, in seconds.
    pub report_interval_s: f64,
    /// For how long an allocator's beacon is valid, in seconds.
    pub beacon_timeout_s: f64,
    /// Window of the slow-start rule, in seconds: how long a sent part counts against the replica's quota.
    pub window_s: f64,
    /// How much sooner than a release a grant of it ends, in seconds, for clocks whose rates differ.
    pub clock_margin_s: f64,
    /// Limit on the replicas in the state table. Further ones have their even shares.
    pub max_replicas: usize,
}

impl Default for QuotaConfig {
    fn default() -> Self {
        QuotaConfig {
            release_duration_s: 4.0,
            idle_timeout_s: 4.0,
            grant_duration_s: 1.5,
            report_interval_s: 0.5,
            beacon_timeout_s: 2.0,
            window_s: 2.0,
            clock_margin_s: 0.1,
            max_replicas: 256,
        }
    }
}
