//! One search from its arrival to its reply.

use super::Balancer;
use super::placement::Pick;
use crate::samples::{Sample, push};
use crate::{api::*, fleet::InFlight, mutations::is_mutated};

const ROUNDING: f64 = 1e-4; // sums of weights may fall this short

impl Balancer {
    /// What to do after this outcome; the search is absent if the caller no longer holds it.
    pub fn after(&mut self, now: f64, search: Option<&mut Search>, outcome: &Outcome) -> Plan {
        let call = self.record(now, outcome);
        self.limits.update(&self.unloaded, &self.budget);
        if let Some(search) = search {
            search.ended(outcome);
            self.decide(now, search);
        }
        // One called off frees no room at its replica: that it answers nothing is why.
        if !call.is_some_and(|c| c.called_off) {
            self.next_held(&outcome.replica);
        }
        self.forget_if_gone(&outcome.replica);
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
        (due - now).max(self.set.tick)
    }

    /// Takes in what an outcome says of its replica; `None` if nothing was in flight.
    fn record(&mut self, now: f64, o: &Outcome) -> Option<InFlight> {
        self.watch_capacity(now);
        let (late, ejected) = (
            o.latency > self.limits.late_after,
            self.judged(&o.replica).is_none(),
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

    /// The latency target of the step in hand, and the last moment at which an answer still earns value.
    pub(super) fn target_and_deadline(&self, q: &Search) -> (f64, f64) {
        let margin = 4.0 * self.set.tick; // one to be asked, one to reply, and the way to the client
        let t = &self.set.query_types[q.query_type.0];
        let end = q.client_deadline - margin;
        let target = (q.first_asked_at.unwrap_or(q.arrived) + t.latency_target - margin).min(end);
        // A late answer costs as much as one in time: waited for only if it keeps over half its value.
        let until = if t.late_value > 0.5 && !self.limits.overloaded {
            end
        } else {
            target
        };
        // Twice the unloaded tail of the second step: once alone its parts would be skipped on arrival.
        let tail = self.budget.tail(0.0, &self.unloaded, None, t.second_step);
        let reserve = if q.step == 1 && t.second_step > 0 {
            2.0 * tail
        } else {
            0.0
        };
        (target - reserve, until)
    }

    /// Sends, holds or ends what is due of a search.
    pub(crate) fn decide(&mut self, now: f64, q: &mut Search) {
        if q.finished {
            return;
        }
        let t = self.set.query_types[q.query_type.0].clone();
        if self.limits.see_overload(now, &self.unloaded) {
            let change = if self.limits.overloaded {
                "begun"
            } else {
                "ended"
            };
            self.plan.notes.push(format!("overload {change}"));
        }
        if q.first_asked_at.is_none() {
            self.arrive(q, &t);
        }
        let (target, until) = self.target_and_deadline(q);
        if q.step_parts().next().is_none() {
            if q.step == 1 || now >= until {
                self.give_up(now, q);
            }
            return;
        }
        let need = if q.step == 1 { t.complete_weight } else { 1.0 };
        let come = q.answered_weight();
        if come >= need - ROUNDING && (q.step == 1 || q.step_parts().all(|(_, p)| p.answered)) {
            return self.close(
                q,
                Some(Reply::Answered {
                    complete: q.step == 1 || q.first_step_complete,
                }),
            );
        }
        let floor_met = come >= t.minimum_weight - ROUNDING
            && come > 0.0
            && t.minimum_weight < t.complete_weight;
        if now >= until || (now >= target && floor_met) {
            return self.give_up(now, q);
        }
        let first_look = q.queuing_deadline.is_none();
        let picks = self.pick_all(now, until, q);
        if first_look {
            self.retries.taken(
                if q.step == 1 { q.arrived } else { now },
                q.step_parts().count(),
            );
            let chosen: Vec<ReplicaId> = picks
                .iter()
                .filter_map(|(_, p)| p.replica().cloned())
                .collect();
            let judged: Vec<_> = chosen.iter().map(|id| self.judged(id)).collect();
            q.queuing_deadline =
                Some(
                    self.budget
                        .queuing_deadline(now, target, &self.unloaded, &judged),
                );
            if q.step == 1 && self.sheds(now, target, q, &chosen) {
                return self.give_up(now, q);
            }
        }
        let never = |i: usize| {
            picks
                .iter()
                .any(|(j, p)| i == *j && matches!(p, Pick::Never))
        };
        let open = |(i, p): &(usize, &Part)| !p.answered && (!never(*i) || p.in_flight());
        let weights: Vec<f64> = q.step_parts().filter(open).map(|(_, p)| p.weight).collect();
        if weights.is_empty() || come + weights.iter().sum::<f64>() < t.minimum_weight - ROUNDING {
            return self.give_up(now, q);
        }
        for (i, pick) in picks {
            self.call_off(now, target, q, i);
            self.act(now, until, q, i, pick);
            if first_look {
                self.send_trial(now, until, q, i);
            }
        }
    }

    /// The parts that came if they meet the floor; shed where asking again is proven harmless; or an error.
    fn give_up(&mut self, now: f64, q: &mut Search) {
        let t = &self.set.query_types[q.query_type.0];
        let come = q.answered_weight();
        let harmless = t.repeat == Repeat::Idempotent
            || q.parts
                .iter()
                .all(|p| p.attempts.iter().all(Attempt::proven_unrun))
            || is_mutated("module-harmless");
        let floor = if is_mutated("module-floor") {
            0.0
        } else {
            t.minimum_weight
        };
        let reply = if come > 0.0 && come >= floor - ROUNDING {
            Reply::Answered {
                complete: is_mutated("module-whole"),
            }
        } else if harmless {
            // Back when half its spare time is gone, if a later try can still make it; else late, for relief.
            let longest = self.set.max_retry_after.unwrap_or(0.0);
            let spare = q.queuing_deadline.unwrap_or(now) - now;
            Reply::Shed {
                retry_after: if spare > 0.0 {
                    longest.min(spare / 2.0)
                } else {
                    longest
                },
            }
        } else {
            Reply::Errored
        };
        self.close(q, Some(reply));
    }

    /// Ends the step in hand, or the search: what is held or in flight is given up.
    pub(crate) fn close(&mut self, q: &mut Search, reply: Option<Reply>) {
        for i in 0..q.parts.len() {
            self.unhold(q, i);
            let part = &q.parts[i];
            let live = part
                .waiting()
                .filter(|_| self.set.cancellation_allowed)
                .map(|(n, _)| (part.id, n));
            self.plan.cancel.extend(live);
        }
        let t = &self.set.query_types[q.query_type.0];
        match reply {
            Some(Reply::Answered { complete }) if q.step == 1 && t.second_step > 0 => {
                (q.step, q.first_step_complete, q.queuing_deadline) = (2, complete, None);
            }
            _ => q.finished = true,
        }
        self.plan.reply = reply;
    }
}
