//! How a call can fail.

use snafu::Snafu;

/// A call without a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum CallError {
    /// No connection came up: the request has not left.
    #[snafu(display("no connection came up"))]
    Unreachable,
    /// The connection ended before the response came: the request may have been handled.
    #[snafu(display("the connection ended before the response"))]
    Broken,
    /// No response in time: the request may have been handled.
    #[snafu(display("no response in time"))]
    TimedOut,
    /// The other side has no handler for the service, or the queue to it is full: it was not handled.
    #[snafu(display("the request was refused"))]
    Refused,
    /// The body is longer than a frame may be: the request has not left.
    #[snafu(display("the request is too long"))]
    TooLong,
}
