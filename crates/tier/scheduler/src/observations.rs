//! What the scheduler learns from the outcomes of attempts.

use woadreach_routing::decide::outlier_detector::{EjectionConfig, Observation};

use crate::admission::Admission;
use crate::call::CallId;
use crate::calls_in_flight::AttemptState;
use crate::keys::ReplicaKey;
use crate::outcome::{Outcome, ServerLoad};
use crate::replica::{Failure, FailureKind, InFlight};

/// A replica is ejected when half of its last eight outcomes, at least two, are failures (docs/design.md,
/// exception 3).
const EJECTION: EjectionConfig = EjectionConfig {
    window: 8,
    min_failures: 2,
};

impl Admission {
    /// Records the latency of an attempt whose first event or response head has arrived, and the replica's
    /// activity. For a stream it counts towards the replica's health; other responses count at their end, by
    /// their status.
    pub(crate) fn observe_begin(
        &mut self,
        now: f64,
        id: CallId,
        attempt: u32,
        load: Option<ServerLoad>,
    ) {
        let Some((key, sent)) = self
            .in_flight(id, attempt)
            .filter(|(_, sent)| sent.begun_late.is_none())
        else {
            return;
        };
        let Some(replica) = self.fleet.get_mut(key) else {
            return;
        };
        let ejected = replica.health.is_ejected_for(sent.route);
        let latency = now - sent.sent_at;
        let Some(route) = self.routes.get_mut(sent.route) else {
            return;
        };
        let late = latency > route.late_after();
        route.record(latency);
        if sent.is_only_call {
            route.unloaded.record(now, &key, latency, ejected);
        }
        replica.record_activity(now, load);
        replica.record_begin(id, attempt, late);
        if self
            .calls
            .get(&id)
            .is_some_and(|call| call.request.kind.is_streaming())
        {
            self.observe_health(now, key, sent, late.then_some(FailureKind::Late));
        }
    }

    /// Records what the end of an attempt implies for the replica's queue, health and load.
    pub(crate) fn observe_end(
        &mut self,
        now: f64,
        id: CallId,
        attempt: u32,
        outcome: Outcome,
        load: Option<ServerLoad>,
    ) {
        if outcome == Outcome::Misdirected
            && let Some(sent) = self
                .calls
                .get(&id)
                .and_then(|call| call.attempts.get(attempt as usize))
        {
            self.fleet.misdirected(&sent.replica_id);
        }
        if matches!(outcome, Outcome::Answered | Outcome::ReplicaError) {
            self.observe_begin(now, id, attempt, load);
        }
        let too_large = self.is_too_large(id);
        let streaming = self
            .calls
            .get(&id)
            .is_some_and(|call| call.request.kind.is_streaming());
        let Some((key, sent)) = self.in_flight(id, attempt) else {
            return;
        };
        let Some(replica) = self.fleet.get_mut(key) else {
            return;
        };
        replica.in_flight.remove(&(id, attempt));
        replica.record_load(now, load);
        match outcome {
            Outcome::Answered | Outcome::ReplicaError => replica.record_answer(),
            Outcome::NotExecuted { .. } if too_large => return,
            Outcome::NotExecuted { .. } | Outcome::TimedOut => {
                replica.hold.begin(replica.in_flight.len())
            }
            Outcome::Unreachable | Outcome::Broken { .. } => replica.health.eject(now, None),
            Outcome::Misdirected | Outcome::NeverSent => return,
        }
        if outcome != Outcome::Answered {
            let kind = if outcome.has_not_run() {
                FailureKind::NotRun
            } else {
                FailureKind::MayHaveRun
            };
            self.observe_health(now, key, sent, Some(kind));
        } else if !streaming {
            let late = sent.begun_late == Some(true);
            self.observe_health(now, key, sent, late.then_some(FailureKind::Late));
        }
    }

    /// Ejects a replica that has lost an attempt, once for each attempt.
    pub(crate) fn observe_lost_attempt(
        &mut self,
        now: f64,
        id: CallId,
        attempt: u32,
        key: ReplicaKey,
    ) {
        let Some(replica) = self.fleet.get_mut(key) else {
            return;
        };
        let Some(sent) = replica
            .in_flight
            .get_mut(&(id, attempt))
            .filter(|sent| !sent.lost)
        else {
            return;
        };
        sent.lost = true;
        let sent = *sent;
        replica.health.eject(now, None);
        self.observe_health(now, key, sent, Some(FailureKind::MayHaveRun));
    }

    /// Records a failure of each replica with a late attempt of a call that is given up.
    pub(crate) fn observe_given_up(&mut self, now: f64, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let in_flight: Vec<u32> = (0..)
            .zip(&call.attempts)
            .filter(|(_, attempt)| attempt.state == AttemptState::InFlight && !attempt.has_begun)
            .map(|(number, _)| number)
            .collect();
        for number in in_flight {
            let Some((key, sent)) = self.in_flight(id, number) else {
                continue;
            };
            if now > sent.sent_at + self.routes.late_after(sent.route) {
                self.observe_health(now, key, sent, Some(FailureKind::MayHaveRun));
            }
        }
    }

    fn observe_health(
        &mut self,
        now: f64,
        key: ReplicaKey,
        sent: InFlight,
        failure: Option<FailureKind>,
    ) {
        let Some(replica) = self.fleet.get_mut(key) else {
            return;
        };
        replica.last_failure = failure
            .map(|kind| Failure { at: now, kind })
            .or(replica.last_failure);
        let failed = failure.is_some();
        let observation = Observation {
            at: now,
            sent_at: sent.sent_at,
            class: sent.route,
            failed,
        };
        replica.health.observe(EJECTION, observation);
    }

    fn in_flight(&self, id: CallId, attempt: u32) -> Option<(ReplicaKey, InFlight)> {
        let key = self.calls.get(&id)?.attempts.get(attempt as usize)?.replica;
        let sent = self.fleet.get(key)?.in_flight.get(&(id, attempt))?;
        Some((key, *sent))
    }

    /// Whether the call is larger than a replica's KV cache, so that all replicas reject it as though they
    /// were full.
    fn is_too_large(&self, id: CallId) -> bool {
        let Some(call) = self.calls.get(&id) else {
            return false;
        };
        let tokens = u64::from(call.request.tokens_in) + u64::from(call.request.tokens_out);
        self.services
            .get(&call.service)
            .is_some_and(|service| service.is_too_large(tokens))
    }
}
