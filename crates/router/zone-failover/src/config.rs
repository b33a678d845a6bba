//! Thresholds and timing of failover between zones.

/// Thresholds and timing of failover between zones. Times are in seconds of the member's own clock.
#[derive(Clone, Debug)]
pub struct ZoneFailoverConfig {
    /// Validity of a report, in seconds. Must exceed twice `report_interval_s`.
    pub report_timeout_s: f64,
    /// Interval between two reports of a member while no verdict is about to change, in seconds.
    pub report_interval_s: f64,
    /// Interval between two reports of a member while a verdict may be about to change, in seconds.
    pub urgent_report_interval_s: f64,
    /// Limit on the number of reporters, the members whose reports count for verdicts. They are selected by a hash of
    /// their ids. Their reports fit into a few datagrams at any size of the tier. With three zones, some 21 of 32
    /// reporters are outside a given zone.
    pub max_reporters: usize,
    /// Minimum number of observed parts for the ejection of a zone. See `docs/failover.md#verdict-thresholds`.
    pub min_parts_to_eject: u32,
    /// Minimum fraction of failed parts for the ejection of a zone.
    pub failed_share_to_eject: f64,
    /// Maximum fraction of failed parts of a healthy zone. A zone is ejected only if more than half of the other
    /// serving zones are healthy. This prevents ejections that would worsen a general overload, and the ejection of all
    /// other zones by a partitioned one. The drawback: if two of three zones fail at once, none is ejected.
    pub max_failed_share_of_healthy_zone: f64,
    /// Minimum number of observed parts for the restoration of a zone. It is low because there are few probes.
    pub min_parts_to_restore: u32,
    /// Maximum fraction of failed parts for the restoration of a zone.
    pub max_failed_share_to_restore: f64,
    /// Dwell time: the minimum duration of a verdict, in seconds. For an ejected zone it doubles with each consecutive
    /// failover.
    pub dwell_s: f64,
    /// Limit on the count of consecutive failovers.
    pub max_consecutive_failovers: u8,
    /// Time after a restoration within which another ejection counts as a consecutive failover, in seconds.
    pub stable_after_s: f64,
    /// Number of dwell times without any observed part after which an ejected zone is restored without evidence.
    /// Without hedged requests there are no probes, so the zone would otherwise never be restored. The resulting time
    /// must exceed the interval between probes (4 s).
    pub unobserved_dwells: f64,
    /// Time from the restoration of a zone until it receives all of its normal traffic, in seconds.
    pub slow_start_duration_s: f64,
    /// Fraction of its normal traffic that a zone receives immediately after its restoration.
    pub initial_share: f64,
    /// Envoy's overprovisioning factor: all traffic remains in the local zone while its healthy fraction times this
    /// factor is at least 1.
    pub overprovisioning_factor: f64,
    /// Limit on the traffic of a zone's own co-ordinators to that zone, relative to the zone's share of total capacity.
    pub max_local_load: f64,
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
            max_failed_share_of_healthy_zone: 0.25,
            min_parts_to_restore: 4,
            max_failed_share_to_restore: 0.2,
            dwell_s: 1.0,
            max_consecutive_failovers: 5,
            stable_after_s: 20.0,
            unobserved_dwells: 6.0,
            slow_start_duration_s: 3.0,
            initial_share: 0.1,
            overprovisioning_factor: 1.4,
            max_local_load: 1.2,
        }
    }
}
