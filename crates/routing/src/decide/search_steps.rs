//! One search from its arrival to its reply.

use super::Balancer;
use super::placement::{PartPick, Pick};
use crate::api::{
    Attempt, AttemptId, Ending, Note, Outcome, Plan, QueryType, Repeat, ReplicaId, Reply, Search,
    Seconds, Share,
};
use crate::fleet::SentAttempt;
use crate::mutations::is_mutated;
use crate::samples::{Sample, push};

/// Sums of weights may fall this short.
const ROUNDING: Share = 1e-4;
/// Latencies that are remembered of each replica, with its queue.
const LOADED_SAMPLES: usize = 8;
/// How soon a part without an attempt that is due a hedge is looked at again: slow start and the retry budget open with
/// time alone.
const RECONSIDER_INTERVAL: Seconds = 0.1;
/// Ticks that an answer takes beyond its last part: one until it is handled, one until it leaves, and its way to the
/// client.
const REPLY_TICKS: f64 = 4.0;
/// A late answer is waited for only if it keeps more than this share of its value: it costs as much as one in time.
const MIN_LATE_VALUE: Share = 0.5;
/// Unloaded tails of the second step that the first step leaves of the target: with one of them the second step's parts
/// would be skipped on arrival.
const SECOND_STEP_TAILS: f64 = 2.0;

/// By when the present step of a search is to be answered.
pub(super) struct StepTimes {
    /// The time by which it has to be answered to meet the latency target.
    pub(super) target: Seconds,
    /// The last time at which an answer still has value.
    pub(super) until: Seconds,
}

impl Balancer {
    /// What to do after this outcome; the search is absent if the caller no longer holds it.
    pub fn attempt_finished(
        &mut self,
        now: Seconds,
        search: Option<&mut Search>,
        outcome: &Outcome,
    ) -> Plan {
        let call = self.record(now, outcome);
        self.limits.update(&self.unloaded, &self.budget);
        if let Some(search) = search {
            search.record_outcome(outcome);
            self.decide(now, search);
        }
        // An attempt that was cancelled as hung frees no capacity: its replica answers nothing.
        if !call.is_some_and(|call| call.cancelled_as_hung) {
            self.reconsider_next(&outcome.replica);
        }
        self.forget_if_unused(&outcome.replica);
        std::mem::take(&mut self.plan)
    }

    /// How long until the search should be asked about again, if no outcome comes before.
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

    /// Takes in what an outcome says of its replica; `None` if nothing was in flight.
    fn record(&mut self, now: Seconds, outcome: &Outcome) -> Option<SentAttempt> {
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
        let known = &mut replica.state;
        if answered {
            known.backpressure.record_answer();
            self.limits.record_answer(now, outcome.latency);
            if call.alone {
                self.unloaded
                    .record(now, &outcome.replica, outcome.latency, ejected);
            }
        }
        let was_given_up = matches!(outcome.ending, Ending::TimedOut | Ending::Cancelled);
        if answered || (was_given_up && outcome.latency > 0.0) {
            push(
                &mut known.loaded,
                Sample {
                    at: now,
                    value: outcome.latency,
                },
                LOADED_SAMPLES,
            );
        }
        if matches!(outcome.ending, Ending::Full | Ending::TimedOut) {
            known.backpressure.begin(replica.in_flight.len());
        }
        // One given up says something of health only if it is late.
        if outcome.ending == Ending::NeverSent || (outcome.ending == Ending::Cancelled && !late) {
            return Some(call);
        }
        known.warming.attempt_finished(outcome.ending);
        self.observe(now, outcome, &call, !answered || late);
        Some(call)
    }

    /// By when the present step is to be answered.
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

    /// Sends, queues or ends what is due of a search.
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
                self.give_up(now, search);
            }
            return;
        }
        if is_step_complete(&query_type, search) {
            let complete = search.step == 1 || search.first_step_complete;
            return self.close(search, Some(Reply::Answered { complete }));
        }
        if now >= until || (now >= target && may_answer_partially(&query_type, search)) {
            return self.give_up(now, search);
        }
        let is_new_step = search.queuing_deadline.is_none();
        let picks = self.pick_all(now, until, search);
        if is_new_step && !self.admit_step(now, target, search, &picks) {
            return self.give_up(now, search);
        }
        if !can_reach_minimum(&query_type, search, &picks) {
            return self.give_up(now, search);
        }
        for PartPick { part_index, pick } in picks {
            self.cancel_hung(now, target, search, part_index);
            self.act(now, until, search, part_index, pick);
            if is_new_step {
                self.send_probe(now, until, search, part_index);
            }
        }
    }

    /// Updates the overload state, and logs when it changes.
    fn record_overload(&mut self, now: Seconds) {
        if !self.limits.update_overload(now, &self.unloaded) {
            return;
        }
        self.plan.notes.push(if self.limits.overloaded {
            Note::OverloadBegan
        } else {
            Note::OverloadEnded
        });
    }

    /// Sets the queuing deadline of a step that has just begun; false if the search is to be shed instead.
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
            .record_taken(step_started_at, search.step_parts().count());
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
        !(search.step == 1 && self.sheds(now, target, search, &chosen))
    }

    /// Replies with the parts that are answered if they suffice, with a rejection where another attempt is proven
    /// harmless, or else with an error.
    fn give_up(&mut self, now: Seconds, search: &mut Search) {
        let query_type = &self.settings.query_types[search.query_type.0];
        let answered = search.answered_weight();
        let is_harmless = query_type.repeat == Repeat::Idempotent
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
        let reply = if answered > 0.0 && answered >= minimum - ROUNDING {
            Reply::Answered {
                complete: is_mutated("routing-whole"),
            }
        } else if is_harmless {
            // The client should retry after half of the time that remains for queuing, if that can still be in time;
            // otherwise as late as allowed, which relieves the replicas.
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

    /// Ends the present step, or the search: what is queued or in flight is given up.
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

/// Whether the answers that have come make the present step complete.
fn is_step_complete(query_type: &QueryType, search: &Search) -> bool {
    if search.step == 1 {
        search.answered_weight() >= query_type.complete_weight - ROUNDING
    } else {
        search.answered_weight() >= 1.0 - ROUNDING
            && search.step_parts().all(|(_, part)| part.answered)
    }
}

/// Whether the answers that have come may be given as a partial answer.
fn may_answer_partially(query_type: &QueryType, search: &Search) -> bool {
    let answered = search.answered_weight();
    answered >= query_type.minimum_weight - ROUNDING
        && answered > 0.0
        && query_type.minimum_weight < query_type.complete_weight
}

/// Whether the parts that can still be answered suffice for the least answer.
fn can_reach_minimum(query_type: &QueryType, search: &Search, picks: &[PartPick]) -> bool {
    let is_hopeless = |part_index: usize| {
        picks
            .iter()
            .any(|part| part.part_index == part_index && matches!(part.pick, Pick::Never))
    };
    let weights: Vec<f64> = search
        .step_parts()
        .filter(|(_, part)| !part.answered)
        .filter(|(index, part)| !is_hopeless(*index) || part.is_in_flight())
        .map(|(_, part)| part.weight)
        .collect();
    let answered = search.answered_weight();
    !weights.is_empty()
        && answered + weights.iter().sum::<f64>() >= query_type.minimum_weight - ROUNDING
}
