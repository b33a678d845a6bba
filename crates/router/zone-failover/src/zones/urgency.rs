//! Whether a verdict may be about to change, so that reports should spread fast.

use super::Zones;
use crate::part_counts::PartCounts;
use crate::verdict::Verdict;

/// Number of members other than this one that must see a zone contrary to its verdict. One alone may do so by chance,
/// and in a large tier there is always one; `docs/failover.md#reports-and-pushes` has the measured cost.
const MIN_DISSENTERS: usize = 2;
/// Parts that a member must have seen succeed, or fail, to see a zone contrary to its verdict.
const MIN_PARTS: u32 = 2;

impl Zones {
    /// Whether a verdict may be about to change: one has just changed, this member sees a zone contrary to its verdict,
    /// or several others do.
    pub fn is_urgent(&self, now_s: f64) -> bool {
        let has_just_changed = |verdict: &Verdict| {
            verdict.epoch > 0 && now_s - verdict.since_s < 2.0 * self.config.dwell_s
        };
        if self.verdicts.iter().any(has_just_changed) {
            return true;
        }
        let own_parts = |zone: usize| self.observations[zone].parts();
        if !self.zones_seen_contrary(now_s, own_parts).is_empty() {
            return true;
        }
        let mut dissenters = vec![0; self.observations.len()];
        for report in self.reports.valid(now_s).filter(|r| r.member != self.id) {
            for zone in self.zones_seen_contrary(now_s, |zone| report.parts(zone)) {
                dissenters[zone] += 1;
            }
        }
        dissenters.iter().any(|count| *count >= MIN_DISSENTERS)
    }

    /// The zones that a member with these observations sees contrary to their verdicts. None if it sees most zones
    /// fail, since the fault is then more likely its own.
    fn zones_seen_contrary(&self, now_s: f64, parts: impl Fn(usize) -> PartCounts) -> Vec<usize> {
        let zone_count = self.verdicts.len();
        let failing = (0..zone_count).filter(|zone| parts(*zone).half_failed());
        if failing.count() * 2 > zone_count {
            return Vec::new();
        }
        let is_contrary = |zone: &usize| {
            let (verdict, parts) = (&self.verdicts[*zone], parts(*zone));
            if verdict.is_ejected() {
                let is_sound = parts.seen >= MIN_PARTS && parts.failed == 0;
                is_sound && now_s - verdict.since_s > self.config.dwell_s
            } else {
                parts.failed >= MIN_PARTS && parts.half_failed()
            }
        };
        (0..zone_count).filter(is_contrary).collect()
    }
}
