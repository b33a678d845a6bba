//! The fraction of its normal traffic that each zone receives, and the fraction of traffic that remains local.

use super::Zones;
use crate::part_counts::PartCounts;
use std::collections::BTreeSet;
use woadreach_membership::View;

/// A group of zones that is preferred to more distant zones.
#[derive(Clone, Debug, PartialEq)]
pub struct SpillGroup {
    /// Zones in the group.
    pub zones: BTreeSet<u8>,
    /// Fraction of all parts for which a zone of this group, or of a nearer group, is preferred, in 0..=1.
    pub share: f64,
}

/// The traffic of one zone's co-ordinators, from their reports.
#[derive(Clone, Copy, Debug, Default)]
struct ReportedRate {
    /// Sum of the reported parts per second.
    total: f64,
    /// Number of reports.
    reports: usize,
}

impl Zones {
    /// Returns the fraction of its normal traffic that each zone receives: 0 if it is ejected, 1 if it serves, and
    /// between them during slow start after a restoration. The fraction depends on the age of the verdict only, so that
    /// all co-ordinators increase the zone's traffic at the same rate.
    pub fn traffic_shares(&self, now_s: f64) -> Vec<f64> {
        let config = &self.config;
        let share = |zone: usize| {
            let verdict = &self.verdicts[zone];
            if verdict.is_ejected() || self.ejected_by_operator.contains(&(zone as u8)) {
                0.0
            } else if verdict.epoch == 0 {
                1.0
            } else {
                let age_s = now_s - verdict.since_s;
                let growth = (1.0 - config.initial_share) * age_s / config.slow_start_duration_s;
                (config.initial_share + growth).clamp(0.0, 1.0)
            }
        };
        (0..self.verdicts.len()).map(share).collect()
    }

    /// Returns the preferred groups of zones, nearest first: the local zone, then the local region. Parts beyond the
    /// share of the last group have no preference. Traffic remains in a group while the healthy fraction of its parts,
    /// by all reports, is sufficient, and while its own co-ordinators don't exceed
    /// [`ZoneFailoverConfig::max_local_load`].
    ///
    /// [`ZoneFailoverConfig::max_local_load`]: crate::ZoneFailoverConfig::max_local_load
    pub fn spill_order(&self, now_s: f64, view: &View) -> Vec<SpillGroup> {
        let own_region = self.regions.get(usize::from(self.zone));
        let region: BTreeSet<u8> = (0..self.regions.len() as u8)
            .filter(|zone| self.regions.get(usize::from(*zone)) == own_region)
            .collect();
        let mut groups = vec![BTreeSet::from([self.zone])];
        if region.len() > 1 && region.len() < self.regions.len() {
            groups.push(region);
        }
        let mut spilled = 1.0;
        let mut order = Vec::new();
        for zones in groups {
            spilled *= 1.0 - self.local_share(now_s, view, &zones);
            let share = 1.0 - spilled;
            order.push(SpillGroup { zones, share });
        }
        order
    }

    /// Returns the fraction of a group's traffic that may remain in the group.
    fn local_share(&self, now_s: f64, view: &View, group: &BTreeSet<u8>) -> f64 {
        let traffic_shares = self.traffic_shares(now_s);
        let traffic_share = group
            .iter()
            .map(|zone| traffic_shares[usize::from(*zone)])
            .fold(0.0, f64::max);
        (self.config.overprovisioning_factor * self.healthy_share(now_s, group))
            .min(self.share_within_load_limit(now_s, view, group))
            .min(1.0)
            * traffic_share
    }

    /// Returns the fraction of a group's parts that have not failed, by all reports.
    fn healthy_share(&self, now_s: f64, group: &BTreeSet<u8>) -> f64 {
        let mut parts = PartCounts::default();
        for report in self.reports.valid(now_s) {
            for zone in group {
                parts.add(report.parts(usize::from(*zone)));
            }
        }
        1.0 - f64::from(parts.failed) / f64::from(parts.seen.max(1))
    }

    /// Returns the fraction of the traffic of a group's own co-ordinators that its replicas can serve within
    /// `max_local_load`; it may exceed 1.
    fn share_within_load_limit(&self, now_s: f64, view: &View, group: &BTreeSet<u8>) -> f64 {
        let rates = self.estimate_rates(now_s, view);
        let capacity: Vec<f64> = self.observations.iter().map(|o| o.capacity).collect();
        let rate_share = share_of(group, &rates);
        let capacity_share = share_of(group, &capacity);
        if rate_share > 0.0 {
            self.config.max_local_load * capacity_share / rate_share
        } else {
            1.0
        }
    }

    /// Estimates the parts per second of each zone's co-ordinators from the mean of their reports and the number of
    /// live members. For a zone without reports, the mean of all reports is used.
    fn estimate_rates(&self, now_s: f64, view: &View) -> Vec<f64> {
        let mut reported = vec![ReportedRate::default(); self.verdicts.len()];
        for report in self.reports.valid(now_s) {
            let zone = &mut reported[usize::from(report.zone)];
            zone.total += report.parts_per_second();
            zone.reports += 1;
        }
        let total = reported.iter().fold(0.0, |sum, zone| sum + zone.total);
        let reports: usize = reported.iter().map(|zone| zone.reports).sum();
        let estimate = |(index, zone): (usize, &ReportedRate)| {
            let per_member = if zone.reports > 0 {
                zone.total / zone.reports as f64
            } else {
                total / reports.max(1) as f64
            };
            let live_zones = view.live.values();
            let members = live_zones.filter(|live| usize::from(**live) == index);
            per_member * members.count() as f64
        };
        reported.iter().enumerate().map(estimate).collect()
    }
}

/// Returns the fraction of a group in the sum of `values` over all zones; 0 if the sum is 0.
fn share_of(group: &BTreeSet<u8>, values: &[f64]) -> f64 {
    let in_group: f64 = group.iter().map(|zone| values[usize::from(*zone)]).sum();
    let total: f64 = values.iter().copied().sum();
    if total > 0.0 { in_group / total } else { 0.0 }
}
