//! Whether a verdict may be about to change, so that reports must spread quickly.

use super::Zones;
use crate::part_counts::PartCounts;
use crate::verdict::Verdict;

/// Minimum number of other members whose observations must contradict the verdict on a zone. A single member may do so
/// by chance, and in a large tier there is always one; `docs/failover.md#reports-and-pushes` has the measured cost.
const MIN_CONTRADICTING_MEMBERS: usize = 2;
/// Minimum number of successful, or of failed, parts for an observation that contradicts a verdict.
const MIN_PARTS: u32 = 2;

impl Zones {
    /// Whether a verdict may be about to change: a verdict has just changed, or the observations of this member or of
    /// several others contradict a verdict.
    pub fn is_urgent(&self, now_s: f64) -> bool {
        let has_just_changed = |verdict: &Verdict| {
            verdict.epoch > 0 && now_s - verdict.since_s < 2.0 * self.config.dwell_s
        };
        if self.verdicts.iter().any(has_just_changed) {
            return true;
        }
        let own_parts = |zone: usize| self.observations[zone].parts();
        if !self.contradicted_zones(now_s, own_parts).is_empty() {
            return true;
        }
        let mut contradictions = vec![0; self.observations.len()];
        for report in self.reports.valid(now_s).filter(|r| r.member != self.id) {
            for zone in self.contradicted_zones(now_s, |zone| report.parts(zone)) {
                contradictions[zone] += 1;
            }
        }
        contradictions
            .iter()
            .any(|count| *count >= MIN_CONTRADICTING_MEMBERS)
    }

    /// Returns the zones whose verdicts are contradicted by these observations of one member. There are none if most
    /// zones fail for the member, since then the fault is more likely its own.
    fn contradicted_zones(&self, now_s: f64, parts: impl Fn(usize) -> PartCounts) -> Vec<usize> {
        let zone_count = self.verdicts.len();
        let failing = (0..zone_count).filter(|zone| parts(*zone).half_failed());
        if failing.count() * 2 > zone_count {
            return Vec::new();
        }
        let is_contradicted = |zone: &usize| {
            let (verdict, parts) = (&self.verdicts[*zone], parts(*zone));
            if verdict.is_ejected() {
                let is_healthy = parts.seen >= MIN_PARTS && parts.failed == 0;
                is_healthy && now_s - verdict.since_s > self.config.dwell_s
            } else {
                parts.failed >= MIN_PARTS && parts.half_failed()
            }
        };
        (0..zone_count).filter(is_contradicted).collect()
    }
}
