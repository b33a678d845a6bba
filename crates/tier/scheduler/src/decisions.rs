//! Decisions about one call: send, queue, postpone, reject or fail it.

use std::collections::BTreeSet;

use woadreach_routing::decide::part_budget::PartBudget;

use crate::action::{Action, FailReason};
use crate::active_call::{Attempt, AttemptState};
use crate::call::CallId;
use crate::call_state::{CallEvent, CallState};
use crate::decision_counts::Decision;
use crate::keys::{AttemptKey, ReplicaKey};
use crate::mechanisms::{Mechanism, is_on};
use crate::outcome::Outcome;
use crate::placement::{Choice, Placement, prefill_tokens};
use crate::scheduler::Scheduler;
use crate::step::QueuingDeadlines;
use crate::timers::is_due;

/// Maximum time that a call may be queued or postponed before it has reached any replica, as a share of its latency
/// target.
const MAX_INITIAL_QUEUE_SHARE: f64 = 0.25;
/// First backoff in seconds before a call is sent again to the same replica. The backoff doubles with each attempt
/// of the call.
const INITIAL_BACKOFF: f64 = 0.03;

impl Scheduler {
    /// Makes the decision that is due for a call, in any of its states.
    pub(crate) fn decide(&mut self, now: f64, id: CallId, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        match call.state() {
            CallState::Running => self.handle_late_attempt(now, id, actions),
            CallState::Queued { .. } | CallState::Postponed => {
                self.release(id);
                self.place(now, id, actions);
            }
            CallState::Deciding => self.place(now, id, actions),
        }
    }

    /// Decides about a call after an attempt that was not answered, unless another attempt is still in flight.
    pub(crate) fn decide_after_failure(
        &mut self,
        now: f64,
        id: CallId,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        let Some(call) = self
            .calls
            .get_mut(&id)
            .filter(|call| !call.has_attempt_in_flight())
        else {
            return;
        };
        call.apply(CallEvent::AttemptsEnded);
        let backoff = INITIAL_BACKOFF * 2_f64.powi(call.attempts.len() as i32 - 1);
        call.not_before = match outcome {
            Outcome::NotExecuted {
                retry_after: Some(requested),
            } => now + requested.max(backoff),
            _ => now + backoff,
        };
        self.place(now, id, actions);
    }

    /// Decides about calls that `replica` may now receive, after one of its attempts has ended: first the calls
    /// queued there, earliest queuing deadline first and until the replica is under backpressure, then all postponed
    /// calls of its service in order of arrival.
    pub(crate) fn release_queued(
        &mut self,
        now: f64,
        replica: ReplicaKey,
        actions: &mut Vec<Action>,
    ) {
        let mut considered = BTreeSet::new();
        while let Some(first) = self
            .queue
            .first(&replica)
            .filter(|first| considered.insert(*first))
        {
            let Some(at) = self.fleet.get(replica) else {
                break;
            };
            if at.is_under_backpressure() {
                break;
            }
            self.decide(now, first, actions);
        }
        let Some(service) = self.fleet.get(replica).map(|at| at.spec.service.clone()) else {
            return;
        };
        let of_service = |id: &&CallId| {
            self.calls
                .get(id)
                .is_some_and(|call| call.service == service)
        };
        let postponed: Vec<CallId> = self.postponed.iter().filter(of_service).copied().collect();
        postponed
            .into_iter()
            .for_each(|id| self.decide(now, id, actions));
    }

    /// Aborts all attempts of a call that are in flight. Returns their replicas.
    pub(crate) fn abort_all(&mut self, id: CallId, actions: &mut Vec<Action>) -> Vec<ReplicaKey> {
        let Some(call) = self.calls.get_mut(&id) else {
            return Vec::new();
        };
        let mut freed = Vec::new();
        for (index, attempt) in (0..).zip(&mut call.attempts) {
            if attempt.state == AttemptState::InFlight {
                attempt.state = AttemptState::Aborted;
                actions.push(Action::Abort {
                    call: id,
                    attempt: index,
                });
                freed.push(attempt.replica);
                if let Some(replica) = self.fleet.get_mut(attempt.replica) {
                    replica.in_flight.remove(&AttemptKey { call: id, index });
                }
            }
        }
        freed
    }

    /// Removes a call that has ended. `answered` is true if it ended with [`Outcome::Answered`].
    pub(crate) fn end(&mut self, now: f64, id: CallId, answered: bool) {
        self.release(id);
        let Some(mut call) = self.calls.remove(&id) else {
            return;
        };
        self.timers.set(&mut call.timer, id, None);
        self.needs_decision.remove(&id);
        let unloaded = self.routes.unloaded_median(now, call.route);
        self.programs
            .record_end(now, &call.request, answered, unloaded);
    }

