//! Attempts in flight: cancelling those that hang, where hedges are not allowed, and probes of ejected replicas.
//! Hedges themselves are picked in `placement`, and allowed in `repeats`.

use super::{Balancer, ReplicaState};
use crate::api::{Attempt, AttemptId, ReplicaId, Search, Seconds};
use crate::fleet::Replica;

/// An attempt is taken for hung after this multiple of the time after which it is late.
const HUNG_AFTER: f64 = 1.5;

impl Balancer {
    /// Where hedges are not allowed, cancels the attempts of a part that wait on a hung replica, if another
    /// replica can still meet the target: the part goes there once the outcome is in.
    pub(super) fn cancel_hung(
        &mut self,
        now: Seconds,
        target: Seconds,
        search: &Search,
        part_index: usize,
    ) {
        let part = &search.parts[part_index];
        let is_spent = part.attempts.len() >= self.settings.max_attempts;
        if self.settings.hedging_allowed
            || !self.settings.cancellation_allowed
            || is_spent
            || !self.may_hedge(now, search, part)
        {
            return;
        }
        let is_hung = |attempt: &Attempt| {
            let is_overdue = now - attempt.sent_at > HUNG_AFTER * self.limits.late_after;
            let answered_nothing = self
                .fleet
                .get(&attempt.replica)
                .is_some_and(|replica| replica.answered_at < attempt.sent_at);
            is_overdue && answered_nothing
        };
        let other = self
            .fleet
            .holders(part.shard)
            .find(|(id, _)| !part.tried(id));
        let other_fits = other.is_some_and(|(id, _)| target - now > self.tail(now, search, id));
        if !other_fits
            || !part
                .attempts_in_flight()
                .all(|(_, attempt)| is_hung(attempt))
        {
            return;
        }
        for (index, attempt) in part.attempts_in_flight() {
            let part = part.id;
            let id = AttemptId { part, index };
            let call = self
                .fleet
                .get_mut(&attempt.replica)
                .and_then(|replica| replica.in_flight.get_mut(&id));
            if call.is_some_and(|call| !std::mem::replace(&mut call.cancelled_as_hung, true)) {
                self.plan.cancel.push(id);
            }
        }
    }

    /// Sends a second attempt of a part in flight to an ejected replica with nothing in flight, as a probe on
    /// which no search waits.
    pub(super) fn send_probe(
        &mut self,
        now: Seconds,
        until: Seconds,
        search: &mut Search,
        part_index: usize,
    ) {
        let (part, class) = (&search.parts[part_index], search.query_type);
        if !self.settings.hedging_allowed
            || !self.may_hedge(now, search, part)
            || !self.retries.allows_retry(now)
        {
            return;
        }
        // A replica's own ejection goes first: the probes of its zone are for the others.
        let is_due = |(id, replica): &(&ReplicaId, &Replica<ReplicaState>)| {
            let own = &replica.state.health;
            let is_probe_due = if own.is_ejected_for(class) {
                own.probe_due(now, class)
            } else {
                self.zone_detector(replica)
                    .is_some_and(|zone| zone.probe_due(now, ()))
            };
            is_probe_due
                && replica.in_flight.is_empty()
                && !part.tried(id)
                && !self.exceeds_slow_start(now, replica, 0)
        };
        let Some(id) = self
            .fleet
            .holders(part.shard)
            .find(is_due)
            .map(|(id, _)| id.clone())
        else {
            return;
        };
        let Some(replica) = self.fleet.get_mut(&id) else {
            return;
        };
        if replica.state.health.is_ejected_for(class) {
            replica.state.health.probe_sent(now);
        } else if let Some(zone) = replica.zone.and_then(|zone| self.zones.get_mut(&zone)) {
            zone.probe_sent(now);
        }
        self.send(now, until, search, part_index, id);
    }
}
