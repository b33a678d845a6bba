//! Figures taken from the logs of the processes and from what fake replicas received. Invariants are checked
//! elsewhere, by `woadreach-invariants`.

use crate::log_events::{LogEvent, MembershipReport, RoleAction};
use crate::outcome::{Outcome, RoleOutcome};
use crate::process::LogLine;
use crate::schedule::{HOLDER_FAULT_SECONDS, ZoneFault};
use std::collections::{BTreeMap, BTreeSet};

/// Seconds after a zone's fault in which a verdict against it is still right: its end has to be noticed first.
const FAULT_NOTICE_SECONDS: f64 = 3.0;
/// Seconds after a zone's fault in which traffic isn't measured, since it is still settling.
const FAULT_SETTLING_SECONDS: f64 = 8.0;
/// Seconds after the start of the load in which traffic isn't measured.
const START_SETTLING_SECONDS: f64 = 3.0;
/// The role whose lease holder faults are injected into, as the log names it.
const ROLE_UNDER_TEST: &str = "QuotaAllocator(0)";

/// One run of a co-ordinator's process: the co-ordinator and how many times it has been started.
type ProcessRun = (usize, usize);

/// A verdict on a zone that a co-ordinator has adopted.
#[derive(Clone, Copy)]
struct AdoptedVerdict {
    at: f64,
    node: usize,
    zone: Option<usize>,
    epoch: u64,
}

impl AdoptedVerdict {
    /// Whether it takes the zone out of service.
    fn is_ejection(&self) -> bool {
        self.epoch % 2 == 1
    }
}

/// An action of a singleton role.
#[derive(Clone)]
struct PerformedAction {
    at: f64,
    node: usize,
    role: String,
    epoch: u64,
}

/// A fault that was injected into a lease holder.
#[derive(Clone, Copy)]
struct InjectedHolderFault {
    at: f64,
    node: usize,
}

/// Parts that replicas received while no zone was at fault.
#[derive(Default)]
struct ReceivedParts {
    total: usize,
    /// Those from a co-ordinator of the replica's zone.
    near: usize,
}

/// Collects what is measured. Times come by the test program's clock and are kept as seconds from the start of
/// the load.
#[derive(Default)]
pub(crate) struct Measurements {
    load_started_at: f64,
    faults: Vec<ZoneFault>,
    zones: usize,
    verdicts: Vec<AdoptedVerdict>,
    /// The last report of each run, which counts from the run's start.
    traffic: BTreeMap<ProcessRun, MembershipReport>,
    stale_actions: BTreeMap<ProcessRun, u64>,
    /// How many times each co-ordinator has been started.
    starts: BTreeMap<usize, usize>,
    parts: ReceivedParts,
    /// In the order in which they were read.
    actions: Vec<PerformedAction>,
    holder_faults: Vec<InjectedHolderFault>,
}

impl Measurements {
    pub(crate) fn new(zones: usize, faults: Vec<ZoneFault>) -> Measurements {
        Measurements {
            faults,
            zones,
            ..Measurements::default()
        }
    }

    pub(crate) fn record_load_start(&mut self, at: f64) {
        self.load_started_at = at;
    }

    pub(crate) fn record_process_start(&mut self, node: usize) {
        *self.starts.entry(node).or_default() += 1;
    }

    /// Records a line of a log that was read at this time.
    pub(crate) fn record_log_line(&mut self, read_at: f64, line: &LogLine) {
        let at = read_at - self.load_started_at;
        let node = line.node;
        match LogEvent::parse(&line.fields) {
            Some(LogEvent::ZoneVerdict(verdict)) => self.verdicts.push(AdoptedVerdict {
                at,
                node,
                zone: verdict.zone,
                epoch: verdict.epoch,
            }),
            Some(LogEvent::RoleAction(action)) => self.record_action(at, node, action),
            Some(LogEvent::RolesReport(report)) => {
                let run = self.current_run(node);
                self.stale_actions.insert(run, report.stale);
            }
            Some(LogEvent::MembershipReport(report)) => {
                let run = self.current_run(node);
                self.traffic.insert(run, report);
            }
            None => {}
        }
    }

    fn record_action(&mut self, read_at: f64, node: usize, action: RoleAction) {
        // Lines are read some moments after they were written.
        let logged_at = action.logged_at.map(|time| time - self.load_started_at);
        self.actions.push(PerformedAction {
            at: logged_at.unwrap_or(read_at),
            node,
            role: action.role,
            epoch: action.epoch,
        });
    }

    fn current_run(&self, node: usize) -> ProcessRun {
        (node, self.starts.get(&node).copied().unwrap_or(0))
    }

    /// Who was last seen to act as the lease holder of the role under test.
    pub(crate) fn lease_holder(&self) -> Option<usize> {
        let mut latest_first = self.actions.iter().rev();
        latest_first
            .find(|action| action.role == ROLE_UNDER_TEST)
            .map(|action| action.node)
    }

    /// Records a fault that is injected into a lease holder. A verdict against one of the zones that it
    /// partitions from the others is right.
    pub(crate) fn record_holder_fault(&mut self, at: f64, node: usize, partitioned: &[usize]) {
        let at = at - self.load_started_at;
        self.holder_faults.push(InjectedHolderFault { at, node });
        self.faults.extend(partitioned.iter().map(|zone| ZoneFault {
            zone: *zone,
            from: at,
            until: at + HOLDER_FAULT_SECONDS,
        }));
    }

