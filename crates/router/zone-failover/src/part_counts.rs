//! What was seen of a zone.

/// Parts of searches that were sent to a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PartCounts {
    /// Parts that have ended or are overdue.
    pub seen: u32,
    /// Those of `seen` that were late, failed or unanswered.
    pub failed: u32,
}

impl PartCounts {
    pub(crate) fn add(&mut self, other: PartCounts) {
        self.seen += other.seen;
        self.failed += other.failed;
    }

    /// Whether at least half of the parts have failed. Of no parts none has.
    pub(crate) fn half_failed(self) -> bool {
        self.seen > 0 && self.failed * 2 >= self.seen
    }

    /// Whether at most this share of the parts has failed.
    pub(crate) fn failed_share_is_at_most(self, share: f64) -> bool {
        f64::from(self.failed) <= share * f64::from(self.seen)
    }

    /// Whether at least this share of the parts has failed.
    pub(crate) fn failed_share_is_at_least(self, share: f64) -> bool {
        f64::from(self.failed) >= share * f64::from(self.seen)
    }
}

/// What this co-ordinator itself has lately seen of one zone.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneObservation {
    /// Parts that have ended or are overdue.
    pub seen: u32,
    /// Those of `seen` that were late, failed or unanswered.
    pub failed: u32,
    /// Capacity of the zone's replicas that are open by the endpoint list, in replicas. Those that are warming up count
    /// for less than one.
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
