//! Start, kill, thaw and disk syncs of the simulated machines.

use std::time::Duration;

use woadreach_journal::SimulatedDisk;

use super::super::event::Event;
use super::super::machine::{Caller, Machine};
use super::World;

impl World {
    pub(crate) fn add_machine(&mut self) -> usize {
        let index = self.machines.len();
        let zone = self.random.rand_range(0..4);
        self.machines.push(Machine {
            node: format!("store-{index}"),
            zone: format!("zone-{zone}"),
            address: ([10, 0, 0, index as u8], 7_000).into(),
            disk: SimulatedDisk::default(),
            identity: 0,
            incarnation: 0,
            process: None,
            frozen: false,
            outbound_partitioned: false,
            inbound_partitioned: false,
            stalled: false,
            removed: false,
            stop: None,
        });
        self.start_machine(index);
        index
    }

    pub(crate) fn start_machine(&mut self, index: usize) {
        if self.machines[index].removed || self.machines[index].process.is_some() {
            return;
        }
        self.machines[index].start(
            self.now,
            self.tolerated_losses,
            &mut self.random,
            self.mutation,
        );
        let incarnation = self.machines[index].incarnation;
        self.after(
            Duration::from_millis(1),
            Event::Announce {
                machine: index,
                incarnation,
            },
        );
        self.start_pull(index);
        self.disk_work(index);
    }

    pub(crate) fn kill_machine(&mut self, index: usize, power: bool) {
        self.machines[index].kill(&mut self.random, power);
        self.deferred.remove(&index);
    }

    pub(crate) fn thaw(&mut self, index: usize) {
        self.machines[index].frozen = false;
        for event in self.deferred.remove(&index).unwrap_or_default() {
            self.after(Duration::ZERO, event);
        }
    }

    pub(crate) fn unstall(&mut self, index: usize) {
        self.machines[index].stalled = false;
        self.disk_work(index);
    }

    /// Starts a sync if records are queued and no sync is in flight.
    pub(super) fn disk_work(&mut self, index: usize) {
        if self.machines[index].begin_sync() {
            let incarnation = self.machines[index].incarnation;
            let delay = self.millis(1, 9);
            self.after(
                delay,
                Event::SyncDone {
                    machine: index,
                    incarnation,
                },
            );
        }
    }

    pub(super) fn on_sync_done(&mut self, index: usize, incarnation: u64) {
        if self.machines[index].incarnation != incarnation || self.machines[index].process.is_none()
        {
            return;
        }
        let epoch_before = self.machines[index].process.as_ref().and_then(|process| {
            process
                .pulling
                .as_ref()
                .map(|pulling| pulling.progress.epoch())
        });
        let process = self.machines[index].process.as_ref();
        let pulled_before = process.map_or(0, |process| process.node.pulled_epoch());
        for (caller, response) in self.machines[index].end_sync() {
            match caller {
                Caller::Call(call) => self.respond(index, call, response),
                Caller::PulledFrom(disk) => self.on_pulled_record(index, disk, &response),
                Caller::Nobody => self.on_own_record(index, &response),
            }
        }
        let process = self.machines[index]
            .process
            .as_ref()
            .expect("the process was running above");
        let epoch = process.node.view().epoch;
        let pulled_now = process.node.pulled_epoch() > pulled_before;
        if epoch_before != Some(epoch) {
            self.start_pull(index);
        } else if pulled_now {
            self.trace(|| format!("store-{index} has pulled for {epoch}"));
            self.announce(index);
        }
        self.disk_work(index);
    }
}
