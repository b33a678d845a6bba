//! The verdicts of one member: a deterministic function of reports, the members that are alive, and earlier verdicts.
//!
//! Members that receive the same reach the same verdicts. Messages contain epochs and ages and never times, so that
//! clocks needn't agree.
//!
//! - `piggyback.rs`: what is sent to other members, and what is received from them.
//! - `urgency.rs`: whether a verdict may be about to change.
//! - `traffic.rs`: the share of its traffic that each zone may have, and how much stays near.

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

/// Tolerance of the comparison of times, in seconds.
const TIME_EPSILON_S: f64 = 1e-9;

/// The verdicts of one member. All times are in seconds of one clock, whose origin doesn't matter.
pub struct Zones {
    id: MemberId,
    /// This member's own zone.
    zone: u8,
    config: ZoneFailoverConfig,
    roster_size: usize,
    /// By zone; so are all other vectors.
    verdicts: Vec<Verdict>,
    /// The epochs whose changes [`Zones::decide`] has returned.
    returned_epochs: Vec<u32>,
    /// The latest report of each member, this one included.
    reports: ReportTable,
    reporters: Reporters,
    /// When a valid report last had parts of the zone.
    last_observed_s: Vec<f64>,
    /// What this member has lately seen.
    observations: Vec<ZoneObservation>,
    /// Of this member's latest report. It wraps.
    last_sequence: u8,
    /// When this member made its latest report.
    last_report_s: f64,
    /// Zones that an operator has ejected at this member alone.
    pub ejected_by_operator: BTreeSet<u8>,
    /// The region of each zone.
    regions: Vec<u8>,
    rejected: u64,
}

impl Zones {
    /// The verdicts of the member `id` in `zone`. `regions` has the region of each zone, and so the number of zones;
    /// `roster_size` is the number of members, alive or not.
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
            // Different at each member, and the same in each run.
            last_sequence: (rank(id) >> 16) as u8,
            last_report_s: f64::NEG_INFINITY,
            ejected_by_operator: BTreeSet::new(),
            regions,
            rejected: 0,
        }
    }

    /// The verdict on each zone.
    pub fn verdicts(&self) -> &[Verdict] {
        &self.verdicts
    }

    /// Payloads and verdicts of other members that were rejected.
    pub fn rejected(&self) -> u64 {
        self.rejected
    }

    /// When a verdict last changed; negative infinity if none ever did.
    pub fn last_change_s(&self) -> f64 {
        let changed = self.verdicts.iter().filter(|verdict| verdict.epoch > 0);
        changed
            .map(|verdict| verdict.since_s)
            .fold(f64::NEG_INFINITY, f64::max)
    }

    /// Records what this member sees of each zone now, and how many parts per second it sends. They go into its report
    /// when that is due.
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

    /// Computes the verdicts, and returns those that have changed since the last call, by this member's own evidence or
    /// by a message.
    pub fn decide(&mut self, now_s: f64, view: &View) -> Vec<VerdictChange> {
        self.reports.remove_expired(now_s);
        self.reporters.update(view, self.config.max_reporters);
        let mut changes = Vec::new();
        for zone in 0..self.verdicts.len() {
            let evidence = self.collect_evidence(now_s, zone);
            if evidence.parts.seen > 0 {
                self.last_observed_s[zone] = now_s;
            }
            // The minority side of a partition keeps the last verdict in common.
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
