//! An unfinished call and its attempts.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::call::Call;
use crate::call_state::{CallEvent, CallState};
use crate::keys::{ReplicaKey, RouteKey};
use crate::outcome::Outcome;

/// Limit on the number of times a call is sent again to a replica that did not run it.
const MAX_RESENDS: usize = 3;

/// State of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum AttemptState {
    /// Sent, with no outcome yet.
    InFlight,
    /// Finished with this outcome.
    Ended(Outcome),
    /// Aborted by this process. The attempt may have run.
    Aborted,
}

/// One attempt, as recorded with its call. While it is in flight, its replica records it as
/// [`InFlightAttempt`](crate::replica::InFlightAttempt).
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub replica: ReplicaKey,
    /// Identifier of the replica, kept after the replica has departed.
    pub replica_id: Arc<str>,
    pub state: AttemptState,
    /// Whether the first event of a stream, or the head of any other response, has been received.
    pub response_started: bool,
}

impl Attempt {
    /// Whether the attempt is known not to have run and never to run later.
    fn has_not_run(&self) -> bool {
        matches!(self.state, AttemptState::Ended(outcome) if outcome.has_not_run())
    }

    /// Whether the replica may have received bytes of the call, so that it counts towards
    /// [`Call::max_replicas`].
    fn reached_replica(&self) -> bool {
        !matches!(
            self.state,
            AttemptState::Ended(
                Outcome::Unreachable
                    | Outcome::NeverSent
                    | Outcome::Misdirected
                    | Outcome::Broken { sent: false, .. }
            )
        )
    }
}

/// A call that has been received and has not finished.
#[derive(Debug)]
pub(crate) struct ActiveCall {
    pub request: Call,
    pub route: RouteKey,
    pub service: Arc<str>,
    pub attempts: Vec<Attempt>,
    /// Time of the next decision about the call, in microseconds; `None` if no timer is set.
    pub timer: Option<i64>,
    /// Home of the call's program or object, updated at each placement; see [`crate::placement`].
    pub home: Option<ReplicaKey>,
    /// Earliest time in seconds at which the call may be sent again to the same replica, from the backoff or the
    /// replica's `Retry-After`.
    pub not_before: f64,
    state: CallState,
}

impl ActiveCall {
    pub(crate) fn new(call: Call, route: RouteKey, service: Arc<str>) -> Self {
        ActiveCall {
            request: call,
            route,
            service,
            attempts: Vec::new(),
            timer: None,
            home: None,
            not_before: 0.0,
            state: CallState::Deciding,
        }
    }

    pub(crate) fn state(&self) -> CallState {
        self.state
    }

    /// Changes the state.
    ///
    /// Panics if the table does not allow `event`: no input can cause this, only a bug in this crate.
    pub(crate) fn apply(&mut self, event: CallEvent) {
        match self.state.after(event) {
            Ok(state) => self.state = state,
            Err(unexpected) => unreachable!("{unexpected}"),
        }
    }

    /// The replica at which the call is queued.
    pub(crate) fn queued_at(&self) -> Option<ReplicaKey> {
        match self.state {
            CallState::Queued { replica, .. } => Some(replica),
            _ => None,
        }
    }

    /// Whether at least one attempt is in flight.
    pub(crate) fn has_attempt_in_flight(&self) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.state == AttemptState::InFlight)
    }

    /// Whether every attempt is known not to have run and never to run later.
    pub(crate) fn has_not_run(&self) -> bool {
        self.attempts.iter().all(Attempt::has_not_run)
    }

    /// Whether the call may be sent, or sent again, without the risk that a call that is not idempotent runs twice.
    pub(crate) fn may_send(&self) -> bool {
        self.request.kind.may_run_again() || self.has_not_run()
    }

    /// Replicas that count towards [`Call::max_replicas`].
    pub(crate) fn replicas_reached(&self) -> BTreeSet<ReplicaKey> {
        self.attempts
            .iter()
            .filter(|a| a.reached_replica())
            .map(|a| a.replica)
            .collect()
    }

    pub(crate) fn was_sent_to(&self, replica: ReplicaKey) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.replica == replica)
    }

    /// Whether the call may be sent to `replica` with regard to its earlier attempts there. False if one of them may
    /// have run, reached a different replica, or was the last of [`MAX_RESENDS`].
    ///
    /// After [`MAX_RESENDS`] the call is rejected instead, since the client's retry may reach another process.
    pub(crate) fn may_resend_to(&self, replica: ReplicaKey) -> bool {
        if self.sends_to(replica) > MAX_RESENDS {
            return false;
        }
        let misdirected = AttemptState::Ended(Outcome::Misdirected);
        let mut earlier_attempts = self
            .attempts
            .iter()
            .filter(|attempt| attempt.replica == replica);
        earlier_attempts.all(|attempt| attempt.has_not_run() && attempt.state != misdirected)
    }

    /// Whether a hedge may be sent: the call may run again, exactly one attempt is in flight, its response has not
    /// started, and the limit of replicas is not reached.
    pub(crate) fn may_hedge(&self) -> bool {
        let mut in_flight = self
            .attempts
            .iter()
            .filter(|attempt| attempt.state == AttemptState::InFlight);
        let is_single = in_flight
            .next()
            .is_some_and(|attempt| !attempt.response_started)
            && in_flight.next().is_none();
        let within_bounds = self.replicas_reached().len() < self.request.max_replicas as usize;
        is_single && within_bounds && self.request.kind.may_run_again()
    }

    /// Number of times the call was sent to `replica`.
    pub(crate) fn sends_to(&self, replica: ReplicaKey) -> usize {
        self.attempts
            .iter()
            .filter(|attempt| attempt.replica == replica)
            .count()
    }

    /// Whether any replica may have received bytes of the call.
    pub(crate) fn has_reached_replica(&self) -> bool {
        self.attempts.iter().any(Attempt::reached_replica)
    }

    /// Outcome of the latest finished attempt that may have run.
    pub(crate) fn last_executed_outcome(&self) -> Option<Outcome> {
        self.attempts
            .iter()
            .rev()
            .find_map(|attempt| match attempt.state {
                AttemptState::Ended(outcome) if !outcome.has_not_run() => Some(outcome),
                _ => None,
            })
    }
}
