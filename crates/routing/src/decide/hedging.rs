//! Parts in flight: those that are called off, and trials of ejected replicas.

use super::{Balancer, Known};
use crate::{api::*, fleet::Replica};

/// In flight so many times `late_after`: called off where hedges are barred. Of 0.7 to 3, on days with hangs.
const CALL_OFF: f64 = 1.5;

impl Balancer {
    /// Where hedges are barred, a part that waits on a hung replica is called off, if another holder can
    /// still make the target: it goes there once the outcome is in.
    pub(super) fn call_off(&mut self, now: f64, target: f64, q: &Search, i: usize) {
        let part = &q.parts[i];
        let spent = part.attempts.len() >= self.set.max_attempts;
        if self.set.hedging_allowed
            || !self.set.cancellation_allowed
            || spent
            || !self.may_double(now, q, part)
        {
            return;
        }
        let late = |s: &Attempt| now - s.sent_at > CALL_OFF * self.limits.late_after;
        let silent = |s: &Attempt| {
            self.fleet
                .get(&s.replica)
                .is_some_and(|r| r.answered_at < s.sent_at)
        };
        let other = self
            .fleet
            .holders(part.shard)
            .find(|(id, _)| !part.tried(id));
        let fits = other.is_some_and(|(id, _)| target - now > self.tail(now, q, id));
        if !fits || !part.waiting().all(|(_, s)| late(s) && silent(s)) {
            return;
        }
        for (n, sub) in part.waiting() {
            let call = self
                .fleet
                .get_mut(&sub.replica)
                .and_then(|r| r.in_flight.get_mut(&(part.id, n)));
            if call.is_some_and(|call| !std::mem::replace(&mut call.called_off, true)) {
                self.plan.cancel.push((part.id, n));
            }
        }
    }

    /// A trial: a second sub-request of a part in flight, to an ejected holder with nothing in flight, so
    /// that no search waits on it. Where hedges are barred, one is used once the others are no better.
    pub(super) fn send_trial(&mut self, now: f64, until: f64, q: &mut Search, i: usize) {
        let (part, class) = (&q.parts[i], q.query_type);
        if !self.set.hedging_allowed
            || !self.may_double(now, q, part)
            || !self.retries.has_room(now)
        {
            return;
        }
        // A replica's own ejection goes first: its zone's trials are for the others.
        let ready = |(id, r): &(&ReplicaId, &Replica<Known>)| {
            let (own, way) = (&r.state.health, self.way(r));
            let way_due = || way.is_some_and(|way| way.trial_due(now, ()));
            let due = if own.is_ejected_for(class) {
                own.trial_due(now, class)
            } else {
                way_due()
            };
            due && r.in_flight.is_empty() && !part.tried(id) && !self.exceeds_slow_start(now, r, 0)
        };
        let Some(id) = self
            .fleet
            .holders(part.shard)
            .find(ready)
            .map(|(id, _)| id.clone())
        else {
            return;
        };
        let Some(r) = self.fleet.get_mut(&id) else {
            return;
        };
        if r.state.health.is_ejected_for(class) {
            r.state.health.trial_sent(now);
        } else if let Some(way) = r.zone.and_then(|zone| self.zones.get_mut(&zone)) {
            way.trial_sent(now);
        }
        self.send(now, until, q, i, id);
    }
}
