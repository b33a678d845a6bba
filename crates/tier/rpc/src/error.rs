//! Failures of calls.

use snafu::Snafu;

/// Why a call has no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum CallError {
    /// No connection was established. The request was not sent.
    #[snafu(display("no connection came up"))]
    Unreachable,
    /// The connection ended before the response. The request may have been handled.
    #[snafu(display("the connection ended before the response"))]
    Broken,
    /// No response arrived in time. The request may have been handled.
    #[snafu(display("no response in time"))]
    TimedOut,
    /// The queue of the connection is full, the peer has no handler for the service, or its handler has
    /// rejected the request. The request was not handled.
    #[snafu(display("the request was refused"))]
    Refused,
    /// The body is longer than [`crate::MAX_BODY_BYTES`]. The request was not sent.
    #[snafu(display("the request is too long"))]
    TooLong,
}
