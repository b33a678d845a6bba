//! What each fault does to a world, and what its end undoes.

use super::World;
use crate::network::Zone;
use crate::script::FaultKind;
use std::rc::Rc;
use woadreach_invariants::{CoordinatorId, EventKind};

impl World {
    /// Begins a fault that lasts for `duration`, in seconds.
    pub(super) fn inject(self: &Rc<Self>, kind: &FaultKind, duration: f64) {
        self.active_faults.borrow_mut().push(kind.clone());
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
            _ => self.worsen_behaviour(kind, kind.replicas()),
        }
    }

    /// Ends a fault. What it shares with others that are still active stays as they set it.
    pub(super) fn lift(self: &Rc<Self>, kind: &FaultKind) {
        self.forget_active(kind);
        match kind {
            FaultKind::Crash { replicas, .. } => self.restart_replicas(replicas),
            FaultKind::Isolate { replicas } => self.reconnect(replicas),
            FaultKind::Drain { replicas } => self.replace_replicas(replicas),
            FaultKind::Partition { from, to, .. } => self.heal(*from, *to),
            FaultKind::DiscoveryUnresponsive { co_ordinators } => {
                self.set_discovery_unresponsive(&self.not_unresponsive(co_ordinators), false);
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
            FaultKind::LoadBurst { .. } => self.load_factor.set(self.active_load_factor()),
            FaultKind::ExpensiveSearches { .. } => self.work_factor.set(self.active_work_factor()),
            FaultKind::MalformedRequests { .. } => {
                self.malformed_rate.set(self.active_malformed_rate());
            }
            _ => self.restore_behaviour(kind),
        }
    }

    fn forget_active(&self, kind: &FaultKind) {
        let mut active = self.active_faults.borrow_mut();
        if let Some(index) = active.iter().position(|other| other == kind) {
            active.remove(index);
        }
    }

    /// The last of the active faults for which `value` has one.
    fn last_active<T>(&self, value: impl Fn(&FaultKind) -> Option<T>) -> Option<T> {
        self.active_faults.borrow().iter().rev().find_map(value)
    }

    fn active_load_factor(&self) -> f64 {
        self.last_active(|kind| match kind {
            FaultKind::LoadBurst { factor } => Some(*factor),
            _ => None,
        })
        .unwrap_or(1.0)
    }

    fn active_work_factor(&self) -> f64 {
        self.last_active(|kind| match kind {
            FaultKind::ExpensiveSearches { factor } => Some(*factor),
            _ => None,
        })
        .unwrap_or(1.0)
    }

    fn active_malformed_rate(&self) -> f64 {
        self.last_active(|kind| match kind {
            FaultKind::MalformedRequests { rate } => Some(*rate),
            _ => None,
        })
        .unwrap_or(0.0)
    }

    fn is_isolated_by_active(&self, index: usize) -> bool {
        self.active_faults.borrow().iter().any(
            |kind| matches!(kind, FaultKind::Isolate { replicas } if replicas.contains(&index)),
        )
    }

    /// Those of `co_ordinators` whose discovery agent no active fault makes unresponsive.
    fn not_unresponsive(&self, co_ordinators: &[usize]) -> Vec<usize> {
        let is_unresponsive = |index: &usize| {
            self.active_faults.borrow().iter().any(|kind| {
                matches!(
                    kind,
                    FaultKind::DiscoveryUnresponsive { co_ordinators } if co_ordinators.contains(index)
                )
            })
        };
        let all = co_ordinators.iter().copied();
        all.filter(|index| !is_unresponsive(index)).collect()
    }

    /// Whether an active fault partitions `to` from what `from` sends.
    fn is_partitioned_by_active(&self, from: usize, to: usize) -> bool {
        self.active_faults.borrow().iter().any(|kind| match kind {
            FaultKind::Partition {
                from: sender,
                to: receiver,
                both,
            } => {
                (*sender, *receiver) == (from, to) || (*both && (*receiver, *sender) == (from, to))
            }
            _ => false,
        })
    }

    /// Applies a fault to the behaviour of `replicas`.
    fn worsen_behaviour(&self, kind: &FaultKind, replicas: &[usize]) {
        self.change_behaviour(replicas, |b| match kind {
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
        self.worsen_again(kind);
    }

    /// Applies the active faults of the same kind again to those replicas that the end of `lifted` has restored.
    fn worsen_again(&self, lifted: &FaultKind) {
        let active = self.active_faults.borrow().clone();
        let same_kind = active
            .iter()
            .filter(|kind| std::mem::discriminant(*kind) == std::mem::discriminant(lifted));
        for kind in same_kind {
            let shared: Vec<usize> = kind
                .replicas()
                .iter()
                .copied()
                .filter(|index| lifted.replicas().contains(index))
                .collect();
            self.worsen_behaviour(kind, &shared);
        }
    }

    fn isolate(&self, replicas: &[usize]) {
        for index in replicas {
            self.report_link(*index, true);
            let process = self.replicas[*index].process.get();
            self.network.set_isolated(process, true);
        }
    }

    /// Ends one fault that isolates these replicas. Each such fault counts as a cause of its own in the record.
    fn reconnect(&self, replicas: &[usize]) {
        for index in replicas {
            if !self.is_isolated_by_active(*index) {
                let process = self.replicas[*index].process.get();
                self.network.set_isolated(process, false);
            }
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
        for (sender, receiver) in [(from, to), (to, from)] {
            if !self.is_partitioned_by_active(sender, receiver) {
                self.network.heal(Zone(sender), Zone(receiver));
            }
        }
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
                self.recorder.record(EventKind::Stalled { node, seconds });
                self.clock.stall(process);
            }
        }
    }
}
