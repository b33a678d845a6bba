//! A driver for tests, which has the state of a real driver and checks every action against the rules.

#![allow(dead_code)]

mod base_call;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use base_call::base_call;
use woadreach_scheduler::{
    Action, Call, CallId, CallKind, EngineSpec, FailReason, Outcome, ReplicaSpec, Scheduler,
    ServerLoad, ServiceSpec, WeightedService,
};

pub(crate) const SERVICE: &str = "service";
pub(crate) const ZONE: &str = "zone-a";

pub(crate) fn service() -> ServiceSpec {
    ServiceSpec {
        name: Arc::from(SERVICE),
        max_conns: 0,
        engine: None,
    }
}

pub(crate) fn engine_service() -> ServiceSpec {
    let engine = EngineSpec { kv_tokens: 200_000 };
    ServiceSpec {
        engine: Some(engine),
        ..service()
    }
}

pub(crate) fn replica(id: &str) -> ReplicaSpec {
    ReplicaSpec {
        id: Arc::from(id),
        service: Arc::from(SERVICE),
        zone: Arc::from(ZONE),
        capacity: 6,
        ready: true,
        cold_remaining: 0.0,
        generation: Arc::from("v1"),
    }
}

pub(crate) fn replicas(ids: &[&str]) -> Vec<ReplicaSpec> {
    ids.iter().map(|id| replica(id)).collect()
}

/// A safe call that arrives at `now` and may be sent to two replicas.
pub(crate) fn call(now: f64, id: u64) -> Call {
    Call {
        services: vec![WeightedService {
            service: Arc::from(SERVICE),
            weight: 1,
        }],
        max_replicas: 2,
        ..base_call(now, id)
    }
}

