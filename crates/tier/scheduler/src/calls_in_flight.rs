//! A call that has not ended, and its attempts.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::call::Call;
use crate::call_state::{CallEvent, CallState};
use crate::keys::{ReplicaKey, RouteKey};
use crate::outcome::Outcome;

/// Limit on how often a call is sent again to a replica that did not run it.
const MAX_RESENDS: usize = 3;

/// State of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum AttemptState {
    /// Its outcome is unknown yet.
    InFlight,
    /// It has ended with this outcome.
    Ended(Outcome),
    /// This process has aborted it. It may have run.
    Aborted,
}

/// One send of a call: what the call needs of it. Its replica's part is
/// [`AttemptAtReplica`](crate::replica::AttemptAtReplica).
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub replica: ReplicaKey,
    /// Identifier of the replica, which is valid even after the replica has departed.
    pub replica_id: Arc<str>,
    pub state: AttemptState,
    /// Whether its first event (or response head) has arrived.
    pub has_begun: bool,
}

impl Attempt {
    /// Whether it is known not to have run, and never to run.
    fn has_not_run(&self) -> bool {
        matches!(self.state, AttemptState::Ended(outcome) if outcome.has_not_run())
    }

    /// Whether bytes of the call reached the replica, so that it counts towards the limit of replicas.
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

/// A call from its arrival to its end.
#[derive(Debug)]
pub(crate) struct CallInFlight {
    pub request: Call,
    pub route: RouteKey,
    pub service: Arc<str>,
    pub attempts: Vec<Attempt>,
    /// When to reconsider the call, in microseconds.
    pub timer: Option<i64>,
    /// Home of the call's program or object; see [`crate::placement`].
    pub home: Option<ReplicaKey>,
    /// Earliest time of the next attempt at a replica that the call was sent to before, in seconds: from a backoff
    /// or the replica's `Retry-After`.
    pub not_before: f64,
    state: CallState,
}

impl CallInFlight {
    pub(crate) fn new(call: Call, route: RouteKey, service: Arc<str>) -> Self {
        CallInFlight {
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

    /// Changes the state. An event that the table does not allow is a fault of this crate, and never of its
    /// input.
    pub(crate) fn apply(&mut self, event: CallEvent) {
        match self.state.after(event) {
            Ok(state) => self.state = state,
            Err(unexpected) => unreachable!("{unexpected}"),
        }
    }

    /// The replica in whose queue the call waits.
    pub(crate) fn queued_at(&self) -> Option<ReplicaKey> {
        match self.state {
            CallState::Queued { replica, .. } => Some(replica),
            _ => None,
        }
    }

    /// Whether an attempt is in flight.
    pub(crate) fn is_in_flight(&self) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.state == AttemptState::InFlight)
    }

    /// Whether it is proven that no attempt ran or will run.
    pub(crate) fn has_not_run(&self) -> bool {
        self.attempts.iter().all(Attempt::has_not_run)
    }

    /// Whether the call may be sent (again) without running twice by mistake.
    pub(crate) fn may_send(&self) -> bool {
        self.request.kind.may_run_again() || self.has_not_run()
    }

    /// The replicas that count towards [`Call::max_replicas`].
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

    /// Whether the call may be sent to `replica` (again): not where it may have run, nor where another
    /// replica answered.
    ///
    /// After [`MAX_RESENDS`] a rejection serves the client better, since its retry may reach another process.
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

    /// Whether a hedge may be sent beside the attempt in flight: one at a time, before a response has begun,
    /// within the limit of replicas.
    pub(crate) fn may_hedge(&self) -> bool {
        let mut in_flight = self
            .attempts
            .iter()
            .filter(|attempt| attempt.state == AttemptState::InFlight);
        let is_single = in_flight.next().is_some_and(|attempt| !attempt.has_begun)
            && in_flight.next().is_none();
        let within_bounds = self.replicas_reached().len() < self.request.max_replicas as usize;
        is_single && within_bounds && self.request.kind.may_run_again()
    }

    /// How often the call was sent to a replica.
    pub(crate) fn sends_to(&self, replica: ReplicaKey) -> usize {
        self.attempts
            .iter()
            .filter(|attempt| attempt.replica == replica)
            .count()
    }

    /// Whether bytes of the call have reached any replica.
    pub(crate) fn has_reached_replica(&self) -> bool {
        self.attempts.iter().any(Attempt::reached_replica)
    }

    /// Outcome of the last attempt that may have run.
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
