//! One search from its arrival to its reply.

use super::Balancer;
use super::placement::Pick;
use crate::api::{Attempt, Ending, Outcome, Plan, QueryType, Repeat, ReplicaId, Reply, Search};
use crate::samples::{Sample, push};
use crate::{fleet::InFlight, mutations::is_mutated};

const ROUNDING: f64 = 1e-4; // sums of weights may fall this short

impl Balancer {
    /// What to do after this outcome; the search is absent if the caller no longer holds it.
    pub fn after(&mut self, now: f64, search: Option<&mut Search>, outcome: &Outcome) -> Plan {
        let call = self.record(now, outcome);
        self.limits.update(&self.unloaded, &self.budget);
        if let Some(search) = search {
            search.record_outcome(outcome);
            self.decide(now, search);
        }
        // An attempt that was cancelled as hung frees no capacity: its replica answers nothing.
        if !call.is_some_and(|c| c.cancelled_as_hung) {
            self.reconsider_next(&outcome.replica);
        }
        self.forget_if_departed(&outcome.replica);
        std::mem::take(&mut self.plan)
    }

    /// How long until the search should be asked about again, if no outcome comes before.
    pub fn wait(&self, now: f64, search: &Search) -> f64 {
        let (target, until) = self.target_and_deadline(search);
        let mut due = if target > now {
            until.min(target)
        } else {
            until
        };
        for (_, part) in search.step_parts().filter(|(_, p)| !p.answered) {
            let hedge_due = part
                .waiting()
                .last()
                .map(|(_, s)| s.sent_at + self.limits.hedge_after);
            // Guards open with time alone, and a hedge may become affordable: look again soon.
            due = due.min(hedge_due.filter(|at| *at > now).unwrap_or(now + 0.1));
        }
        (due - now).max(self.settings.tick)
    }

    /// Takes in what an outcome says of its replica; `None` if nothing was in flight.
    fn record(&mut self, now: f64, o: &Outcome) -> Option<InFlight> {
        self.watch_capacity(now);
        let (late, ejected) = (
            o.latency > self.limits.late_after,
            self.with_own_samples(&o.replica).is_none(),
        );
        let replica = self.fleet.get_mut(&o.replica)?;
        let answered = o.ending == Ending::Answered;
        let call = replica.ended(now, o.part, o.attempt_index, answered)?;
        let known = &mut replica.state;
        if answered {
            known.hold.answered();
            self.limits.answered(now, o.latency);
            if call.alone {
                self.unloaded.record(now, &o.replica, o.latency, ejected);
            }
        }
        if answered || (matches!(o.ending, Ending::TimedOut | Ending::Cancelled) && o.latency > 0.0)
        {
            push(
                &mut known.loaded,
                Sample {
                    at: now,
                    value: o.latency,
                },
                8,
            );
        }
        if matches!(o.ending, Ending::Full | Ending::TimedOut) {
            known.hold.begin(replica.in_flight.len());
        }
        // One given up says something of health only if it is late.
        if o.ending == Ending::NeverSent || (o.ending == Ending::Cancelled && !late) {
            return Some(call);
        }
        known.warming.ended(o.ending);
        self.observe(now, o, &call, !answered || late);
        Some(call)
    }

    /// The time by which the present step has to be answered to meet its latency target, and the last time at
    /// which an answer still has value.
    pub(super) fn target_and_deadline(&self, search: &Search) -> (f64, f64) {
        let margin = 4.0 * self.settings.tick; // one to be asked, one to reply, and the way to the client
        let query_type = &self.settings.query_types[search.query_type.0];
        let end = search.client_deadline - margin;
        let target = (search.first_asked_at.unwrap_or(search.arrived) + query_type.latency_target
            - margin)
            .min(end);
        // A late answer costs as much as one in time: waited for only if it keeps over half its value.
        let until = if query_type.late_value > 0.5 && !self.limits.overloaded {
            end
        } else {
            target
        };
        // Twice the unloaded tail of the second step: once alone its parts would be skipped on arrival.
        let tail = self
            .budget
            .tail(0.0, &self.unloaded, None, query_type.second_step);
        let reserve = if search.step == 1 && query_type.second_step > 0 {
            2.0 * tail
        } else {
            0.0
        };
        (target - reserve, until)
    }

