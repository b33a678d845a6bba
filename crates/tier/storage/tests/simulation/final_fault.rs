//! The worst fault that is tolerated: all machines lose power at once, and as many as may be lost lose their disks.

use super::event::Event;
use super::faults::{CATCH_UP, Fault};
use super::world::World;

/// The fault follows an acknowledgement with a probability of one in this number.
const ACKNOWLEDGEMENTS_PER_FAULT: u64 = 30;

/// Whether and when a run has a final fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FinalFault {
    /// The run has none.
    Never,
    /// It is injected after an acknowledgement.
    Pending,
    /// It was injected.
    Injected,
}

impl World {
    /// A run that has a final fault beside the ordinary ones.
    pub(crate) fn with_final_fault(mut self) -> World {
        self.final_fault = FinalFault::Pending;
        self
    }

    /// After some acknowledgements of a turn or a reservation, injects the fault within a few milliseconds.
    pub(crate) fn maybe_final_fault_after_acknowledgement(&mut self) {
        if self.final_fault == FinalFault::Pending && self.chance(ACKNOWLEDGEMENTS_PER_FAULT) {
            self.final_fault = FinalFault::Injected;
            let delay = self.millis(0, 4);
            self.after(delay, Event::Fault(Fault::Final));
        }
    }

    /// Stops all machines and wipes as many disks as may still be lost beside the machines that are lost already.
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
