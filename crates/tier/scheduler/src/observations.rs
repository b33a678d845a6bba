//! Updates of latencies, replica health and load from the responses and outcomes of attempts.

use woadreach_routing::decide::outlier_detector::{EjectionConfig, Observation};

use crate::active_call::AttemptState;
use crate::call::CallId;
use crate::decision_counts::{Decision, DecisionCounts};
use crate::keys::AttemptKey;
use crate::outcome::{Outcome, ServerLoad};
use crate::replica::{Failure, FailureKind, InFlightAttempt, Replica, ResponseStart};
use crate::scheduler::Scheduler;

/// A replica is ejected when half of its last eight outcomes, at least two, are failures (docs/design.md,
/// "Exceptions, and when each acts", 3; the tier's differences: "Exceptions to the replica rule", 2).
const EJECTION: EjectionConfig = EjectionConfig {
    window: 8,
    min_failures: 2,
};

/// Ejects a replica without regard to its earlier outcomes.
fn eject(now: f64, replica: &mut Replica, counts: &mut DecisionCounts) {
    if !replica.health.is_ejected() {
        counts.count(Decision::Ejected);
    }
    replica.health.eject(now, None);
}

impl Scheduler {
    /// Records the latency of an attempt whose first event or response head has been received, and the activity of
    /// its replica. A stream counts towards the replica's health now; any other response counts at its end, by its
    /// status. Does nothing if the start of the response has been recorded before.
    pub(crate) fn observe_response_start(
        &mut self,
        now: f64,
        attempt: AttemptKey,
        load: Option<ServerLoad>,
    ) {
        let Some(sent) = self
            .in_flight(attempt)
            .filter(|sent| sent.response_start == ResponseStart::Pending)
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
        let late = latency > route.late_threshold();
        route.record(latency);
        if sent.replica_was_idle {
            route.unloaded.record(now, &sent.replica, latency, ejected);
        }
        replica.record_activity(now, load);
        replica.record_response_start(attempt, late);
        if self.is_streaming(attempt.call) {
            self.record_health(now, sent, late.then_some(FailureKind::Late));
        }
    }

    /// Updates the backpressure, health and load of a replica at the end of an attempt.
    pub(crate) fn observe_attempt_end(
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
            self.observe_response_start(now, attempt, load);
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
                replica.backpressure.begin(replica.in_flight.len())
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
            self.record_health(now, sent, Some(kind));
        } else if !streaming {
            let late = sent.response_start == ResponseStart::Late;
            self.record_health(now, sent, late.then_some(FailureKind::Late));
        }
    }

    /// Ejects the replica of a lost attempt. Does nothing if the attempt has been counted as lost before.
    pub(crate) fn record_lost_attempt(&mut self, now: f64, attempt: AttemptKey) {
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
        self.record_health(now, sent, Some(FailureKind::MayHaveRun));
    }

    /// Records a failure of each replica whose attempt of this call is late. Called before the attempts are aborted,
    /// after which no outcome of them is reported.
    pub(crate) fn record_late_attempts(&mut self, now: f64, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let late: Vec<InFlightAttempt> = (0..)
            .zip(&call.attempts)
            .filter(|(_, attempt)| {
                attempt.state == AttemptState::InFlight && !attempt.response_started
            })
            .filter_map(|(index, _)| self.in_flight(AttemptKey { call: id, index }))
            .filter(|sent| now > sent.sent_at + self.routes.late_threshold(sent.route))
            .collect();
        for sent in late {
            self.record_health(now, sent, Some(FailureKind::MayHaveRun));
        }
    }

    /// Counts an attempt towards the health of its replica; `None` is a success.
    fn record_health(&mut self, now: f64, sent: InFlightAttempt, failure: Option<FailureKind>) {
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

    /// The attempt as its replica records it; `None` if it is not in flight or the replica has departed.
    fn in_flight(&self, attempt: AttemptKey) -> Option<InFlightAttempt> {
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

    /// Whether the tokens of the call exceed a replica's KV cache. All replicas reject such a call as if they were
    /// full.
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
