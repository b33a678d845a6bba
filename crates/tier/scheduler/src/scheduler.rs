//! The state of the scheduler, and one function for each of its inputs.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use woadreach_routing::deadline_queue::DeadlineQueue;

use crate::action::Action;
use crate::active_call::{ActiveCall, AttemptState};
use crate::call::{Call, CallId, WeightedService};
use crate::decision_counts::{Decision, DecisionCounts, SchedulerLoad};
use crate::fleet::Fleet;
use crate::keys::{AttemptKey, ReplicaKey};
use crate::outcome::{Outcome, ServerLoad, StartedResponse};
use crate::programs::Programs;
use crate::routes::LatenciesByRoute;
use crate::service::Service;
use crate::spec::{ReplicaSpec, ServiceSpec};
use crate::timers::Timers;

/// The scheduler of one process; see the crate documentation.
pub struct Scheduler {
    pub(crate) random: oorandom::Rand64,
    /// Zone of this process.
    pub(crate) zone: String,
    /// Number of edge processes that share the connections and caches of the replicas, including this one.
    pub(crate) edges: usize,
    pub(crate) services: BTreeMap<Arc<str>, Service>,
    pub(crate) fleet: Fleet,
    pub(crate) routes: LatenciesByRoute,
    pub(crate) programs: Programs,
    pub(crate) calls: BTreeMap<CallId, ActiveCall>,
    pub(crate) queue: DeadlineQueue<ReplicaKey, CallId>,
    /// Calls in the state `Postponed`.
    pub(crate) postponed: BTreeSet<CallId>,
    pub(crate) timers: Timers,
    /// Queued and postponed calls that may be affected by a change of replicas or services, and are decided again on
    /// the next wake.
    pub(crate) needs_decision: BTreeSet<CallId>,
    pub(crate) counts: DecisionCounts,
}

impl Scheduler {
    /// Creates a scheduler without services and replicas. `seed` determines its random choices; `zone` is the zone of
    /// this process.
    pub fn new(seed: u64, zone: String) -> Self {
        Scheduler {
            random: oorandom::Rand64::new(u128::from(seed)),
            zone,
            edges: 1,
            services: BTreeMap::new(),
            fleet: Fleet::default(),
            routes: LatenciesByRoute::default(),
            programs: Programs::default(),
            calls: BTreeMap::new(),
            queue: DeadlineQueue::default(),
            postponed: BTreeSet::new(),
            timers: Timers::default(),
            needs_decision: BTreeSet::new(),
            counts: DecisionCounts::default(),
        }
    }

    /// Applies the complete list of configured services. `edges` is the number of edge processes that share the
    /// connections of each replica, including this one.
    pub fn update_services(&mut self, services: &[ServiceSpec], edges: usize) {
        self.edges = edges;
        let named: BTreeSet<&str> = services.iter().map(|spec| &*spec.name).collect();
        self.services.retain(|name, _| named.contains(&**name));
        for spec in services {
            match self.services.get_mut(&spec.name) {
                Some(service) => service.configure(spec, edges),
                None => {
                    self.services
                        .insert(spec.name.clone(), Service::new(spec, edges));
                }
            }
        }
        self.needs_decision.extend(self.postponed.iter());
    }

    /// Applies the names of all configured routes. Removes the latencies of other routes that have no unfinished calls.
    pub fn update_routes(&mut self, configured: &BTreeSet<&str>) {
        let in_flight = self.calls.values().map(|call| call.route).collect();
        self.routes.retain(configured, &in_flight);
    }

    /// Applies the complete list of registered replicas; a replica that is not in the list has departed. Affected calls
    /// are decided on the next wake.
    pub fn update_replicas(&mut self, now: f64, listed: &[ReplicaSpec]) {
        for departed in self.fleet.update(now, listed) {
            self.routes.remove_replica(departed);
        }
        self.needs_decision.extend(self.postponed.iter());
        for (id, call) in &self.calls {
            if call
                .queued_at()
                .is_some_and(|replica| !self.fleet.get(replica).is_some_and(|r| r.is_usable()))
            {
                self.needs_decision.insert(*id);
            }
        }
    }

    /// Accepts a call whose request has been received completely. Returns the actions to execute.
    pub fn submit(&mut self, now: f64, mut call: Call) -> Vec<Action> {
        let id = call.id;
        call.prefix = call.known_prefix();
        let service = self.choose_service(&call);
        let route = self.routes.key(&call.route, call.target_latency);
        self.programs.record_arrival(now, &call);
        if let Some(service) = self.services.get_mut(&service) {
            service.record_arrival(now, call.priority);
        }
        self.calls.insert(id, ActiveCall::new(call, route, service));
        let mut actions = Vec::new();
        match self.rejection_on_arrival(now, id) {
            Some(retry_after) => {
                self.counts.count(Decision::ShedOnArrival);
                self.refuse(now, id, retry_after, &mut actions);
            }
            None => self.decide(now, id, &mut actions),
        }
        actions
    }

