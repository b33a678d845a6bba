//! The decisions: every input in one place, each kind of decision in a module of its own.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::action::{Action, FailReason};
use crate::call::{Call, CallId};
use crate::outcome::{Outcome, ServerLoad};
use crate::spec::{ReplicaSpec, ServiceSpec};

/// Advice when a call is refused for want of a replica, in seconds.
const RETRY_WITHOUT_REPLICA: f64 = 0.25;

/// One send of a call.
struct Attempt {
    replica: Arc<str>,
    outcome: Option<Outcome>,
}

/// A call that has not ended.
struct InHand {
    call: Call,
    service: Arc<str>,
    attempts: Vec<Attempt>,
}

struct Replica {
    spec: ReplicaSpec,
    /// Own attempts that are out at this replica.
    outstanding: BTreeSet<(CallId, u32)>,
    misdirected: bool,
}

/// Decides for one process; see the crate's page.
pub struct Admission {
    random: oorandom::Rand64,
    services: BTreeMap<Arc<str>, ServiceSpec>,
    replicas: BTreeMap<Arc<str>, Replica>,
    calls: BTreeMap<CallId, InHand>,
}

impl Admission {
    /// `zone` is this process's own.
    pub fn new(seed: u64, _zone: String) -> Self {
        Admission {
            random: oorandom::Rand64::new(u128::from(seed)),
            services: BTreeMap::new(),
            replicas: BTreeMap::new(),
            calls: BTreeMap::new(),
        }
    }

    /// All services of the configuration in force, and among how many edges their connections are shared.
    pub fn configure(&mut self, _now: f64, services: &[ServiceSpec], _edges: usize) {
        self.services = services.iter().map(|service| (service.name.clone(), service.clone())).collect();
    }

    /// All replicas there are; one that is not named has left.
    pub fn replicas(&mut self, _now: f64, listed: &[ReplicaSpec]) {
        let named: BTreeSet<&str> = listed.iter().map(|spec| &*spec.id).collect();
        self.replicas.retain(|id, _| named.contains(&**id));
        for spec in listed {
            let known = self.replicas.get_mut(&spec.id);
            match known {
                Some(replica) if replica.spec == *spec => {}
                Some(replica) => {
                    replica.spec = spec.clone();
                    replica.misdirected = false;
                }
                None => {
                    let replica =
                        Replica { spec: spec.clone(), outstanding: BTreeSet::new(), misdirected: false };
                    self.replicas.insert(spec.id.clone(), replica);
                }
            }
        }
    }

    /// A client's try has been read whole.
    pub fn arrive(&mut self, now: f64, call: Call) -> Vec<Action> {
        let id = call.id;
        let service = self.choose_service(&call);
        self.calls.insert(id, InHand { call, service, attempts: Vec::new() });
        self.try_to_send(now, id)
    }

    /// An attempt ended.
    pub fn outcome(
        &mut self,
        now: f64,
        id: CallId,
        attempt: u32,
        outcome: Outcome,
        _load: Option<ServerLoad>,
    ) -> Vec<Action> {
        let Some(in_hand) = self.calls.get_mut(&id) else { return Vec::new() };
        let Some(sent) = in_hand.attempts.get_mut(attempt as usize) else { return Vec::new() };
        if sent.outcome.is_some() {
            return Vec::new();
        }
        sent.outcome = Some(outcome);
        if let Some(replica) = self.replicas.get_mut(&sent.replica) {
            replica.outstanding.remove(&(id, attempt));
            replica.misdirected |= outcome == Outcome::Misdirected;
        }
        if outcome == Outcome::Answered {
            self.calls.remove(&id);
            return Vec::new();
        }
        self.try_to_send(now, id)
    }

    /// The first event of a stream, or the head of any other answer, came.
    pub fn first_event(&mut self, _now: f64, _id: CallId, _attempt: u32, _load: Option<ServerLoad>) {}