    /// Records that a replica received a part, from a co-ordinator of its own zone if `is_near`.
    pub(crate) fn record_received_part(&mut self, at: f64, is_near: bool) {
        let at = at - self.load_started_at;
        let is_settling =
            |fault: &ZoneFault| at >= fault.from && at < fault.until + FAULT_SETTLING_SECONDS;
        let is_loaded = self.load_started_at > 0.0 && at > START_SETTLING_SECONDS;
        if is_loaded && !self.faults.iter().any(is_settling) {
            self.parts.total += 1;
            self.parts.near += usize::from(is_near);
        }
    }

    /// Writes all that is measured here into the outcome of a play with this number of co-ordinators.
    pub(crate) fn complete(&self, nodes: usize, outcome: &mut Outcome) {
        self.complete_failovers(outcome);
        self.complete_agreement(nodes, outcome);
        outcome.roles = self.role_outcome();
        outcome.near_share_safe =
            (self.parts.total > 0).then(|| self.parts.near as f64 / self.parts.total as f64);
        let datagrams: u64 = self.traffic.values().map(|t| t.datagrams_sent).sum();
        let bytes: u64 = self.traffic.values().map(|t| t.bytes_sent).sum();
        let node_seconds = nodes as f64 * outcome.seconds;
        outcome.datagrams_per_s_per_member = datagrams as f64 / node_seconds;
        outcome.bytes_per_s_per_member = bytes as f64 / node_seconds;
    }

    fn ejections(&self) -> impl Iterator<Item = &AdoptedVerdict> {
        self.verdicts.iter().filter(|v| v.is_ejection())
    }

    fn complete_failovers(&self, outcome: &mut Outcome) {
        // By zone and epoch, when the first co-ordinator adopted it.
        let mut failovers: BTreeMap<(Option<usize>, u64), f64> = BTreeMap::new();
        for verdict in self.ejections() {
            failovers
                .entry((verdict.zone, verdict.epoch))
                .and_modify(|first| *first = first.min(verdict.at))
                .or_insert(verdict.at);
        }
        outcome.false_failovers = failovers
            .iter()
            .filter(|((zone, _), at)| !self.is_at_fault(*zone, **at))
            .count();
        for zone in 0..self.zones {
            let of_zone = failovers.keys().filter(|key| key.0 == Some(zone)).count();
            let faults = self.faults.iter().filter(|f| f.zone == zone).count();
            outcome.flaps += of_zone.saturating_sub(faults);
        }
    }

    fn is_at_fault(&self, zone: Option<usize>, at: f64) -> bool {
        self.faults.iter().any(|fault| {
            zone == Some(fault.zone) && at >= fault.from && at < fault.until + FAULT_NOTICE_SECONDS
        })
    }

    fn complete_agreement(&self, nodes: usize, outcome: &mut Outcome) {
        let latest_first = self.faults.iter().rev();
        let first_faults: BTreeMap<usize, f64> = latest_first.map(|f| (f.zone, f.from)).collect();
        let zones_at_fault: BTreeSet<usize> = first_faults.keys().copied().collect();
        let mut delays = Vec::new();
        for (zone, from) in &first_faults {
            for node in (0..nodes).filter(|n| !zones_at_fault.contains(&(n % self.zones))) {
                outcome.expected += 1;
                let adopted = self
                    .ejections()
                    .find(|v| v.node == node && v.zone == Some(*zone) && v.at >= *from);
                delays.extend(adopted.map(|v| v.at - from));
            }
        }
        delays.sort_by(f64::total_cmp);
        outcome.agreed = delays.len();
        outcome.agree_s_p50 = quantile(&delays, 0.5);
        outcome.agree_s_p99 = quantile(&delays, 0.99);
    }

    fn role_outcome(&self) -> RoleOutcome {
        let mut actions = self.actions.clone();
        actions.sort_by(|a, b| a.at.total_cmp(&b.at));
        let mut delays: Vec<f64> = self
            .holder_faults
            .iter()
            .filter_map(|fault| handover_seconds(&actions, *fault))
            .collect();
        delays.sort_by(f64::total_cmp);
        RoleOutcome {
            two_holders: count_second_holders(&actions),
            actions: actions.len(),
            stale_actions_rejected: self.stale_actions.values().sum(),
            handover_s_p50: quantile(&delays, 0.5),
            handover_s_p99: quantile(&delays, 0.99),
            handovers: delays.len(),
            holder_faults: self.holder_faults.len(),
            lease_s: woadreach_lease::LeaseConfig::default().lease_duration_s,
        }
    }
}

/// Actions, in order of time, that are older by epoch than one before them, or share its epoch with another
/// holder.
fn count_second_holders(actions: &[PerformedAction]) -> usize {
    let mut latest: BTreeMap<&str, (u64, usize)> = BTreeMap::new();
    let mut count = 0;
    for action in actions {
        let this = (action.epoch, action.node);
        let last = latest.entry(&action.role).or_insert(this);
        if this.0 < last.0 || (this.0 == last.0 && this.1 != last.1) {
            count += 1;
        } else {
            *last = this;
        }
    }
    count
}

/// Seconds from a holder's fault until another co-ordinator acts in the role under test.
fn handover_seconds(actions: &[PerformedAction], fault: InjectedHolderFault) -> Option<f64> {
    let is_next =
        |a: &&PerformedAction| a.role == ROLE_UNDER_TEST && a.at > fault.at && a.node != fault.node;
    actions.iter().find(is_next).map(|a| a.at - fault.at)
}

/// The smallest value that at least this share of the values doesn't exceed; of a handful the 0.99 quantile is
/// the largest.
fn quantile(sorted: &[f64], share: f64) -> Option<f64> {
    let rank = ((share * sorted.len() as f64).ceil() as usize).max(1);
    sorted.get(rank - 1).copied()
}

#[cfg(test)]
#[path = "../tests/unit/measurements.rs"]
mod tests;
