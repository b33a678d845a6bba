//! Errors of calls.

use snafu::Snafu;

/// Reason why a call failed. The variants state whether the peer may have handled the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum CallError {
    /// The connection could not be established, or ended before the request was queued. The request was not sent.
    #[snafu(display("connection not established; request not sent"))]
    Unreachable,
    /// The connection ended before the response was received. The request may have been handled.
    #[snafu(display("connection ended before the response was received"))]
    Broken,
    /// The response was not received within the time-out of the call. The request may have been handled.
    #[snafu(display("response not received within the time-out"))]
    TimedOut,
    /// The queue of the connection is full or closed, the peer has no handler for the service, or the handler
    /// rejected the request. The request was not handled.
    #[snafu(display("request not queued, or refused by the peer"))]
    Refused,
    /// The body is longer than [`crate::MAX_BODY_BYTES`]. The request was not sent.
    #[snafu(display("request body exceeds the limit of {} bytes", crate::MAX_BODY_BYTES))]
    TooLong,
}
