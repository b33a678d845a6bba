//! What each fault does to a world, and what its end undoes.

use super::{LISTED_AFTER, World, nanos};
use crate::clock::MILLISECOND;
use crate::network::{Zone, address, seed_of};
use crate::script::FaultKind;
use std::rc::Rc;
use woadreach_fakes::{Behaviour, Line, Recorder};
use woadreach_invariants::{EventKind, NodeId};
use woadreach_runtime::Net;

impl World {
    pub(super) fn strike(self: &Rc<Self>, kind: &FaultKind, lasts: f64) {
        match kind {
            FaultKind::Crash {
                replicas,
                listed_after,
            } => {
                for r in replicas
                    .iter()
                    .copied()
                    .filter(|r| self.replicas[*r].alive.get())
                {
                    let slot = &self.replicas[r];
                    slot.alive.set(false);
                    self.network.kill(slot.process.get());
                    let (world, turn) = (self.clone(), slot.turns.get());
                    self.clock
                        .call_at(self.clock.now() + nanos(*listed_after), move || {
                            let slot = &world.replicas[r];
                            if !slot.alive.get() && slot.turns.get() == turn {
                                world.list(&[r], "gone");
                            }
                        });
                }
            }
            FaultKind::Isolate { replicas } => {
                for r in replicas {
                    self.way(*r, true);
                    self.network
                        .set_isolated(self.replicas[*r].process.get(), true);
                }
            }
            FaultKind::Drain { replicas } => {
                let alive: Vec<usize> = replicas
                    .iter()
                    .copied()
                    .filter(|r| self.replicas[*r].alive.get())
                    .collect();
                self.list(&alive, "draining");
            }
            FaultKind::Hang { replicas } => self.behave(replicas, |b| b.hangs = true),
            FaultKind::Slow { replicas, factor } => self.behave(replicas, |b| b.speed /= factor),
            FaultKind::RejectParts { replicas } => self.behave(replicas, |b| b.full = true),
            FaultKind::DropAnswers { replicas, share } => {
                self.behave(replicas, |b| b.swallows = *share)
            }
            FaultKind::AnswerErrors { replicas, share } => {
                self.behave(replicas, |b| b.errors = *share)
            }
            FaultKind::CorruptAnswers { replicas, share } => {
                self.behave(replicas, |b| b.spoils = *share)
            }
            FaultKind::DuplicateAnswers { replicas, share } => {
                self.behave(replicas, |b| b.doubles = *share)
            }
            FaultKind::BreakConnections { replicas, share } => {
                self.behave(replicas, |b| b.breaks = *share)
            }
            FaultKind::IgnoreCancels { replicas } => self.behave(replicas, |b| b.heedless = true),
            FaultKind::SlowReads {
                replicas,
                accepts,
                reads,
            } => self.behave(replicas, |b| {
                (b.accepts_late, b.reads_late) = (*accepts, *reads);
            }),
            FaultKind::Partition { from, to, both } => {
                self.ways_of(&[*from, *to], true);
                self.network.partition(Zone(*from), Zone(*to));
                if *both {
                    self.network.partition(Zone(*to), Zone(*from));
                }
            }
            FaultKind::DiscoverySilent { co_ordinators } => {
                co_ordinators
                    .iter()
                    .for_each(|n| self.nodes[*n].agent.silence(true));
            }
            FaultKind::StallCoordinators { co_ordinators } => {
                for n in co_ordinators {
                    if let Some(process) = self.nodes[*n].process.get() {
                        self.recorder.tell(EventKind::Stalled {
                            node: NodeId(*n),
                            seconds: lasts,
                        });
                        self.clock.stall(process);
                    }
                }
            }
            FaultKind::StallReplicas { replicas } => {
                for r in replicas {
                    self.clock.stall(self.replicas[*r].process.get());
                }
            }
            FaultKind::KillCoordinators { co_ordinators } => {
                co_ordinators.iter().for_each(|n| self.kill_node(*n))
            }
            FaultKind::RestartCoordinators { co_ordinators } => {
                co_ordinators.iter().for_each(|n| self.restart_node(*n))
            }
            FaultKind::ReloadCoordinators { co_ordinators } => {
                co_ordinators.iter().for_each(|n| self.reload(*n))
            }
            FaultKind::LoadBurst { factor } => self.burst.set(*factor),
            FaultKind::ExpensiveSearches { factor } => self.costly.set(*factor),
            FaultKind::MalformedRequests { rate } => self.rude.set(*rate),
        }
    }

