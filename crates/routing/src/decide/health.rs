//! Health of replicas and zones, from this co-ordinator's own calls and from the zone failover state that the tier has
//! agreed on.

use super::{Balancer, EjectionConfig, Observation, OutlierDetector, ReplicaState};
use crate::api::{
    Ending, LogEvent, Outcome, ReplicaId, Seconds, Share, WarmReplicas, ZoneFailoverState,
    ZoneHealth, ZoneId,
};
use crate::balancer::ZoneOutcome;
use crate::fleet::{Replica, SentAttempt};
use crate::samples::push;
use std::collections::BTreeMap;

/// Number of recent outcomes that are stored for each zone, and the largest number of lost parts in a row that is
/// reported.
const ZONE_OUTCOMES: usize = 6;
/// Age up to which an outcome can belong to a zone's uninterrupted sequence of lost parts.
const RUN_WINDOW: Seconds = 6.0;
/// Age up to which an outcome counts where there is no such sequence.
const OUTCOME_WINDOW: Seconds = 2.0;
/// Divisor of the shortest latency target for the latency above which a part counts as lost.
const SLOW_DIVISOR: f64 = 2.0;
/// Divisor of the shortest latency target for the age above which a part in flight counts as overdue, and the
/// latency above which a part counts as lost, if its replica has answered nothing since the part was sent.
const OVERDUE_DIVISOR: f64 = 4.0;
/// Tolerance for rounding in the age from which a part in flight shows its replica to be unresponsive. It is larger
/// than the tolerance in `placement`, so that it covers the replica of every part that is due a hedge.
const UNRESPONSIVE_TOLERANCE: Seconds = 1e-6;
const REPLICA_EJECTION: EjectionConfig = EjectionConfig {
    window: 8,
    min_failures: 2,
};
const ZONE_EJECTION: EjectionConfig = EjectionConfig {
    window: 32,
    min_failures: 8,
};

/// Load and capacity of a zone.
#[derive(Default)]
struct ZoneLoad {
    /// Number of overdue parts in flight.
    overdue: usize,
    /// Capacity of the zone's open replicas.
    capacity: WarmReplicas,
}

/// Numbers of recent outcomes of a zone, overdue parts included.
struct OutcomeCounts {
    total: usize,
    lost: usize,
}

impl Balancer {
    /// Records the end of a call for the health of its replica and zone. If a zone is partitioned, or its links lose
    /// many packets, all its replicas fail, but each of them may have too few outcomes to be ejected. Outcomes of
    /// replicas that are not ejected themselves therefore count for their zone as well.
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
            self.plan
                .log_events
                .push(LogEvent::Replica { replica, change });
        }
        if let Some(zone) = zone {
            self.record_zone_outcome(now, zone, outcome, has_answered_since);
            if !was_ejected {
                self.observe_zone(zone, now, sent_at, failed);
            }
        }
    }

    /// Records whether a part was lost in a zone. So that a busy zone does not appear to have failed, a slow answer
    /// counts as lost only above half of the shortest latency target, or above a quarter if its replica has answered
    /// nothing since the part was sent.
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

    /// Records the end of a call for the outlier ejection of its zone.
    fn observe_zone(&mut self, zone: ZoneId, now: Seconds, sent_at: Seconds, failed: bool) {
        let observation = Observation {
            at: now,
            sent_at,
            class: (),
            failed,
        };
        let health = self.zones.entry(zone).or_default();
        if let Some(change) = health.observe(ZONE_EJECTION, observation) {
            self.plan.log_events.push(LogEvent::Zone { zone, change });
        }
    }

    /// Applies the zone failover state that the tier has agreed on; `None` if this co-ordinator is not connected to the
    /// tier. A single co-ordinator has too few outcomes to detect the failure of a zone.
    pub fn set_zone_failover(&mut self, now: Seconds, agreed: Option<ZoneFailoverState>) {
        for (zone, share) in agreed.iter().flat_map(|state| &state.shares) {
            let was_ejected = self.zone_share(Some(*zone)) <= 0.0;
            let health = self.zones.entry(*zone).or_default();
            if *share <= 0.0 {
                // The zone is still sent probes, as if this co-ordinator had ejected it for its own calls.
                health.eject(now, None);
            } else if was_ejected {
                *health = OutlierDetector::default();
            }
        }
        self.zone_failover = agreed;
    }

    /// Share of its normal traffic that a zone may be sent; 1 if the tier has not restricted it.
    pub(super) fn zone_share(&self, zone: Option<ZoneId>) -> Share {
        self.zone_failover
            .as_ref()
            .zip(zone)
            .and_then(|(state, zone)| state.shares.get(&zone))
            .copied()
            .unwrap_or(1.0)
    }

    /// Outlier detector of the replica's zone; `None` before the zone's first outcome.
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

    /// The replica if its own latency samples may be used; `None`, for the fleet's average, if it is ejected or
    /// unknown.
    pub(super) fn if_own_samples_count<'a>(&self, id: &'a ReplicaId) -> Option<&'a ReplicaId> {
        let replica = self.fleet.get(id)?;
        (!self.is_ejected(replica)).then_some(id)
    }

    /// Whether a part in flight at the replica is due a hedge, and the replica has answered nothing since that part was
    /// sent.
    pub(super) fn is_unresponsive(&self, now: Seconds, replica: &Replica<ReplicaState>) -> bool {
        replica.unanswered_count(now + UNRESPONSIVE_TOLERANCE, self.limits.hedge_after) > 0
    }

    /// Report to the tier on each zone. It counts the latest parts, or, if the latest two or more were all lost, only
    /// that sequence of lost parts: answers before it say nothing about a zone that has just failed.
    pub fn zone_health(&self, now: Seconds) -> Vec<ZoneHealth> {
        let mut loads: BTreeMap<ZoneId, ZoneLoad> = BTreeMap::new();
        for (_, replica) in self.fleet.iter() {
            let Some(zone) = replica.zone else { continue };
            let load = loads.entry(zone).or_default();
            load.overdue += replica.unanswered_count(now, self.shortest_target / OVERDUE_DIVISOR);
            load.capacity += self.capacity_of(now, replica);
        }
        let health = |(zone, load): (ZoneId, ZoneLoad)| {
            let counts = self.recent_outcomes(now, zone, load.overdue);
            ZoneHealth {
                zone,
                seen: counts.total,
                failed: counts.lost,
                capacity: load.capacity,
            }
        };
        loads.into_iter().map(health).collect()
    }

    /// Counts the recent outcomes of a zone that has `overdue` parts in flight. The overdue parts count as lost.
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
                total: run,
                lost: run,
            };
        }
        let fresh = || recent().take_while(|outcome| outcome.at > now - OUTCOME_WINDOW);
        let lost = fresh().filter(|outcome| outcome.is_lost).count();
        OutcomeCounts {
            total: overdue + fresh().count(),
            lost: overdue + lost,
        }
    }
}
