//! States of a call in flight, and the only function that changes them.
//!
//! | state | meaning | event | next |
//! | --- | --- | --- | --- |
//! | `Deciding` | no attempt is in flight, a decision is due | `Sent` | `Running` |
//! | | | `Enqueued` | `Queued` |
//! | | | `Postponed` | `Postponed` |
//! | `Queued` | waits in the queue of a replica | `Released` | `Deciding` |
//! | `Postponed` | no replica may receive it for now | `Released` | `Deciding` |
//! | `Running` | at least one attempt is in flight | `Sent` | `Running` |
//! | | | `AttemptsEnded` | `Deciding` |
//!
//! A call may end in any state except `Queued`, from which it is released first.

use snafu::Snafu;

use crate::keys::ReplicaKey;

/// State of a call. Times are seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum CallState {
    /// No attempt is in flight, and a decision is due.
    Deciding,
    /// Waits in the queue of `replica`, which is ordered by `deadline`.
    Queued { replica: ReplicaKey, deadline: f64 },
    /// Waits until some replica may receive it.
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

/// An event that the table does not allow in a state.
#[derive(Debug, PartialEq, Snafu)]
#[snafu(display("a call in state {state:?} can't take the event {event:?}"))]
pub(crate) struct UnexpectedEvent {
    state: CallState,
    event: CallEvent,
}

impl CallState {
    /// The state after `event`.
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
