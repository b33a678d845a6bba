//! The verdicts of one member, as a deterministic function of reports, live members and earlier verdicts.
//!
//! Members with the same input reach the same verdicts. Messages contain epochs and ages but no times, so that clocks
//! needn't be synchronised.
//!
//! - `piggyback.rs`: the payloads that are sent to and received from other members.
//! - `urgency.rs`: whether a verdict may be about to change.
//! - `traffic.rs`: the fraction of its normal traffic that each zone receives, and the fraction that remains local.

mod piggyback;
mod traffic;
mod urgency;

pub use traffic::SpillGroup;

use crate::config::ZoneFailoverConfig;
use crate::evidence::Evidence;
use crate::gossip::Report;
use crate::part_counts::{PartCounts, ZoneObservation};
use crate::report_table::ReportTable;
use crate::reporters::{Reporters, rank};
use crate::verdict::{Verdict, VerdictChange};
use std::collections::BTreeSet;
use woadreach_membership::{MemberId, View};

/// Tolerance in comparisons of times, in seconds.
const TIME_EPSILON_S: f64 = 1e-9;

/// The verdicts of one member. All times are in seconds of one clock, which may have any origin.
pub struct Zones {
    id: MemberId,
    /// Zone of this member.
    zone: u8,
    config: ZoneFailoverConfig,
    roster_size: usize,
    /// Verdict on each zone. All vectors of this type are indexed by zone.
    verdicts: Vec<Verdict>,
    /// Epoch of the verdict on each zone that [`Zones::decide`] last returned.
    returned_epochs: Vec<u32>,
    /// Latest report of each member, including this one.
    reports: ReportTable,
    reporters: Reporters,
    /// Time at which a valid report last had any part of the zone.
    last_observed_s: Vec<f64>,
    /// Latest observations of this member.
    observations: Vec<ZoneObservation>,
    /// Sequence number of this member's latest report. It wraps.
    last_sequence: u8,
    /// Time of this member's latest report.
    last_report_s: f64,
    /// Zones that an operator has ejected. Valid at this member only; not sent to others.
    pub ejected_by_operator: BTreeSet<u8>,
    /// Region of each zone.
    regions: Vec<u8>,
    rejected: u64,
}

impl Zones {
    /// Creates the verdicts of the member `id` in `zone`; all zones serve. `regions` contains the region of each zone,
    /// and thus determines the number of zones. `roster_size` is the number of members, alive or not.
    pub fn new(
        id: MemberId,
        zone: u8,
        regions: Vec<u8>,
        roster_size: usize,
        config: ZoneFailoverConfig,
        now_s: f64,
    ) -> Zones {
        let zone_count = regions.len();
        let serving = Verdict {
            since_s: now_s,
            ..Verdict::default()
        };
        Zones {
            id,
            zone,
            roster_size,
            verdicts: vec![serving; zone_count],
            returned_epochs: vec![0; zone_count],
            reports: ReportTable::new(config.report_timeout_s),
            config,
            reporters: Reporters::default(),
            last_observed_s: vec![now_s; zone_count],
            observations: vec![ZoneObservation::default(); zone_count],
            // Differs between members, but is reproducible in each run.
            last_sequence: (rank(id) >> 16) as u8,
            last_report_s: f64::NEG_INFINITY,
            ejected_by_operator: BTreeSet::new(),
            regions,
            rejected: 0,
        }
    }

    /// Returns the verdict on each zone.
    pub fn verdicts(&self) -> &[Verdict] {
        &self.verdicts
    }

    /// Returns the number of payloads and verdicts of other members that were rejected.
    pub fn rejected(&self) -> u64 {
        self.rejected
    }

    /// Returns the time of the latest change of a verdict; negative infinity if none has changed.
    pub fn last_change_s(&self) -> f64 {
        let changed = self.verdicts.iter().filter(|verdict| verdict.epoch > 0);
        changed
            .map(|verdict| verdict.since_s)
            .fold(f64::NEG_INFINITY, f64::max)
    }

    /// Records this member's current observation of each zone and the rate at which it sends parts. Creates a report
    /// from them if one is due.
    pub fn record_observations(
        &mut self,
        now_s: f64,
        observations: &[ZoneObservation],
        parts_per_second: f64,
    ) {
        for (own, observation) in self.observations.iter_mut().zip(observations) {
            *own = *observation;
        }
        let interval_s = if self.is_urgent(now_s) {
            self.config.urgent_report_interval_s
        } else {
            self.config.report_interval_s
        };
        if now_s < self.last_report_s + interval_s - TIME_EPSILON_S {
            return;
        }
        self.last_report_s = now_s;
        self.last_sequence = self.last_sequence.wrapping_add(1);
        let observations = self.observations.iter();
        let parts: Vec<PartCounts> = observations.map(ZoneObservation::parts).collect();
        let report = Report::new(
            self.id,
            self.zone,
            self.last_sequence,
            parts_per_second,
            &parts,
        );
        self.reports.insert(report, now_s);
    }

    /// Computes the verdicts. Returns those that have changed since the last call, from this member's own evidence or
    /// from a message.
    pub fn decide(&mut self, now_s: f64, view: &View) -> Vec<VerdictChange> {
        self.reports.remove_expired(now_s);
        self.reporters.update(view, self.config.max_reporters);
        let mut changes = Vec::new();
        for zone in 0..self.verdicts.len() {
            let evidence = self.collect_evidence(now_s, zone);
            if evidence.parts.seen > 0 {
                self.last_observed_s[zone] = now_s;
            }
            // The minority side of a partition keeps the last common verdict.
            if !view.is_partitioned && evidence.has_quorum() {
                self.update_verdict(now_s, zone, &evidence);
            }
            let verdict = self.verdicts[zone];
            if verdict.epoch != self.returned_epochs[zone] {
                self.returned_epochs[zone] = verdict.epoch;
                changes.push(VerdictChange {
                    zone: zone as u8,
                    verdict,
                    seen: evidence.parts.seen,
                    failed: evidence.parts.failed,
                });
            }
        }
        changes
    }

    fn collect_evidence(&self, now_s: f64, zone: usize) -> Evidence {
        let zone_count = self.verdicts.len();
        let serving: Vec<usize> = (0..zone_count)
            .filter(|other| *other != zone && !self.verdicts[*other].is_ejected())
            .collect();
        let reports = self.reports.valid(now_s);
        Evidence::collect(
            zone,
            zone_count,
            &serving,
            reports,
            &self.reporters,
            &self.config,
        )
    }

    fn update_verdict(&mut self, now_s: f64, zone: usize, evidence: &Evidence) {
        let verdict = self.verdicts[zone];
        let next = if verdict.is_ejected() {
            verdict.next_if_restored(now_s, evidence, self.last_observed_s[zone], &self.config)
        } else {
            let ejected = self.verdicts.iter().filter(|v| v.is_ejected()).count();
            let others_can_serve = (ejected + 1) * 2 <= self.verdicts.len();
            verdict.next_if_ejected(now_s, evidence, others_can_serve, &self.config)
        };
        if let Some(next) = next {
            self.verdicts[zone] = next;
        }
    }
}
