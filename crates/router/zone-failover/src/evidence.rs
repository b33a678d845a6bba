//! Evidence on a zone: the pooled reports of all members.

use crate::config::ZoneFailoverConfig;
use crate::gossip::Report;
use crate::part_counts::PartCounts;
use crate::reporters::Reporters;

/// The evidence on a zone, pooled from the reports of all members.
///
/// It includes the reports of reporters outside the zone. It also includes failure reports from inside, if the reporter
/// observes another zone as healthy, because then its own network has not failed. Reports from inside are needed
/// because members outside send few parts to a zone while traffic remains local; `docs/failover.md#verdict-thresholds`
/// has the measured times. A quorum of the reporters outside is always required, and their observations are weighed
/// together with those from inside.
#[derive(Debug, Default)]
pub(crate) struct Evidence {
    /// Number of reporters outside the zone.
    outside_reporters: usize,
    /// Number of `outside_reporters` with a valid report.
    outside_reports: usize,
    /// Pooled counts of the zone.
    pub(crate) parts: PartCounts,
    /// Number of pooled reports with any part of the zone.
    observers: usize,
    /// Number of `observers` with at least half of their parts failed.
    observers_of_failure: usize,
    /// Whether more than half of the other serving zones are healthy.
    pub(crate) others_are_healthy: bool,
}

impl Evidence {
    /// Pools the valid reports on a zone. `serving` contains the other zones that serve.
    pub(crate) fn collect<'a>(
        zone: usize,
        zone_count: usize,
        serving: &[usize],
        reports: impl Iterator<Item = &'a Report>,
        reporters: &Reporters,
        config: &ZoneFailoverConfig,
    ) -> Evidence {
        let is_healthy = |parts: PartCounts| {
            parts.failed_share_is_at_most(config.max_failed_share_of_healthy_zone)
        };
        let mut evidence = Evidence {
            outside_reporters: reporters.count_outside(zone),
            ..Evidence::default()
        };
        let mut totals = vec![PartCounts::default(); zone_count];
        for report in reports {
            let Some(reporter_zone) = reporters.zone_of(report.member) else {
                continue;
            };
            let is_outside = reporter_zone != zone;
            evidence.outside_reports += usize::from(is_outside);
            let parts = report.parts(zone);
            let sees_healthy_zone = serving.iter().any(|other| {
                let parts = report.parts(*other);
                parts.seen > 0 && is_healthy(parts)
            });
            // Success inside the zone is not counted: it is no evidence on the network to the zone.
            let is_counted = is_outside || sees_healthy_zone && parts.half_failed();
            if !is_counted {
                continue;
            }
            evidence.parts.add(parts);
            evidence.observers += usize::from(parts.seen > 0);
            evidence.observers_of_failure += usize::from(parts.half_failed());
            for (other, total) in totals.iter_mut().enumerate() {
                total.add(report.parts(other));
            }
        }
        let healthy_zones = serving.iter().filter(|other| is_healthy(totals[**other]));
        evidence.others_are_healthy = healthy_zones.count() * 2 > serving.len();
        evidence
    }

    /// Whether there are at least two reporters outside the zone, and more than half of them have a valid report.
    pub(crate) fn has_quorum(&self) -> bool {
        self.outside_reports * 2 > self.outside_reporters && self.outside_reporters >= 2
    }

    /// Whether at least two observers, and more than two thirds of all observers, report the zone as failed. Outside
    /// reporters without a valid report count as observers of a healthy zone. So a zone is not ejected by one member,
    /// by a group that alone is partitioned from it, or by one member's chance failures if the others are evenly
    /// divided.
    pub(crate) fn has_failure_majority(&self) -> bool {
        let observers_and_missing = self.observers + self.outside_reporters - self.outside_reports;
        self.observers_of_failure >= 2 && self.observers_of_failure * 3 > 2 * observers_and_missing
    }
}