pub(crate) fn unsafe_call(now: f64, id: u64) -> Call {
    Call {
        kind: CallKind::NonIdempotent,
        ..call(now, id)
    }
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum End {
    Answered,
    Refused,
    Failed(FailReason),
    Cancelled,
}

/// A call as the driver sees it.
pub(crate) struct Seen {
    pub call: Call,
    /// Replica and outcome of each attempt; `None` while it is in flight, and for aborted ones.
    pub attempts: Vec<(Arc<str>, Option<Outcome>)>,
    pub aborted: BTreeSet<u32>,
    pub end: Option<End>,
}

impl Seen {
    fn is_out(&self, attempt: usize) -> bool {
        self.end.is_none()
            && self.attempts[attempt].1.is_none()
            && !self.aborted.contains(&(attempt as u32))
    }

    /// Whether the outcomes prove that the call has not run, independently of the scheduler's own state.
    fn has_not_run(&self) -> bool {
        self.attempts.iter().all(|(_, outcome)| match outcome {
            Some(Outcome::NotExecuted { .. } | Outcome::Misdirected | Outcome::Unreachable) => true,
            Some(Outcome::NeverSent | Outcome::Broken { sent: false, .. }) => true,
            Some(Outcome::Answered | Outcome::ReplicaError | Outcome::TimedOut) | None => false,
            Some(Outcome::Broken { sent: true, .. }) => false,
        })
    }

    fn may_run_again(&self) -> bool {
        matches!(
            self.call.kind,
            CallKind::Idempotent | CallKind::Streaming { resumable: true }
        )
    }

    /// Replicas that bytes of the call reached.
    fn reached(&self) -> BTreeSet<Arc<str>> {
        let reached = |outcome: &Option<Outcome>| {
            !matches!(
                outcome,
                Some(
                    Outcome::Misdirected
                        | Outcome::Unreachable
                        | Outcome::NeverSent
                        | Outcome::Broken { sent: false, .. }
                )
            )
        };
        self.attempts
            .iter()
            .filter(|(_, outcome)| reached(outcome))
            .map(|(id, _)| id.clone())
            .collect()
    }
}

/// The scheduler with its driver.
pub(crate) struct Driver {
    pub now: f64,
    pub scheduler: Scheduler,
    pub seen: BTreeMap<CallId, Seen>,
    pub listed: BTreeMap<Arc<str>, ReplicaSpec>,
    pub trace: Vec<Action>,
    misdirected: BTreeSet<Arc<str>>,
}

impl Driver {
    pub(crate) fn new(seed: u64, service: ServiceSpec, replicas: &[ReplicaSpec]) -> Self {
        let mut driver = Driver {
            now: 100.0,
            scheduler: Scheduler::new(seed, ZONE.to_string()),
            seen: BTreeMap::new(),
            listed: BTreeMap::new(),
            trace: Vec::new(),
            misdirected: BTreeSet::new(),
        };
        driver.scheduler.update_services(&[service], 1);
        driver.list(replicas);
        driver
    }

    pub(crate) fn list(&mut self, replicas: &[ReplicaSpec]) {
        for spec in replicas {
            let changed = self.listed.get(&spec.id).is_some_and(|known| known != spec);
            if changed || !self.listed.contains_key(&spec.id) {
                self.misdirected.remove(&spec.id);
            }
        }
        self.listed = replicas
            .iter()
            .map(|spec| (spec.id.clone(), spec.clone()))
            .collect();
        let listed = &self.listed;
        self.misdirected.retain(|id| listed.contains_key(id));
        self.scheduler.update_replicas(self.now, replicas);
        self.run_due();
    }

    pub(crate) fn submit(&mut self, call: Call) -> Vec<Action> {
        let id = call.id;
        let seen = Seen {
            call: call.clone(),
            attempts: Vec::new(),
            aborted: BTreeSet::new(),
            end: None,
        };
        assert!(self.seen.insert(id, seen).is_none(), "{id:?} is used twice");
        let actions = self.scheduler.submit(self.now, call);
        self.check_all(&actions);
        actions
    }

    /// Advances the time, with every wake that is due meanwhile.
    pub(crate) fn advance(&mut self, seconds: f64) -> Vec<Action> {
        let until = self.now + seconds;
        let mut all = Vec::new();
        while let Some(at) = self.scheduler.next_wake(self.now).filter(|at| *at <= until) {
            self.now = self.now.max(at);
            all.extend(self.run_due());
        }
        self.now = until;
        all
    }

    pub(crate) fn response_started(&mut self, id: u64, attempt: u32, load: Option<ServerLoad>) {
        self.scheduler
            .response_started(self.now, CallId(id), attempt, load);
        self.check_progress();
    }

    pub(crate) fn attempt_ended(&mut self, id: u64, attempt: u32, outcome: Outcome) -> Vec<Action> {
        self.attempt_ended_with_load(id, attempt, outcome, None)
    }

    pub(crate) fn attempt_ended_with_load(
        &mut self,
        id: u64,
        attempt: u32,
        outcome: Outcome,
        load: Option<ServerLoad>,
    ) -> Vec<Action> {
        let seen = self.seen.get_mut(&CallId(id)).expect("a call that arrived");
        if seen.is_out(attempt as usize) {
            seen.attempts[attempt as usize].1 = Some(outcome);
            if outcome == Outcome::Misdirected {
                self.misdirected
                    .insert(seen.attempts[attempt as usize].0.clone());
            }
            if outcome == Outcome::Answered {
                seen.end = Some(End::Answered);
            }
        }
        let actions = self
            .scheduler
            .attempt_ended(self.now, CallId(id), attempt, outcome, load);
        self.check_all(&actions);
        actions
    }

    pub(crate) fn call_ended(&mut self, id: u64) -> Vec<Action> {
        if let Some(seen) = self.seen.get_mut(&CallId(id)) {
            seen.end = seen.end.or(Some(End::Cancelled));
        }
        let actions = self.scheduler.call_ended(self.now, CallId(id));
        self.check_all(&actions);
        actions
    }

    /// Attempts in flight, as (call, attempt).
    pub(crate) fn out(&self) -> Vec<(u64, u32)> {
        let each = |(id, seen): (&CallId, &Seen)| {
            let out: Vec<_> = (0..seen.attempts.len())
                .filter(|n| seen.is_out(*n))
                .collect();
            out.into_iter()
                .map(move |n| (id.0, n as u32))
                .collect::<Vec<_>>()
        };
        self.seen.iter().flat_map(each).collect()
    }

    pub(crate) fn end(&self, id: u64) -> Option<End> {
        self.seen[&CallId(id)].end
    }

    /// The replicas that a call was sent to, in order.
    pub(crate) fn sent_to(&self, id: u64) -> Vec<String> {
        self.seen[&CallId(id)]
            .attempts
            .iter()
            .map(|(replica, _)| replica.to_string())
            .collect()
    }

    /// Runs every wake that is due now.
    pub(crate) fn run_due(&mut self) -> Vec<Action> {
        let mut all = Vec::new();
        for _ in 0..1_000 {
            if self
                .scheduler
                .next_wake(self.now)
                .is_none_or(|at| at > self.now)
            {
                self.check_progress();
                return all;
            }
            let actions = self.scheduler.wake(self.now);
            self.check_all(&actions);
            all.extend(actions);
        }
        panic!("next_wake stays due at {}", self.now);
    }

    fn check_all(&mut self, actions: &[Action]) {
        actions.iter().for_each(|action| self.check(action));
        self.trace.extend(actions.iter().cloned());
        self.check_progress();
    }

    /// Checks that each call has an attempt in flight, or a timer.
    fn check_progress(&self) {
        let woken = self.scheduler.next_wake(self.now).is_some();
        for (id, seen) in self.seen.iter().filter(|(_, seen)| seen.end.is_none()) {
            let out = (0..seen.attempts.len()).any(|n| seen.is_out(n));
            assert!(out || woken, "{id:?} is forgotten");
        }
    }

    fn check(&mut self, action: &Action) {
        match action {
            Action::Send {
                call,
                attempt,
                replica,
                timeout,
                ..
            } => {
                self.check_send(*call, *attempt, replica, *timeout);
            }
            Action::Refuse { call, retry_after } => {
                let seen = self.in_flight(*call);
                assert!(
                    seen.has_not_run(),
                    "{call:?} is refused though it may have run"
                );
                assert!(*retry_after > 0.0 && retry_after.is_finite());
                seen.end = Some(End::Refused);
            }
            Action::Fail { call, reason } => {
                let seen = self.in_flight(*call);
                assert!(
                    !seen.has_not_run(),
                    "{call:?} fails though it is proven not to have run"
                );
                seen.end = Some(End::Failed(*reason));
            }
            Action::Abort { call, attempt } => {
                let seen = self.seen.get_mut(call).expect("a call that arrived");
                let is_new = seen.aborted.insert(*attempt);
                assert!(
                    is_new && seen.attempts[*attempt as usize].1.is_none(),
                    "{call:?} is aborted twice"
                );
            }
        }
    }

    fn in_flight(&mut self, id: CallId) -> &mut Seen {
        let seen = self.seen.get_mut(&id).expect("a call that arrived");
        assert_eq!(seen.end, None, "{id:?} ends twice or goes on after its end");
        seen
    }

    fn check_send(&mut self, id: CallId, attempt: u32, replica: &Arc<str>, timeout: f64) {
        let now = self.now;
        let spec = self.listed.get(replica).expect("a replica that is listed");
        assert!(spec.ready, "{id:?} is sent to {replica}, which drains");
        assert!(
            !self.misdirected.contains(replica),
            "{replica} is not at its address"
        );
        let seen = self.in_flight(id);
        assert_eq!(attempt as usize, seen.attempts.len());
        assert!(
            seen.may_run_again() || seen.has_not_run(),
            "{id:?} may run twice"
        );
        assert!(timeout > 0.0 && now + timeout <= seen.call.deadline + 1e-9);
        let out = (0..seen.attempts.len()).filter(|n| seen.is_out(*n)).count();
        assert!(
            out == 0 || (seen.call.kind == CallKind::Idempotent && out == 1),
            "{id:?} has {out} out"
        );
        seen.attempts.push((replica.clone(), None));
        assert!(
            seen.reached().len() <= seen.call.max_replicas.max(1) as usize,
            "{id:?} goes too far"
        );
    }
}
