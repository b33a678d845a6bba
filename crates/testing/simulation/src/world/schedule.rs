//! The schedule of a run: its parties start, faults begin and end, and the load ends.

use super::World;
use crate::time::nanos;
use std::rc::Rc;

impl World {
    /// Starts all parties, and schedules the faults and the end of the load.
    pub(super) fn schedule(self: &Rc<Self>) {
        let all: Vec<usize> = (0..self.replicas.len()).collect();
        self.list(&all, "ready");
        for index in 0..self.coordinators.len() {
            self.start_coordinator(index);
            self.start_clients(index);
            self.start_malformed_clients(index);
        }
        self.schedule_faults();
        let world = self.clone();
        self.clock.call_at(nanos(self.script.seconds), move || {
            world.clients_active.set(false);
            world.close_idle_connections();
        });
        // The connections of searches that were still open by then are idle later.
        let world = self.clone();
        let late = self.script.seconds + 2.0 * self.script.max_client_timeout();
        self.clock
            .call_at(nanos(late), move || world.close_idle_connections());
    }

    fn schedule_faults(self: &Rc<Self>) {
        for fault in self.script.faults.clone() {
            let world = self.clone();
            let kind = fault.kind.clone();
            self.clock.call_at(nanos(fault.at), move || {
                world.inject(&kind, fault.duration);
            });
            let world = self.clone();
            let lifted_at = nanos(fault.at + fault.duration);
            self.clock
                .call_at(lifted_at, move || world.lift(&fault.kind));
        }
    }

    fn close_idle_connections(&self) {
        self.coordinators
            .iter()
            .for_each(|coordinator| coordinator.clients.close_idle());
    }
}
