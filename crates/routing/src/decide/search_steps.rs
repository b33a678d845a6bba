//! The steps of a search from its arrival to its reply.

use super::Balancer;
use super::placement::{PartPick, Pick};
use crate::api::{
    Attempt, AttemptId, Ending, LogEvent, Outcome, Plan, QueryType, Repeat, ReplicaId, Reply,
    Search, Seconds, Share,
};
use crate::fleet::SentAttempt;
use crate::mutations::is_mutated;
use crate::samples::{Sample, push};

/// Tolerance for rounding errors in sums of weights.
const WEIGHT_TOLERANCE: Share = 1e-4;
/// Number of recent latencies, queuing included, that are stored for each replica.
const LOADED_SAMPLES: usize = 8;
/// Interval after which an unanswered part is reconsidered, unless a hedge of it becomes due at a known time. Slow
/// start and the retry budget may admit an attempt without any event.
const RECONSIDER_INTERVAL: Seconds = 0.1;
/// Number of ticks from the answer to the last part until the reply has reached the client: one until the answer is
/// handled, one until the reply is sent, and the rest for the network.
const REPLY_TICKS: f64 = 4.0;
/// Share of its value that a late answer must exceed to be worth waiting for, since it costs as much as a timely one.
const MIN_LATE_VALUE: Share = 0.5;
/// Time that the first step reserves for the second, as a multiple of the second step's unloaded tail latency. With
/// only one such latency, the parts of the second step would be skipped on arrival.
const SECOND_STEP_TAILS: f64 = 2.0;

/// Deadlines of the present step of a search.
pub(super) struct StepTimes {
    /// Latest time of the step's answer that meets the latency target.
    pub(super) target: Seconds,
    /// Latest time at which an answer is still worth waiting for.
    pub(super) until: Seconds,
}

impl Balancer {
    /// Handles the end of an attempt, and returns what to do next. `search` is the search of the attempt; `None` if
    /// it has ended.
    pub fn attempt_finished(
        &mut self,
        now: Seconds,
        search: Option<&mut Search>,
        outcome: &Outcome,
    ) -> Plan {
        let call = self.record_replica_outcome(now, outcome);
        self.limits.update(&self.unloaded, &self.budget);
        if let Some(search) = search {
            search.record_outcome(outcome);
            self.decide(now, search);
        }
        // An attempt that was cancelled as hung frees no capacity, since its replica does not respond.
        if !call.is_some_and(|call| call.cancelled_as_hung) {
            self.reconsider_next(&outcome.replica);
        }
        self.remove_if_unused(&outcome.replica);
        std::mem::take(&mut self.plan)
    }

    /// Time until [`Balancer::place`] is to be called again for the search, if no outcome is received before; at
    /// least one tick.
    pub fn wait(&self, now: Seconds, search: &Search) -> Seconds {
        let StepTimes { target, until } = self.step_times(search);
        let mut due = if target > now {
            until.min(target)
        } else {
            until
        };
        for (_, part) in search.step_parts().filter(|(_, part)| !part.answered) {
            let hedge_due = part
                .attempts_in_flight()
                .last()
                .map(|(_, attempt)| attempt.sent_at + self.limits.hedge_after)
                .filter(|at| *at > now);
            due = due.min(hedge_due.unwrap_or(now + RECONSIDER_INTERVAL));
        }
        (due - now).max(self.settings.tick)
    }

    /// Updates the state of the replica after an outcome. Returns the attempt that has ended; `None` if it was not in
    /// flight.
    fn record_replica_outcome(&mut self, now: Seconds, outcome: &Outcome) -> Option<SentAttempt> {
        self.sample_capacity(now);
        let late = outcome.latency > self.limits.late_after;
        let ejected = self.if_own_samples_count(&outcome.replica).is_none();
        let replica = self.fleet.get_mut(&outcome.replica)?;
        let answered = outcome.ending == Ending::Answered;
        let id = AttemptId {
            part: outcome.part,
            index: outcome.attempt_index,
        };
        let call = replica.attempt_finished(now, id, answered)?;
        let state = &mut replica.state;
        if answered {
            state.backpressure.record_answer();
            self.limits.record_answer(now, outcome.latency);
            if call.sent_to_idle {
                self.unloaded
                    .record(now, &outcome.replica, outcome.latency, ejected);
            }
        }
        let was_abandoned = matches!(outcome.ending, Ending::TimedOut | Ending::Cancelled);
        if answered || (was_abandoned && outcome.latency > 0.0) {
            push(
                &mut state.loaded,
                Sample {
                    at: now,
                    value: outcome.latency,
                },
                LOADED_SAMPLES,
            );
        }
        if matches!(outcome.ending, Ending::Full | Ending::TimedOut) {
            state.backpressure.begin(replica.in_flight.len());
        }
        // A cancelled attempt is evidence of bad health only if it was late.
        if outcome.ending == Ending::NeverSent || (outcome.ending == Ending::Cancelled && !late) {
            return Some(call);
        }
        state.warming.attempt_finished(outcome.ending);
        self.observe(now, outcome, &call, !answered || late);
        Some(call)
    }

