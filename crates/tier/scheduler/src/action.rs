//! What the driver should do.

use std::sync::Arc;

use crate::call::CallId;

/// Why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailReason {
    /// Its time is over (504); it may have run.
    TimedOut,
    /// An attempt broke off and the call may not be repeated (502).
    MayHaveRun,
    /// The replica's own error answer is the final one: it is passed on unchanged.
    ReplicaError,
}

/// What to do now, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the call to this replica; the attempt ends after `timeout` seconds at the latest. The driver
    /// reports one [`crate::Outcome`] for it, unless the attempt is aborted or the call cancelled before.
    Send {
        call: CallId,
        /// Counts the attempts of a call from 0.
        attempt: u32,
        replica: Arc<str>,
        timeout: f64,
        /// Value of the `Priority` header, if it should be set.
        priority: Option<u8>,
    },
    /// Answer 503 with `Retry-After`: the call has not run and never will.
    Refuse { call: CallId, retry_after: f64 },
    /// Answer that the call failed.
    Fail { call: CallId, reason: FailReason },
    /// Drop an attempt whose answer is no longer wanted; no outcome is expected for it.
    Abort { call: CallId, attempt: u32 },
}
