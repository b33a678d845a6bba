//! The replicas of a world: their processes, their entries in endpoint lists, and their behaviour.

use super::World;
use crate::clock::MILLISECOND;
use crate::network::{Zone, address, seed_of};
use crate::time::nanos;
use std::rc::Rc;
use woadreach_fakes::{Behaviour, ListEntry, Recorder, WarmUp};
use woadreach_invariants::EventKind;
use woadreach_runtime::Net;

/// Seconds from a replica's start until the endpoint list says so.
const LISTING_DELAY: f64 = 0.2;

impl World {
    /// Those of the replicas that are alive now, or those that are not.
    fn with_liveness(&self, replicas: &[usize], alive: bool) -> Vec<usize> {
        replicas
            .iter()
            .copied()
            .filter(|index| self.replicas[*index].alive.get() == alive)
            .collect()
    }

    /// Starts a replica's process at the addresses that it had. It warms up, if the settings say how.
    pub(super) fn start_replica(&self, index: usize, warming_up: bool) {
        let slot = &self.replicas[index];
        self.network.kill(slot.process.get());
        let net = self.network.add_machine(Zone(slot.zone), 0.0);
        slot.process.set(net.process());
        slot.alive.set(true);
        let start = slot.starts.replace(slot.starts.get() + 1);
        let slow_start = self
            .script
            .settings
            .slow_start
            .as_ref()
            .filter(|_| warming_up);
        let behaviour = Behaviour {
            cores: self.script.fleet.cores,
            queue_capacity: self.script.fleet.queue_capacity,
            warm_up: slow_start.map(|slow_start| WarmUp {
                initial_share: slow_start.initial_share,
                duration: slow_start.duration_s,
            }),
            ..Behaviour::default()
        };
        slot.started_at
            .set(if warming_up { net.now() } else { 0.0 });
        let name = slot.name.borrow().clone();
        let seed = seed_of(self.script.seed, &format!("{name} {start}"));
        let recorder = self.recorder.clone();
        // The start of a replica that was there before the run isn't part of it.
        let recorder = Recorder::new(move |event| {
            if warming_up || !matches!(event, EventKind::ReplicaStarted { .. }) {
                recorder.record(event);
            }
        });
        let addresses = slot.addresses.borrow();
        let handle =
            woadreach_fakes::start_replica(&net, &name, behaviour, &addresses, seed, &recorder);
        *slot.handle.borrow_mut() =
            handle.unwrap_or_else(|e| panic!("the address of a dead process: {e}"));
    }

    /// Kills replicas, and lists them as departed after a delay.
    pub(super) fn crash_replicas(self: &Rc<Self>, replicas: &[usize], listed_after_s: f64) {
        for index in self.with_liveness(replicas, true) {
            let slot = &self.replicas[index];
            slot.alive.set(false);
            self.network.kill(slot.process.get());
            let world = self.clone();
            let start = slot.starts.get();
            let listed_at = self.clock.now() + nanos(listed_after_s);
            self.clock.call_at(listed_at, move || {
                let slot = &world.replicas[index];
                if !slot.alive.get() && slot.starts.get() == start {
                    world.list(&[index], "gone");
                }
            });
        }
    }

    /// Starts crashed replicas again, and lists them as ready a little later.
    pub(super) fn restart_replicas(self: &Rc<Self>, replicas: &[usize]) {
        for index in self.with_liveness(replicas, false) {
            self.start_replica(index, true);
            let world = self.clone();
            let listed_at = self.clock.now() + nanos(LISTING_DELAY);
            self.clock
                .call_at(listed_at, move || world.list(&[index], "ready"));
        }
    }

    /// Lists replicas as draining.
    pub(super) fn drain_replicas(&self, replicas: &[usize]) {
        self.list(&self.with_liveness(replicas, true), "draining");
    }

    /// Replaces drained replicas by processes on other machines under other names.
    pub(super) fn replace_replicas(&self, replicas: &[usize]) {
        for index in self.with_liveness(replicas, true) {
            let slot = &self.replicas[index];
            let old = slot.process.get();
            self.list(&[index], "gone");
            *slot.name.borrow_mut() = format!("r{index}.{}", slot.starts.get());
            let net = self.network.add_machine(Zone(slot.zone), 0.0);
            for (_, replica_address) in slot.addresses.borrow_mut().iter_mut() {
                *replica_address = address(net.process(), replica_address.port());
            }
            slot.process.set(net.process());
            self.start_replica(index, true);
            self.list(&[index], "ready");
            let network = self.network.clone();
            let killed_at = self.clock.now() + 1000 * MILLISECOND;
            self.clock.call_at(killed_at, move || network.kill(old));
        }
    }

    /// A replica's entry in a co-ordinator's endpoint list.
    fn list_entry(&self, index: usize, node: usize, lifecycle: &'static str) -> ListEntry {
        let slot = &self.replicas[index];
        ListEntry {
            id: slot.name.borrow().clone(),
            address: slot.addresses.borrow()[node].1,
            zone: format!("z{}", slot.zone),
            cell: slot.cell,
            lifecycle,
            started_at: slot.started_at.get(),
        }
    }

    /// Lists replicas in this state for every co-ordinator.
    pub(super) fn list(&self, replicas: &[usize], lifecycle: &'static str) {
        for (node, coordinator) in self.coordinators.iter().enumerate() {
            let entries: Vec<ListEntry> = replicas
                .iter()
                .map(|index| self.list_entry(*index, node, lifecycle))
                .collect();
            coordinator.agent.change(&entries);
        }
    }

    /// Changes the behaviour of replicas.
    pub(super) fn change_behaviour(&self, replicas: &[usize], change: impl Fn(&mut Behaviour)) {
        for index in replicas {
            self.replicas[*index].handle.borrow().change(&change);
        }
    }

    /// Records that what a replica is sent may be delayed from now on, or no longer is.
    pub(super) fn report_link(&self, index: usize, is_blocked: bool) {
        let replica = self.replicas[index].name.borrow().as_str().into();
        self.recorder.record(EventKind::LinkBlocked {
            replica,
            blocked: is_blocked,
        });
    }

    /// Records the same for all replicas of these zones.
    pub(super) fn report_links_of(&self, zones: &[usize], is_blocked: bool) {
        for (index, slot) in self.replicas.iter().enumerate() {
            if zones.contains(&slot.zone) {
                self.report_link(index, is_blocked);
            }
        }
    }
}
