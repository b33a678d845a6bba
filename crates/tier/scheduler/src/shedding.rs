//! Load shedding: rejection of calls on arrival, and the `Retry-After` of rejected calls.

use crate::call::CallId;
use crate::mechanisms::{Mechanism, is_on};
use crate::placement::is_overloaded;
use crate::scheduler::Scheduler;

/// Lower bound of `Retry-After`, in seconds.
const MIN_RETRY_AFTER: f64 = 0.05;
/// `Retry-After` in seconds while no replica is usable.
const RETRY_AFTER_WITHOUT_REPLICA: f64 = 0.25;
/// Upper bound of `Retry-After`, as a share of the client's remaining time. Clients ignore a longer one.
const RETRY_AFTER_SHARE: f64 = 1.0 / 3.0;
/// Acceptable delay of a call of a lower priority, as a share of the one for the highest priority.
const LOWER_PRIORITY_SHARE: f64 = 0.5;

impl Scheduler {
    /// Returns the `Retry-After` in seconds if the call is rejected on arrival, or `None` if it is accepted.
    ///
    /// Calls are rejected only while every usable replica of the service is full. A call of a new program is
    /// rejected if the program would not end in time at the current delay, and a call of a program in progress if the
    /// response would miss the call's deadline.
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

    /// `Retry-After` in seconds of a rejected call: the estimated time until a replica has capacity, limited to
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
