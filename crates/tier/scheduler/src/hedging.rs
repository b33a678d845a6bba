//! Hedging of late attempts, and detection of attempts that a replica has lost.
//!
//! A late idempotent call gets a second, concurrent attempt. A resumable stream is sent to another replica once its
//! attempts are lost, and these are aborted.

use crate::action::Action;
use crate::active_call::{Attempt, AttemptState};
use crate::call::CallId;
use crate::call_state::CallEvent;
use crate::keys::{AttemptKey, ReplicaKey};
use crate::mechanisms::{Mechanism, is_on};
use crate::placement::Placement;
use crate::replica::InFlightAttempt;
use crate::scheduler::Scheduler;

/// Lower bound of the interval between two checks of a late attempt, in seconds.
const MIN_RECHECK_INTERVAL: f64 = 0.05;
/// Number of attempts sent later to the same replica whose responses must have started before an attempt is lost.
const MIN_OVERTAKING_ATTEMPTS: u32 = 2;

impl Scheduler {
    /// Handles a call whose timer has expired while attempts are in flight. Ejects replicas that have lost one of
    /// them. Sends a hedge if the call is idempotent; a resumable stream is sent to another replica only if all its
    /// attempts are lost. Otherwise sets the timer for the next check.
    pub(crate) fn handle_late_attempt(&mut self, now: f64, id: CallId, actions: &mut Vec<Action>) {
        self.detect_lost_attempts(now, id);
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let streaming = call.request.kind.is_streaming();
        let is_wanted = call.may_hedge() && (!streaming || self.are_all_attempts_lost(now, id));
        if let Some(replica) = self.hedge_target(now, id).filter(|_| is_wanted) {
            let freed = if streaming {
                self.abort_lost_attempts(now, id, actions)
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
        let has_started = call.attempts.iter().any(|attempt| attempt.response_started);
        let recheck_at =
            now + (self.routes.late_threshold(call.route) / 2.0).max(MIN_RECHECK_INTERVAL);
        let recheck_at = Some(recheck_at).filter(|at| !has_started && *at < call.request.deadline);
        self.timers.set(&mut call.timer, id, recheck_at);
    }

    /// Ejects replicas that have lost an attempt of the call. Without this check the loss would be observed only at
    /// the attempt's time-out.
    fn detect_lost_attempts(&mut self, now: f64, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let late =
            |sent: &InFlightAttempt| now > sent.sent_at + self.routes.lost_threshold(sent.route);
        let lost: Vec<AttemptKey> = (0..)
            .zip(&call.attempts)
            .filter(|(_, attempt)| {
                attempt.state == AttemptState::InFlight && !attempt.response_started
            })
            .map(|(index, attempt)| (AttemptKey { call: id, index }, attempt))
            .filter(|(key, attempt)| {
                let replica = self.fleet.get(attempt.replica);
                let sent = replica.and_then(|replica| replica.in_flight.get(key));
                sent.is_some_and(late) && self.has_lost_attempt(now, *key, attempt)
            })
            .map(|(key, _)| key)
            .collect();
        for attempt in lost {
            self.record_lost_attempt(now, attempt);
        }
    }

    fn abort_lost_attempts(
        &mut self,
        now: f64,
        id: CallId,
        actions: &mut Vec<Action>,
    ) -> Vec<ReplicaKey> {
        self.record_late_attempts(now, id);
        let freed = self.abort_all(id, actions);
        if let Some(call) = self.calls.get_mut(&id) {
            call.apply(CallEvent::AttemptsEnded);
        }
        freed
    }

    /// Replica for a hedge; `None` if the retry budget is spent, no replica is suitable, or the hedge would miss the
    /// deadline.
    fn hedge_target(&mut self, now: f64, id: CallId) -> Option<ReplicaKey> {
        let call = self.calls.get(&id)?;
        let service = self.services.get(&call.service)?;
        if !is_on(Mechanism::Hedging) || !service.retry_tokens.can_retry() {
            return None;
        }
        let placement = Placement::new(now, &self.fleet, &self.routes, &self.zone, Some(service));
        let replica = placement.choose_hedge(call, &mut self.random)?;
        (!self.would_miss_deadline(now, id, replica)).then_some(replica)
    }

    /// Whether all attempts of the call that are in flight are lost.
    fn are_all_attempts_lost(&self, now: f64, id: CallId) -> bool {
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

    /// Whether a late attempt is lost: its replica has departed or is unresponsive, or has started the responses to
    /// [`MIN_OVERTAKING_ATTEMPTS`] attempts sent later.
    fn has_lost_attempt(&self, now: f64, key: AttemptKey, attempt: &Attempt) -> bool {
        let Some(replica) = self.fleet.get(attempt.replica) else {
            return true;
        };
        let overtaken = replica
            .in_flight
            .get(&key)
            .is_none_or(|sent| sent.overtaken_by >= MIN_OVERTAKING_ATTEMPTS);
        overtaken || replica.is_unresponsive(now, |route| self.routes.late_threshold(route))
    }
}
