//! Timing and limits of quota allocation.

/// Timing and limits of quota allocation. Times are in seconds of the member's own clock.
#[derive(Clone, Debug)]
pub struct QuotaConfig {
    /// Duration of a release, in addition to `window_s`, in seconds.
    pub release_duration_s: f64,
    /// Time without demand or sent parts after which a member releases its share, in seconds. For the reason why it
    /// exceeds `window_s`, see `docs/leases.md#what-would-change-our-mind`.
    pub idle_timeout_s: f64,
    /// Maximum validity of a grant, in seconds. It must be at least three times `report_interval_s`, so that a grant is
    /// renewed in time, and shorter than `release_duration_s` by the age of a beacon.
    /// Measurements: `docs/leases.md#grant-duration`.
    pub grant_duration_s: f64,
    /// Interval between two reports of a member to the allocators, in seconds.
    pub report_interval_s: f64,
    /// Validity of an allocator's beacon, in seconds.
    pub beacon_timeout_s: f64,
    /// Window of the slow-start rule, in seconds: a part counts against the replica's quota for this time after it was
    /// sent.
    pub window_s: f64,
    /// Time by which grants end before the releases that back them, in seconds, to tolerate clocks of different rates.
    pub clock_margin_s: f64,
    /// Limit on the number of replicas in the state table. For further replicas, members keep their even shares.
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
