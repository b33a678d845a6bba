//! Whether a part may be sent once more.

use super::{Balancer, Known};
use crate::{api::*, fleet::Replica, mutations::is_mutated};

impl Balancer {
    /// No effect twice: whether the part may be sent once more, to which replica alone if not any, and before
    /// which time it has to begin to leave, however long it waits for a connection.
    pub(super) fn may_repeat(
        &self,
        now: f64,
        q: &Search,
        part: &Part,
    ) -> Option<(Option<ReplicaId>, f64)> {
        const FREE: Option<(Option<ReplicaId>, f64)> = Some((None, f64::INFINITY));
        let Some(first) = part.attempts.iter().find(|s| !s.proven_unrun()) else {
            return FREE;
        };
        match self.set.query_types[q.query_type.0].repeat {
            Repeat::NonIdempotent if is_mutated("module-once") => FREE,
            Repeat::Tokened { .. } if is_mutated("module-token-window") => FREE,
            Repeat::Idempotent => FREE,
            Repeat::Tokened { window, any_holder } => {
                let by = first.sent_at + window - 2.0 * self.set.tick;
                (now < by).then(|| ((!any_holder).then(|| first.replica.clone()), by))
            }
            Repeat::NonIdempotent => None,
        }
    }

    /// None under overload, else up to two further; a hedge only of a part that is lost.
    pub(super) fn worth_repeating(&mut self, now: f64, part: &Part) -> bool {
        let spent = part.attempts.len() > 2 || part.attempts.len() >= self.set.max_attempts;
        let barred = part.in_flight() && !(self.set.hedging_allowed && self.is_lost(now, part));
        !self.limits.overloaded && !spent && !barred && self.retries.has_room(now)
    }

    /// Whether all in flight waits on silent or ejected replicas, or was passed by four sent later, as many
    /// as a replica of few cores has at work. Where queues are the cause, hedges lengthen them.
    fn is_lost(&self, now: f64, part: &Part) -> bool {
        let lost = |n: usize, r: &Replica<Known>| {
            let passed = r
                .in_flight
                .get(&(part.id, n))
                .is_some_and(|x| x.passed >= 4);
            passed || self.is_ejected(r) || self.is_silent(now, r)
        };
        part.waiting()
            .all(|(n, s)| self.fleet.get(&s.replica).is_none_or(|r| lost(n, r)))
    }

    /// Whether a second sub-request is harmless beside one in flight.
    pub(super) fn may_double(&self, now: f64, q: &Search, part: &Part) -> bool {
        part.in_flight() && matches!(self.may_repeat(now, q, part), Some((None, _)))
    }
}
