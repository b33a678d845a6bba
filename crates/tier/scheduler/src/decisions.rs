//! What happens to a call: sent, held, put off, copied, ended.

use std::collections::BTreeSet;

use woadreach_routing::decide::part_budget::PartBudget;

use crate::action::{Action, FailReason};
use crate::admission::Admission;
use crate::call::CallId;
use crate::call_state::{CallEvent, CallState};
use crate::fleet::ReplicaKey;
use crate::in_hand::{Attempt, AttemptState};
use crate::outcome::Outcome;
use crate::placement::{Choice, Placement, tokens_to_read};
use crate::replica::InFlight;
use crate::step::Step;
use crate::timers::has_come;

/// The share of its target for which a call may be held without having been offered to a replica.
const UNOFFERED_SHARE: f64 = 0.25;
/// First pause (seconds) before a call goes back to a replica that did not run it; doubled with each attempt.
const FIRST_BACKOFF: f64 = 0.03;
impl Admission {
    /// Decides anew about a call, whatever its state.
    pub(crate) fn decide(&mut self, now: f64, id: CallId, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        match call.state() {
            CallState::Running => self.consider_late(now, id, actions),
            CallState::Held { .. } | CallState::Waiting => {
                self.release(id);
                self.place(now, id, actions);
            }
            CallState::Deciding => self.place(now, id, actions),
        }
    }

    /// An attempt of the call ended without an answer.
    pub(crate) fn decide_after_failure(
        &mut self,
        now: f64,
        id: CallId,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        let Some(call) = self.calls.get_mut(&id).filter(|call| !call.is_out()) else {
            return;
        };
        call.apply(CallEvent::NothingOut);
        let doubled = FIRST_BACKOFF * 2_f64.powi(call.attempts.len() as i32 - 1);
        call.not_before = match outcome {
            Outcome::NotExecuted {
                retry_after: Some(asked),
            } => now + asked.max(doubled),
            _ => now + doubled,
        };
        self.place(now, id, actions);
    }

