//! The health of replicas and zones, by this co-ordinator's own calls and by what the tier has agreed on.

use super::{Balancer, EjectionConfig, Observation, OutlierDetector, ReplicaState};
use crate::api::{
    Ending, Note, Outcome, ReplicaId, Seconds, Share, WarmReplicas, ZoneFailoverState, ZoneHealth,
    ZoneId,
};
use crate::balancer::ZoneOutcome;
use crate::fleet::{Replica, SentAttempt};
use crate::samples::push;
use std::collections::BTreeMap;

/// Number of outcomes of each zone that are kept, the latest, and the greatest number that is reported.
const ZONE_OUTCOMES: usize = 6;
/// How long an outcome can be part of a zone's run of losses.
const RUN_WINDOW: Seconds = 6.0;
/// How long an outcome counts otherwise.
const OUTCOME_WINDOW: Seconds = 2.0;
/// A slow answer counts as lost from the shortest latency target divided by this on.
const SLOW_DIVISOR: f64 = 2.0;
/// A part counts as overdue, and a slow answer as lost, from the shortest latency target divided by this on where its
/// replica has answered nothing since it was sent.
const OVERDUE_DIVISOR: f64 = 4.0;
/// Tolerance for rounding beyond which a replica has left a part unanswered for the hedge delay: greater than that of
/// `placement`, so that the replica of every part that is due a hedge counts.
const UNRESPONSIVE_TOLERANCE: Seconds = 1e-6;
/// Ejection of a replica.
const REPLICA_EJECTION: EjectionConfig = EjectionConfig {
    window: 8,
    min_failures: 2,
};
/// Ejection of a zone.
const ZONE_EJECTION: EjectionConfig = EjectionConfig {
    window: 32,
    min_failures: 8,
};

/// What is in flight at a zone for too long, and what the zone can take.
#[derive(Default)]
struct ZoneLoad {
    overdue: usize,
    capacity: WarmReplicas,
}

/// How many parts count of a zone, and how many of them were lost.
struct OutcomeCounts {
    seen: usize,
    lost: usize,
}

impl Balancer {
    /// Records the end of a call at its replica and at its zone. A zone that is cut off, or whose links lose
    /// much, makes all of its replicas fail while each is known by too few outcomes; so the outcomes of
    /// replicas that are not ejected themselves count for their zone.
    pub(super) fn observe(
        &mut self,
        now: Seconds,
        outcome: &Outcome,
        call: &SentAttempt,
        failed: bool,
    ) {
        let Some(replica) = self.fleet.get_mut(&outcome.replica) else {
            return;
        };
        let (sent_at, class) = (call.sent_at, call.query_type);
        let has_answered_since = replica.answered_at >= sent_at;
        let was_ejected = replica.state.health.is_ejected_for(class);
        let observation = Observation {
            at: now,
            sent_at,
            class,
            failed,
        };
        let change = replica.state.health.observe(REPLICA_EJECTION, observation);
        let zone = replica.zone;
        if let Some(change) = change {
            let replica = outcome.replica.clone();
            self.plan.notes.push(Note::Replica { replica, change });
        }
        if let Some(zone) = zone {
            self.record_zone_outcome(now, zone, outcome, has_answered_since);
            if !was_ejected {
                self.observe_zone(zone, now, sent_at, failed);
            }
        }
    }

    /// Records whether a part was lost in a zone. A busy zone must not seem lost, so that a slow answer counts
    /// only from half of the latency target on, or from a quarter where nothing has come since it was sent.
    fn record_zone_outcome(
        &mut self,
        now: Seconds,
        zone: ZoneId,
        outcome: &Outcome,
        has_answered_since: bool,
    ) {
        let divisor = if has_answered_since {
            SLOW_DIVISOR
        } else {
            OVERDUE_DIVISOR
        };
        let is_slow = outcome.latency > self.shortest_target / divisor;
        let is_lost = is_slow
            || !matches!(
                outcome.ending,
                Ending::Answered | Ending::Cancelled | Ending::Full
            );
        if is_lost || outcome.ending == Ending::Answered {
            let outcomes = self.zone_outcomes.entry(zone).or_default();
            push(outcomes, ZoneOutcome { at: now, is_lost }, ZONE_OUTCOMES);
        }
    }

    /// Records a call's end for the outlier ejection of its zone.
    fn observe_zone(&mut self, zone: ZoneId, now: Seconds, sent_at: Seconds, failed: bool) {
        let observation = Observation {
            at: now,
            sent_at,
            class: (),
            failed,
        };
        let health = self.zones.entry(zone).or_default();
        if let Some(change) = health.observe(ZONE_EJECTION, observation) {
            self.plan.notes.push(Note::Zone { zone, change });
        }
    }

