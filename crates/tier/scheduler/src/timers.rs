//! When to look at which call again.

use std::collections::BTreeSet;

use crate::call::CallId;

/// One time for each call at most, in microseconds so that they have an order.
#[derive(Debug, Default)]
pub(crate) struct Timers(BTreeSet<(i64, CallId)>);

const MICROSECONDS: f64 = 1e6;

/// Whether a time (seconds) has come, by the resolution of the timers.
pub(crate) fn has_come(now: f64, at: f64) -> bool {
    now >= at - 1.0 / MICROSECONDS
}

impl Timers {
    /// Sets the time (seconds) of a call anew; `timer` is where the caller keeps it.
    pub fn set(&mut self, timer: &mut Option<i64>, id: CallId, at: Option<f64>) {
        if let Some(old) = timer.take() {
            self.0.remove(&(old, id));
        }
        *timer = at.map(|at| (at * MICROSECONDS).ceil() as i64);
        self.0.extend(timer.map(|at| (at, id)));
    }

    /// The next time (seconds).
    pub fn next(&self) -> Option<f64> {
        self.0.first().map(|(at, _)| *at as f64 / MICROSECONDS)
    }

    /// The calls whose time has come, earliest first.
    pub fn due(&self, now: f64) -> Vec<CallId> {
        let now = (now * MICROSECONDS).round() as i64;
        self.0
            .iter()
            .take_while(|(at, _)| *at <= now)
            .map(|(_, id)| *id)
            .collect()
    }
}
