//! Load shedding: which calls are refused as soon as they arrive, and when their clients should come back.

use crate::admission::Admission;
use crate::call::CallId;
use crate::placement::is_overloaded;

/// Shortest advice (seconds).
const MIN_RETRY_AFTER: f64 = 0.05;
/// Advice where no replica is known, or none could be reached.
const RETRY_AFTER_WITHOUT_REPLICA: f64 = 0.25;
/// Clients heed an advice up to this share of the time that they have left.
const RETRY_AFTER_SHARE: f64 = 1.0 / 3.0;
/// A less urgent call is refused at this share of the delay that the most urgent of its service may have.
const LESS_URGENT_SHARE: f64 = 0.5;

impl Admission {
    /// Whether the call is refused at once, with the advice for its client.
    ///
    /// Only while every replica of its service is full: where a new program would not end in time for the
    /// delay seen, or a call of a program under way would not be answered before its client gives up.
    pub(crate) fn rejection_on_arrival(&self, now: f64, id: CallId) -> Option<f64> {
        let call = self.calls.get(&id)?;
        if !is_overloaded(now, &self.fleet, &call.service) {
            return None;
        }
        let route = self.routes.get(call.route)?;
        let k = self.programs.step_size(&call.call);
        let tail = self.routes.tail(now, call.route, None, k);
        let delay = (route.typical() - tail).max(0.0);
        let before_the_end = call.call.give_up_at - now - tail;
        let bearable = if self.programs.is_in_progress(&call.call) {
            before_the_end
        } else {
            let spare = self
                .programs
                .slack(now, &call.call)
                .unwrap_or(call.call.target_latency);
            before_the_end.min(spare.max(0.0))
        };
        let urgent = self
            .services
            .get(&call.service)
            .is_none_or(|s| s.is_most_urgent(now, call.call.priority));
        let bearable = if urgent {
            bearable
        } else {
            bearable * LESS_URGENT_SHARE
        };
        (delay > bearable).then(|| self.retry_after_for(now, id))
    }

    /// When a refused client should come back: when a place is likely to be free, within what it heeds.
    pub(crate) fn retry_after_for(&self, now: f64, id: CallId) -> f64 {
        let Some(call) = self.calls.get(&id) else {
            return RETRY_AFTER_WITHOUT_REPLICA;
        };
        let heeded = (call.call.give_up_at - now).max(0.0) * RETRY_AFTER_SHARE;
        let typical = self
            .routes
            .get(call.route)
            .map_or(0.0, |route| route.typical());
        let asked = (call.not_before - now).max(0.0);
        let reachable = self.fleet.usable(&call.service).next().is_some();
        let free = if reachable {
            typical.max(asked)
        } else {
            RETRY_AFTER_WITHOUT_REPLICA
        };
        free.min(heeded).max(MIN_RETRY_AFTER)
    }
}
