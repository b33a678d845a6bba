//! What all reports together say of a zone.

use crate::config::ZoneFailoverConfig;
use crate::gossip::Report;
use crate::part_counts::PartCounts;
use crate::reporters::Reporters;

/// What all reports together say of a zone.
///
/// It pools the reports of members outside the zone, and of those inside that see other zones as sound, for whom it is
/// not their own network that has failed. The latter are needed since members outside see next to nothing of a zone
/// while traffic stays near; `docs/failover.md#verdict-thresholds` has the measured times. A quorum of the members
/// outside is required all the same, and what they see counts against those inside.
#[derive(Debug, Default)]
pub(crate) struct Evidence {
    /// Reporters outside the zone.
    outside: usize,
    /// Those of `outside` whose reports are valid.
    heard: usize,
    /// Pooled parts of the zone.
    pub(crate) parts: PartCounts,
    /// Reporters that have seen any part of the zone.
    observers: usize,
    /// Those of `observers` that have seen at least half of their parts fail.
    against: usize,
    /// Whether more than half of the other zones that serve are sound.
    pub(crate) others_are_sound: bool,
}

impl Evidence {
    /// Pools the valid reports on a zone. `serving` are the other zones that serve.
    pub(crate) fn collect<'a>(
        zone: usize,
        zone_count: usize,
        serving: &[usize],
        reports: impl Iterator<Item = &'a Report>,
        reporters: &Reporters,
        config: &ZoneFailoverConfig,
    ) -> Evidence {
        let is_sound = |parts: PartCounts| {
            parts.failed_share_is_at_most(config.max_failed_share_of_sound_zone)
        };
        let mut evidence = Evidence {
            outside: reporters.count_outside(zone),
            ..Evidence::default()
        };
        let mut totals = vec![PartCounts::default(); zone_count];
        for report in reports {
            let Some(reporter_zone) = reporters.zone_of(report.member) else {
                continue;
            };
            let is_outside = reporter_zone != zone;
            evidence.heard += usize::from(is_outside);
            let parts = report.parts(zone);
            let sees_sound_zone = serving.iter().any(|other| {
                let parts = report.parts(*other);
                parts.seen > 0 && is_sound(parts)
            });
            // Success inside the zone is no evidence: it says nothing of the network to the zone.
            let counts = is_outside || sees_sound_zone && parts.half_failed();
            if !counts {
                continue;
            }
            evidence.parts.add(parts);
            evidence.observers += usize::from(parts.seen > 0);
            evidence.against += usize::from(parts.half_failed());
            for (other, total) in totals.iter_mut().enumerate() {
                total.add(report.parts(other));
            }
        }
        let sound_zones = serving.iter().filter(|other| is_sound(totals[**other]));
        evidence.others_are_sound = sound_zones.count() * 2 > serving.len();
        evidence
    }

    /// Whether reports of more than half of the reporters outside the zone are valid.
    pub(crate) fn has_quorum(&self) -> bool {
        self.heard * 2 > self.outside && self.outside >= 2
    }

    /// Whether more than two thirds of the observers are against the zone, and at least two, where reporters outside
    /// that were not heard count for it. So neither one member ejects a zone, nor a group that alone is partitioned
    /// from it, nor one unlucky member where the others are evenly divided.
    pub(crate) fn has_majority_against(&self) -> bool {
        let observers_and_unheard = self.observers + self.outside - self.heard;
        self.against >= 2 && self.against * 3 > 2 * observers_and_unheard
    }
}
