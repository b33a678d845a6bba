//! Test driver, which tracks the state of all calls and checks every action of the scheduler against the rules of a
//! call.

#![allow(dead_code)]

mod base_call;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use base_call::base_call;
use woadreach_scheduler::{
    Action, Call, CallId, CallKind, EngineSpec, FailReason, Outcome, ReplicaSpec, Scheduler,
    ServerLoad, ServiceSpec, StartedResponse, WeightedService,
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

/// An idempotent call that arrives at `now` and may be sent to two replicas.
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

pub(crate) fn non_idempotent_call(now: f64, id: u64) -> Call {
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

/// State of a call at the driver.
pub(crate) struct TrackedCall {
    pub call: Call,
    /// Replica and outcome of each attempt. The outcome is `None` for attempts in flight and aborted attempts.
    pub attempts: Vec<(Arc<str>, Option<Outcome>)>,
    pub aborted: BTreeSet<u32>,
    /// Attempts whose responses the driver forwards.
    pub forwarded: BTreeSet<u32>,
    pub end: Option<End>,
}

impl TrackedCall {
    fn is_in_flight(&self, attempt: usize) -> bool {
        self.end.is_none()
            && self.attempts[attempt].1.is_none()
            && !self.aborted.contains(&(attempt as u32))
    }

    /// Whether the outcomes prove that the call has not run. Computed independently of the scheduler.
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

    /// Replicas that may have received bytes of the call.
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

/// The scheduler and the state of its driver.
pub(crate) struct Driver {
    pub now: f64,
    pub scheduler: Scheduler,
    pub calls: BTreeMap<CallId, TrackedCall>,
    pub listed: BTreeMap<Arc<str>, ReplicaSpec>,
    pub trace: Vec<Action>,
    misdirected: BTreeSet<Arc<str>>,
}

impl Driver {
    pub(crate) fn new(seed: u64, service: ServiceSpec, replicas: &[ReplicaSpec]) -> Self {
        let mut driver = Driver {
            now: 100.0,
            scheduler: Scheduler::new(seed, ZONE.to_string()),
            calls: BTreeMap::new(),
            listed: BTreeMap::new(),
            trace: Vec::new(),
            misdirected: BTreeSet::new(),
        };
        driver.scheduler.update_services(&[service], 1);
        driver.update_replicas(replicas);
        driver
    }

    pub(crate) fn update_replicas(&mut self, replicas: &[ReplicaSpec]) {
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
        let tracked = TrackedCall {
            call: call.clone(),
            attempts: Vec::new(),
            aborted: BTreeSet::new(),
            forwarded: BTreeSet::new(),
            end: None,
        };
        assert!(
            self.calls.insert(id, tracked).is_none(),
            "{id:?} is used twice"
        );
        let actions = self.scheduler.submit(self.now, call);
        self.check_all(&actions);
        actions
    }

    /// Advances the time by `seconds`, and makes every wake that becomes due.
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

    /// Reports a response that has started. The driver may forward it exactly if its attempt is in flight.
    pub(crate) fn response_started(&mut self, id: u64, attempt: u32, load: Option<ServerLoad>) {
        let tracked = self
            .calls
            .get_mut(&CallId(id))
            .expect("a call that arrived");
        let expected = if tracked.is_in_flight(attempt as usize) {
            tracked.forwarded.insert(attempt);
            StartedResponse::Forward
        } else {
            StartedResponse::Discard
        };
        let started = self
            .scheduler
            .response_started(self.now, CallId(id), attempt, load);
        assert_eq!(started, expected, "attempt {attempt} of call {id}");
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
        let tracked = self
            .calls
            .get_mut(&CallId(id))
            .expect("a call that arrived");
        if tracked.is_in_flight(attempt as usize) {
            tracked.attempts[attempt as usize].1 = Some(outcome);
            if outcome == Outcome::Misdirected {
                self.misdirected
                    .insert(tracked.attempts[attempt as usize].0.clone());
            }
            if outcome == Outcome::Answered {
                tracked.end = Some(End::Answered);
            }
        }
        let actions = self
            .scheduler
            .attempt_ended(self.now, CallId(id), attempt, outcome, load);
        self.check_all(&actions);
        actions
    }

    pub(crate) fn call_ended(&mut self, id: u64) -> Vec<Action> {
        if let Some(tracked) = self.calls.get_mut(&CallId(id)) {
            tracked.end = tracked.end.or(Some(End::Cancelled));
        }
        let actions = self.scheduler.call_ended(self.now, CallId(id));
        self.check_all(&actions);
        actions
    }

    /// Attempts in flight, as pairs of call and index of the attempt.
    pub(crate) fn attempts_in_flight(&self) -> Vec<(u64, u32)> {
        let each = |(id, tracked): (&CallId, &TrackedCall)| {
            let in_flight: Vec<_> = (0..tracked.attempts.len())
                .filter(|n| tracked.is_in_flight(*n))
                .collect();
            in_flight
                .into_iter()
                .map(move |n| (id.0, n as u32))
                .collect::<Vec<_>>()
        };
        self.calls.iter().flat_map(each).collect()
    }

    /// Aborted attempts of unfinished calls, as pairs of call and index of the attempt.
    pub(crate) fn aborted_attempts(&self) -> Vec<(u64, u32)> {
        let unfinished = self
            .calls
            .iter()
            .filter(|(_, tracked)| tracked.end.is_none());
        unfinished
            .flat_map(|(id, tracked)| tracked.aborted.iter().map(|attempt| (id.0, *attempt)))
            .collect()
    }

    pub(crate) fn end(&self, id: u64) -> Option<End> {
        self.calls[&CallId(id)].end
    }

    /// Replicas that a call was sent to, in the order of its attempts.
    pub(crate) fn sent_to(&self, id: u64) -> Vec<String> {
        self.calls[&CallId(id)]
            .attempts
            .iter()
            .map(|(replica, _)| replica.to_string())
            .collect()
    }

    /// Makes every wake that is due now.
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
        panic!(
            "next_wake is still due at {} s after the maximum number of wakes",
            self.now
        );
    }

    fn check_all(&mut self, actions: &[Action]) {
        actions.iter().for_each(|action| self.check(action));
        self.trace.extend(actions.iter().cloned());
        self.check_progress();
    }

    /// Checks that each unfinished call has an attempt in flight, or the scheduler a timer.
    fn check_progress(&self) {
        let woken = self.scheduler.next_wake(self.now).is_some();
        for (id, tracked) in self
            .calls
            .iter()
            .filter(|(_, tracked)| tracked.end.is_none())
        {
            let in_flight = (0..tracked.attempts.len()).any(|n| tracked.is_in_flight(n));
            assert!(
                in_flight || woken,
                "{id:?} has neither an attempt in flight nor a timer"
            );
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
                let tracked = self.in_flight(*call);
                assert!(
                    tracked.has_not_run(),
                    "{call:?} is rejected although it may have run"
                );
                assert!(*retry_after > 0.0 && retry_after.is_finite());
                tracked.end = Some(End::Refused);
            }
            Action::Fail { call, reason } => {
                let tracked = self.in_flight(*call);
                assert!(
                    !tracked.has_not_run(),
                    "{call:?} fails although it is known not to have run"
                );
                tracked.end = Some(End::Failed(*reason));
            }
            Action::Abort { call, attempt } => {
                let tracked = self.calls.get_mut(call).expect("a call that arrived");
                let is_forwarded =
                    tracked.call.kind.is_streaming() && tracked.forwarded.contains(attempt);
                assert!(
                    !is_forwarded || tracked.end.is_some(),
                    "{call:?} has attempt {attempt} aborted while its stream is forwarded"
                );
                let is_new = tracked.aborted.insert(*attempt);
                assert!(
                    is_new && tracked.attempts[*attempt as usize].1.is_none(),
                    "{call:?} has attempt {attempt} aborted twice or after its outcome"
                );
            }
        }
    }

    fn in_flight(&mut self, id: CallId) -> &mut TrackedCall {
        let tracked = self.calls.get_mut(&id).expect("a call that arrived");
        assert_eq!(tracked.end, None, "{id:?} has an action after its end");
        tracked
    }

    fn check_send(&mut self, id: CallId, attempt: u32, replica: &Arc<str>, timeout: f64) {
        let now = self.now;
        let spec = self.listed.get(replica).expect("a registered replica");
        assert!(spec.ready, "{id:?} is sent to {replica}, which is draining");
        assert!(
            !self.misdirected.contains(replica),
            "{id:?} is sent to {replica}, which was misdirected and has no new record"
        );
        let tracked = self.in_flight(id);
        assert_eq!(attempt as usize, tracked.attempts.len());
        assert!(
            tracked.may_run_again() || tracked.has_not_run(),
            "{id:?} is not idempotent, may have run, and is sent again"
        );
        assert!(timeout > 0.0 && now + timeout <= tracked.call.deadline + 1e-9);
        let in_flight = (0..tracked.attempts.len())
            .filter(|n| tracked.is_in_flight(*n))
            .count();
        assert!(
            in_flight == 0 || (tracked.call.kind == CallKind::Idempotent && in_flight == 1),
            "{id:?} is sent while {in_flight} attempts are in flight"
        );
        tracked.attempts.push((replica.clone(), None));
        assert!(
            tracked.reached().len() <= tracked.call.max_replicas.max(1) as usize,
            "{id:?} reached more than {} replicas",
            tracked.call.max_replicas
        );
    }
}
