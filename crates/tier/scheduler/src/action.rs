//! Actions that the scheduler requests of its driver.

use std::sync::Arc;

use crate::call::CallId;

/// Why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailReason {
    /// Its time is up (504). It may have run.
    TimedOut,
    /// An attempt was interrupted, and the call is not idempotent (502).
    MayHaveRun,
    /// The replica's own error response is final, and is forwarded unchanged.
    ReplicaError,
}

/// What the driver has to do, in the order of the list.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the call to a replica. The driver reports one [`crate::Outcome`] of the attempt, unless the
    /// attempt is aborted or the call ended before.
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
    /// Reject the call with 503 and `Retry-After`. It has not run and never will.
    Refuse {
        /// The call to reject.
        call: CallId,
        /// Value of `Retry-After` in seconds.
        retry_after: f64,
    },
    /// Answer that the call has failed.
    Fail {
        /// The call that has failed.
        call: CallId,
        /// Why it has failed.
        reason: FailReason,
    },
    /// Abort an attempt whose response is no longer needed. No outcome is expected of it.
    Abort {
        /// The call of the attempt.
        call: CallId,
        /// Index of the attempt.
        attempt: u32,
    },
}
