//! What each fault does to a world, and what its end undoes.

use super::World;
use crate::network::Zone;
use crate::script::FaultKind;
use std::rc::Rc;
use woadreach_invariants::{CoordinatorId, EventKind};

impl World {
    /// Begins a fault that lasts for `duration`, in seconds.
    pub(super) fn inject(self: &Rc<Self>, kind: &FaultKind, duration: f64) {
        match kind {
            FaultKind::Crash {
                replicas,
                listed_after_s,
            } => self.crash_replicas(replicas, *listed_after_s),
            FaultKind::Isolate { replicas } => self.isolate(replicas),
            FaultKind::Drain { replicas } => self.drain_replicas(replicas),
            FaultKind::Partition { from, to, both } => self.partition(*from, *to, *both),
            FaultKind::DiscoveryUnresponsive { co_ordinators } => {
                self.set_discovery_unresponsive(co_ordinators, true);
            }
            FaultKind::StallCoordinators { co_ordinators } => {
                self.stall_coordinators(co_ordinators, duration);
            }
            FaultKind::StallReplicas { replicas } => {
                for index in replicas {
                    self.clock.stall(self.replicas[*index].process.get());
                }
            }
            FaultKind::KillCoordinators { co_ordinators } => {
                co_ordinators
                    .iter()
                    .for_each(|index| self.kill_coordinator(*index));
            }
            FaultKind::RestartCoordinators { co_ordinators } => {
                co_ordinators
                    .iter()
                    .for_each(|index| self.shut_down(*index));
            }
            FaultKind::ReloadCoordinators { co_ordinators } => {
                co_ordinators.iter().for_each(|index| self.reload(*index));
            }
            FaultKind::LoadBurst { factor } => self.load_factor.set(*factor),
            FaultKind::ExpensiveSearches { factor } => self.work_factor.set(*factor),
            FaultKind::MalformedRequests { rate } => self.malformed_rate.set(*rate),
            _ => self.worsen_behaviour(kind),
        }
    }

    /// Ends a fault.
    pub(super) fn lift(self: &Rc<Self>, kind: &FaultKind) {
        match kind {
            FaultKind::Crash { replicas, .. } => self.restart_replicas(replicas),
            FaultKind::Isolate { replicas } => self.reconnect(replicas),
            FaultKind::Drain { replicas } => self.replace_replicas(replicas),
            FaultKind::Partition { from, to, .. } => self.heal(*from, *to),
            FaultKind::DiscoveryUnresponsive { co_ordinators } => {
                self.set_discovery_unresponsive(co_ordinators, false);
            }
            FaultKind::StallCoordinators { co_ordinators } => {
                co_ordinators
                    .iter()
                    .filter_map(|index| self.coordinators[*index].process.get())
                    .for_each(|process| self.clock.resume(process));
            }
            FaultKind::StallReplicas { replicas } => {
                for index in replicas {
                    self.clock.resume(self.replicas[*index].process.get());
                }
            }
            FaultKind::KillCoordinators { co_ordinators }
            | FaultKind::RestartCoordinators { co_ordinators } => {
                co_ordinators
                    .iter()
                    .for_each(|index| self.start_again(*index));
            }
            FaultKind::ReloadCoordinators { .. } => {}
            FaultKind::LoadBurst { .. } => self.load_factor.set(1.0),
            FaultKind::ExpensiveSearches { .. } => self.work_factor.set(1.0),
            FaultKind::MalformedRequests { .. } => self.malformed_rate.set(0.0),
            _ => self.restore_behaviour(kind),
        }
    }

    fn worsen_behaviour(&self, kind: &FaultKind) {
        self.change_behaviour(kind.replicas(), |b| match kind {
            FaultKind::Hang { .. } => b.hangs = true,
            FaultKind::Slow { factor, .. } => b.speed /= factor,
            FaultKind::RejectParts { .. } => b.rejects_all = true,
            FaultKind::DropAnswers { share, .. } => b.drop_share = *share,
            FaultKind::AnswerErrors { share, .. } => b.error_share = *share,
            FaultKind::CorruptAnswers { share, .. } => b.corrupt_share = *share,
            FaultKind::DuplicateAnswers { share, .. } => b.duplicate_share = *share,
            FaultKind::BreakConnections { share, .. } => b.break_share = *share,
            FaultKind::IgnoreCancels { .. } => b.ignores_cancels = true,
            FaultKind::SlowReads {
                accept_delay_s,
                read_delay_s,
                ..
            } => {
                (b.accept_delay, b.read_delay) = (*accept_delay_s, *read_delay_s);
            }
            _ => {}
        });
    }

    fn restore_behaviour(&self, kind: &FaultKind) {
        self.change_behaviour(kind.replicas(), |b| match kind {
            FaultKind::Hang { .. } => b.hangs = false,
            FaultKind::Slow { .. } => b.speed = 1.0,
            FaultKind::RejectParts { .. } => b.rejects_all = false,
            FaultKind::DropAnswers { .. } => b.drop_share = 0.0,
            FaultKind::AnswerErrors { .. } => b.error_share = 0.0,
            FaultKind::CorruptAnswers { .. } => b.corrupt_share = 0.0,
            FaultKind::DuplicateAnswers { .. } => b.duplicate_share = 0.0,
            FaultKind::BreakConnections { .. } => b.break_share = 0.0,
            FaultKind::IgnoreCancels { .. } => b.ignores_cancels = false,
            FaultKind::SlowReads { .. } => (b.accept_delay, b.read_delay) = (0.0, 0.0),
            _ => {}
        });
    }

    fn isolate(&self, replicas: &[usize]) {
        for index in replicas {
            self.report_link(*index, true);
            let process = self.replicas[*index].process.get();
            self.network.set_isolated(process, true);
        }
    }

    fn reconnect(&self, replicas: &[usize]) {
        for index in replicas {
            let process = self.replicas[*index].process.get();
            self.network.set_isolated(process, false);
            self.report_link(*index, false);
        }
    }

    fn partition(&self, from: usize, to: usize, both: bool) {
        self.report_links_of(&[from, to], true);
        self.network.partition(Zone(from), Zone(to));
        if both {
            self.network.partition(Zone(to), Zone(from));
        }
    }

    fn heal(&self, from: usize, to: usize) {
        self.network.heal(Zone(from), Zone(to));
        self.network.heal(Zone(to), Zone(from));
        self.report_links_of(&[from, to], false);
    }

    fn set_discovery_unresponsive(&self, co_ordinators: &[usize], unresponsive: bool) {
        for index in co_ordinators {
            self.coordinators[*index]
                .agent
                .set_unresponsive(unresponsive);
        }
    }

    fn stall_coordinators(&self, co_ordinators: &[usize], seconds: f64) {
        for index in co_ordinators {
            if let Some(process) = self.coordinators[*index].process.get() {
                let node = CoordinatorId(*index);
                self.recorder.tell(EventKind::Stalled { node, seconds });
                self.clock.stall(process);
            }
        }
    }
}
