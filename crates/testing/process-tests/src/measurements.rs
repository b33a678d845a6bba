//! Measurements derived from the logs of the processes and from the parts that fake replicas received. Invariants are
//! checked separately, by `woadreach-invariants`.

use crate::log_events::{LogEvent, MembershipReport, RoleAction};
use crate::outcome::{Outcome, RoleOutcome};
use crate::process::LogLine;
use crate::schedule::{HOLDER_FAULT_SECONDS, ZoneFault};
use std::collections::{BTreeMap, BTreeSet};

/// Seconds after the end of a zone's fault during which an ejection still counts as correct, since co-ordinators have
/// to detect the end first.
const FAULT_NOTICE_SECONDS: f64 = 3.0;
/// Seconds after the end of a zone's fault during which traffic is not measured, since it has not settled.
const FAULT_SETTLING_SECONDS: f64 = 8.0;
/// Seconds after the start of the load during which traffic is not measured.
const START_SETTLING_SECONDS: f64 = 3.0;
/// Name in the log of the role into whose lease holder faults are injected.
const ROLE_UNDER_TEST: &str = "QuotaAllocator(0)";

/// One process of a co-ordinator, from its start to its end.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ProcessRun {
    node: usize,
    /// Number of starts of the co-ordinator up to and including this one.
    start_count: usize,
}

/// A verdict on a zone that a co-ordinator has adopted.
#[derive(Clone, Copy)]
struct AdoptedVerdict {
    /// Time at which the log line was read, in seconds from the start of the load.
    at_s: f64,
    node: usize,
    /// Index of the zone; `None` if its name in the log cannot be parsed.
    zone: Option<usize>,
    /// Epoch of the verdict; odd if the zone is ejected.
    epoch: u64,
}

impl AdoptedVerdict {
    /// Whether the verdict ejects the zone.
    fn is_ejection(&self) -> bool {
        self.epoch % 2 == 1
    }
}

/// An action of a singleton role.
#[derive(Clone)]
struct PerformedAction {
    /// Time at which the action was logged, in seconds from the start of the load.
    at_s: f64,
    node: usize,
    role: String,
    /// Epoch of the lease under which the action was performed.
    epoch: u64,
}

/// A fault that was injected into a lease holder.
#[derive(Clone, Copy)]
struct InjectedHolderFault {
    /// Time of the injection, in seconds from the start of the load.
    at_s: f64,
    /// Lease holder into which the fault was injected.
    node: usize,
}

/// The ejection of a zone under one epoch. Each co-ordinator adopts it independently.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Failover {
    zone: Option<usize>,
    epoch: u64,
}

/// The co-ordinator that performed an action of a role, and the epoch of its lease.
#[derive(Clone, Copy, PartialEq, Eq)]
struct LeaseHolder {
    epoch: u64,
    node: usize,
}

/// Parts that replicas received while no zone was at fault.
#[derive(Default)]
struct ReceivedParts {
    total: usize,
    /// Parts from a co-ordinator in the same zone as the replica.
    near: usize,
}

/// Collects the measurements of a run. Methods accept times in Unix seconds; stored times are in seconds from the
/// start of the load.
#[derive(Default)]
pub(crate) struct Measurements {
    /// Start of the load in Unix seconds; 0 before it.
    load_started_at: f64,
    faults: Vec<ZoneFault>,
    /// Number of zones.
    zones: usize,
    verdicts: Vec<AdoptedVerdict>,
    /// Latest report of each process run. The counters start at 0 in each run.
    traffic: BTreeMap<ProcessRun, MembershipReport>,
    stale_actions: BTreeMap<ProcessRun, u64>,
    /// Number of starts of each co-ordinator.
    starts: BTreeMap<usize, usize>,
    parts: ReceivedParts,
    /// Actions of all roles, in the order in which they were read.
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