    pub(super) fn lift(self: &Rc<Self>, kind: &FaultKind) {
        match kind {
            FaultKind::Crash { replicas, .. } => {
                for r in replicas
                    .iter()
                    .copied()
                    .filter(|r| !self.replicas[*r].alive.get())
                {
                    self.start_replica(r, true);
                    let world = self.clone();
                    let listed = self.clock.now() + nanos(LISTED_AFTER);
                    self.clock
                        .call_at(listed, move || world.list(&[r], "ready"));
                }
            }
            FaultKind::Isolate { replicas } => {
                for r in replicas {
                    self.network
                        .set_isolated(self.replicas[*r].process.get(), false);
                    self.way(*r, false);
                }
            }
            FaultKind::Drain { replicas } => {
                for r in replicas
                    .iter()
                    .copied()
                    .filter(|r| self.replicas[*r].alive.get())
                {
                    let slot = &self.replicas[r];
                    let old = slot.process.get();
                    self.list(&[r], "gone");
                    // Its successor is another machine, under another name.
                    let name = format!("r{r}.{}", slot.turns.get());
                    *slot.name.borrow_mut() = name;
                    let net = self.network.add_machine(Zone(slot.zone), 0.0);
                    let addresses = slot
                        .addresses
                        .borrow()
                        .iter()
                        .map(|(n, a)| (*n, address(net.process(), a.port())))
                        .collect();
                    *slot.addresses.borrow_mut() = addresses;
                    slot.process.set(net.process());
                    self.start_replica(r, true);
                    self.list(&[r], "ready");
                    let network = self.network.clone();
                    self.clock
                        .call_at(self.clock.now() + 1000 * MILLISECOND, move || {
                            network.kill(old)
                        });
                }
            }
            FaultKind::Hang { replicas } => self.behave(replicas, |b| b.hangs = false),
            FaultKind::Slow { replicas, .. } => self.behave(replicas, |b| b.speed = 1.0),
            FaultKind::RejectParts { replicas } => self.behave(replicas, |b| b.full = false),
            FaultKind::DropAnswers { replicas, .. } => self.behave(replicas, |b| b.swallows = 0.0),
            FaultKind::AnswerErrors { replicas, .. } => self.behave(replicas, |b| b.errors = 0.0),
            FaultKind::CorruptAnswers { replicas, .. } => self.behave(replicas, |b| b.spoils = 0.0),
            FaultKind::DuplicateAnswers { replicas, .. } => {
                self.behave(replicas, |b| b.doubles = 0.0)
            }
            FaultKind::BreakConnections { replicas, .. } => {
                self.behave(replicas, |b| b.breaks = 0.0)
            }
            FaultKind::IgnoreCancels { replicas } => self.behave(replicas, |b| b.heedless = false),
            FaultKind::SlowReads { replicas, .. } => self.behave(replicas, |b| {
                (b.accepts_late, b.reads_late) = (0.0, 0.0);
            }),
            FaultKind::Partition { from, to, .. } => {
                self.network.heal(Zone(*from), Zone(*to));
                self.network.heal(Zone(*to), Zone(*from));
                self.ways_of(&[*from, *to], false);
            }
            FaultKind::DiscoverySilent { co_ordinators } => {
                co_ordinators
                    .iter()
                    .for_each(|n| self.nodes[*n].agent.silence(false));
            }
            FaultKind::StallCoordinators { co_ordinators } => {
                co_ordinators
                    .iter()
                    .filter_map(|n| self.nodes[*n].process.get())
                    .for_each(|p| self.clock.resume(p));
            }
            FaultKind::StallReplicas { replicas } => {
                for r in replicas {
                    self.clock.resume(self.replicas[*r].process.get());
                }
            }
            FaultKind::KillCoordinators { co_ordinators }
            | FaultKind::RestartCoordinators { co_ordinators } => {
                co_ordinators.iter().for_each(|n| self.start_again(*n));
            }
            FaultKind::ReloadCoordinators { .. } => {}
            FaultKind::LoadBurst { .. } => self.burst.set(1.0),
            FaultKind::ExpensiveSearches { .. } => self.costly.set(1.0),
            FaultKind::MalformedRequests { .. } => self.rude.set(0.0),
        }
    }

