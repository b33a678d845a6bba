//! The health of replicas and of the ways to zones, by own calls and by what the tier decides in common.

use super::{Balancer, Change, EjectionConfig, Known, Observation, OutlierDetector};
use crate::fleet::{InFlight, Replica};
use crate::{api::*, samples::push};
use std::collections::BTreeMap;

const REPLICA_RULE: EjectionConfig = EjectionConfig {
    window: 8,
    least: 2,
};
const ZONE_RULE: EjectionConfig = EjectionConfig {
    window: 32,
    least: 8,
};

impl Balancer {
    /// Takes in the end of a call. A way that is cut or lossy makes all of a zone bad, each replica known by
    /// too few outcomes: those of replicas that are not ejected themselves count for it.
    pub(super) fn observe(&mut self, now: f64, o: &Outcome, call: &InFlight, failed: bool) {
        let word = |change| {
            if change == Change::Ejected {
                "distrusted"
            } else {
                "trusted again"
            }
        };
        let Some(r) = self.fleet.get_mut(&o.replica) else {
            return;
        };
        let (sent_at, class) = (call.sent_at, call.query_type);
        let (silent, ejected) = (
            r.answered_at < sent_at,
            r.state.health.is_ejected_for(class),
        );
        let call = Observation {
            at: now,
            sent_at,
            class,
            failed,
        };
        if let Some(change) = r.state.health.observe(REPLICA_RULE, call) {
            self.plan
                .notes
                .push(format!("replica {} {}", o.replica.0, word(change)));
        }
        let Some(zone) = r.zone else { return };
        // A busy zone must not seem lost: half the target, or a quarter where nothing has come since.
        let slow = o.latency > self.shortest / if silent { 4.0 } else { 2.0 };
        let lost = slow
            || !matches!(
                o.ending,
                Ending::Answered | Ending::Cancelled | Ending::Full
            );
        if lost || o.ending == Ending::Answered {
            push(self.zone_outcomes.entry(zone).or_default(), (now, lost), 6);
        }
        let call = Observation {
            at: now,
            sent_at,
            class: (),
            failed,
        };
        let way = self.zones.entry(zone).or_default();
        if !ejected && let Some(change) = way.observe(ZONE_RULE, call) {
            self.plan
                .notes
                .push(format!("way to zone {} {}", zone.0, word(change)));
        }
    }

    /// What the tier has decided in common, if it is met: each sees too little of a lost zone.
    pub fn zone_failover(&mut self, now: f64, decided: Option<ZoneFailoverState>) {
        for (zone, share) in decided.iter().flat_map(|z| &z.shares) {
            let was_out = self.share(Some(*zone)) <= 0.0;
            let way = self.zones.entry(*zone).or_default();
            if *share <= 0.0 {
                way.eject(now, None); // with trials, as by its own judgement
            } else if was_out {
                *way = OutlierDetector::default();
            }
        }
        self.zone_failover = decided;
    }

    /// The share of its traffic that a zone may have.
    pub(super) fn share(&self, zone: Option<ZoneId>) -> f64 {
        self.zone_failover
            .as_ref()
            .zip(zone)
            .and_then(|(z, id)| z.shares.get(&id))
            .copied()
            .unwrap_or(1.0)
    }

    pub(super) fn way(&self, r: &Replica<Known>) -> Option<&OutlierDetector<()>> {
        r.zone.and_then(|zone| self.zones.get(&zone))
    }

    /// Whether the way to its zone is ejected.
    pub(super) fn is_cut_off(&self, r: &Replica<Known>) -> bool {
        self.share(r.zone) <= 0.0 || self.way(r).is_some_and(|way| way.is_ejected())
    }

    /// Whether the replica or the way to it is ejected, for any query type.
    pub(super) fn is_ejected(&self, r: &Replica<Known>) -> bool {
        r.state.health.is_ejected() || self.is_cut_off(r)
    }

    /// The replica, if its own samples count: one that is ejected or forgotten counts as average.
    pub(super) fn judged<'a>(&self, id: &'a ReplicaId) -> Option<&'a ReplicaId> {
        Some(id).filter(|id| self.fleet.get(id).is_some_and(|r| !self.is_ejected(r)))
    }

    /// Has answered nothing since it took a part that is due a hedge by now.
    pub(super) fn is_silent(&self, now: f64, r: &Replica<Known>) -> bool {
        r.unanswered(now + 1e-6, self.limits.hedge_after) > 0
    }

    /// What the tier wants to know: the last six parts of each zone within 2 s, or the run of bad ones up to
    /// now, as the good ones before it say nothing of a zone that has just been lost.
    pub fn zone_health(&self, now: f64) -> Vec<ZoneHealth> {
        let mut all: BTreeMap<ZoneId, (usize, f64)> = BTreeMap::new();
        for (r, zone) in self.fleet.iter().filter_map(|(_, r)| Some((r, r.zone?))) {
            let of = all.entry(zone).or_default();
            *of = (
                of.0 + r.unanswered(now, self.shortest / 4.0),
                of.1 + self.capacity_of(now, r),
            );
        }
        let sight = |(zone, (overdue, capacity)): (ZoneId, (usize, f64))| {
            let outcomes = self.zone_outcomes.get(&zone).into_iter().flatten().rev();
            let ended = || outcomes.clone().take_while(|x| x.0 > now - 6.0);
            let run = (overdue + ended().take_while(|x| x.1).count()).min(6);
            let fresh = || ended().take_while(|x| x.0 > now - 2.0);
            let bads = overdue + fresh().filter(|x| x.1).count();
            let (seen, bad) = if run > 1 {
                (run, run)
            } else {
                (overdue + fresh().count(), bads)
            };
            ZoneHealth {
                zone,
                seen,
                bad,
                capacity,
            }
        };
        all.into_iter().map(sight).collect()
    }
}