    /// Records a log line that was read at `read_at`.
    pub(crate) fn record_log_line(&mut self, read_at: f64, line: &LogLine) {
        let at_s = read_at - self.load_started_at;
        let node = line.node;
        match LogEvent::parse(&line.fields) {
            Some(LogEvent::ZoneVerdict(verdict)) => self.verdicts.push(AdoptedVerdict {
                at_s,
                node,
                zone: verdict.zone,
                epoch: verdict.epoch,
            }),
            Some(LogEvent::RoleAction(action)) => self.record_action(at_s, node, action),
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

    /// Records an action whose log line was read at `read_at_s`, in seconds from the start of the load.
    fn record_action(&mut self, read_at_s: f64, node: usize, action: RoleAction) {
        // Lines are read some time after they were written, so the logged time is more exact.
        let logged_at_s = action.logged_at.map(|time| time - self.load_started_at);
        self.actions.push(PerformedAction {
            at_s: logged_at_s.unwrap_or(read_at_s),
            node,
            role: action.role,
            epoch: action.epoch,
        });
    }

    fn current_run(&self, node: usize) -> ProcessRun {
        ProcessRun {
            node,
            start_count: self.starts.get(&node).copied().unwrap_or(0),
        }
    }

    /// The co-ordinator with the last recorded action of the role under test.
    pub(crate) fn lease_holder(&self) -> Option<usize> {
        let mut latest_first = self.actions.iter().rev();
        latest_first
            .find(|action| action.role == ROLE_UNDER_TEST)
            .map(|action| action.node)
    }

    /// Records a fault that is injected into a lease holder. The zones in `partitioned`, which it separates from the
    /// others, count as faulty while it lasts, so that ejecting them is correct.
    pub(crate) fn record_holder_fault(&mut self, at: f64, node: usize, partitioned: &[usize]) {
        let at_s = at - self.load_started_at;
        self.holder_faults.push(InjectedHolderFault { at_s, node });
        self.faults.extend(partitioned.iter().map(|zone| ZoneFault {
            zone: *zone,
            from_s: at_s,
            until_s: at_s + HOLDER_FAULT_SECONDS,
        }));
    }

    /// Records that a replica received a part. `is_near` means that the sender is in the zone of the replica.
    pub(crate) fn record_received_part(&mut self, at: f64, is_near: bool) {
        let at_s = at - self.load_started_at;
        let is_settling = |fault: &ZoneFault| {
            at_s >= fault.from_s && at_s < fault.until_s + FAULT_SETTLING_SECONDS
        };
        let is_load_settled = self.load_started_at > 0.0 && at_s > START_SETTLING_SECONDS;
        if is_load_settled && !self.faults.iter().any(is_settling) {
            self.parts.total += 1;
            self.parts.near += usize::from(is_near);
        }
    }

    /// Fills in the measured fields of the outcome of a run with `nodes` co-ordinators.
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
        let failovers = self.failovers();
        outcome.false_failovers = failovers
            .iter()
            .filter(|(failover, at_s)| !self.is_at_fault(failover.zone, **at_s))
            .count();
        for zone in 0..self.zones {
            let of_zone = failovers.keys().filter(|f| f.zone == Some(zone)).count();
            let faults = self.faults.iter().filter(|f| f.zone == zone).count();
            outcome.flaps += of_zone.saturating_sub(faults);
        }
    }

    /// All failovers, each with the time in seconds from the start of the load at which the first co-ordinator adopted
    /// it.
    fn failovers(&self) -> BTreeMap<Failover, f64> {
        let mut failovers = BTreeMap::new();
        for verdict in self.ejections() {
            let failover = Failover {
                zone: verdict.zone,
                epoch: verdict.epoch,
            };
            failovers
                .entry(failover)
                .and_modify(|first: &mut f64| *first = first.min(verdict.at_s))
                .or_insert(verdict.at_s);
        }
        failovers
    }

    fn is_at_fault(&self, zone: Option<usize>, at_s: f64) -> bool {
        self.faults.iter().any(|fault| {
            let noticed_until_s = fault.until_s + FAULT_NOTICE_SECONDS;
            zone == Some(fault.zone) && at_s >= fault.from_s && at_s < noticed_until_s
        })
    }

    fn complete_agreement(&self, nodes: usize, outcome: &mut Outcome) {
        let latest_first = self.faults.iter().rev();
        let first_faults: BTreeMap<usize, f64> = latest_first.map(|f| (f.zone, f.from_s)).collect();
        let zones_at_fault: BTreeSet<usize> = first_faults.keys().copied().collect();
        let mut delays = Vec::new();
        for (zone, from_s) in &first_faults {
            for node in (0..nodes).filter(|n| !zones_at_fault.contains(&(n % self.zones))) {
                outcome.expected += 1;
                let adopted = self
                    .ejections()
                    .find(|v| v.node == node && v.zone == Some(*zone) && v.at_s >= *from_s);
                delays.extend(adopted.map(|v| v.at_s - from_s));
            }
        }
        delays.sort_by(f64::total_cmp);
        outcome.agreed = delays.len();
        outcome.agree_s_p50 = quantile(&delays, 0.5);
        outcome.agree_s_p99 = quantile(&delays, 0.99);
    }

    fn role_outcome(&self) -> RoleOutcome {
        let mut actions = self.actions.clone();
        actions.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
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

/// Counts the actions whose epoch is lower than that of an earlier action of the same role, or equal to it with a
/// different holder. `actions` are in order of time.
fn count_second_holders(actions: &[PerformedAction]) -> usize {
    let mut latest: BTreeMap<&str, LeaseHolder> = BTreeMap::new();
    let mut count = 0;
    for action in actions {
        let holder = LeaseHolder {
            epoch: action.epoch,
            node: action.node,
        };
        let last = latest.entry(&action.role).or_insert(holder);
        let shares_epoch = holder.epoch == last.epoch && holder.node != last.node;
        if holder.epoch < last.epoch || shares_epoch {
            count += 1;
        } else {
            *last = holder;
        }
    }
    count
}

/// Seconds from a fault of a lease holder to the first action of the role under test by another co-ordinator.
fn handover_seconds(actions: &[PerformedAction], fault: InjectedHolderFault) -> Option<f64> {
    let is_next = |action: &&PerformedAction| {
        action.role == ROLE_UNDER_TEST && action.at_s > fault.at_s && action.node != fault.node
    };
    actions
        .iter()
        .find(is_next)
        .map(|action| action.at_s - fault.at_s)
}

/// The smallest value that is not exceeded by at least `share` of the values; `None` if there are no values. The 0.99
/// quantile of fewer than a hundred values is the largest value.
fn quantile(sorted: &[f64], share: f64) -> Option<f64> {
    let rank = ((share * sorted.len() as f64).ceil() as usize).max(1);
    sorted.get(rank - 1).copied()
}

#[cfg(test)]
#[path = "../tests/unit/measurements.rs"]
mod tests;
