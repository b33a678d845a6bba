//! Choice of a replica for each part of a search, and of sending the part at once or queuing it.

use super::{Balancer, Candidates, PartBudget, ReplicaState};
use crate::api::{Attempt, AttemptId, Part, Placement, ReplicaId, Search, Seconds, Share};
use crate::balancer::QueuedPart;
use crate::fleet::Replica;
use crate::samples::call_count;
use std::collections::BTreeMap;

/// Number of parts of the present plan that are to be sent to each replica.
type PlannedParts = BTreeMap<ReplicaId, usize>;

/// A replica that holds the shard of a part.
type Holder<'a> = (&'a ReplicaId, &'a Replica<ReplicaState>);

/// Tolerance for rounding in the time at which a hedge is due.
const DUE_TOLERANCE: Seconds = 1e-9;

/// Decision on a part.
pub(super) enum Pick {
    /// Send the part to this replica now.
    Send(ReplicaId),
    /// Queue the part: this replica is under backpressure, or parts with earlier deadlines are queued there.
    Queue(ReplicaId),
    /// Try again later: at present slow start admits no part to any replica that holds the shard.
    Later,
    /// Send no attempt: no replica holds the shard, the part can't be answered in time, or a further attempt is not
    /// allowed or not worthwhile.
    Never,
}

/// Decision on the part at `part_index` of a search.
pub(super) struct PartPick {
    pub(super) part_index: usize,
    pub(super) pick: Pick,
}

impl Pick {
    /// The chosen replica; `None` for [`Pick::Later`] and [`Pick::Never`].
    pub(super) fn replica(&self) -> Option<&ReplicaId> {
        if let Pick::Send(id) | Pick::Queue(id) = self {
            Some(id)
        } else {
            None
        }
    }
}

impl Balancer {
    /// Decides on each unanswered part of the present step. Parts with an attempt in flight that is not yet due a hedge
    /// are left out.
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
            if let Pick::Send(id) = &pick {
                *planned.entry(id.clone()).or_default() += 1;
            }
            picks.push(PartPick { part_index, pick });
        }
        picks
    }

    /// Decides on one part. `planned` has the parts of the same plan that have been decided on before.
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
        let pick_if_none_chosen = if candidates.is_empty() {
            Pick::Never
        } else {
            Pick::Later
        };
        candidates.require(|(id, replica)| !self.exceeds_slow_start(now, replica, planned(id)));
        self.prefer_healthy(now, search, part, zone_draw, &mut candidates);
        // Parts that are sent to a replica at the same time share calls.
        let parts_per_call = self.settings.parts_per_call;
        let calls = |(id, replica): &Holder<'_>, more: usize| {
            let in_flight = replica.in_flight.values().map(|call| call.sent_at);
            let to_be_sent = std::iter::repeat_n(now, planned(id) + more);
            call_count(in_flight.chain(to_be_sent), parts_per_call)
        };
        let Some(fewest) = candidates.least(|holder| calls(holder, 0)) else {
            return pick_if_none_chosen;
        };
        // Ties are broken in favour of near zones, up to the share of parts that these may be sent. A part that
        // shares a call adds no load.
        candidates
            .prefer(|holder| self.is_near(holder.1, zone_draw) && calls(holder, 1) <= fewest + 1);
        let Some(chosen) = candidates.choose(|holder| calls(holder, 0), &mut self.rng) else {
            return pick_if_none_chosen;
        };
        let load = calls(&chosen, 0);
        let is_too_late =
            PartBudget::cannot_finish_in_time(until - now, self.tail(now, search, chosen.0));
        // A hedge is sent only to a replica with none of this co-ordinator's calls in flight or planned: it must not
        // lengthen a queue.
        if is_too_late || (part.is_in_flight() && load > 0) {
            return Pick::Never;
        }
        self.send_or_queue(search, part, chosen, load)
    }

    /// Queues the part if its replica is under backpressure, or if parts with earlier deadlines are queued there.
    fn send_or_queue(&self, search: &Search, part: &Part, chosen: Holder<'_>, load: usize) -> Pick {
        let (id, replica) = chosen;
        let deadline = search.queuing_deadline();
        let queued = QueuedPart::of(search, part);
        let is_behind = self.queue.is_behind(id, deadline, queued);
        if is_behind || replica.state.backpressure.blocks(load) {
            Pick::Queue(id.clone())
        } else {
            Pick::Send(id.clone())
        }
    }

    /// Prefers replicas that the part was not sent to before, and among them those that are expected to answer.
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

    /// Whether the replica is in a near zone. `zone_draw`, a random number from 0 to 1, selects the group of near zones
    /// by their cumulative shares.
    fn is_near(&self, replica: &Replica<ReplicaState>, zone_draw: Share) -> bool {
        let near = self
            .zone_failover
            .iter()
            .flat_map(|state| &state.near)
            .find(|near| zone_draw < near.cumulative_share);
        near.zip(replica.zone)
            .is_some_and(|(near, zone)| near.zones.contains(&zone))
    }

    /// Tail of the replica's unloaded latencies for a part of the present step.
    pub(super) fn tail(&self, now: Seconds, search: &Search, id: &ReplicaId) -> Seconds {
        self.budget.tail(
            now,
            &self.unloaded,
            self.if_own_samples_count(id),
            search.step_parts().count(),
        )
    }

    /// Removes a part from its queue, and carries out the decision on it: sends or queues the part. A retry or hedge is
    /// sent only if the retry budget allows it.
    pub(super) fn execute(
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
            Pick::Send(_) if !part.attempts.is_empty() && !self.retries.allows_retry(now) => {}
            Pick::Send(id) => self.send(now, until, search, part_index, id),
            // A hedge is never queued, since its part already has an attempt in flight.
            Pick::Queue(id) if !part.is_in_flight() => {
                let queued = QueuedPart::of(search, part);
                self.queue.insert(&id, search.queuing_deadline(), queued);
                search.parts[part_index].queued_for = Some(id);
            }
            _ => {}
        }
    }

    /// Sends an attempt of a part to a replica; does nothing if the replica is unknown.
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
            self.retries.record_retry_sent(now);
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

    /// Removes a part from its replica's queue, if it is queued.
    pub(super) fn dequeue(&mut self, search: &mut Search, part_index: usize) {
        if let Some(id) = search.parts[part_index].queued_for.take() {
            let queued = QueuedPart::of(search, &search.parts[part_index]);
            self.queue.remove(&id, search.queuing_deadline(), queued);
            self.reconsider_next(&id);
        }
    }

    /// Adds the search of the replica's first queued part to the plan's `reconsider` list, unless backpressure blocks
    /// the replica.
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
