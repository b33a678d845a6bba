//! Load shedding: which calls are rejected on arrival, and when their clients should retry.

use crate::call::CallId;
use crate::mechanisms::{Mechanism, is_on};
use crate::placement::is_overloaded;
use crate::scheduler::Scheduler;

/// Lower bound of `Retry-After`, in seconds.
const MIN_RETRY_AFTER: f64 = 0.05;
/// `Retry-After` in seconds while no replica is usable.
const RETRY_AFTER_WITHOUT_REPLICA: f64 = 0.25;
/// Largest `Retry-After` as a share of the client's remaining time. Clients ignore a longer one.
const RETRY_AFTER_SHARE: f64 = 1.0 / 3.0;
/// A call of a lower priority is rejected at this share of the delay that is acceptable for the highest.
const LOWER_PRIORITY_SHARE: f64 = 0.5;

impl Scheduler {
    /// The `Retry-After` in seconds if the call is rejected on arrival, or `None` if it is accepted.
    ///
    /// Calls are rejected only while every replica of the service is full: a call of a new program if the
    /// program would not end in time at the present delay, and a call of a program in progress if its client
    /// would give up before the response.
    pub(crate) fn rejection_on_arrival(&self, now: f64, id: CallId) -> Option<f64> {
        let call = self.calls.get(&id)?;
        if !is_on(Mechanism::SheddingOnArrival) || !is_overloaded(now, &self.fleet, &call.service) {
            return None;
        }
        let route = self.routes.get(call.route)?;
        let k = self.programs.step_size(&call.request);
        let tail = self.routes.tail(now, call.route, None, k);
        let delay = (route.recent_median() - tail).max(0.0);
        let max_delay = call.request.deadline - now - tail;
        let acceptable = if self.programs.is_in_progress(&call.request) {
            max_delay
        } else {
            let slack = self
                .programs
                .slack(now, &call.request)
                .unwrap_or(call.request.target_latency);
            max_delay.min(slack.max(0.0))
        };
        let is_highest_priority = self
            .services
            .get(&call.service)
            .is_none_or(|service| service.is_highest_priority(now, call.request.priority));
        let acceptable = if is_highest_priority {
            acceptable
        } else {
            acceptable * LOWER_PRIORITY_SHARE
        };
        (delay > acceptable).then(|| self.retry_after_for(now, id))
    }

    /// The `Retry-After` in seconds of a rejected call: when a replica probably has capacity, within
    /// [`RETRY_AFTER_SHARE`] of the client's remaining time.
    pub(crate) fn retry_after_for(&self, now: f64, id: CallId) -> f64 {
        let Some(call) = self.calls.get(&id) else {
            return RETRY_AFTER_WITHOUT_REPLICA;
        };
        let longest = (call.request.deadline - now).max(0.0) * RETRY_AFTER_SHARE;
        let recent_median = self
            .routes
            .get(call.route)
            .map_or(0.0, |route| route.recent_median());
        let backoff = (call.not_before - now).max(0.0);
        let reachable = self.fleet.usable(&call.service).next().is_some();
        let expected = if reachable {
            recent_median.max(backoff)
        } else {
            RETRY_AFTER_WITHOUT_REPLICA
        };
        expected.min(longest).max(MIN_RETRY_AFTER)
    }
}
