//! Whether a part may be sent again, as a retry or a hedge.

use super::{Balancer, ReplicaState};
use crate::api::{AttemptId, Part, Repeat, ReplicaId, Search, Seconds};
use crate::fleet::Replica;
use crate::mutations::is_mutated;

/// Number of retries and hedges of one part above which no more are worth their cost.
const MAX_WORTHWHILE_REPEATS: usize = 2;
/// Number of later attempts, answered by the same replica, after which an earlier attempt counts as lost: the number
/// that a replica of few cores executes at a time.
const MIN_OVERTAKERS: usize = 4;

/// Conditions under which a part may be sent again without taking effect twice.
#[derive(Clone, Debug)]
pub(super) struct AllowedRepeat {
    /// The only replica that the part may be sent to; any replica if `None`.
    pub(super) only: Option<ReplicaId>,
    /// Time before which sending has to start, the wait for a connection included; infinite if there is no limit.
    pub(super) begin_by: Seconds,
}

impl AllowedRepeat {
    /// The part may be sent to any replica at any time.
    const ANYWHERE: AllowedRepeat = AllowedRepeat {
        only: None,
        begin_by: f64::INFINITY,
    };
}

impl Balancer {
    /// Conditions under which the part may be sent again; `None` if it might take effect twice.
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

    /// Whether another attempt is worth its cost. None is during overload; otherwise at most two beyond the first
    /// are, and a hedge only for a lost part.
    pub(super) fn is_repeat_worthwhile(&mut self, now: Seconds, part: &Part) -> bool {
        let attempts = part.attempts.len();
        let has_no_attempt_left =
            attempts > MAX_WORTHWHILE_REPEATS || attempts >= self.settings.max_attempts;
        let is_unwanted_hedge =
            part.is_in_flight() && !(self.settings.hedging_allowed && self.is_lost(now, part));
        !self.limits.overloaded
            && !has_no_attempt_left
            && !is_unwanted_hedge
            && self.retries.allows_retry(now)
    }

    /// Whether every attempt in flight is at an unresponsive, ejected or unknown replica, or was overtaken by several
    /// later attempts. An attempt that is only queued at its replica does not count: hedges would lengthen the queues.
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

    /// Whether the part has an attempt in flight and may be sent to any other replica without taking effect twice.
    pub(super) fn may_hedge(&self, now: Seconds, search: &Search, part: &Part) -> bool {
        part.is_in_flight()
            && self
                .may_repeat(now, search, part)
                .is_some_and(|repeat| repeat.only.is_none())
    }
}
