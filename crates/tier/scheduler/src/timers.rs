//! Timers of calls.

use std::collections::BTreeSet;

use crate::call::CallId;

/// At most one timer for each call, in microseconds, which are ordered totally.
#[derive(Debug, Default)]
pub(crate) struct Timers(BTreeSet<(i64, CallId)>);

const MICROSECONDS: f64 = 1e6;

/// Whether the time `at` in seconds has been reached, within the resolution of the timers.
pub(crate) fn is_due(now: f64, at: f64) -> bool {
    now >= at - 1.0 / MICROSECONDS
}

impl Timers {
    /// Replaces the timer of a call by one at `at` seconds. `timer` is the caller's copy of it.
    pub(crate) fn set(&mut self, timer: &mut Option<i64>, id: CallId, at: Option<f64>) {
        if let Some(old) = timer.take() {
            self.0.remove(&(old, id));
        }
        *timer = at.map(|at| (at * MICROSECONDS).ceil() as i64);
        self.0.extend(timer.map(|at| (at, id)));
    }

    /// When the next timer is due, in seconds.
    pub(crate) fn next(&self) -> Option<f64> {
        self.0.first().map(|(at, _)| *at as f64 / MICROSECONDS)
    }

    /// The calls whose timers are due at `now`, earliest first.
    pub(crate) fn due(&self, now: f64) -> Vec<CallId> {
        let now = (now * MICROSECONDS).round() as i64;
        self.0
            .iter()
            .take_while(|(at, _)| *at <= now)
            .map(|(_, id)| *id)
            .collect()
    }
}
