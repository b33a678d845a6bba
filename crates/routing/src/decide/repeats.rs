//! Whether a part may be sent once more.

use super::{Balancer, ReplicaState};
use crate::api::{AttemptId, Part, Repeat, ReplicaId, Search, Seconds};
use crate::fleet::Replica;
use crate::mutations::is_mutated;

/// Retries and hedges of one part beyond which no more are worth their cost.
const MAX_WORTHWHILE_REPEATS: usize = 2;
/// An attempt is lost that was overtaken by this number of later ones: as many as a replica of few cores executes at a
/// time.
const MIN_OVERTAKERS: usize = 4;

/// How a part may be sent once more without taking effect twice.
#[derive(Clone, Debug)]
pub(super) struct AllowedRepeat {
    /// The only replica that it may go to, if not any.
    pub(super) only: Option<ReplicaId>,
    /// Time before which it has to begin to leave, however long it waits for a connection.
    pub(super) begin_by: Seconds,
}

impl AllowedRepeat {
    /// To any replica, at any time.
    const ANYWHERE: AllowedRepeat = AllowedRepeat {
        only: None,
        begin_by: f64::INFINITY,
    };
}

impl Balancer {
    /// How the part may be sent once more; `None` if it might take effect twice.
    pub(super) fn may_repeat(
        &self,
        now: Seconds,
        search: &Search,
        part: &Part,
    ) -> Option<AllowedRepeat> {
        let Some(first) = part.attempts.iter().find(|attempt| !attempt.proven_unrun()) else {
            return Some(AllowedRepeat::ANYWHERE);
        };
        match self.settings.query_types[search.query_type.0].repeat {
            Repeat::NonIdempotent if is_mutated("routing-once") => Some(AllowedRepeat::ANYWHERE),
            Repeat::Tokened { .. } if is_mutated("routing-token-window") => {
                Some(AllowedRepeat::ANYWHERE)
            }
            Repeat::Idempotent => Some(AllowedRepeat::ANYWHERE),
            Repeat::Tokened { window, any_holder } => {
                let begin_by = first.sent_at + window - 2.0 * self.settings.tick;
                (now < begin_by).then(|| AllowedRepeat {
                    only: (!any_holder).then(|| first.replica.clone()),
                    begin_by,
                })
            }
            Repeat::NonIdempotent => None,
        }
    }

    /// Whether another attempt is worth its cost: never under overload, at most two beyond the first, and a
    /// hedge only of a part that is lost.
    pub(super) fn is_repeat_worthwhile(&mut self, now: Seconds, part: &Part) -> bool {
        let attempts = part.attempts.len();
        let is_spent = attempts > MAX_WORTHWHILE_REPEATS || attempts >= self.settings.max_attempts;
        let is_barred =
            part.is_in_flight() && !(self.settings.hedging_allowed && self.is_lost(now, part));
        !self.limits.overloaded && !is_spent && !is_barred && self.retries.allows_retry(now)
    }

    /// Whether every attempt in flight waits on an unresponsive or ejected replica, or was overtaken by
    /// several that were sent later. Where queues are the cause, hedges lengthen them.
    fn is_lost(&self, now: Seconds, part: &Part) -> bool {
        let is_lost_at = |index: usize, replica: &Replica<ReplicaState>| {
            let part = part.id;
            let was_overtaken = replica
                .in_flight
                .get(&AttemptId { part, index })
                .is_some_and(|call| call.overtaken_by >= MIN_OVERTAKERS);
            was_overtaken || self.is_ejected(replica) || self.is_unresponsive(now, replica)
        };
        part.attempts_in_flight().all(|(index, attempt)| {
            self.fleet
                .get(&attempt.replica)
                .is_none_or(|replica| is_lost_at(index, replica))
        })
    }

    /// Whether a second attempt is harmless beside one in flight.
    pub(super) fn may_hedge(&self, now: Seconds, search: &Search, part: &Part) -> bool {
        part.is_in_flight()
            && self
                .may_repeat(now, search, part)
                .is_some_and(|repeat| repeat.only.is_none())
    }
}
