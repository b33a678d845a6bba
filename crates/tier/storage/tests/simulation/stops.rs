//! Graceful shutdown of storage processes, as the driver of the storage role does it.

use std::time::Duration;

use super::event::Event;
use super::faults::{CATCH_UP, Fault};
use super::mutation::Mutation;
use super::world::World;

/// Time between the order to stop and the kill.
const GRACE_PERIOD: Duration = Duration::from_secs(8);
/// Longest time that a process waits until its disk is no longer needed by the others.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(6_000);
/// Interval between two checks of whether a process may exit.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time between the exit of a process and its next start.
const RESTART_DELAY: Duration = Duration::from_millis(1_000);

/// Action on a machine after its process has exited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stop {
    /// The machine restarts with its disk; it occupies this slot of the tolerated losses until it has caught up.
    Roll(usize),
    /// The machine is removed together with its disk.
    Remove,
}

impl World {
    /// Starts planned work if no loss is counted at present, and schedules the next attempt.
    pub(crate) fn draw_planned_work(&mut self) {
        if self.now > self.end_of_faults {
            return;
        }
        let is_calm = self.losses.iter().all(|until| *until <= self.now);
        let pause = if is_calm {
            self.millis(4_500, 6_500)
        } else {
            self.millis(20, 200)
        };
        self.after(pause, Event::Fault(Fault::DrawPlanned));
        if is_calm && self.chance(3) {
            self.roll_one();
        } else if is_calm {
            self.replace_as_planned();
        }
    }

    /// Adds a machine, and after [`CATCH_UP`] stops and removes an old one. The removal does not count as a loss:
    /// another disk may be wiped at the same moment.
    fn replace_as_planned(&mut self) {
        if self.machines.len() >= 9 {
            return;
        }
        let Some((_, index)) = self.choose_loss() else {
            return;
        };
        let slots = self.losses.len();
        self.losses = vec![self.now + CATCH_UP; slots];
        self.add_machine();
        self.after(CATCH_UP, Event::Fault(Fault::Stop(index, Stop::Remove)));
    }

    /// Stops a process gracefully and restarts it.
    fn roll_one(&mut self) {
        if let Some((slot, index)) = self.choose_loss() {
            self.losses[slot] = self.now + GRACE_PERIOD + RESTART_DELAY + CATCH_UP;
            self.stop(index, Stop::Roll(slot));
        }
    }

    /// Requests a graceful shutdown of a process.
    pub(crate) fn stop(&mut self, index: usize, stop: Stop) {
        let machine = &self.machines[index];
        if !machine.is_up() || machine.stop.is_some() {
            return;
        }
        if stop == Stop::Remove && !self.has_successor(index) {
            return;
        }
        let machine = &mut self.machines[index];
        machine.stop = Some((stop, self.now));
        let incarnation = machine.incarnation;
        self.announce(index);
        self.after(
            Duration::ZERO,
            Event::Fault(Fault::CheckStop(index, incarnation)),
        );
    }

    /// Whether a full group remains without this machine. A retirement in the meantime may have reduced the members.
    fn has_successor(&self, index: usize) -> bool {
        let view = &self.core.committed;
        let stays =
            |node: &String| *node != self.machines[index].node && !view.retiring.contains(node);
        let others = view
            .latest()
            .iter()
            .filter(|member| stays(&member.node))
            .count();
        others > 2 * self.tolerated_losses
    }

    /// Ends a process that may exit or whose time limit has passed; otherwise schedules the next check.
    pub(crate) fn check_stop(&mut self, index: usize, incarnation: u64) {
        let machine = &self.machines[index];
        if machine.incarnation != incarnation || machine.process.is_none() {
            return;
        }
        let Some((stop, since)) = machine.stop else {
            return;
        };
        let waited = self.now - since;
        let limit = if machine.frozen {
            GRACE_PERIOD
        } else {
            LEAVE_TIMEOUT
        };
        if waited >= limit || (!machine.frozen && self.may_shut_down(index)) {
            return self.end(index, stop);
        }
        self.after(
            POLL_INTERVAL,
            Event::Fault(Fault::CheckStop(index, incarnation)),
        );
    }

    fn end(&mut self, index: usize, stop: Stop) {
        self.trace(|| format!("store-{index} ends: {stop:?}"));
        match stop {
            Stop::Roll(slot) => {
                self.kill_machine(index, false);
                self.losses[slot] = self.now + RESTART_DELAY + CATCH_UP;
                self.after(RESTART_DELAY, Event::Fault(Fault::Start(index)));
            }
            Stop::Remove => {
                self.remove(index);
                self.lose_one(Fault::Wipe);
            }
        }
    }

    fn may_shut_down(&self, index: usize) -> bool {
        let process = self.machines[index].process.as_ref();
        self.mutation == Mutation::ExitsAtOnce
            || process.is_some_and(|process| process.node.may_shut_down())
    }
}
