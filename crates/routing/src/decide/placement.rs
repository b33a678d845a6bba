//! Where the parts of a search go, and when they leave.

use super::{Balancer, Candidates, PartBudget, ReplicaState};
use crate::api::{Attempt, AttemptId, Part, Placement, ReplicaId, Search, Seconds, Share};
use crate::balancer::QueuedPart;
use crate::fleet::Replica;
use crate::samples::groups;
use std::collections::BTreeMap;

/// Number of parts that are about to leave for each replica.
type PlannedParts = BTreeMap<ReplicaId, usize>;

/// A replica that could be sent a part.
type Holder<'a> = (&'a ReplicaId, &'a Replica<ReplicaState>);

/// Tolerance for rounding in the time at which a hedge is due.
const DUE_TOLERANCE: Seconds = 1e-9;

/// What to do with a part.
pub(super) enum Pick {
    /// Send it now.
    Go(ReplicaId),
    /// Queue it: its replica is on hold, or earlier parts wait there.
    Queue(ReplicaId),
    /// Slow start keeps every replica that holds the shard closed for now.
    Later,
    /// There is no replica at all, or the part can no longer be answered in time.
    Never,
}

/// A part of a search, by its index, and what to do with it.
pub(super) struct PartPick {
    pub(super) part_index: usize,
    pub(super) pick: Pick,
}

impl Pick {
    /// The replica that was chosen, if any.
    pub(super) fn replica(&self) -> Option<&ReplicaId> {
        if let Pick::Go(id) | Pick::Queue(id) = self {
            Some(id)
        } else {
            None
        }
    }
}

impl Balancer {
    /// A pick for each part of the step that has no answer, and nothing in flight that is not due a hedge.
    pub(super) fn pick_all(
        &mut self,
        now: Seconds,
        until: Seconds,
        search: &Search,
    ) -> Vec<PartPick> {
        let mut planned = PlannedParts::new();
        let mut picks = Vec::new();
        let hedge_after = self.limits.hedge_after;
        for (part_index, part) in search.step_parts().filter(|(_, part)| !part.answered) {
            let is_due = |attempt: &Attempt| now >= attempt.sent_at + hedge_after - DUE_TOLERANCE;
            if part
                .attempts_in_flight()
                .any(|(_, attempt)| !is_due(attempt))
            {
                continue;
            }
            let pick = self.pick(now, until, search, part, &planned);
            if let Pick::Go(id) = &pick {
                *planned.entry(id.clone()).or_default() += 1;
            }
            picks.push(PartPick { part_index, pick });
        }
        picks
    }

