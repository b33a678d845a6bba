//! The worst tolerated fault: all machines lose power at once, and the tolerated number of disks is wiped.

use super::event::Event;
use super::faults::{CATCH_UP, Fault};
use super::world::World;

/// An acknowledgement triggers the final fault with a probability of one in this number.
const ACKNOWLEDGEMENTS_PER_FAULT: u64 = 30;

/// State of a run's final fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FinalFault {
    /// The run has no final fault.
    Never,
    /// The fault will be injected after an acknowledgement.
    Pending,
    /// The fault was injected.
    Injected,
}

impl World {
    /// Adds a final fault to the run's ordinary faults.
    pub(crate) fn with_final_fault(mut self) -> World {
        self.final_fault = FinalFault::Pending;
        self
    }

    /// On a random acknowledgement of a turn or a reservation, schedules the final fault within 4 ms.
    pub(crate) fn maybe_final_fault_after_acknowledgement(&mut self) {
        if self.is_quiet_slow_run() {
            return;
        }
        if self.final_fault == FinalFault::Pending && self.chance(ACKNOWLEDGEMENTS_PER_FAULT) {
            self.final_fault = FinalFault::Injected;
            let delay = self.millis(0, 4);
            self.after(delay, Event::Fault(Fault::Final));
        }
    }

    /// Kills all machines and wipes disks until the tolerated number of losses is used up; earlier losses count.
    pub(crate) fn inject_final_fault(&mut self) {
        let lost = self
            .losses
            .iter()
            .filter(|until| **until > self.now)
            .count();
        let mut up: Vec<usize> = (0..self.machines.len())
            .filter(|index| self.machines[*index].is_up())
            .collect();
        for index in 0..self.machines.len() {
            self.kill_machine(index, true);
        }
        for _ in lost..self.tolerated_losses {
            if !up.is_empty() {
                let index = up.swap_remove(self.random.rand_range(0..up.len() as u64) as usize);
                self.machines[index].disk.wipe();
            }
        }
        let down = self.millis(100, 1_000);
        self.losses.fill(self.now + down + CATCH_UP);
        self.after(down, Event::Fault(Fault::StartAll));
    }
}
