//! What becomes of a late attempt of a call that may run again.

use crate::action::Action;
use crate::admission::Admission;
use crate::call::CallId;
use crate::call_state::CallEvent;
use crate::fleet::ReplicaKey;
use crate::in_hand::{Attempt, AttemptState};
use crate::placement::Placement;

/// How soon (seconds) a late attempt is looked at again, at the least.
const LOOK_AGAIN: f64 = 0.05;
/// A call that so many sent later overtook at its replica has lost its answer.
const OVERTAKEN: u32 = 2;

impl Admission {
    /// A late attempt of a call that may run again: a safe one gets a second copy, a resumable stream that
    /// shows nothing is taken from a replica that has lost it.
    pub(crate) fn consider_copy(&mut self, now: f64, id: CallId, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.get(&id) else { return };
        let begun = call.attempts.iter().any(|a| a.begun && a.state == AttemptState::Out);
        let within_bounds = call.replicas_reached().len() < call.call.max_replicas as usize;
        let copied = call.attempts.iter().filter(|a| a.state == AttemptState::Out).count() > 1;
        if begun || copied || !within_bounds || !call.call.kind.may_run_again() {
            let Some(call) = self.calls.get_mut(&id) else { return };
            self.timers.set(&mut call.timer, id, None);
            return;
        }
        let streaming = call.call.kind.is_streaming();
        let wanted = !streaming || self.has_lost_it(now, id);
        if let Some(replica) = self.copy_target(now, id).filter(|_| wanted) {
            let freed = if streaming { self.abort_lost(now, id, actions) } else { Vec::new() };
            self.send(now, id, replica, actions);
            freed.into_iter().for_each(|freed| self.release_held(now, freed, actions));
            return;
        }
        let Some(call) = self.calls.get_mut(&id) else { return };
        let again = now + (self.routes.late_after(call.route) / 2.0).max(LOOK_AGAIN);
        self.timers.set(&mut call.timer, id, Some(again).filter(|at| *at < call.call.give_up_at));
    }

    fn abort_lost(&mut self, now: f64, id: CallId, actions: &mut Vec<Action>) -> Vec<ReplicaKey> {
        self.observe_given_up(now, id);
        let freed = self.abort_all(id, actions);
        if let Some(call) = self.calls.get_mut(&id) {
            call.apply(CallEvent::NothingOut);
        }
        freed
    }

    fn copy_target(&mut self, now: f64, id: CallId) -> Option<ReplicaKey> {
        let call = self.calls.get(&id)?;
        let service = self.services.get(&call.service)?;
        if !service.budget.allows() {
            return None;
        }
        let placement = Placement {
            now,
            fleet: &self.fleet,
            routes: &self.routes,
            zone: &self.zone,
            connections: service.connections,
            mean_read: service.mean_read(),
        };
        let replica = placement.choose_copy(call, &mut self.random)?;
        (!self.is_hopeless(now, id, replica)).then_some(replica)
    }

    /// Whether every replica where the call is out has left, shows no sign of work, or answered others since.
    fn has_lost_it(&self, now: f64, id: CallId) -> bool {
        let Some(call) = self.calls.get(&id) else { return false };
        let lost = |(number, attempt): (u32, &Attempt)| {
            let Some(replica) = self.fleet.get(attempt.replica) else { return true };
            let overtaken = replica.in_flight.get(&(id, number)).is_none_or(|s| s.overtaken >= OVERTAKEN);
            overtaken || replica.is_silent(now, |route| self.routes.late_after(route))
        };
        (0..).zip(&call.attempts).filter(|(_, attempt)| attempt.state == AttemptState::Out).all(lost)
    }
}