    /// The process of a replica starts, at the addresses that it had; cold, if the settings know of that.
    pub(super) fn start_replica(&self, r: usize, cold: bool) {
        let slot = &self.replicas[r];
        self.network.kill(slot.process.get());
        let net = self.network.add_machine(Zone(slot.zone), 0.0);
        slot.process.set(net.process());
        slot.alive.set(true);
        let turn = slot.turns.replace(slot.turns.get() + 1);
        let settings = self.script.settings.cold.as_ref().filter(|_| cold);
        let behaviour = Behaviour {
            cores: self.script.fleet.cores,
            room: self.script.fleet.queue_capacity,
            cold: settings.map(|c| (c.from, c.time)),
            ..Behaviour::default()
        };
        let now = if cold { net.now() } else { 0.0 };
        slot.started_at.set(now);
        let name = slot.name.borrow().clone();
        let seed = seed_of(self.script.seed, &format!("{name} {turn}"));
        // One that was there before the run is not born in it.
        let silent = Recorder::new({
            let recorder = self.recorder.clone();
            move |what| {
                if cold || !matches!(what, EventKind::ReplicaStarted { .. }) {
                    recorder.tell(what);
                }
            }
        });
        let addresses = slot.addresses.borrow();
        let handle = woadreach_fakes::replica(&net, &name, behaviour, &addresses, seed, &silent);
        *slot.handle.borrow_mut() =
            handle.unwrap_or_else(|e| panic!("the address of a dead process: {e}"));
    }

    pub(super) fn line(&self, r: usize, n: usize, lifecycle: &'static str) -> Line {
        let slot = &self.replicas[r];
        Line {
            id: slot.name.borrow().clone(),
            address: slot.addresses.borrow()[n].1,
            zone: format!("z{}", slot.zone),
            cell: slot.cell,
            lifecycle,
            started_at: slot.started_at.get(),
        }
    }

    pub(super) fn list(&self, replicas: &[usize], lifecycle: &'static str) {
        for (n, node) in self.nodes.iter().enumerate() {
            let lines: Vec<Line> = replicas
                .iter()
                .map(|r| self.line(*r, n, lifecycle))
                .collect();
            node.agent.change(&lines);
        }
    }

    pub(super) fn way(&self, r: usize, held: bool) {
        let replica = self.replicas[r].name.borrow().as_str().into();
        self.recorder.tell(EventKind::LinkBlocked { replica, held });
    }

    pub(super) fn behave(&self, replicas: &[usize], change: impl Fn(&mut Behaviour)) {
        replicas
            .iter()
            .for_each(|r| self.replicas[*r].handle.borrow().change(&change));
    }

    pub(super) fn ways_of(&self, zones: &[usize], held: bool) {
        let of: Vec<usize> = (0..self.replicas.len())
            .filter(|r| zones.contains(&self.replicas[*r].zone))
            .collect();
        of.iter().for_each(|r| self.way(*r, held));
    }
}