    /// Deadlines of the present step. They leave time for the reply, and the first of two steps leaves time for the
    /// second.
    pub(super) fn step_times(&self, search: &Search) -> StepTimes {
        let margin = REPLY_TICKS * self.settings.tick;
        let query_type = &self.settings.query_types[search.query_type.0];
        let end = search.client_deadline - margin;
        let first_requested_at = search.first_requested_at.unwrap_or(search.arrived);
        let target = (first_requested_at + query_type.latency_target - margin).min(end);
        let until = if query_type.late_value > MIN_LATE_VALUE && !self.limits.overloaded {
            end
        } else {
            target
        };
        let tail = self
            .budget
            .tail(0.0, &self.unloaded, None, query_type.second_step);
        let reserve = if search.step == 1 && query_type.second_step > 0 {
            SECOND_STEP_TAILS * tail
        } else {
            0.0
        };
        StepTimes {
            target: target - reserve,
            until,
        }
    }

    /// Decides on a search: completes the step, abandons the search, or sends and queues its parts. Adds the actions to
    /// the plan.
    pub(crate) fn decide(&mut self, now: Seconds, search: &mut Search) {
        if search.finished {
            return;
        }
        self.record_overload(now);
        let query_type = self.settings.query_types[search.query_type.0].clone();
        if search.first_requested_at.is_none() {
            self.record_arrival(search, &query_type);
        }
        let StepTimes { target, until } = self.step_times(search);
        if search.step_parts().next().is_none() {
            if search.step == 1 || now >= until {
                self.abandon(now, search);
            }
            return;
        }
        if is_step_complete(&query_type, search) {
            let complete = search.step == 1 || search.first_step_complete;
            return self.close(search, Some(Reply::Answered { complete }));
        }
        if now >= until || (now >= target && may_answer_partially(&query_type, search)) {
            return self.abandon(now, search);
        }
        let is_new_step = search.queuing_deadline.is_none();
        let picks = self.pick_all(now, until, search);
        if is_new_step && !self.admit_step(now, target, search, &picks) {
            return self.abandon(now, search);
        }
        if !can_reach_minimum(&query_type, search, &picks) {
            return self.abandon(now, search);
        }
        for PartPick { part_index, pick } in picks {
            self.cancel_hung(now, target, search, part_index);
            self.execute(now, until, search, part_index, pick);
            if is_new_step {
                self.send_probe(now, until, search, part_index);
            }
        }
    }

    /// Updates the overload state, and logs each change.
    fn record_overload(&mut self, now: Seconds) {
        if !self.limits.update_overload(now, &self.unloaded) {
            return;
        }
        self.plan.log_events.push(if self.limits.overloaded {
            LogEvent::OverloadBegan
        } else {
            LogEvent::OverloadEnded
        });
    }

    /// Sets the queuing deadline of a step that has just begun. Returns false if the search is to be shed.
    fn admit_step(
        &mut self,
        now: Seconds,
        target: Seconds,
        search: &mut Search,
        picks: &[PartPick],
    ) -> bool {
        let step_started_at = if search.step == 1 {
            search.arrived
        } else {
            now
        };
        self.retries
            .record_work(step_started_at, search.step_parts().count());
        let chosen: Vec<ReplicaId> = picks
            .iter()
            .filter_map(|part| part.pick.replica().cloned())
            .collect();
        let sampled: Vec<_> = chosen
            .iter()
            .map(|id| self.if_own_samples_count(id))
            .collect();
        let deadline = self
            .budget
            .queuing_deadline(now, target, &self.unloaded, &sampled);
        search.queuing_deadline = Some(deadline);
        !(search.step == 1 && self.should_shed(now, target, search, &chosen))
    }

