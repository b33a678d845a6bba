//! What the scheduler learns from the outcomes of attempts.

use woadreach_routing::decide::outlier_detector::{EjectionConfig, Observation};

use crate::call::CallId;
use crate::calls_in_flight::AttemptState;
use crate::decision_counts::{Decision, DecisionCounts};
use crate::keys::AttemptKey;
use crate::outcome::{Outcome, ServerLoad};
use crate::replica::{AttemptAtReplica, Failure, FailureKind, Replica, ResponseStart};
use crate::scheduler::Scheduler;

/// A replica is ejected when half of its last eight outcomes, at least two, are failures (docs/design.md,
/// "Exceptions, and when each acts", 3; the tier's differences: "Exceptions to the replica rule", 2).
const EJECTION: EjectionConfig = EjectionConfig {
    window: 8,
    min_failures: 2,
};

/// Ejects a replica at once.
fn eject(now: f64, replica: &mut Replica, counts: &mut DecisionCounts) {
    if !replica.health.is_ejected() {
        counts.count(Decision::Ejected);
    }
    replica.health.eject(now, None);
}

impl Scheduler {
    /// Records the latency of an attempt whose first event or response head has arrived, and the replica's
    /// activity. For a stream it counts towards the replica's health; other responses count at their end, by
    /// their status.
    pub(crate) fn observe_begin(
        &mut self,
        now: f64,
        attempt: AttemptKey,
        load: Option<ServerLoad>,
    ) {
        let Some(sent) = self
            .in_flight(attempt)
            .filter(|sent| sent.start == ResponseStart::Awaited)
        else {
            return;
        };
        let Some(replica) = self.fleet.get_mut(sent.replica) else {
            return;
        };
        let ejected = replica.is_ejected_for(sent.route);
        let latency = now - sent.sent_at;
        let Some(route) = self.routes.get_mut(sent.route) else {
            return;
        };
        let late = latency > route.late_after();
        route.record(latency);
        if sent.is_only_call {
            route.unloaded.record(now, &sent.replica, latency, ejected);
        }
        replica.record_activity(now, load);
        replica.record_begin(attempt, late);
        if self.is_streaming(attempt.call) {
            self.observe_health(now, sent, late.then_some(FailureKind::Late));
        }
    }

    /// Records what the end of an attempt implies for the replica's queue, health and load.
    pub(crate) fn observe_end(
        &mut self,
        now: f64,
        attempt: AttemptKey,
        outcome: Outcome,
        load: Option<ServerLoad>,
    ) {
        if outcome == Outcome::Misdirected
            && let Some(sent) = self
                .calls
                .get(&attempt.call)
                .and_then(|call| call.attempts.get(attempt.index as usize))
        {
            self.fleet.mark_misdirected(&sent.replica_id);
        }
        if matches!(outcome, Outcome::Answered | Outcome::ReplicaError) {
            self.observe_begin(now, attempt, load);
        }
        let too_large = self.is_too_large(attempt.call);
        let streaming = self.is_streaming(attempt.call);
        let Some(sent) = self.in_flight(attempt) else {
            return;
        };
        let Some(replica) = self.fleet.get_mut(sent.replica) else {
            return;
        };
        replica.in_flight.remove(&attempt);
        replica.record_load(now, load);
        match outcome {
            Outcome::Answered | Outcome::ReplicaError => replica.record_answer(),
            Outcome::NotExecuted { .. } if too_large => return,
            Outcome::NotExecuted { .. } | Outcome::TimedOut => {
                replica.hold.begin(replica.in_flight.len())
            }
            Outcome::Unreachable | Outcome::Broken { .. } => {
                eject(now, replica, &mut self.counts);
            }
            Outcome::Misdirected | Outcome::NeverSent => return,
        }
        if outcome != Outcome::Answered {
            let kind = if outcome.has_not_run() {
                FailureKind::NotRun
            } else {
                FailureKind::MayHaveRun
            };
            self.observe_health(now, sent, Some(kind));
        } else if !streaming {
            let late = sent.start == ResponseStart::Late;
            self.observe_health(now, sent, late.then_some(FailureKind::Late));
        }
    }

    /// Ejects a replica that has lost an attempt, once for each attempt.
    pub(crate) fn observe_lost_attempt(&mut self, now: f64, attempt: AttemptKey) {
        let Some(sent) = self.in_flight(attempt).filter(|sent| !sent.lost) else {
            return;
        };
        let Some(replica) = self.fleet.get_mut(sent.replica) else {
            return;
        };
        if let Some(sent) = replica.in_flight.get_mut(&attempt) {
            sent.lost = true;
        }
        eject(now, replica, &mut self.counts);
        self.observe_health(now, sent, Some(FailureKind::MayHaveRun));
    }

    /// Records a failure of each replica with a late attempt of a call whose attempts are about to be aborted.
    pub(crate) fn observe_late_attempts(&mut self, now: f64, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let late: Vec<AttemptAtReplica> = (0..)
            .zip(&call.attempts)
            .filter(|(_, attempt)| attempt.state == AttemptState::InFlight && !attempt.has_begun)
            .filter_map(|(index, _)| self.in_flight(AttemptKey { call: id, index }))
            .filter(|sent| now > sent.sent_at + self.routes.late_after(sent.route))
            .collect();
        for sent in late {
            self.observe_health(now, sent, Some(FailureKind::MayHaveRun));
        }
    }

    /// Counts an attempt towards the health of its replica.
    fn observe_health(&mut self, now: f64, sent: AttemptAtReplica, failure: Option<FailureKind>) {
        let Some(replica) = self.fleet.get_mut(sent.replica) else {
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
        let was_ejected = replica.health.is_ejected();
        replica.health.observe(EJECTION, observation);
        if !was_ejected && replica.health.is_ejected() {
            self.counts.count(Decision::Ejected);
        }
    }

    /// The attempt, if it is in flight and its replica has not departed.
    fn in_flight(&self, attempt: AttemptKey) -> Option<AttemptAtReplica> {
        let call = self.calls.get(&attempt.call)?;
        let replica = call.attempts.get(attempt.index as usize)?.replica;
        let sent = self.fleet.get(replica)?.in_flight.get(&attempt)?;
        Some(*sent)
    }

    fn is_streaming(&self, id: CallId) -> bool {
        self.calls
            .get(&id)
            .is_some_and(|call| call.request.kind.is_streaming())
    }

    /// Whether the call is larger than a replica's KV cache, so that all replicas reject it as though they
    /// were full.
    fn is_too_large(&self, id: CallId) -> bool {
        let Some(call) = self.calls.get(&id) else {
            return false;
        };
        let tokens =
            u64::from(call.request.prompt_tokens) + u64::from(call.request.max_output_tokens);
        self.services
            .get(&call.service)
            .is_some_and(|service| service.is_too_large(tokens))
    }
}
