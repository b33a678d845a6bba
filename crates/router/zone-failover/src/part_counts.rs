//! Counts of the parts that were sent to a zone, and of their failures.

/// Counts of the parts of searches that were sent to a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PartCounts {
    /// Number of parts that have finished or are overdue.
    pub seen: u32,
    /// Number of parts among `seen` that were late, failed or unanswered.
    pub failed: u32,
}

impl PartCounts {
    pub(crate) fn add(&mut self, other: PartCounts) {
        self.seen += other.seen;
        self.failed += other.failed;
    }

    /// Whether at least half of the parts have failed; `false` without any parts.
    pub(crate) fn half_failed(self) -> bool {
        self.seen > 0 && self.failed * 2 >= self.seen
    }

    /// Whether the fraction of failed parts is at most `share`.
    pub(crate) fn failed_share_is_at_most(self, share: f64) -> bool {
        f64::from(self.failed) <= share * f64::from(self.seen)
    }

    /// Whether the fraction of failed parts is at least `share`.
    pub(crate) fn failed_share_is_at_least(self, share: f64) -> bool {
        f64::from(self.failed) >= share * f64::from(self.seen)
    }
}

/// This co-ordinator's own recent observations of one zone.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneObservation {
    /// Number of parts that have finished or are overdue.
    pub seen: u32,
    /// Number of parts among `seen` that were late, failed or unanswered.
    pub failed: u32,
    /// Total capacity of the zone's replicas that are open in the endpoint list, in replicas. A replica that is warming
    /// up counts for less than one.
    pub capacity: f64,
}

impl ZoneObservation {
    pub(crate) fn parts(&self) -> PartCounts {
        PartCounts {
            seen: self.seen,
            failed: self.failed,
        }
    }
}