    /// Held calls leave earliest queuing deadline first, and those put off in order of arrival, as far as a
    /// replica that has just become freer allows.
    pub(crate) fn release_held(
        &mut self,
        now: f64,
        replica: ReplicaKey,
        actions: &mut Vec<Action>,
    ) {
        let mut asked = BTreeSet::new();
        while let Some(first) = self
            .held
            .first(&replica)
            .filter(|first| asked.insert(*first))
        {
            let Some(at) = self.fleet.get(replica) else {
                break;
            };
            if at.hold.holds(at.in_flight.len()) {
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
        let waiting: Vec<CallId> = self.waiting.iter().filter(of_service).copied().collect();
        waiting
            .into_iter()
            .for_each(|id| self.decide(now, id, actions));
    }

    /// Drops what is out; gives back the replicas where it was.
    pub(crate) fn abort_all(&mut self, id: CallId, actions: &mut Vec<Action>) -> Vec<ReplicaKey> {
        let Some(call) = self.calls.get_mut(&id) else {
            return Vec::new();
        };
        let mut freed = Vec::new();
        for (number, attempt) in (0..).zip(&mut call.attempts) {
            if attempt.state == AttemptState::Out {
                attempt.state = AttemptState::Aborted;
                actions.push(Action::Abort {
                    call: id,
                    attempt: number,
                });
                freed.push(attempt.replica);
                if let Some(replica) = self.fleet.get_mut(attempt.replica) {
                    replica.in_flight.remove(&(id, number));
                }
            }
        }
        freed
    }

    /// Forgets a call that has ended.
    pub(crate) fn end(&mut self, now: f64, id: CallId, answered: bool) {
        self.release(id);
        let Some(mut call) = self.calls.remove(&id) else {
            return;
        };
        self.timers.set(&mut call.timer, id, None);
        self.displaced.remove(&id);
        let unloaded = self.routes.unloaded_median(now, call.route);
        self.programs.ended(now, &call.call, answered, unloaded);
    }

    /// Ends a call that has not run and never will.
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

    /// Ends a call for which nothing more can be done, with the most that honesty allows.
    fn give_up(&mut self, now: f64, id: CallId, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        if call.has_not_run() {
            let retry_after = self.retry_advice(now, id);
            return self.refuse(now, id, retry_after, actions);
        }
        let reason = match call.last_run() {
            Some(Outcome::ReplicaError) => FailReason::ReplicaError,
            Some(Outcome::TimedOut) => FailReason::TimedOut,
            _ if now >= call.call.give_up_at => FailReason::TimedOut,
            _ => FailReason::MayHaveRun,
        };
        actions.push(Action::Fail { call: id, reason });
        self.end(now, id, false);
    }

    /// Takes a call out of the queue where it waits.
    fn release(&mut self, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        match call.state() {
            CallState::Held { replica, deadline } => self.held.remove(&replica, deadline, id),
            CallState::Waiting => {
                self.waiting.remove(&id);
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
        if !call.may_send() || has_come(now, call.call.give_up_at) {
            return self.give_up(now, id, actions);
        }
        match self.choose(now, id) {
            Choice::Never => self.without_replica(now, id, actions),
            Choice::Later => self.put_off(now, id, None, actions),
            Choice::Hold(replica) => self.hold_back(now, id, replica, actions),
            Choice::SendTrial(replica) => {
                if let Some(replica) = self.fleet.get_mut(replica) {
                    replica.health.probe_sent(now);
                }
                self.send(now, id, replica, actions);
            }
            Choice::Send(replica) => self.send_if_worthwhile(now, id, replica, actions),
        }
    }

    fn choose(&mut self, now: f64, id: CallId) -> Choice {
        let Some(call) = self.calls.get_mut(&id) else {
            return Choice::Never;
        };
        let service = self.services.get(&call.service);
        let placement = Placement::new(now, &self.fleet, &self.routes, &self.zone, service);
        call.home = placement.home(call);
        let step = Step {
            now,
            calls: &self.calls,
            programs: &self.programs,
            routes: &self.routes,
        };
        let Some(call) = self.calls.get(&id) else {
            return Choice::Never;
        };
        let is_behind = |replica: ReplicaKey| {
            self.held.first(&replica).is_some()
                && self
                    .held
                    .is_behind(&replica, step.queuing_deadline(call, replica), id)
        };
        placement.choose(call, is_behind, &mut self.random)
    }

    /// The skip: a call whose time left is under its replica's unloaded tail stays unsent.
    pub(crate) fn is_hopeless(&self, now: f64, id: CallId, replica: ReplicaKey) -> bool {
        self.calls.get(&id).is_none_or(|call| {
            let k = self.programs.step_size(&call.call);
            let tail = self.routes.tail(now, call.route, Some(replica), k);
            let time_left = call.call.give_up_at - now;
            has_come(now, call.call.give_up_at) || PartBudget::hopeless(time_left, tail)
        })
    }

    fn send_if_worthwhile(
        &mut self,
        now: f64,
        id: CallId,
        replica: ReplicaKey,
        actions: &mut Vec<Action>,
    ) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let (returns, not_before) = (call.was_tried_at(replica), call.not_before);
        let repeats = call.was_offered();
        let affordable = self
            .services
            .get(&call.service)
            .is_none_or(|service| service.budget.allows());
        if self.is_hopeless(now, id, replica) || (repeats && !affordable) {
            return self.give_up(now, id, actions);
        }
        if returns && !has_come(now, not_before) {
            return self.put_off(now, id, Some(not_before), actions);
        }
        self.send(now, id, replica, actions);
    }

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
        let Some(at) = self.fleet.get_mut(replica) else {
            return;
        };
        let repeats = call.was_offered();
        let attempt = call.attempts.len() as u32;
        let replica_id = at.spec.id.clone();
        call.attempts.push(Attempt {
            replica,
            replica_id,
            state: AttemptState::Out,
            begun: false,
        });
        call.apply(CallEvent::Sent);
        let alone = at.in_flight.is_empty();
        let sent = InFlight {
            sent_at: now,
            route: call.route,
            alone,
            begun_late: None,
            overtaken: 0,
            lost: false,
        };
        at.in_flight.insert((id, attempt), sent);
        if let Some(service) = self.services.get_mut(&call.service) {
            let to_read = tokens_to_read(call, replica, at);
            at.cache
                .record(&call.call.prefix, service.cache_share(self.edges));
            service.sent(to_read);
            if repeats {
                service.budget.spend()
            } else {
                service.budget.earn()
            }
        }
        let late_after = if call.may_be_copied() {
            self.routes.late_after(call.route)
        } else {
            self.routes.lost_after(call.route)
        };
        let look_at = Some(now + late_after).filter(|at| *at < call.call.give_up_at);
        self.timers.set(&mut call.timer, id, look_at);
        actions.push(Action::Send {
            call: id,
            attempt,
            replica: at.spec.id.clone(),
            timeout: call.call.give_up_at - now,
            priority: None,
        });
    }

    /// Every replica that it might go to is gone or has had it. Only where the service has none at all, a
    /// call that has not run waits for one, for as long as it may be held.
    fn without_replica(&mut self, now: f64, id: CallId, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        if call.attempts.is_empty() && self.fleet.usable(&call.service).next().is_none() {
            self.put_off(now, id, None, actions);
        } else {
            self.give_up(now, id, actions);
        }
    }

    /// Until when a call may be held: a share of its target if no replica was offered it, else as long as a
    /// replica can still make it.
    fn held_until(&self, now: f64, id: CallId) -> f64 {
        let Some(call) = self.calls.get(&id) else {
            return now;
        };
        if call.was_offered() {
            let k = self.programs.step_size(&call.call);
            call.call.give_up_at - self.routes.tail(now, call.route, None, k)
        } else {
            call.call.arrived + UNOFFERED_SHARE * call.call.target_latency
        }
    }

    /// No replica may take it now: it waits for one, at the longest until `until`.
    fn put_off(&mut self, now: f64, id: CallId, until: Option<f64>, actions: &mut Vec<Action>) {
        let most = self.held_until(now, id);
        if has_come(now, most) {
            return self.give_up(now, id, actions);
        }
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.apply(CallEvent::PutOff);
        self.waiting.insert(id);
        let until = until.map_or(most, |until| until.min(most));
        self.timers.set(&mut call.timer, id, Some(until));
    }

    /// Its replica is held: it waits there, ordered by the queuing deadline of its step. When it may be
    /// held no longer without having been offered, it is offered all the same.
    fn hold_back(&mut self, now: f64, id: CallId, replica: ReplicaKey, actions: &mut Vec<Action>) {
        let most = self.held_until(now, id);
        if self.is_hopeless(now, id, replica) {
            return self.give_up(now, id, actions);
        }
        if has_come(now, most) {
            return self.send_if_worthwhile(now, id, replica, actions);
        }
        let step = Step {
            now,
            calls: &self.calls,
            programs: &self.programs,
            routes: &self.routes,
        };
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let deadline = step.queuing_deadline(call, replica);
        self.held.insert(&replica, deadline, id);
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.apply(CallEvent::HeldBack { replica, deadline });
        self.timers.set(&mut call.timer, id, Some(most));
    }
}
