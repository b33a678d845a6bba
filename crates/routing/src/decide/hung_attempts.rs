//! Cancellation of hung attempts where hedges are not allowed, so that their parts can be sent to another replica.

use super::Balancer;
use crate::api::{Attempt, AttemptId, Search, Seconds};

/// Age from which an attempt counts as hung, as a multiple of the age from which it is late.
const HUNG_AFTER: f64 = 1.5;

impl Balancer {
    /// Where hedges are not allowed, cancels a part's attempts at hung replicas if another replica can still meet the
    /// target. The part is sent there after the cancelled attempt has been reported as finished.
    pub(super) fn cancel_hung(
        &mut self,
        now: Seconds,
        target: Seconds,
        search: &Search,
        part_index: usize,
    ) {
        let part = &search.parts[part_index];
        let has_no_attempt_left = part.attempts.len() >= self.settings.max_attempts;
        if self.settings.hedging_allowed
            || !self.settings.cancellation_allowed
            || has_no_attempt_left
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
        let other_is_in_time =
            other.is_some_and(|(id, _)| target - now > self.tail(now, search, id));
        if !other_is_in_time
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
}
