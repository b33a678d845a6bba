//! The states of a call in hand, and the only function that changes them.
//!
//! | state | meaning | event | next |
//! | --- | --- | --- | --- |
//! | `Deciding` | nothing is out, a decision is due | `Sent` | `Running` |
//! | | | `HeldBack` | `Held` |
//! | | | `PutOff` | `Waiting` |
//! | `Held` | waits in the queue of a replica | `Released` | `Deciding` |
//! | `Waiting` | no replica may take it for now | `Released` | `Deciding` |
//! | `Running` | at least one attempt is out | `Sent` | `Running` |
//! | | | `NothingOut` | `Deciding` |
//!
//! A call that ends is dropped in any state but `Held` (it is released first).

use snafu::Snafu;

use crate::fleet::ReplicaKey;

/// Where a call stands. Times are seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum CallState {
    Deciding,
    /// Held back from `replica`, in order of `deadline`.
    Held {
        replica: ReplicaKey,
        deadline: f64,
    },
    Waiting,
    Running,
}

/// What changes the state of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum CallEvent {
    Sent,
    HeldBack { replica: ReplicaKey, deadline: f64 },
    PutOff,
    Released,
    NothingOut,
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
            (CallState::Deciding, CallEvent::HeldBack { replica, deadline }) => {
                Ok(CallState::Held { replica, deadline })
            }
            (CallState::Deciding, CallEvent::PutOff) => Ok(CallState::Waiting),
            (CallState::Held { .. } | CallState::Waiting, CallEvent::Released) => {
                Ok(CallState::Deciding)
            }
            (CallState::Running, CallEvent::NothingOut) => Ok(CallState::Deciding),
            (state, event) => Err(UnexpectedEvent { state, event }),
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/call_state.rs"]
mod tests;