    /// Sends, queues or ends what is due of a search.
    pub(crate) fn decide(&mut self, now: f64, search: &mut Search) {
        if search.finished {
            return;
        }
        self.record_overload(now);
        let query_type = self.settings.query_types[search.query_type.0].clone();
        if search.first_asked_at.is_none() {
            self.arrive(search, &query_type);
        }
        let (target, until) = self.target_and_deadline(search);
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
        let is_first_look = search.queuing_deadline.is_none();
        let picks = self.pick_all(now, until, search);
        if is_first_look && !self.admit_step(now, target, search, &picks) {
            return self.give_up(now, search);
        }
        if !can_reach_minimum(&query_type, search, &picks) {
            return self.give_up(now, search);
        }
        for (part_index, pick) in picks {
            self.cancel_hung(now, target, search, part_index);
            self.act(now, until, search, part_index, pick);
            if is_first_look {
                self.send_probe(now, until, search, part_index);
            }
        }
    }

    /// Updates the overload state, and logs when it changes.
    fn record_overload(&mut self, now: f64) {
        if !self.limits.update_overload(now, &self.unloaded) {
            return;
        }
        let change = if self.limits.overloaded {
            "overload began"
        } else {
            "overload ended"
        };
        self.plan.notes.push(change.to_string());
    }

    /// Sets the queuing deadline of a step that has just begun; false if the search is to be shed instead.
    fn admit_step(
        &mut self,
        now: f64,
        target: f64,
        search: &mut Search,
        picks: &[(usize, Pick)],
    ) -> bool {
        let began = if search.step == 1 {
            search.arrived
        } else {
            now
        };
        self.retries.taken(began, search.step_parts().count());
        let chosen: Vec<ReplicaId> = picks
            .iter()
            .filter_map(|(_, pick)| pick.replica().cloned())
            .collect();
        let sampled: Vec<_> = chosen.iter().map(|id| self.with_own_samples(id)).collect();
        let deadline = self
            .budget
            .queuing_deadline(now, target, &self.unloaded, &sampled);
        search.queuing_deadline = Some(deadline);
        !(search.step == 1 && self.sheds(now, target, search, &chosen))
    }

    /// The parts that came if they meet the floor; shed where asking again is proven harmless; or an error.
    fn give_up(&mut self, now: f64, search: &mut Search) {
        let query_type = &self.settings.query_types[search.query_type.0];
        let come = search.answered_weight();
        let harmless = query_type.repeat == Repeat::Idempotent
            || search
                .parts
                .iter()
                .all(|p| p.attempts.iter().all(Attempt::proven_unrun))
            || is_mutated("module-harmless");
        let floor = if is_mutated("module-floor") {
            0.0
        } else {
            query_type.minimum_weight
        };
        let reply = if come > 0.0 && come >= floor - ROUNDING {
            Reply::Answered {
                complete: is_mutated("module-whole"),
            }
        } else if harmless {
            // The client should retry after half of the time left for queuing, if a retry can still be in time;
            // otherwise as late as allowed, which relieves the replicas.
            let longest = self.settings.max_retry_after.unwrap_or(0.0);
            let time_left = search.queuing_deadline.unwrap_or(now) - now;
            Reply::Shed {
                retry_after: if time_left > 0.0 {
                    longest.min(time_left / 2.0)
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
        for i in 0..search.parts.len() {
            self.dequeue(search, i);
            let part = &search.parts[i];
            let live = part
                .waiting()
                .filter(|_| self.settings.cancellation_allowed)
                .map(|(n, _)| (part.id, n));
            self.plan.cancel.extend(live);
        }
        let query_type = &self.settings.query_types[search.query_type.0];
        match reply {
            Some(Reply::Answered { complete })
                if search.step == 1 && query_type.second_step > 0 =>
            {
                (
                    search.step,
                    search.first_step_complete,
                    search.queuing_deadline,
                ) = (2, complete, None);
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
fn can_reach_minimum(query_type: &QueryType, search: &Search, picks: &[(usize, Pick)]) -> bool {
    let is_hopeless = |part_index: usize| {
        picks
            .iter()
            .any(|(index, pick)| part_index == *index && matches!(pick, Pick::Never))
    };
    let weights: Vec<f64> = search
        .step_parts()
        .filter(|(_, part)| !part.answered)
        .filter(|(index, part)| !is_hopeless(*index) || part.in_flight())
        .map(|(_, part)| part.weight)
        .collect();
    let answered = search.answered_weight();
    !weights.is_empty()
        && answered + weights.iter().sum::<f64>() >= query_type.minimum_weight - ROUNDING
}
