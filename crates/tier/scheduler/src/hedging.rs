//! Hedging: late attempts get a second one beside them, or are replaced if their replica has lost them.

use crate::action::Action;
use crate::call::CallId;
use crate::call_state::CallEvent;
use crate::calls_in_flight::{Attempt, AttemptState};
use crate::keys::{AttemptKey, ReplicaKey};
use crate::mechanisms::{Mechanism, is_on};
use crate::placement::Placement;
use crate::replica::AttemptAtReplica;
use crate::scheduler::Scheduler;

/// Lower bound of the interval between two checks of a late attempt, in seconds.
const MIN_RECHECK_INTERVAL: f64 = 0.05;
/// An attempt is lost once its replica has begun this many attempts that were sent to it later.
const MIN_OVERTAKEN: u32 = 2;

impl Scheduler {
    /// Handles a late attempt of a call. Replicas that have lost an attempt are ejected. If the call is
    /// idempotent, a hedge is sent; a resumable stream moves away from replicas that have lost it.
    pub(crate) fn handle_late_attempt(&mut self, now: f64, id: CallId, actions: &mut Vec<Action>) {
        self.observe_lost_attempts(now, id);
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let streaming = call.request.kind.is_streaming();
        let is_wanted =
            call.may_hedge() && (!streaming || self.have_all_attempts_been_lost(now, id));
        if let Some(replica) = self.hedge_target(now, id).filter(|_| is_wanted) {
            let freed = if streaming {
                self.abort_lost(now, id, actions)
            } else {
                Vec::new()
            };
            self.send(now, id, replica, actions);
            freed
                .into_iter()
                .for_each(|freed| self.release_queued(now, freed, actions));
            return;
        }
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let has_begun = call.attempts.iter().any(|attempt| attempt.has_begun);
        let again = now + (self.routes.late_after(call.route) / 2.0).max(MIN_RECHECK_INTERVAL);
        let again = Some(again).filter(|at| !has_begun && *at < call.request.deadline);
        self.timers.set(&mut call.timer, id, again);
    }

    /// Ejects replicas that have lost an attempt of the call, which no outcome would reveal for a long time.
    fn observe_lost_attempts(&mut self, now: f64, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let late =
            |sent: &AttemptAtReplica| now > sent.sent_at + self.routes.lost_after(sent.route);
        let lost: Vec<AttemptKey> = (0..)
            .zip(&call.attempts)
            .filter(|(_, attempt)| attempt.state == AttemptState::InFlight && !attempt.has_begun)
            .map(|(index, attempt)| (AttemptKey { call: id, index }, attempt))
            .filter(|(key, attempt)| {
                let replica = self.fleet.get(attempt.replica);
                let sent = replica.and_then(|replica| replica.in_flight.get(key));
                sent.is_some_and(late) && self.has_lost_attempt(now, *key, attempt)
            })
            .map(|(key, _)| key)
            .collect();
        for attempt in lost {
            self.observe_lost_attempt(now, attempt);
        }
    }

    fn abort_lost(&mut self, now: f64, id: CallId, actions: &mut Vec<Action>) -> Vec<ReplicaKey> {
        self.observe_late_attempts(now, id);
        let freed = self.abort_all(id, actions);
        if let Some(call) = self.calls.get_mut(&id) {
            call.apply(CallEvent::AttemptsEnded);
        }
        freed
    }

    fn hedge_target(&mut self, now: f64, id: CallId) -> Option<ReplicaKey> {
        let call = self.calls.get(&id)?;
        let service = self.services.get(&call.service)?;
        if !is_on(Mechanism::Hedging) || !service.retry_tokens.can_retry() {
            return None;
        }
        let placement = Placement::new(now, &self.fleet, &self.routes, &self.zone, Some(service));
        let replica = placement.choose_hedge(call, &mut self.random)?;
        (!self.is_hopeless(now, id, replica)).then_some(replica)
    }

    /// Whether every replica with an attempt of the call in flight has lost it.
    fn have_all_attempts_been_lost(&self, now: f64, id: CallId) -> bool {
        let Some(call) = self.calls.get(&id) else {
            return false;
        };
        let mut in_flight = (0..)
            .zip(&call.attempts)
            .filter(|(_, attempt)| attempt.state == AttemptState::InFlight);
        in_flight.all(|(index, attempt)| {
            self.has_lost_attempt(now, AttemptKey { call: id, index }, attempt)
        })
    }

    /// Whether the replica of a late attempt has departed, is unresponsive, or began attempts that were sent
    /// later.
    fn has_lost_attempt(&self, now: f64, key: AttemptKey, attempt: &Attempt) -> bool {
        let Some(replica) = self.fleet.get(attempt.replica) else {
            return true;
        };
        let overtaken = replica
            .in_flight
            .get(&key)
            .is_none_or(|sent| sent.overtaken >= MIN_OVERTAKEN);
        overtaken || replica.is_unresponsive(now, |route| self.routes.late_after(route))
    }
}