    /// The client has gone: nothing is owed any more, and no outcome is expected for what is out.
    pub fn cancelled(&mut self, _now: f64, id: CallId) -> Vec<Action> {
        let Some(in_hand) = self.calls.remove(&id) else { return Vec::new() };
        let mut actions = Vec::new();
        for (number, attempt) in (0..).zip(&in_hand.attempts) {
            if attempt.outcome.is_none() {
                self.release(&attempt.replica, id, number);
                actions.push(Action::Abort { call: id, attempt: number });
            }
        }
        actions
    }

    /// The time that `next_wake` named has come.
    pub fn wake(&mut self, _now: f64) -> Vec<Action> {
        Vec::new()
    }

    /// When something is to be decided without further input.
    pub fn next_wake(&self, _now: f64) -> Option<f64> {
        None
    }

    fn choose_service(&mut self, call: &Call) -> Arc<str> {
        let total: u64 = call.clusters.iter().map(|(_, weight)| u64::from(*weight)).sum();
        let mut drawn = if total > 0 { self.random.rand_range(0..total) } else { 0 };
        for (service, weight) in &call.clusters {
            if drawn < u64::from(*weight) {
                return service.clone();
            }
            drawn -= u64::from(*weight);
        }
        call.clusters.first().map(|(service, _)| service.clone()).unwrap_or_else(|| Arc::from(""))
    }

    fn release(&mut self, replica: &Arc<str>, id: CallId, attempt: u32) {
        if let Some(replica) = self.replicas.get_mut(replica) {
            replica.outstanding.remove(&(id, attempt));
        }
    }

    fn try_to_send(&mut self, now: f64, id: CallId) -> Vec<Action> {
        let Some(in_hand) = self.calls.get(&id) else { return Vec::new() };
        let has_not_run = in_hand.attempts.iter().all(|a| a.outcome.is_none_or(Outcome::has_not_run));
        let may_send = has_not_run || in_hand.call.kind.may_run_again();
        let sent = in_hand.attempts.len() as u32;
        let time_left = in_hand.call.give_up_at - now;
        let chosen = if may_send && sent < in_hand.call.max_replicas.max(1) && time_left > 0.0 {
            self.choose_replica(id)
        } else {
            None
        };
        match chosen {
            Some(replica) => vec![self.send(id, replica, time_left)],
            None => vec![self.end(id, has_not_run)],
        }
    }

    fn choose_replica(&mut self, id: CallId) -> Option<Arc<str>> {
        let in_hand = self.calls.get(&id)?;
        let fits = |replica: &&Replica| {
            let tried = in_hand.attempts.iter().any(|attempt| attempt.replica == replica.spec.id);
            replica.spec.service == in_hand.service && replica.spec.ready && !replica.misdirected && !tried
        };
        let least = self.replicas.values().filter(fits).map(|replica| replica.outstanding.len()).min()?;
        let tied: Vec<Arc<str>> = self
            .replicas
            .values()
            .filter(fits)
            .filter(|replica| replica.outstanding.len() == least)
            .map(|replica| replica.spec.id.clone())
            .collect();
        let drawn = self.random.rand_range(0..tied.len() as u64) as usize;
        Some(tied[drawn].clone())
    }

    fn send(&mut self, id: CallId, replica: Arc<str>, timeout: f64) -> Action {
        let mut attempt = 0;
        if let Some(in_hand) = self.calls.get_mut(&id) {
            attempt = in_hand.attempts.len() as u32;
            in_hand.attempts.push(Attempt { replica: replica.clone(), outcome: None });
        }
        if let Some(at) = self.replicas.get_mut(&replica) {
            at.outstanding.insert((id, attempt));
        }
        Action::Send { call: id, attempt, replica, timeout, priority: None }
    }

    fn end(&mut self, id: CallId, has_not_run: bool) -> Action {
        let last = self.calls.remove(&id).and_then(|in_hand| in_hand.attempts.last().and_then(|a| a.outcome));
        if has_not_run {
            return Action::Refuse { call: id, retry_after: RETRY_WITHOUT_REPLICA };
        }
        let reason = match last {
            Some(Outcome::TimedOut) => FailReason::TimedOut,
            Some(Outcome::ReplicaError) => FailReason::ReplicaError,
            _ => FailReason::MayHaveRun,
        };
        Action::Fail { call: id, reason }
    }
}