    /// Ends a search before all parts are answered. Replies with the parts that are answered if they suffice, sheds the
    /// search if a retry provably does no harm, and otherwise reports an error.
    fn abandon(&mut self, now: Seconds, search: &mut Search) {
        let query_type = &self.settings.query_types[search.query_type.0];
        let answered = search.answered_weight();
        let is_retry_harmless = query_type.repeat == Repeat::Idempotent
            || search
                .parts
                .iter()
                .all(|part| part.attempts.iter().all(Attempt::proven_unrun))
            || is_mutated("routing-harmless");
        let minimum = if is_mutated("routing-floor") {
            0.0
        } else {
            query_type.minimum_weight
        };
        let reply = if answered > 0.0 && answered >= minimum - WEIGHT_TOLERANCE {
            Reply::Answered {
                complete: is_mutated("routing-whole"),
            }
        } else if is_retry_harmless {
            // If a retry can still be in time, it should follow after half of the time that remains for queuing.
            // Otherwise it should follow as late as allowed, which relieves the replicas.
            let longest = self.settings.max_retry_after.unwrap_or(0.0);
            let remaining = search.queuing_deadline.unwrap_or(now) - now;
            Reply::Shed {
                retry_after: if remaining > 0.0 {
                    longest.min(remaining / 2.0)
                } else {
                    longest
                },
            }
        } else {
            Reply::Errored
        };
        self.close(search, Some(reply));
    }

    /// Ends the present step if it was answered and a second step follows, and otherwise the search. Queued parts are
    /// removed, and attempts in flight are cancelled if the settings allow it. `reply` is `None` if the client has
    /// disconnected.
    pub(crate) fn close(&mut self, search: &mut Search, reply: Option<Reply>) {
        for part_index in 0..search.parts.len() {
            self.dequeue(search, part_index);
            let part = &search.parts[part_index];
            let in_flight = part
                .attempts_in_flight()
                .filter(|_| self.settings.cancellation_allowed)
                .map(|(index, _)| AttemptId {
                    part: part.id,
                    index,
                });
            self.plan.cancel.extend(in_flight);
        }
        let query_type = &self.settings.query_types[search.query_type.0];
        match reply {
            Some(Reply::Answered { complete })
                if search.step == 1 && query_type.second_step > 0 =>
            {
                search.step = 2;
                search.first_step_complete = complete;
                search.queuing_deadline = None;
            }
            _ => search.finished = true,
        }
        self.plan.reply = reply;
    }
}

/// Whether the answers received so far make the present step complete.
fn is_step_complete(query_type: &QueryType, search: &Search) -> bool {
    if search.step == 1 {
        search.answered_weight() >= query_type.complete_weight - WEIGHT_TOLERANCE
    } else {
        search.answered_weight() >= 1.0 - WEIGHT_TOLERANCE
            && search.step_parts().all(|(_, part)| part.answered)
    }
}

/// Whether the answers received so far may be returned as a partial answer.
fn may_answer_partially(query_type: &QueryType, search: &Search) -> bool {
    let answered = search.answered_weight();
    answered >= query_type.minimum_weight - WEIGHT_TOLERANCE
        && answered > 0.0
        && query_type.minimum_weight < query_type.complete_weight
}

/// Whether the search can still reach the minimum weight with the parts that are answered or can still be answered.
fn can_reach_minimum(query_type: &QueryType, search: &Search, picks: &[PartPick]) -> bool {
    let is_abandoned = |part_index: usize| {
        picks
            .iter()
            .any(|part| part.part_index == part_index && matches!(part.pick, Pick::Never))
    };
    let weights: Vec<f64> = search
        .step_parts()
        .filter(|(_, part)| !part.answered)
        .filter(|(index, part)| !is_abandoned(*index) || part.is_in_flight())
        .map(|(_, part)| part.weight)
        .collect();
    let answered = search.answered_weight();
    !weights.is_empty()
        && answered + weights.iter().sum::<f64>() >= query_type.minimum_weight - WEIGHT_TOLERANCE
}
