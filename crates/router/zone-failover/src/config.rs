//! Thresholds and timing of failover between zones.

/// Thresholds and timing of failover between zones. Times are in seconds of the member's own clock.
#[derive(Clone, Debug)]
pub struct ZoneFailoverConfig {
    /// How long a report is valid, in seconds. Must exceed two of `report_interval_s`.
    pub report_timeout_s: f64,
    /// Time between two reports of a member while nothing is about to change, in seconds.
    pub report_interval_s: f64,
    /// The same while a verdict may be about to change.
    pub urgent_report_interval_s: f64,
    /// Limit on the members whose reports decide, chosen by a hash of their ids. Their reports fit into a few datagrams
    /// whatever the size of the tier. Of 32, some 21 are outside one of three zones.
    pub max_reporters: usize,
    /// A zone is ejected only if at least this number of its parts was seen. Chosen in
    /// `docs/failover.md#verdict-thresholds`.
    pub min_parts_to_eject: u32,
    /// A zone is ejected only if at least this share of the parts seen has failed.
    pub failed_share_to_eject: f64,
    /// A zone is ejected only if more than half of the other zones that serve have at most this share of failed parts.
    /// It prevents that an overload everywhere is made worse, and that a partitioned zone ejects the others. The
    /// cost: when two of three zones fail at once, none is ejected.
    pub max_failed_share_of_sound_zone: f64,
    /// A zone is restored only if at least this number of its parts was seen. Probes are few.
    pub min_parts_to_restore: u32,
    /// A zone is restored only if at most this share of the parts seen has failed.
    pub max_failed_share_to_restore: f64,
    /// Minimum time that a verdict stays in force, in seconds. For an ejected zone it doubles with each consecutive failover.
    pub dwell_s: f64,
    /// Limit on the count of consecutive failovers.
    pub max_consecutive_failovers: u8,
    /// A zone that is ejected again within this time after its return has one more consecutive failover, in seconds.
    pub stable_after_s: f64,
    /// An ejected zone of which nothing was seen for this number of dwells is restored without evidence: without hedged
    /// requests no probes are sent, and no evidence for it would ever come. Must exceed the time between probes (4 s).
    pub unobserved_dwells: f64,
    /// Time from a zone's return until it has all of its traffic, in seconds.
    pub slow_start_duration_s: f64,
    /// The share of its traffic with which a zone returns.
    pub initial_share: f64,
    /// Envoy's overprovisioning factor: traffic stays near while the healthy share, multiplied by it, covers the
    /// traffic.
    pub overprovisioning_factor: f64,
    /// Limit on the traffic that a zone's own co-ordinators may put on it, as a multiple of its even share.
    pub max_crowding: f64,
}

impl Default for ZoneFailoverConfig {
    fn default() -> Self {
        ZoneFailoverConfig {
            report_timeout_s: 3.0,
            report_interval_s: 1.0,
            urgent_report_interval_s: 0.1,
            max_reporters: 32,
            min_parts_to_eject: 6,
            failed_share_to_eject: 0.75,
            max_failed_share_of_sound_zone: 0.25,
            min_parts_to_restore: 4,
            max_failed_share_to_restore: 0.2,
            dwell_s: 1.0,
            max_consecutive_failovers: 5,
            stable_after_s: 20.0,
            unobserved_dwells: 6.0,
            slow_start_duration_s: 3.0,
            initial_share: 0.1,
            overprovisioning_factor: 1.4,
            max_crowding: 1.2,
        }
    }
}
