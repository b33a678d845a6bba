//! The worst fault of a day: all machines lose power at once, and as many as may be lost lose their disks.

use super::faults::{CATCH_UP, Fault};
use super::world::{Event, World};

/// One in so many acknowledgements is followed by the fault, until it has come.
const ACKNOWLEDGEMENTS: u64 = 30;

/// Whether and when a run has a final fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FinalFault {
    /// The run has none.
    Never,
    /// It comes after an acknowledgement.
    ToCome,
    /// It has come.
    Over,
}

impl World {
    /// A run that has a final fault beside the ordinary ones.
    pub(crate) fn with_final_fault(mut self) -> World {
        self.final_fault = FinalFault::ToCome;
        self
    }

    /// A turn or a reservation was acknowledged: at times the fault follows within a few milliseconds.
    pub(crate) fn final_fault_after_acknowledgement(&mut self) {
        if self.final_fault == FinalFault::ToCome && self.chance(ACKNOWLEDGEMENTS) {
            self.final_fault = FinalFault::Over;
            let delay = self.millis(0, 4);
            self.after(delay, Event::Fault(Fault::Final));
        }
    }

    /// Machines that are lost already take up a part of the tolerated number.
    pub(crate) fn strike_finally(&mut self) {
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
        for _ in lost..self.tolerated {
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
