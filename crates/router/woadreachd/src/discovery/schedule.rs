//! Decides when discovery is called, for what, and when a call is replaced by a new one. No I/O and no clock:
//! the time comes in, the calls to open come out.
//!
//! # Why several calls
//!
//! The agent answers at once, or not at all: a call made while discovery is down may be answered at its
//! return, or never, and nothing shows which. What the agent has then counts as received at once, so that
//! within the drain grace of its return it must be received, by a watch that has waited or by a call made
//! after the return. Up to four calls are open, the first complete answer counts, and then all others are
//! closed. A turn without an answer ends after `TURN_TIMEOUT`.
//!
//! | slot | request | opened after | replaced after | serves with an agent that |
//! | --- | --- | --- | --- | --- |
//! | `First` | list, or watch | 0 | never | needs long, or answers first calls only |
//! | `Second` | list | one interval | `HUNG_CALL_TIMEOUT` | needs up to that long and has lost the first call |
//! | `Latest` | list | two intervals | one interval | has lost all calls made before its return |
//! | `Resume` | watch | two intervals | never | keeps waiting watches and pushes at its return |
//!
//! `First` and `Latest` have descriptors of their own. The interval is half of the drain grace: the other
//! half is left for the answer and for the core's pass.

/// Seconds without a complete answer after which a call has another opened beside it.
pub(crate) const HUNG_CALL_TIMEOUT: f64 = 1.2;
/// Longest wait for a call while others are made beside it, in seconds: an agent that needs longer to put its
/// list together is of no use.
const TURN_TIMEOUT: f64 = 10.0;
/// Seconds between two calls of which the first failed: the agent is on this machine, so a call is cheap.
pub(super) const RETRY_INTERVAL: f64 = 0.2;
/// Shortest interval, whatever the drain grace, in seconds: below it a core would spend itself on calls.
const MIN_INTERVAL: f64 = 0.05;

/// What is asked of the agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Request {
    /// The complete list.
    FullList,
    /// Changes after the version in force.
    Watch,
}

/// What would bring the list in force up to date.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Need {
    /// Changes after the version in force; nothing is known to be missed.
    Changes,
    /// A complete list, or a watch that proves by its first line that it is alive.
    Resume,
    /// A complete list and nothing else: the one in force may be wrong.
    FullList,
}

/// One of the calls that may be open at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Slot {
    First,
    Second,
    Latest,
    Resume,
}

impl Slot {
    pub(super) const ALL: [Slot; 4] = [Slot::First, Slot::Second, Slot::Latest, Slot::Resume];

    /// Whether it is opened only where a descriptor is free: the others keep the drain grace without it.
    pub(super) fn is_optional(self) -> bool {
        matches!(self, Slot::Second | Slot::Resume)
    }
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Action {
    /// Open a call in this slot, in place of the one that is there.
    Open(Slot, Request),
    /// Nothing before this time.
    WaitUntil(f64),
    /// The agent is unresponsive: all calls are closed.
    GiveUp,
}

#[derive(Clone, Copy)]
struct Call {
    request: Request,
    /// How long it may stay open before a new one takes its place; `None`: to the end of the turn.
    lifetime_s: Option<f64>,
    /// Whether it waits for its answer.
    open: bool,
    /// When it is next opened; infinite if it is not opened anew in this turn.
    due: f64,
}

/// The calls of one turn: from the first call to the first complete answer.
pub(super) struct Schedule {
    calls: [Option<Call>; 4],
    /// When the turn ends without an answer.
    deadline: f64,
    /// Seconds after which a call that has failed is made anew.
    retry_s: f64,
}

/// How often a new call is made while none is answered, in seconds.
pub(crate) fn call_interval(drain_grace_s: f64) -> f64 {
    (drain_grace_s / 2.0).clamp(MIN_INTERVAL, HUNG_CALL_TIMEOUT)
}

impl Schedule {
    /// The calls of a turn that begins `now`; `interval_s` as [`call_interval`] gives it.
    pub(super) fn new(now: f64, need: Need, interval_s: f64) -> Self {
        let call = |request, lifetime_s, intervals: f64| {
            Some(Call {
                request,
                lifetime_s,
                open: false,
                due: now + intervals * interval_s,
            })
        };
        let first = if need == Need::Changes {
            Request::Watch
        } else {
            Request::FullList
        };
        let resume = (need == Need::Resume)
            .then(|| call(Request::Watch, None, 2.0))
            .flatten();
        Schedule {
            calls: [
                call(first, None, 0.0),
                call(Request::FullList, Some(HUNG_CALL_TIMEOUT), 1.0),
                call(Request::FullList, Some(interval_s), 2.0),
                resume,
            ],
            deadline: now + TURN_TIMEOUT,
            retry_s: RETRY_INTERVAL.min(interval_s),
        }
    }

    /// What to do next; called again until it says to wait.
    pub(super) fn next(&mut self, now: f64) -> Action {
        if now >= self.deadline {
            return Action::GiveUp;
        }
        for (slot, call) in Slot::ALL.into_iter().zip(&mut self.calls) {
            if let Some(call) = call.as_mut().filter(|call| call.due <= now) {
                call.open = true;
                call.due = call
                    .lifetime_s
                    .map_or(f64::INFINITY, |lifetime_s| now + lifetime_s);
                return Action::Open(slot, call.request);
            }
        }
        let due = self.calls.iter().flatten().map(|call| call.due);
        Action::WaitUntil(due.fold(self.deadline, f64::min))
    }

    /// The call in this slot has failed. False if no other is open: the turn has failed with it.
    pub(super) fn failed(&mut self, now: f64, slot: Slot) -> bool {
        if let Some(call) = &mut self.calls[slot as usize] {
            call.open = false;
            call.due = now + self.retry_s;
        }
        self.calls.iter().flatten().any(|call| call.open)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/schedule.rs"]
mod tests;