    fn pick(
        &mut self,
        now: Seconds,
        until: Seconds,
        search: &Search,
        part: &Part,
        planned: &PlannedParts,
    ) -> Pick {
        let mut only = None;
        if !part.attempts.is_empty() {
            match self.may_repeat(now, search, part) {
                Some(repeat) if self.is_repeat_worthwhile(now, part) => only = repeat.only,
                _ => return Pick::Never,
            }
        }
        let zone_draw = if self.zone_failover.is_some() {
            self.rng.rand_float()
        } else {
            0.0
        };
        let planned = |id: &ReplicaId| planned.get(id).copied().unwrap_or(0);
        let holders = self
            .fleet
            .holders(part.shard)
            .filter(|(id, _)| only.as_ref().is_none_or(|only| only == *id));
        let mut candidates = Candidates::new(holders);
        let unless_chosen = if candidates.is_empty() {
            Pick::Never
        } else {
            Pick::Later
        };
        candidates.require(|(id, replica)| !self.exceeds_slow_start(now, replica, planned(id)));
        self.prefer_healthy(now, search, part, zone_draw, &mut candidates);
        // Parts that are sent at one time share calls.
        let parts_per_call = self.settings.parts_per_call;
        let calls = |(id, replica): &Holder<'_>, more: usize| {
            let in_flight = replica.in_flight.values().map(|call| call.sent_at);
            let about_to_leave = std::iter::repeat_n(now, planned(id) + more);
            groups(in_flight.chain(about_to_leave), parts_per_call)
        };
        let Some(fewest) = candidates.least(|holder| calls(holder, 0)) else {
            return unless_chosen;
        };
        // Ties go to the nearest zones, for as much as these can take; a part that shares a call adds none.
        candidates
            .prefer(|holder| self.is_near(holder.1, zone_draw) && calls(holder, 1) <= fewest + 1);
        let Some(chosen) = candidates.choose(|holder| calls(holder, 0), &mut self.rng) else {
            return unless_chosen;
        };
        let load = calls(&chosen, 0);
        let is_hopeless =
            PartBudget::cannot_finish_in_time(until - now, self.tail(now, search, chosen.0));
        // A hedge goes only where nothing of ours is in flight: it must not lengthen a queue.
        if is_hopeless || (part.is_in_flight() && load > 0) {
            return Pick::Never;
        }
        self.go_or_queue(search, part, chosen, load)
    }

    /// Queues the part if its replica is on hold, or others go before it there.
    fn go_or_queue(&self, search: &Search, part: &Part, chosen: Holder<'_>, load: usize) -> Pick {
        let (id, replica) = chosen;
        let deadline = search.queuing_deadline();
        let queued = QueuedPart::of(search, part);
        let is_behind = self.queue.is_behind(id, deadline, queued);
        if is_behind || replica.state.backpressure.blocks(load) {
            Pick::Queue(id.clone())
        } else {
            Pick::Go(id.clone())
        }
    }

    /// Prefers replicas that haven't had the part, and among them those that are expected to answer.
    fn prefer_healthy(
        &self,
        now: Seconds,
        search: &Search,
        part: &Part,
        zone_draw: Share,
        candidates: &mut Candidates<Holder<'_>>,
    ) {
        candidates.prefer(|(id, _)| !part.tried(id));
        candidates.prefer(|(_, replica)| !self.is_zone_ejected(replica));
        candidates.prefer(|(_, replica)| {
            !replica.state.health.is_ejected_for(search.query_type)
                && !self.is_unresponsive(now, replica)
        });
        candidates.prefer(|(_, replica)| self.zone_share(replica.zone) > zone_draw);
        candidates.prefer(|(_, replica)| {
            self.limits.overloaded || !replica.state.health.failed_last_in_sparse_traffic(now)
        });
    }

    /// Whether the replica is in one of the zones that are preferred for this draw.
    fn is_near(&self, replica: &Replica<ReplicaState>, zone_draw: Share) -> bool {
        let near = self
            .zone_failover
            .iter()
            .flat_map(|state| &state.near)
            .find(|near| zone_draw < near.cumulative_share);
        near.zip(replica.zone)
            .is_some_and(|(near, zone)| near.zones.contains(&zone))
    }

    /// The replica's unloaded tail for a part of the present step.
    pub(super) fn tail(&self, now: Seconds, search: &Search, id: &ReplicaId) -> Seconds {
        self.budget.tail(
            now,
            &self.unloaded,
            self.if_own_samples_count(id),
            search.step_parts().count(),
        )
    }

    /// Carries out a pick: sends the part, or queues it.
    pub(super) fn act(
        &mut self,
        now: Seconds,
        until: Seconds,
        search: &mut Search,
        part_index: usize,
        pick: Pick,
    ) {
        self.dequeue(search, part_index);
        let part = &search.parts[part_index];
        match pick {
            Pick::Go(_) if !part.attempts.is_empty() && !self.retries.allows_retry(now) => {}
            Pick::Go(id) => self.send(now, until, search, part_index, id),
            // A queued hedge is pointless: its part is in flight already.
            Pick::Queue(id) if !part.is_in_flight() => {
                let queued = QueuedPart::of(search, part);
                self.queue.insert(&id, search.queuing_deadline(), queued);
                search.parts[part_index].queued_at = Some(id);
            }
            _ => {}
        }
    }

    /// Sends an attempt of a part to a replica that is still known.
    pub(super) fn send(
        &mut self,
        now: Seconds,
        until: Seconds,
        search: &mut Search,
        part_index: usize,
        id: ReplicaId,
    ) {
        let begin_by = self
            .may_repeat(now, search, &search.parts[part_index])
            .map_or(f64::INFINITY, |repeat| repeat.begin_by);
        let part = &mut search.parts[part_index];
        let Some(replica) = self.fleet.get_mut(&id) else {
            return;
        };
        if !part.attempts.is_empty() {
            self.retries.record_repeat_sent(now);
        }
        let attempt = AttemptId {
            part: part.id,
            index: part.attempts.len(),
        };
        replica.attempt_sent(now, attempt, search.query_type);
        replica
            .state
            .warming
            .attempt_sent(now, self.settings.slow_start.as_ref());
        part.attempts.push(Attempt {
            replica: id.clone(),
            sent_at: now,
            ending: None,
        });
        self.plan.send.push(Placement {
            part: part.id,
            replica: id,
            timeout: until - now,
            begin_by,
        });
    }

    /// Takes a part out of the queue of its replica, if it waits in one.
    pub(super) fn dequeue(&mut self, search: &mut Search, part_index: usize) {
        if let Some(id) = search.parts[part_index].queued_at.take() {
            let queued = QueuedPart::of(search, &search.parts[part_index]);
            self.queue.remove(&id, search.queuing_deadline(), queued);
            self.reconsider_next(&id);
        }
    }

    /// Has the first queued part of a replica reconsidered as soon as it may leave.
    pub(super) fn reconsider_next(&mut self, id: &ReplicaId) {
        if self
            .fleet
            .get(id)
            .is_some_and(|replica| !replica.state.backpressure.blocks(replica.in_flight.len()))
        {
            self.plan
                .reconsider
                .extend(self.queue.first(id).map(|queued| queued.search));
        }
    }
}
