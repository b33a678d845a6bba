//! Faults within the tolerated number of losses, and planned changes of the membership.

use std::time::Duration;

use woadreach_journal::DiskFault;

use super::event::Event;
use super::stops::Stop;
use super::world::World;

/// Time for which a machine still counts as lost after it has recovered.
pub(crate) const CATCH_UP: Duration = Duration::from_millis(4_100);

#[derive(Debug, Clone, Copy)]
pub(crate) enum Fault {
    /// Draw a fault and the time of the next draw.
    Draw,
    Kill(usize),
    PowerLoss(usize),
    Wipe(usize),
    Start(usize),
    Thaw(usize),
    HealPartition(usize),
    HealDisk(usize),
    AddMachine,
    /// Start planned work if no loss is counted, and draw the time of the next attempt.
    DrawPlanned,
    /// Request a graceful shutdown, after which the machine is removed or restarted.
    Stop(usize, Stop),
    /// Check whether a process that is shutting down may exit.
    CheckStop(usize, u64),
    ThawCore,
    StartAll,
    /// All machines lose power, and some disks are wiped.
    Final,
}

impl World {
    pub(crate) fn on_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Draw => self.draw_fault(),
            Fault::Kill(index) => self.stop_machine(index, false, false),
            Fault::PowerLoss(index) => self.stop_machine(index, true, false),
            Fault::Wipe(index) => self.stop_machine(index, true, true),
            Fault::Start(index) => self.start_machine(index),
            Fault::Thaw(index) => self.thaw(index),
            Fault::HealPartition(index) => {
                self.machines[index].inbound_partitioned = false;
                self.machines[index].outbound_partitioned = false;
            }
            Fault::HealDisk(index) => {
                if self.machines[index].process.is_some() {
                    self.machines[index].disk.set_fault(DiskFault::Healthy);
                }
                self.unstall(index);
            }
            Fault::AddMachine => {
                self.add_machine();
            }
            Fault::DrawPlanned => self.draw_planned_work(),
            Fault::Stop(index, stop) => self.stop(index, stop),
            Fault::CheckStop(index, incarnation) => self.check_stop(index, incarnation),
            Fault::ThawCore => self.core.frozen = false,
            Fault::Final => self.inject_final_fault(),
            Fault::StartAll => {
                for index in 0..self.machines.len() {
                    self.start_machine(index);
                }
            }
        }
    }

    fn draw_fault(&mut self) {
        if self.now > self.end_of_faults {
            return;
        }
        let next = self.millis(200, 3_000);
        self.after(next, Event::Fault(Fault::Draw));
        let kind = if self.is_membership_run {
            self.random.rand_range(10..13)
        } else {
            self.random.rand_range(0..14)
        };
        match kind {
            0 | 1 => self.lose_one(Fault::Kill),
            2 | 3 => self.lose_one(Fault::PowerLoss),
            4 | 5 => self.lose_one(Fault::Wipe),
            6 => self.freeze(),
            7 | 8 => self.partition(),
            9 => self.fault_disk(),
            10 => self.replace(),
            11 => self.add(),
            12 => self.retire(),
            _ => self.inject_rare_fault(),
        }
    }

    /// Chooses a loss slot and a machine for a fault; `None` if all tolerated losses are used up or no machine is up.
    pub(crate) fn choose_loss(&mut self) -> Option<(usize, usize)> {
        let chosen = self.draw_loss();
        self.trace(|| format!("chosen for a loss: {chosen:?}"));
        chosen
    }

    fn draw_loss(&mut self) -> Option<(usize, usize)> {
        let slot = self.losses.iter().position(|until| *until <= self.now)?;
        let up: Vec<usize> = (0..self.machines.len())
            .filter(|index| self.machines[*index].is_up())
            .collect();
        // Removed machines are not up. Of the others, only those that are counted as lost may be down.
        let index = up
            .get(self.random.rand_range(0..up.len().max(1) as u64) as usize)
            .copied()?;
        Some((slot, index))
    }

    pub(crate) fn lose_one(&mut self, fault: impl Fn(usize) -> Fault) {
        if let Some((slot, index)) = self.choose_loss() {
            let fault = fault(index);
            self.lose(slot, index, fault, Duration::ZERO);
        }
    }

    /// Injects a fault after `delay`; the machine restarts after a random time.
    fn lose(&mut self, slot: usize, index: usize, fault: Fault, delay: Duration) {
        let down = self.millis(100, 3_000);
        self.losses[slot] = self.now + delay + down + CATCH_UP;
        self.after(delay, Event::Fault(fault));
        self.after(delay + down, Event::Fault(Fault::Start(index)));
    }

    fn stop_machine(&mut self, index: usize, power: bool, wipe: bool) {
        self.kill_machine(index, power);
        if wipe {
            self.machines[index].disk.wipe();
        }
    }

    /// Injects a fault after one in `acknowledgements_per_fault` acknowledgements on average; never if that is 0.
    pub(crate) fn maybe_fault_after_acknowledgement(&mut self) {
        if self.is_quiet_slow_run() {
            return;
        }
        if self.acknowledgements_per_fault == 0 || !self.chance(self.acknowledgements_per_fault) {
            return;
        }
        if let Some((slot, index)) = self.choose_loss() {
            let fault = if self.chance(2) {
                Fault::Wipe(index)
            } else {
                Fault::PowerLoss(index)
            };
            let delay = self.millis(0, 4);
            self.lose(slot, index, fault, delay);
        }
    }

    fn freeze(&mut self) {
        if let Some((slot, index)) = self.choose_loss() {
            let time = self.millis(100, 4_500);
            self.losses[slot] = self.now + time + CATCH_UP;
            self.machines[index].frozen = true;
            self.after(time, Event::Fault(Fault::Thaw(index)));
        }
    }

    fn partition(&mut self) {
        if let Some((slot, index)) = self.choose_loss() {
            let time = self.millis(100, 5_000);
            self.losses[slot] = self.now + time + CATCH_UP;
            let how = self.random.rand_range(0..3);
            self.machines[index].inbound_partitioned = how != 0;
            self.machines[index].outbound_partitioned = how != 1;
            self.after(time, Event::Fault(Fault::HealPartition(index)));
        }
    }

    fn fault_disk(&mut self) {
        if let Some((slot, index)) = self.choose_loss() {
            let time = self.millis(100, 4_000);
            self.losses[slot] = self.now + time + CATCH_UP;
            match self.random.rand_range(0..3) {
                0 => self.machines[index].disk.set_fault(DiskFault::Full),
                1 => self.machines[index].disk.set_fault(DiskFault::FailingSync),
                _ => self.machines[index].stalled = true,
            }
            self.after(time, Event::Fault(Fault::HealDisk(index)));
        }
    }

    /// Removes one machine permanently; an empty one joins at another address.
    fn replace(&mut self) {
        if let Some((slot, index)) = self.choose_loss() {
            let pause = self.millis(500, 2_500);
            self.losses[slot] = self.now + pause + CATCH_UP;
            self.remove(index);
            self.after(pause, Event::Fault(Fault::AddMachine));
        }
    }

    pub(crate) fn remove(&mut self, index: usize) {
        self.kill_machine(index, true);
        self.machines[index].disk.wipe();
        self.machines[index].removed = true;
    }

    fn add(&mut self) {
        let free = self.losses.iter().position(|until| *until <= self.now);
        if let Some(slot) = free.filter(|_| self.machines.len() < 9) {
            self.losses[slot] = self.now + CATCH_UP;
            self.add_machine();
        }
    }

    fn retire(&mut self) {
        if self.is_committing() || self.core.frozen {
            return;
        }
        let index = self.random.rand_range(0..self.machines.len() as u64) as usize;
        let node = self.machines[index].node.clone();
        if let Some(view) = self.core.retire(&node, self.tolerated_losses) {
            self.propose(view);
        }
    }

    /// Removes retired machines at once; the disk of another machine may be wiped right afterwards.
    pub(crate) fn remove_retired_machines(&mut self) {
        for index in 0..self.machines.len() {
            let retired = self
                .core
                .committed
                .retired
                .contains(&self.machines[index].node);
            if retired && !self.machines[index].removed {
                self.remove(index);
                self.lose_one(Fault::Wipe);
            }
        }
    }

    fn inject_rare_fault(&mut self) {
        if self.chance(2) {
            self.core.frozen = true;
            let time = self.millis(100, 3_000);
            self.after(time, Event::Fault(Fault::ThawCore));
            return;
        }
        // All machines lose power at once; no disk is wiped.
        for index in 0..self.machines.len() {
            self.kill_machine(index, true);
        }
        let slots = self.losses.len();
        let down = self.millis(100, 1_000);
        self.losses = vec![self.now + down + CATCH_UP; slots];
        self.after(down, Event::Fault(Fault::StartAll));
    }
}
