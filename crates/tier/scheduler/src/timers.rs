//! Timers of calls, and the resolution of time comparisons.

use std::collections::BTreeSet;

use crate::call::CallId;

/// At most one timer for each call. Times are microseconds, since integers have a total order.
#[derive(Debug, Default)]
pub(crate) struct Timers(BTreeSet<(i64, CallId)>);

const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// Whether the time `at` has been reached, within the resolution of the timers. Both times are in seconds.
pub(crate) fn is_due(now: f64, at: f64) -> bool {
    now >= at - 1.0 / MICROSECONDS_PER_SECOND
}

impl Timers {
    /// Replaces the timer of a call by one at `at`, in seconds; `None` only removes it. `timer` is the call's copy of
    /// its timer, and is updated.
    pub(crate) fn set(&mut self, timer: &mut Option<i64>, id: CallId, at: Option<f64>) {
        if let Some(old) = timer.take() {
            self.0.remove(&(old, id));
        }
        *timer = at.map(|at| (at * MICROSECONDS_PER_SECOND).ceil() as i64);
        self.0.extend(timer.map(|at| (at, id)));
    }

    /// Time of the next timer, in seconds; `None` if no timer is set.
    pub(crate) fn next(&self) -> Option<f64> {
        self.0
            .first()
            .map(|(at, _)| *at as f64 / MICROSECONDS_PER_SECOND)
    }

    /// Calls whose timers are due at `now`, earliest first. Their timers stay set.
    pub(crate) fn due(&self, now: f64) -> Vec<CallId> {
        let now = (now * MICROSECONDS_PER_SECOND).round() as i64;
        self.0
            .iter()
            .take_while(|(at, _)| *at <= now)
            .map(|(_, id)| *id)
            .collect()
    }
}
