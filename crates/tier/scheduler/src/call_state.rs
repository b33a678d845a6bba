//! The states of a call in hand, and the only function that changes them.
//!
//! | state | meaning | event | next |
//! | --- | --- | --- | --- |
//! | `Deciding` | nothing is out, a decision is due | `Sent` | `Running` |
//! | | | `Enqueued` | `Queued` |
//! | | | `Postponed` | `Unplaced` |
//! | `Queued` | waits in the queue of a replica | `Released` | `Deciding` |
//! | `Unplaced` | no replica may take it for now | `Released` | `Deciding` |
//! | `Running` | at least one attempt is out | `Sent` | `Running` |
//! | | | `AttemptsEnded` | `Deciding` |
//!
//! A call that ends is dropped in any state but `Queued` (it is released first).

use snafu::Snafu;

use crate::keys::ReplicaKey;

/// Where a call stands. Times are seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum CallState {
    Deciding,
    /// Held back from `replica`, in order of `deadline`.
    Queued {
        replica: ReplicaKey,
        deadline: f64,
    },
    Unplaced,
    Running,
}

/// What changes the state of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum CallEvent {
    Sent,
    Enqueued { replica: ReplicaKey, deadline: f64 },
    Postponed,
    Released,
    AttemptsEnded,
}

/// A change that the table does not name.
#[derive(Debug, PartialEq, Snafu)]
#[snafu(display("a call in state {state:?} can't take the event {event:?}"))]
pub(crate) struct UnexpectedEvent {
    state: CallState,
    event: CallEvent,
}

impl CallState {
    /// The state after `event`.
    pub fn after(self, event: CallEvent) -> Result<CallState, UnexpectedEvent> {
        match (self, event) {
            (CallState::Deciding | CallState::Running, CallEvent::Sent) => Ok(CallState::Running),
            (CallState::Deciding, CallEvent::Enqueued { replica, deadline }) => {
                Ok(CallState::Queued { replica, deadline })
            }
            (CallState::Deciding, CallEvent::Postponed) => Ok(CallState::Unplaced),
            (CallState::Queued { .. } | CallState::Unplaced, CallEvent::Released) => {
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