    /// Records the outcome of an attempt. Returns the actions to execute; none if the call or attempt has ended before.
    pub fn attempt_ended(
        &mut self,
        now: f64,
        id: CallId,
        attempt: u32,
        outcome: Outcome,
        load: Option<ServerLoad>,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let Some(call) = self.calls.get_mut(&id) else {
            return actions;
        };
        let Some(sent) = call.attempts.get_mut(attempt as usize) else {
            return actions;
        };
        if sent.state != AttemptState::InFlight {
            return actions;
        }
        sent.state = AttemptState::Ended(outcome);
        let replica = sent.replica;
        let attempt = AttemptKey {
            call: id,
            index: attempt,
        };
        self.observe_attempt_end(now, attempt, outcome, load);
        if outcome == Outcome::Answered {
            let freed = self.abort_all(id, &mut actions);
            self.end(now, id, true);
            freed
                .into_iter()
                .for_each(|replica| self.release_queued(now, replica, &mut actions));
        } else {
            self.decide_after_failure(now, id, outcome, &mut actions);
        }
        self.release_queued(now, replica, &mut actions);
        actions
    }

    /// Records that the response to an attempt has started: the first event of a stream, or the head of any other
    /// response, was received. Returns whether the driver may forward it. Once it may, the scheduler does not abort the
    /// attempt of a stream before the call ends.
    pub fn response_started(
        &mut self,
        now: f64,
        id: CallId,
        attempt: u32,
        load: Option<ServerLoad>,
    ) -> StartedResponse {
        let Some(call) = self.calls.get_mut(&id) else {
            return StartedResponse::Discard;
        };
        let Some(sent) = call.attempts.get_mut(attempt as usize) else {
            return StartedResponse::Discard;
        };
        if sent.state != AttemptState::InFlight {
            self.counts.count(Decision::DiscardedResponse);
            return StartedResponse::Discard;
        }
        if !sent.response_started {
            sent.response_started = true;
            self.timers.set(&mut call.timer, id, None);
            let attempt = AttemptKey {
                call: id,
                index: attempt,
            };
            self.observe_response_start(now, attempt, load);
        }
        StartedResponse::Forward
    }

    /// Records that the driver has ended a call: its client has disconnected, its deadline has passed, or its response
    /// was truncated. Aborts its attempts, for which the driver reports no outcomes. Returns the actions to execute;
    /// none if the scheduler has ended the call before.
    pub fn call_ended(&mut self, now: f64, id: CallId) -> Vec<Action> {
        let mut actions = Vec::new();
        if !self.calls.contains_key(&id) {
            return actions;
        }
        self.record_late_attempts(now, id);
        let released = self.abort_all(id, &mut actions);
        self.end(now, id, false);
        for replica in released {
            self.release_queued(now, replica, &mut actions);
        }
        actions
    }

    /// Makes the decisions that are due at `now`, in seconds. Returns the actions to execute.
    pub fn wake(&mut self, now: f64) -> Vec<Action> {
        let mut actions = Vec::new();
        let needs_decision = std::mem::take(&mut self.needs_decision);
        for id in needs_decision.into_iter().chain(self.timers.due(now)) {
            self.decide(now, id, &mut actions);
        }
        actions
    }

    /// Time in seconds at which [`wake`](Self::wake) has to be called unless another input comes first; `None` if no
    /// decision is scheduled.
    pub fn next_wake(&self, now: f64) -> Option<f64> {
        if self.needs_decision.is_empty() {
            self.timers.next()
        } else {
            Some(now)
        }
    }

    /// Number of decisions by kind since the scheduler was created.
    pub fn decision_counts(&self) -> DecisionCounts {
        self.counts
    }

    /// Current numbers of calls and ejected replicas.
    pub fn load(&self) -> SchedulerLoad {
        let is_queued = |call: &&ActiveCall| call.queued_at().is_some();
        SchedulerLoad {
            calls: self.calls.len(),
            queued: self.calls.values().filter(is_queued).count(),
            postponed: self.postponed.len(),
            ejected_replicas: self.fleet.ejected(),
        }
    }

    /// Draws one of the call's services at random by weight; an empty name if the call has none.
    fn choose_service(&mut self, call: &Call) -> Arc<str> {
        let total: u64 = call
            .services
            .iter()
            .map(|weighted| u64::from(weighted.weight))
            .sum();
        let mut drawn = if total > 0 {
            self.random.rand_range(0..total)
        } else {
            0
        };
        for WeightedService { service, weight } in &call.services {
            if drawn < u64::from(*weight) {
                return service.clone();
            }
            drawn -= u64::from(*weight);
        }
        call.services
            .first()
            .map(|weighted| weighted.service.clone())
            .unwrap_or_else(|| Arc::from(""))
    }
}
