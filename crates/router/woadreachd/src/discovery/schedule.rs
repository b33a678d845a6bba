//! Decides when discovery is called, for what, and when a call is replaced by a new one. No I/O and no clock:
//! the time comes in, the calls to open come out. Must never know what an answer holds.
//!
//! # Why several calls
//!
//! The agent answers at once, or not at all: a call made while discovery is down may be answered at its
//! return, or never, and nothing tells the two apart. What the agent has then counts as told at once, so that
//! within the drain grace of its return either a watch that has waited has told it, or a call made after the
//! return. Up to four calls are open, the first whole answer counts, and then all others are closed:
//!
//! | slot | request | opened after | replaced after | answers an agent that |
//! | --- | --- | --- | --- | --- |
//! | `First` | list, or watch | 0 | never: the turn ends after `PATIENT` | needs long, or answers first calls only |
//! | `Second` | list | one interval | `HUNG` | needs up to `HUNG` and has lost the first call |
//! | `Latest` | list | two intervals | one interval | has lost all calls made before its return |
//! | `Resume` | watch | two intervals | never | keeps waiting watches and pushes at its return |
//!
//! `First` and `Latest` have descriptors of their own. The interval is half of the drain grace: the other
//! half is left for the answer and for the core's round.

/// A call that has not been answered in whole for so long has another opened beside it.
pub const HUNG: f64 = 1.2;
/// The longest that a call is waited for while others are tried beside it: an agent that needs longer to put
/// its list together is of no use.
const PATIENT: f64 = 10.0;
/// Between two calls of which the first failed: the agent is on this machine, so a call is cheap.
pub const RETRY: f64 = 0.2;
/// Bounds on the interval, whatever the drain grace: below the first a core would spend itself on calls.
const SHORTEST: f64 = 0.05;

/// What is asked of the agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Request {
    WholeList,
    /// Changes after the version that is held.
    Watch,
}

/// What would bring the list that is held up to date.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// Changes after the version that is held; nothing is known to be missed.
    Changes,
    /// A whole list, or a watch that proves by its first line that it is alive.
    Resume,
    /// A whole list and nothing else: what is held may be wrong.
    WholeList,
}

/// One of the calls that may be open at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Slot {
    First,
    Second,
    Latest,
    Resume,
}

impl Slot {
    pub const ALL: [Slot; 4] = [Slot::First, Slot::Second, Slot::Latest, Slot::Resume];

    /// Opened only where a descriptor is free: the others keep the drain grace without it.
    pub fn is_spare(self) -> bool {
        matches!(self, Slot::Second | Slot::Resume)
    }
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Open a call in this slot, in place of the one that it holds.
    Open(Slot, Request),
    /// Nothing before this time.
    WaitUntil(f64),
    /// The agent is silent: all calls are closed.
    GiveUp,
}

#[derive(Clone, Copy)]
struct Call {
    request: Request,
    /// How long it may stay open before a new one takes its place; none: to the end of the turn.
    lifetime: Option<f64>,
    open: bool,
    /// When it is next opened.
    due: f64,
}

/// The calls of one turn: from the first call to the first whole answer.
pub struct Schedule {
    calls: [Option<Call>; 4],
    gives_up: f64,
    retry: f64,
}

/// How often a new call is made while none is answered, in seconds.
pub fn interval(drain_grace: f64) -> f64 {
    (drain_grace / 2.0).clamp(SHORTEST, HUNG)
}

impl Schedule {
    /// `interval` in seconds, as the function of that name gives it.
    pub fn new(now: f64, need: Need, interval: f64) -> Self {
        let call = |request, lifetime, after: f64| {
            Some(Call {
                request,
                lifetime,
                open: false,
                due: now + after * interval,
            })
        };
        let first = if need == Need::Changes {
            Request::Watch
        } else {
            Request::WholeList
        };
        let resume = (need == Need::Resume)
            .then(|| call(Request::Watch, None, 2.0))
            .flatten();
        Schedule {
            calls: [
                call(first, None, 0.0),
                call(Request::WholeList, Some(HUNG), 1.0),
                call(Request::WholeList, Some(interval), 2.0),
                resume,
            ],
            gives_up: now + PATIENT,
            retry: RETRY.min(interval),
        }
    }

    /// To be asked again, until it says to wait.
    pub fn next(&mut self, now: f64) -> Action {
        if now >= self.gives_up {
            return Action::GiveUp;
        }
        for (slot, call) in Slot::ALL.into_iter().zip(&mut self.calls) {
            if let Some(call) = call.as_mut().filter(|call| call.due <= now) {
                call.open = true;
                call.due = call
                    .lifetime
                    .map_or(f64::INFINITY, |lifetime| now + lifetime);
                return Action::Open(slot, call.request);
            }
        }
        let due = self.calls.iter().flatten().map(|call| call.due);
        Action::WaitUntil(due.fold(self.gives_up, f64::min))
    }

    /// The call in this slot has failed. False if no other is open: the turn has failed with it.
    pub fn failed(&mut self, now: f64, slot: Slot) -> bool {
        if let Some(call) = &mut self.calls[slot as usize] {
            call.open = false;
            call.due = now + self.retry;
        }
        self.calls.iter().flatten().any(|call| call.open)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/schedule.rs"]
mod tests;