    /// Rejects a call that has not run. `retry_after` is in seconds.
    pub(crate) fn refuse(
        &mut self,
        now: f64,
        id: CallId,
        retry_after: f64,
        actions: &mut Vec<Action>,
    ) {
        actions.push(Action::Refuse {
            call: id,
            retry_after,
        });
        self.end(now, id, false);
    }

    /// Ends a call that cannot be sent again: rejects it if it has not run, otherwise fails it. `reason` is counted.
    fn reject_or_fail(
        &mut self,
        now: f64,
        id: CallId,
        reason: Decision,
        actions: &mut Vec<Action>,
    ) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        self.counts.count(reason);
        if call.has_not_run() {
            let retry_after = self.retry_after_for(now, id);
            return self.refuse(now, id, retry_after, actions);
        }
        let reason = match call.last_executed_outcome() {
            Some(Outcome::ReplicaError) => FailReason::ReplicaError,
            Some(Outcome::TimedOut) => FailReason::TimedOut,
            _ if now >= call.request.deadline => FailReason::TimedOut,
            _ => FailReason::MayHaveRun,
        };
        actions.push(Action::Fail { call: id, reason });
        self.end(now, id, false);
    }

    /// Removes a call from its queue or from the postponed calls. Does nothing in other states.
    fn release(&mut self, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        match call.state() {
            CallState::Queued { replica, deadline } => self.queue.remove(&replica, deadline, id),
            CallState::Postponed => {
                self.postponed.remove(&id);
            }
            CallState::Deciding | CallState::Running => return,
        }
        call.apply(CallEvent::Released);
        self.timers.set(&mut call.timer, id, None);
    }

    fn place(&mut self, now: f64, id: CallId, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        if !call.may_send() || is_due(now, call.request.deadline) {
            return self.reject_or_fail(now, id, Decision::OutOfTimeOrAttempts, actions);
        }
        match self.choose(now, id) {
            Choice::NoReplica => self.handle_no_replica(now, id, actions),
            Choice::Postpone => self.postpone(now, id, None, actions),
            Choice::Enqueue(replica) => self.enqueue(now, id, replica, actions),
            Choice::SendProbe(replica) => {
                if let Some(replica) = self.fleet.get_mut(replica) {
                    replica.health.probe_sent(now);
                }
                self.counts.count(Decision::Probed);
                self.send(now, id, replica, actions);
            }
            Choice::Send(replica) => self.try_send(now, id, replica, actions),
        }
    }

    fn choose(&mut self, now: f64, id: CallId) -> Choice {
        let Some(call) = self.calls.get_mut(&id) else {
            return Choice::NoReplica;
        };
        let service = self.services.get(&call.service);
        let placement = Placement::new(now, &self.fleet, &self.routes, &self.zone, service);
        call.home = placement.home(call);
        let deadlines = QueuingDeadlines::new(now, &self.calls, &self.programs, &self.routes);
        let Some(call) = self.calls.get(&id) else {
            return Choice::NoReplica;
        };
        let is_behind = |replica: ReplicaKey| {
            self.queue.first(&replica).is_some()
                && self
                    .queue
                    .is_behind(&replica, deadlines.deadline_for(call, replica), id)
        };
        placement.choose(call, is_behind, &mut self.random)
    }

    /// Whether the call's deadline has passed, or its remaining time is below the unloaded tail latency of `replica`
    /// (DSSP paper, part skipping).
    pub(crate) fn would_miss_deadline(&self, now: f64, id: CallId, replica: ReplicaKey) -> bool {
        self.calls.get(&id).is_none_or(|call| {
            let k = self.programs.step_size(&call.request);
            let tail = self.routes.tail(now, call.route, Some(replica), k);
            let remaining = call.request.deadline - now;
            let is_skipped =
                is_on(Mechanism::Skip) && PartBudget::cannot_finish_in_time(remaining, tail);
            is_due(now, call.request.deadline) || is_skipped
        })
    }

    fn try_send(&mut self, now: f64, id: CallId, replica: ReplicaKey, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let (was_sent_before, not_before) = (call.was_sent_to(replica), call.not_before);
        let is_retry = call.has_reached_replica();
        let has_retry_tokens = self
            .services
            .get(&call.service)
            .is_none_or(|service| service.retry_tokens.can_retry());
        if self.would_miss_deadline(now, id, replica) {
            return self.reject_or_fail(now, id, Decision::SkippedAsHopeless, actions);
        }
        if is_retry && !has_retry_tokens {
            return self.reject_or_fail(now, id, Decision::RetryBudgetSpent, actions);
        }
        if was_sent_before && !is_due(now, not_before) {
            return self.postpone(now, id, Some(not_before), actions);
        }
        self.send(now, id, replica, actions);
    }

    /// Sends a call to `replica`, and sets the timer for the check whether the attempt is late or, if the call cannot
    /// be hedged, lost.
    pub(crate) fn send(
        &mut self,
        now: f64,
        id: CallId,
        replica: ReplicaKey,
        actions: &mut Vec<Action>,
    ) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(target) = self.fleet.get_mut(replica) else {
            return;
        };
        let is_retry = call.has_reached_replica();
        self.counts.count(match call.state() {
            CallState::Running => Decision::Hedged,
            _ if call.attempts.is_empty() => Decision::Sent,
            _ => Decision::SentAgain,
        });
        let index = call.attempts.len() as u32;
        call.attempts.push(Attempt {
            replica,
            replica_id: target.spec.id.clone(),
            state: AttemptState::InFlight,
            response_started: false,
        });
        call.apply(CallEvent::Sent);
        let attempt = AttemptKey { call: id, index };
        target.record_sent(now, attempt, replica, call.route);
        if let Some(service) = self.services.get_mut(&call.service) {
            let prefill = prefill_tokens(call, replica, target);
            target
                .cache
                .record(&call.request.prefix, service.cache_share(self.edges));
            service.record_sent(prefill);
            if is_retry {
                service.retry_tokens.spend()
            } else {
                service.retry_tokens.earn()
            }
        }
        let late_threshold = if call.may_hedge() {
            self.routes.late_threshold(call.route)
        } else {
            self.routes.lost_threshold(call.route)
        };
        let late_at = Some(now + late_threshold).filter(|at| *at < call.request.deadline);
        self.timers.set(&mut call.timer, id, late_at);
        actions.push(Action::Send {
            call: id,
            attempt: index,
            replica: target.spec.id.clone(),
            timeout: call.request.deadline - now,
        });
    }

    /// Handles a call for which no replica remains. The call is postponed only if the service has no usable replica
    /// and the call has not been sent.
    fn handle_no_replica(&mut self, now: f64, id: CallId, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        if call.attempts.is_empty() && self.fleet.usable(&call.service).next().is_none() {
            self.postpone(now, id, None, actions);
        } else {
            self.reject_or_fail(now, id, Decision::NoReplicaLeft, actions);
        }
    }

    /// Time until which a call may be queued or postponed. Before it has reached a replica the limit is a share of its
    /// latency target; afterwards, its deadline less the unloaded tail latency.
    fn queue_time_limit(&self, now: f64, id: CallId) -> f64 {
        let Some(call) = self.calls.get(&id) else {
            return now;
        };
        if call.has_reached_replica() {
            let k = self.programs.step_size(&call.request);
            call.request.deadline - self.routes.tail(now, call.route, None, k)
        } else {
            call.request.arrived_at + MAX_INITIAL_QUEUE_SHARE * call.request.target_latency
        }
    }

    /// Postpones a call that no replica may receive at present. Sets its timer to `until` or to the limit of
    /// [`queue_time_limit`](Self::queue_time_limit), whichever is earlier.
    fn postpone(&mut self, now: f64, id: CallId, until: Option<f64>, actions: &mut Vec<Action>) {
        let limit = self.queue_time_limit(now, id);
        if is_due(now, limit) {
            return self.reject_or_fail(now, id, Decision::WaitedTooLong, actions);
        }
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.apply(CallEvent::Postponed);
        self.counts.count(Decision::Postponed);
        self.postponed.insert(id);
        let until = until.map_or(limit, |until| until.min(limit));
        self.timers.set(&mut call.timer, id, Some(until));
    }

    /// Queues a call at `replica` by the queuing deadline of its step. A call that has reached the limit of
    /// [`queue_time_limit`](Self::queue_time_limit) is sent instead.
    fn enqueue(&mut self, now: f64, id: CallId, replica: ReplicaKey, actions: &mut Vec<Action>) {
        let limit = self.queue_time_limit(now, id);
        if self.would_miss_deadline(now, id, replica) {
            return self.reject_or_fail(now, id, Decision::SkippedAsHopeless, actions);
        }
        if is_due(now, limit) {
            return self.try_send(now, id, replica, actions);
        }
        let deadlines = QueuingDeadlines::new(now, &self.calls, &self.programs, &self.routes);
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let deadline = deadlines.deadline_for(call, replica);
        self.queue.insert(&replica, deadline, id);
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.apply(CallEvent::Enqueued { replica, deadline });
        self.counts.count(Decision::Queued);
        self.timers.set(&mut call.timer, id, Some(limit));
    }
}
