//! Start, kill, wipe and freeze of the machines' processes.

use std::net::SocketAddrV4;
use std::time::Duration;

use woadreach_chain::{Durable, FailureDomain, Input, Member, MemberOptions, Tolerance, View};

use super::disk::SimulatedDisk;
use super::event::Event;
use super::node::Node;
use super::world::{InjectedBug, World};

impl World {
    /// Kills the process. A random prefix of the unsynced records remains on the disk.
    pub(crate) fn kill(&mut self, node: usize) {
        self.trace(|| format!("node {node} killed"));
        let unsynced = self.nodes[node]
            .disk
            .as_ref()
            .map_or(0, SimulatedDisk::unsynced_count);
        let retained = self.random_index(unsynced + 1);
        let state = &mut self.nodes[node];
        if state.member.take().is_none() {
            return;
        }
        if let Some(disk) = &mut state.disk {
            disk.crash(retained);
        }
        state.incarnation += 1;
        state.last_synced = 0;
        state.is_syncing = false;
        state.frozen_until = None;
        state.stop = None;
        state.backlog.clear();
        state.calls.clear();
    }

    /// Kills the process and erases its disk.
    pub(crate) fn wipe(&mut self, node: usize) {
        self.kill(node);
        self.nodes[node].disk = None;
        self.trace(|| format!("node {node} wiped"));
    }

    pub(crate) fn start(&mut self, node: usize) {
        if self.nodes[node].member.is_some() || self.nodes[node].is_removed {
            return;
        }
        let present = self.nodes.iter().filter(|node| !node.is_removed);
        let seeds: Vec<SocketAddrV4> = present.take(3).map(|node| node.address).collect();
        let is_first_incarnation = self.nodes[node].incarnation == 0 && self.nodes[node].is_initial;
        if self.nodes[node].disk.is_none() {
            let view = if is_first_incarnation {
                View::bootstrap(&seeds)
            } else {
                View::default()
            };
            let keeps_identity =
                self.bug == Some(InjectedBug::IdentitySurvivesWipe) && !is_first_incarnation;
            if !keeps_identity {
                self.nodes[node].identity = self.random.rand_u64() | 1;
            }
            let mut durable = Durable::new(self.nodes[node].identity, is_first_incarnation, view);
            if is_first_incarnation {
                durable.state = self.first_state.clone();
            }
            self.nodes[node].disk = Some(SimulatedDisk::new(durable));
        }
        let options = MemberOptions {
            address: self.nodes[node].address,
            seeds,
            tolerance: Tolerance {
                machines: self.fault_tolerance,
                zones: usize::from(self.zones > 0),
                regions: 0,
            },
            failure_domain: self.failure_domain(node),
            random_seed: self.random.rand_u64(),
        };
        let disk = self.nodes[node].disk.as_ref().expect("made above");
        let durable = Durable::decode(&disk.synced.encode()).expect("own snapshot");
        #[allow(unused_mut)]
        let mut member = Member::new(self.now, options, durable);
        #[cfg(feature = "mutations")]
        if let Some(InjectedBug::Member(mutation)) = self.bug {
            member.set_mutation(mutation);
        }
        self.trace(|| format!("node {node} started as {:?}", member.id()));
        self.nodes[node].member = Some(member);
        self.nodes[node].scheduled_wake = Duration::ZERO;
        self.history.record_restart(node);
        self.input(node, Input::Tick);
    }

    /// Adds a machine with an empty disk, starts it and returns its number.
    pub(crate) fn add(&mut self) -> usize {
        let node = self.nodes.len();
        self.nodes.push(Node {
            is_initial: false,
            ..Node::new(node)
        });
        self.start(node);
        node
    }

    /// The machines that were not permanently removed.
    pub(crate) fn present(&self) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|&node| !self.nodes[node].is_removed)
            .collect()
    }

    fn failure_domain(&self, node: usize) -> FailureDomain {
        if self.zones == 0 {
            FailureDomain::default()
        } else {
            FailureDomain {
                zone: (node % self.zones) as u32,
                region: 0,
            }
        }
    }

    pub(crate) fn freeze(&mut self, node: usize, length: Duration) {
        if self.is_running(node) {
            self.nodes[node].frozen_until = Some(self.now + length);
            self.schedule(length, Event::Thaw { node });
        }
    }

    pub(super) fn thaw(&mut self, node: usize) {
        let is_due = self.nodes[node]
            .frozen_until
            .is_some_and(|until| until <= self.now);
        if !is_due {
            return;
        }
        self.nodes[node].frozen_until = None;
        for (from, envelope) in std::mem::take(&mut self.nodes[node].backlog) {
            self.deliver(node, from, envelope);
        }
        self.nodes[node].scheduled_wake = Duration::ZERO;
        self.input(node, Input::Tick);
        let through = self.nodes[node].last_synced;
        self.input(node, Input::Synced(through));
    }

    /// Ends every fault and starts every machine.
    pub(crate) fn heal(&mut self) {
        self.partitioned_links.clear();
        self.loss = 0.0;
        for node in 0..self.nodes.len() {
            self.nodes[node].disk_factor = 1;
            self.nodes[node].is_disk_stalled = false;
            if self.nodes[node].frozen_until.is_some() {
                self.nodes[node].frozen_until = Some(self.now);
                self.thaw(node);
            }
            self.start(node);
        }
    }
}
