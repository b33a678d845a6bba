//! Where the parts of a search go, and when they leave.

use super::{Balancer, Candidates, Known, PartBudget};
use crate::{api::*, fleet::Replica, samples::groups};
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
    pub(super) fn pick_all(&mut self, now: f64, until: f64, q: &Search) -> Vec<(usize, Pick)> {
        let (mut planned, mut picks) = (Counts::new(), Vec::new());
        let hedge_after = self.limits.hedge_after;
        for (i, part) in q.step_parts().filter(|(_, p)| !p.answered) {
            if part
                .waiting()
                .any(|(_, s)| now < s.sent_at + hedge_after - 1e-9)
            {
                continue;
            }
            let pick = self.pick(now, until, q, part, &planned);
            if let Pick::Go(id) = &pick {
                *planned.entry(id.clone()).or_default() += 1;
            }
            picks.push((i, pick));
        }
        picks
    }

    fn pick(&mut self, now: f64, until: f64, q: &Search, part: &Part, planned: &Counts) -> Pick {
        let mut only = None;
        if !part.attempts.is_empty() {
            match self.may_repeat(now, q, part) {
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
        at.prefer(|(_, r)| !self.is_cut_off(r));
        at.prefer(|(_, r)| !r.state.health.is_ejected_for(q.query_type) && !self.is_silent(now, r));
        at.prefer(|(_, r)| self.share(r.zone) > drawn);
        at.prefer(|(_, r)| self.limits.overloaded || !r.state.health.failed_last(now));
        // Own calls in flight, with `more` parts about to leave now: parts sent at one time share calls.
        let calls = |(id, r): &(&ReplicaId, &Replica<Known>), more| {
            let sent = r.in_flight.values().map(|x| x.sent_at);
            groups(
                sent.chain(std::iter::repeat_n(now, planned(id) + more)),
                self.set.parts_per_call,
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
        let hopeless = PartBudget::hopeless(until - now, self.tail(now, q, &id));
        // A hedge goes only where nothing of ours is in flight: it must not lengthen a queue.
        if hopeless || (part.in_flight() && load > 0) {
            return Pick::Never;
        }
        let behind = self
            .held
            .is_behind(&id, q.queuing_deadline(), (q.id, part.id));
        if behind || chosen.1.state.hold.holds(load) {
            Pick::Hold(id)
        } else {
            Pick::Go(id)
        }
    }

    /// The replica's unloaded tail for a part of the step in hand.
    pub(super) fn tail(&self, now: f64, q: &Search, id: &ReplicaId) -> f64 {
        self.budget
            .tail(now, &self.unloaded, self.judged(id), q.step_parts().count())
    }

    pub(super) fn act(&mut self, now: f64, until: f64, q: &mut Search, i: usize, pick: Pick) {
        self.unhold(q, i);
        let part = &q.parts[i];
        match pick {
            Pick::Go(_) if !part.attempts.is_empty() && !self.retries.has_room(now) => {}
            Pick::Go(id) => self.send(now, until, q, i, id),
            // A held hedge is pointless: its part is in flight already.
            Pick::Hold(id) if !part.in_flight() => {
                self.held.insert(&id, q.queuing_deadline(), (q.id, part.id));
                q.parts[i].held = Some(id);
            }
            _ => {}
        }
    }

    pub(super) fn send(&mut self, now: f64, until: f64, q: &mut Search, i: usize, id: ReplicaId) {
        let begin_by = self
            .may_repeat(now, q, &q.parts[i])
            .map_or(f64::INFINITY, |may| may.1);
        let part = &mut q.parts[i];
        let Some(replica) = self.fleet.get_mut(&id) else {
            return;
        };
        if !part.attempts.is_empty() {
            self.retries.sent(now);
        }
        replica.sent(now, part.id, part.attempts.len(), q.query_type);
        replica
            .state
            .warming
            .sent(now, self.set.slow_start.as_ref());
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

    pub(super) fn unhold(&mut self, q: &mut Search, i: usize) {
        if let Some(id) = q.parts[i].held.take() {
            self.held
                .remove(&id, q.queuing_deadline(), (q.id, q.parts[i].id));
            self.next_held(&id);
        }
    }

    /// Asks about the first part held at a replica as soon as it may go.
    pub(super) fn next_held(&mut self, id: &ReplicaId) {
        if self
            .fleet
            .get(id)
            .is_some_and(|r| !r.state.hold.holds(r.in_flight.len()))
        {
            self.plan
                .reconsider
                .extend(self.held.first(id).map(|(search, _)| search));
        }
    }
}
