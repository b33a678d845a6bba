//! Recovery: whether the core serves requests again once all faults have ended.

use std::sync::Arc;

use woadreach_chain::TimedStep;

use super::core::Core;
use super::world::World;

/// Maximum number of proposals.
const ROUNDS: usize = 8;

impl Core {
    /// Whether a head confirms a request once every process runs, every disk syncs and every message is delivered.
    pub(crate) fn recovers(&self, world: &World) -> bool {
        let world = World {
            slow_disks: Vec::new(),
            ..world.clone()
        };
        let mut core = self.clone();
        for index in 0..core.machines.len() {
            core.sync(&world, index);
        }
        core.exchange_heartbeats(&world);
        core.deliver_and_resend(&world);
        for round in 0..ROUNDS {
            if core.serves(&world) {
                return true;
            }
            core.elect(&world, round);
        }
        core.serves(&world)
    }

    /// Delivers every message, lets each member resend, and delivers these messages too.
    pub(crate) fn deliver_and_resend(&mut self, world: &World) {
        self.deliver_all(world);
        for index in 0..self.machines.len() {
            self.step(world, index, TimedStep::Resend);
        }
        self.deliver_all(world);
    }

    fn elect(&mut self, world: &World, round: usize) {
        let newest = self.oracle.newest_epoch();
        let is_voter = |index: &usize| {
            let machine = &self.machines[*index];
            let view = &machine.member.durable().view;
            view.epoch == newest && view.is_voter(machine.id())
        };
        let voters: Vec<usize> = (0..self.machines.len()).filter(is_voter).collect();
        let Some(&proposer) = voters.get(round % voters.len().max(1)) else {
            return;
        };
        self.step(world, proposer, TimedStep::Propose);
        self.deliver_all(world);
        self.step(world, proposer, TimedStep::EndReportWait);
        self.deliver_and_resend(world);
    }

    fn serves(&mut self, world: &World) -> bool {
        let newest = self.oracle.newest_epoch();
        let now = self.now;
        let is_head = |machine: &Arc<super::machine::Machine>| {
            machine.epoch() == newest && machine.is_serving_head(now)
        };
        let Some(head) = self.machines.iter().position(is_head) else {
            return false;
        };
        let request = self.oracle.issue_confirmation();
        let id = request.id;
        self.submit(world, head, request);
        self.deliver_and_resend(world);
        self.oracle.is_answered(id)
    }
}
