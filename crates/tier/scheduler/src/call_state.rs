//! States of a call, and the function that computes each transition.
//!
//! | state | meaning | event | next |
//! | --- | --- | --- | --- |
//! | `Deciding` | no attempt is in flight; a decision is due | `Sent` | `Running` |
//! | | | `Enqueued` | `Queued` |
//! | | | `Postponed` | `Postponed` |
//! | `Queued` | in the queue of a replica | `Released` | `Deciding` |
//! | `Postponed` | no replica may receive the call at present | `Released` | `Deciding` |
//! | `Running` | at least one attempt is in flight | `Sent` | `Running` |
//! | | | `AttemptsEnded` | `Deciding` |
//!
//! A call is released from `Queued` or `Postponed` before it ends. It may end in either of the other states.

use snafu::Snafu;

use crate::keys::ReplicaKey;

/// State of a call. Times are seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum CallState {
    /// No attempt is in flight, and a decision is due.
    Deciding,
    /// In the queue of `replica`, which is ordered by `deadline`.
    Queued { replica: ReplicaKey, deadline: f64 },
    /// No replica may receive the call at present.
    Postponed,
    /// At least one attempt is in flight.
    Running,
}

/// An event that changes the state of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum CallEvent {
    Sent,
    Enqueued { replica: ReplicaKey, deadline: f64 },
    Postponed,
    Released,
    AttemptsEnded,
}

/// Error: the transition table has no entry for this event in this state.
#[derive(Debug, PartialEq, Snafu)]
#[snafu(display("no transition of a call from state {state:?} on event {event:?}"))]
pub(crate) struct UnexpectedEvent {
    state: CallState,
    event: CallEvent,
}

impl CallState {
    /// Returns the state after `event`.
    pub(crate) fn after(self, event: CallEvent) -> Result<CallState, UnexpectedEvent> {
        match (self, event) {
            (CallState::Deciding | CallState::Running, CallEvent::Sent) => Ok(CallState::Running),
            (CallState::Deciding, CallEvent::Enqueued { replica, deadline }) => {
                Ok(CallState::Queued { replica, deadline })
            }
            (CallState::Deciding, CallEvent::Postponed) => Ok(CallState::Postponed),
            (CallState::Queued { .. } | CallState::Postponed, CallEvent::Released) => {
                Ok(CallState::Deciding)
            }
            (CallState::Running, CallEvent::AttemptsEnded) => Ok(CallState::Deciding),
            (state, event) => Err(UnexpectedEvent { state, event }),
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/call_state.rs"]
mod tests;
