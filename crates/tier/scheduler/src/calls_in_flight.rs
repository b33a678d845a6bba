//! A call that has not ended, with its attempts.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::call::Call;
use crate::call_state::{CallEvent, CallState};
use crate::keys::ReplicaKey;
use crate::keys::RouteKey;
use crate::outcome::Outcome;

/// How often a call may be sent again to a replica that did not run it.
const MAX_RESENDS: usize = 3;

/// How an attempt stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum AttemptState {
    InFlight,
    Ended(Outcome),
    /// Dropped by us: it may have run.
    Aborted,
}

/// One send of a call.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub replica: ReplicaKey,
    /// The replica's own name, which outlives its place in the list.
    pub replica_id: Arc<str>,
    pub state: AttemptState,
    /// Its first event (or head) has come.
    pub begun: bool,
}

impl Attempt {
    /// Known not to have run, and never to run.
    fn has_not_run(&self) -> bool {
        matches!(self.state, AttemptState::Ended(outcome) if outcome.has_not_run())
    }

    /// Whether its replica counts among those that the call was sent to: bytes of it reached that replica.
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
    pub call: Call,
    pub route: RouteKey,
    pub service: Arc<str>,
    pub attempts: Vec<Attempt>,
    /// Whether to look at it again, in microseconds.
    pub timer: Option<i64>,
    /// The replica that the processes of a zone agree on for its program, and all for its object.
    pub home: Option<ReplicaKey>,
    /// Not to be sent before this time, after a replica asked to come back.
    pub not_before: f64,
    state: CallState,
}

impl CallInFlight {
    pub fn new(call: Call, route: RouteKey, service: Arc<str>) -> Self {
        CallInFlight {
            call,
            route,
            service,
            attempts: Vec::new(),
            timer: None,
            home: None,
            not_before: 0.0,
            state: CallState::Deciding,
        }
    }

    pub fn state(&self) -> CallState {
        self.state
    }

    /// Changes the state; a change that the table does not name is a fault of this crate, not of its input.
    pub fn apply(&mut self, event: CallEvent) {
        match self.state.after(event) {
            Ok(state) => self.state = state,
            Err(unexpected) => unreachable!("{unexpected}"),
        }
    }

    /// The replica in whose queue it is held.
    pub fn queued_at(&self) -> Option<ReplicaKey> {
        match self.state {
            CallState::Queued { replica, .. } => Some(replica),
            _ => None,
        }
    }

    /// Whether a try at a replica is still out.
    pub fn is_in_flight(&self) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.state == AttemptState::InFlight)
    }

    /// Whether it is proven that no attempt ran or will run.
    pub fn has_not_run(&self) -> bool {
        self.attempts.iter().all(Attempt::has_not_run)
    }

    /// Whether a further attempt can do no harm.
    pub fn may_send(&self) -> bool {
        self.call.kind.may_run_again() || self.has_not_run()
    }

    /// The replicas that count against the most that one try may be sent to.
    pub fn replicas_reached(&self) -> BTreeSet<ReplicaKey> {
        self.attempts
            .iter()
            .filter(|a| a.reached_replica())
            .map(|a| a.replica)
            .collect()
    }

    pub fn was_sent_to(&self, replica: ReplicaKey) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.replica == replica)
    }

    /// Whether the call may be sent to this replica (again): not where it may have run, nor where another
    /// replica answered.
    ///
    /// After a few returns a refusal serves the client better: its next try may go elsewhere.
    pub fn may_resend_to(&self, replica: ReplicaKey) -> bool {
        if self.sends_to(replica) > MAX_RESENDS {
            return false;
        }
        let misdirected = AttemptState::Ended(Outcome::Misdirected);
        let mut there = self
            .attempts
            .iter()
            .filter(|attempt| attempt.replica == replica);
        there.all(|attempt| attempt.has_not_run() && attempt.state != misdirected)
    }

    /// Whether a second copy may be sent beside the attempt that is out: one at a time, before an answer has
    /// begun, within the most replicas.
    pub fn may_hedge(&self) -> bool {
        let mut out = self
            .attempts
            .iter()
            .filter(|attempt| attempt.state == AttemptState::InFlight);
        let single = out.next().is_some_and(|attempt| !attempt.begun) && out.next().is_none();
        let within_bounds = self.replicas_reached().len() < self.call.max_replicas as usize;
        single && within_bounds && self.call.kind.may_run_again()
    }

    /// How often the call was sent to a replica.
    pub fn sends_to(&self, replica: ReplicaKey) -> usize {
        self.attempts
            .iter()
            .filter(|attempt| attempt.replica == replica)
            .count()
    }

    /// Whether the call has been offered to a replica.
    pub fn has_reached_replica(&self) -> bool {
        self.attempts.iter().any(Attempt::reached_replica)
    }

    /// The outcome of the last attempt that may have run.
    pub fn last_executed_outcome(&self) -> Option<Outcome> {
        self.attempts
            .iter()
            .rev()
            .find_map(|attempt| match attempt.state {
                AttemptState::Ended(outcome) if !outcome.has_not_run() => Some(outcome),
                _ => None,
            })
    }
}
