//! What happens when in a run.

use super::{World, nanos};
use std::rc::Rc;

impl World {
    /// Starts all parties, and schedules the faults and the end of the load.
    pub(super) fn schedule(self: &Rc<Self>) {
        let all: Vec<usize> = (0..self.replicas.len()).collect();
        self.list(&all, "ready");
        for n in 0..self.coordinators.len() {
            self.start_coordinator(n);
            self.start_clients(n);
            self.start_malformed_clients(n);
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
            let (world, kind) = (self.clone(), fault.kind.clone());
            self.clock.call_at(nanos(fault.at), move || {
                world.inject(&kind, fault.duration);
            });
            let (world, kind) = (self.clone(), fault.kind);
            self.clock
                .call_at(nanos(fault.at + fault.duration), move || world.lift(&kind));
        }
    }

    fn close_idle_connections(&self) {
        self.coordinators
            .iter()
            .for_each(|n| n.clients.close_idle());
    }
}
