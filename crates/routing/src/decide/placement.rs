//! Where the parts of a search go, and when they leave.

use super::{Balancer, Candidates, Known, PartBudget};
use crate::{
    api::{Attempt, Part, Placement, ReplicaId, Search},
    fleet::Replica,
    samples::groups,
};
use std::collections::BTreeMap;

type Counts = BTreeMap<ReplicaId, usize>;

/// What to do with a part.
pub(super) enum Pick {
    Go(ReplicaId),
    Hold(ReplicaId), // its replica is held, or earlier parts wait there
    Later,           // slow start keeps every holder closed for now
    Never,           // no holder at all, or the part can no longer make it
}

impl Pick {
    pub(super) fn replica(&self) -> Option<&ReplicaId> {
        if let Pick::Go(id) | Pick::Hold(id) = self {
            Some(id)
        } else {
            None
        }
    }
}

impl Balancer {
    /// A pick for each part of the step that has no answer, and nothing in flight that is not due a hedge.
    pub(super) fn pick_all(&mut self, now: f64, until: f64, search: &Search) -> Vec<(usize, Pick)> {
        let (mut planned, mut picks) = (Counts::new(), Vec::new());
        let hedge_after = self.limits.hedge_after;
        for (i, part) in search.step_parts().filter(|(_, p)| !p.answered) {
            if part
                .waiting()
                .any(|(_, s)| now < s.sent_at + hedge_after - 1e-9)
            {
                continue;
            }
            let pick = self.pick(now, until, search, part, &planned);
            if let Pick::Go(id) = &pick {
                *planned.entry(id.clone()).or_default() += 1;
            }
            picks.push((i, pick));
        }
        picks
    }

    fn pick(
        &mut self,
        now: f64,
        until: f64,
        search: &Search,
        part: &Part,
        planned: &Counts,
    ) -> Pick {
        let mut only = None;
        if !part.attempts.is_empty() {
            match self.may_repeat(now, search, part) {
                Some((r, _)) if self.worth_repeating(now, part) => only = r,
                _ => return Pick::Never,
            }
        }
        let holders = self
            .fleet
            .holders(part.shard)
            .filter(|(id, _)| only.as_ref().is_none_or(|o| o == *id));
        let mut at = Candidates::new(holders);
        let none = if at.is_empty() {
            Pick::Never
        } else {
            Pick::Later
        };
        let drawn = if self.zone_failover.is_some() {
            self.rng.rand_float()
        } else {
            0.0
        };
        let planned = |id: &ReplicaId| planned.get(id).copied().unwrap_or(0);
        at.require(|(id, r)| !self.exceeds_slow_start(now, r, planned(id)));
        at.prefer(|(id, _)| !part.tried(id));
        at.prefer(|(_, r)| !self.is_zone_ejected(r));
        at.prefer(|(_, r)| {
            !r.state.health.is_ejected_for(search.query_type) && !self.is_unresponsive(now, r)
        });
        at.prefer(|(_, r)| self.share(r.zone) > drawn);
        at.prefer(|(_, r)| self.limits.overloaded || !r.state.health.failed_last(now));
        // Own calls in flight, with `more` parts about to leave now: parts sent at one time share calls.
        let calls = |(id, r): &(&ReplicaId, &Replica<Known>), more| {
            let sent = r.in_flight.values().map(|x| x.sent_at);
            groups(
                sent.chain(std::iter::repeat_n(now, planned(id) + more)),
                self.settings.parts_per_call,
            )
        };
        let Some(least) = at.least(|r| calls(r, 0)) else {
            return none;
        };
        // Ties go to the nearest zones, for as much as these bear; a part that shares a call there adds none.
        let near = self
            .zone_failover
            .iter()
            .flat_map(|z| &z.near)
            .find(|n| drawn < n.1);
        let is_near = |r: &Replica<Known>| {
            near.zip(r.zone)
                .is_some_and(|(n, zone)| n.0.contains(&zone))
        };
        at.prefer(|r| is_near(r.1) && calls(r, 1) <= least + 1);
        let Some(chosen) = at.choose(|r| calls(r, 0), &mut self.rng) else {
            return none;
        };
        let (id, load) = (chosen.0.clone(), calls(&chosen, 0));
        let hopeless = PartBudget::hopeless(until - now, self.tail(now, search, &id));
        // A hedge goes only where nothing of ours is in flight: it must not lengthen a queue.
        if hopeless || (part.in_flight() && load > 0) {
            return Pick::Never;
        }
        let behind = self
            .queue
            .is_behind(&id, search.queuing_deadline(), (search.id, part.id));
        if behind || chosen.1.state.hold.holds(load) {
            Pick::Hold(id)
        } else {
            Pick::Go(id)
        }
    }

    /// The replica's unloaded tail for a part of the step in hand.
    pub(super) fn tail(&self, now: f64, search: &Search, id: &ReplicaId) -> f64 {
        self.budget.tail(
            now,
            &self.unloaded,
            self.with_own_samples(id),
            search.step_parts().count(),
        )
    }

    pub(super) fn act(&mut self, now: f64, until: f64, search: &mut Search, i: usize, pick: Pick) {
        self.dequeue(search, i);
        let part = &search.parts[i];
        match pick {
            Pick::Go(_) if !part.attempts.is_empty() && !self.retries.has_room(now) => {}
            Pick::Go(id) => self.send(now, until, search, i, id),
            // A held hedge is pointless: its part is in flight already.
            Pick::Hold(id) if !part.in_flight() => {
                self.queue
                    .insert(&id, search.queuing_deadline(), (search.id, part.id));
                search.parts[i].queued_at = Some(id);
            }
            _ => {}
        }
    }

    pub(super) fn send(
        &mut self,
        now: f64,
        until: f64,
        search: &mut Search,
        i: usize,
        id: ReplicaId,
    ) {
        let begin_by = self
            .may_repeat(now, search, &search.parts[i])
            .map_or(f64::INFINITY, |may| may.1);
        let part = &mut search.parts[i];
        let Some(replica) = self.fleet.get_mut(&id) else {
            return;
        };
        if !part.attempts.is_empty() {
            self.retries.sent(now);
        }
        replica.sent(now, part.id, part.attempts.len(), search.query_type);
        replica
            .state
            .warming
            .sent(now, self.settings.slow_start.as_ref());
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

    pub(super) fn dequeue(&mut self, search: &mut Search, i: usize) {
        if let Some(id) = search.parts[i].queued_at.take() {
            self.queue.remove(
                &id,
                search.queuing_deadline(),
                (search.id, search.parts[i].id),
            );
            self.reconsider_next(&id);
        }
    }

    /// Asks about the first part held at a replica as soon as it may go.
    pub(super) fn reconsider_next(&mut self, id: &ReplicaId) {
        if self
            .fleet
            .get(id)
            .is_some_and(|r| !r.state.hold.holds(r.in_flight.len()))
        {
            self.plan
                .reconsider
                .extend(self.queue.first(id).map(|(search, _)| search));
        }
    }
}
