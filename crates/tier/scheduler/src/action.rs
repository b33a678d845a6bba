//! Actions that the driver has to execute.

use std::sync::Arc;

use crate::call::CallId;

/// Why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailReason {
    /// The deadline of the call or the time-out of an attempt has passed (504). The call may have run.
    TimedOut,
    /// An attempt may have run, and the call cannot be sent again (502).
    MayHaveRun,
    /// The replica answered with an error of its own, which the driver forwards unchanged.
    ReplicaError,
}

/// One action for the driver. Actions are executed in the order in which they are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the call to a replica. The driver reports one [`crate::Outcome`] of the attempt, unless the attempt is
    /// aborted or the call ends first.
    Send {
        /// The call to send.
        call: CallId,
        /// Index of the attempt among those of the call, from 0.
        attempt: u32,
        /// Identifier of the replica.
        replica: Arc<str>,
        /// Time-out of the attempt in seconds.
        timeout: f64,
    },
    /// Reject the call with 503 and `Retry-After`. The call has not run and never will.
    Refuse {
        /// The call to reject.
        call: CallId,
        /// Value of `Retry-After` in seconds.
        retry_after: f64,
    },
    /// Respond that the call has failed.
    Fail {
        /// The call that has failed.
        call: CallId,
        /// Why the call has failed.
        reason: FailReason,
    },
    /// Abort an attempt whose response is no longer needed. The driver reports no outcome of it.
    Abort {
        /// The call that the attempt belongs to.
        call: CallId,
        /// Index of the attempt among those of the call, from 0.
        attempt: u32,
    },
}
