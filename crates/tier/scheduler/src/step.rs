//! Queuing deadlines, which the calls of one step of a program share.

use std::collections::BTreeMap;

use crate::active_call::{ActiveCall, AttemptState};
use crate::call::CallId;
use crate::keys::{ReplicaKey, RouteKey};
use crate::mechanisms::{Mechanism, is_on};
use crate::programs::Programs;
use crate::routes::LatenciesByRoute;

/// Computes queuing deadlines from the state of the scheduler at one time.
pub(crate) struct QueuingDeadlines<'a> {
    now: f64,
    calls: &'a BTreeMap<CallId, ActiveCall>,
    programs: &'a Programs,
    routes: &'a LatenciesByRoute,
}

impl<'a> QueuingDeadlines<'a> {
    pub(crate) fn new(
        now: f64,
        calls: &'a BTreeMap<CallId, ActiveCall>,
        programs: &'a Programs,
        routes: &'a LatenciesByRoute,
    ) -> Self {
        QueuingDeadlines {
            now,
            calls,
            programs,
            routes,
        }
    }

    /// The queuing deadline, in seconds, of `call` at `replica`: the time at which the calls of its step must start for
    /// all to be answered within the latency target of the step.
    ///
    /// The deadline is the start of the step plus its latency target, less the p-quantile of the product of the
    /// unloaded latency distributions of the replicas of its calls (DSSP paper, queuing deadline). Calls of the step
    /// without a replica count with the average replica.
    ///
    /// Calls of different routes have separate distributions: for the k' calls of one route among k, the quantile is
    /// p^(k'/k).
    pub(crate) fn deadline_for(&self, call: &ActiveCall, replica: ReplicaKey) -> f64 {
        if !is_on(Mechanism::DeadlineOrder) {
            return call.request.arrived_at;
        }
        let mut replicas: BTreeMap<RouteKey, Vec<Option<ReplicaKey>>> = BTreeMap::new();
        let ids = self.programs.step_calls(&call.request);
        let size = ids.len();
        for id in ids {
            let Some(other) = self.calls.get(&id) else {
                continue;
            };
            let replica = if id == call.request.id {
                Some(replica)
            } else {
                replica_of(other)
            };
            replicas.entry(other.route).or_default().push(replica);
        }
        let call_quantile = self.routes.part_budget.part_quantile(size);
        let quantiles = replicas
            .iter()
            .map(|(route, at)| self.quantile(*route, at, call_quantile));
        let unloaded = quantiles.fold(0.0, f64::max);
        self.programs.step_started(&call.request)
            + self.programs.latency_target(&call.request, unloaded)
            - unloaded
    }

    fn quantile(
        &self,
        route: RouteKey,
        replicas: &[Option<ReplicaKey>],
        call_quantile: f64,
    ) -> f64 {
        let Some(latencies) = self.routes.get(route).map(|route| &route.unloaded) else {
            return 0.0;
        };
        let replicas: Vec<Option<&ReplicaKey>> = replicas.iter().map(Option::as_ref).collect();
        latencies.product_quantile(
            self.now,
            &replicas,
            call_quantile.powi(replicas.len() as i32),
        )
    }
}

/// The replica at which a call is in flight or queued; the latest one if a hedge is in flight.
fn replica_of(call: &ActiveCall) -> Option<ReplicaKey> {
    let in_flight = call
        .attempts
        .iter()
        .rev()
        .find(|attempt| attempt.state == AttemptState::InFlight);
    in_flight
        .map(|attempt| attempt.replica)
        .or(call.queued_at())
}