    /// Takes over what the tier has agreed on about zones, if this co-ordinator is connected to it. A single
    /// co-ordinator observes too little of a zone that is lost.
    pub fn set_zone_failover(&mut self, now: Seconds, agreed: Option<ZoneFailoverState>) {
        for (zone, share) in agreed.iter().flat_map(|state| &state.shares) {
            let was_ejected = self.zone_share(Some(*zone)) <= 0.0;
            let health = self.zones.entry(*zone).or_default();
            if *share <= 0.0 {
                // It is still sent probes, as if ejected by this co-ordinator's own calls.
                health.eject(now, None);
            } else if was_ejected {
                *health = OutlierDetector::default();
            }
        }
        self.zone_failover = agreed;
    }

    /// The share of its traffic that a zone may have.
    pub(super) fn zone_share(&self, zone: Option<ZoneId>) -> Share {
        self.zone_failover
            .as_ref()
            .zip(zone)
            .and_then(|(state, zone)| state.shares.get(&zone))
            .copied()
            .unwrap_or(1.0)
    }

    /// The outlier detector of the replica's zone, once something is known of the zone.
    pub(super) fn zone_detector(
        &self,
        replica: &Replica<ReplicaState>,
    ) -> Option<&OutlierDetector<()>> {
        replica.zone.and_then(|zone| self.zones.get(&zone))
    }

    /// Whether the replica's zone is ejected.
    pub(super) fn is_zone_ejected(&self, replica: &Replica<ReplicaState>) -> bool {
        self.zone_share(replica.zone) <= 0.0
            || self
                .zone_detector(replica)
                .is_some_and(OutlierDetector::is_ejected)
    }

    /// Whether the replica or its zone is ejected, for any query type.
    pub(super) fn is_ejected(&self, replica: &Replica<ReplicaState>) -> bool {
        replica.state.health.is_ejected() || self.is_zone_ejected(replica)
    }

    /// The replica, if its own latency samples count. One that is ejected or forgotten counts as average.
    pub(super) fn if_own_samples_count<'a>(&self, id: &'a ReplicaId) -> Option<&'a ReplicaId> {
        let replica = self.fleet.get(id)?;
        (!self.is_ejected(replica)).then_some(id)
    }

    /// Whether the replica has answered nothing since it was sent a part that is due a hedge by now.
    pub(super) fn is_unresponsive(&self, now: Seconds, replica: &Replica<ReplicaState>) -> bool {
        replica.unanswered(now + UNRESPONSIVE_TOLERANCE, self.limits.hedge_after) > 0
    }

    /// What is reported to the tier of each zone: the latest parts, or the run of losses up to now where there is
    /// one, as the answers before it say nothing of a zone that has just been lost.
    pub fn zone_health(&self, now: Seconds) -> Vec<ZoneHealth> {
        let mut loads: BTreeMap<ZoneId, ZoneLoad> = BTreeMap::new();
        for (_, replica) in self.fleet.iter() {
            let Some(zone) = replica.zone else { continue };
            let load = loads.entry(zone).or_default();
            load.overdue += replica.unanswered(now, self.shortest_target / OVERDUE_DIVISOR);
            load.capacity += self.capacity_of(now, replica);
        }
        let health = |(zone, load): (ZoneId, ZoneLoad)| {
            let counts = self.recent_outcomes(now, zone, load.overdue);
            ZoneHealth {
                zone,
                seen: counts.seen,
                failed: counts.lost,
                capacity: load.capacity,
            }
        };
        loads.into_iter().map(health).collect()
    }

    /// Counts the recent outcomes of a zone, with `overdue` parts in flight.
    fn recent_outcomes(&self, now: Seconds, zone: ZoneId, overdue: usize) -> OutcomeCounts {
        let outcomes = self.zone_outcomes.get(&zone).into_iter().flatten().rev();
        let recent = || {
            outcomes
                .clone()
                .take_while(|outcome| outcome.at > now - RUN_WINDOW)
        };
        let run = overdue + recent().take_while(|outcome| outcome.is_lost).count();
        let run = run.min(ZONE_OUTCOMES);
        if run > 1 {
            return OutcomeCounts {
                seen: run,
                lost: run,
            };
        }
        let fresh = || recent().take_while(|outcome| outcome.at > now - OUTCOME_WINDOW);
        let lost = fresh().filter(|outcome| outcome.is_lost).count();
        OutcomeCounts {
            seen: overdue + fresh().count(),
            lost: overdue + lost,
        }
    }
}
