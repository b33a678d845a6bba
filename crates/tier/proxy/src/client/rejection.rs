//! Requests that are answered before they get a task, and the response to each.

use crate::client::headers::HeaderError;
use crate::client::local_response::{text_response, unavailable_response, with_connection_close};
use crate::client::response_body::ResponseBody;
use http::{Response, StatusCode};
use snafu::Snafu;

/// `Retry-After` of a response while nothing can be served yet, in seconds.
const RETRY_AFTER_NOT_READY: f64 = 0.25;

/// Why a request is rejected before it is offered to the scheduler. None of these has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum Rejection {
    /// 400: a header is missing or malformed.
    #[snafu(display("{source}"))]
    Header {
        /// The header and what is wrong with it.
        source: HeaderError,
    },
    /// 400: the request target has no absolute path, or the method is `CONNECT`.
    #[snafu(display("the request's target is no path"))]
    Target,
    /// 400: the body's framing is broken.
    #[snafu(display("the request's body is malformed"))]
    Body,
    /// 404: no route matches host and path.
    #[snafu(display("no route leads there"))]
    NoRoute,
    /// 408: the body stalled, or was not complete at the request's deadline.
    #[snafu(display("the request's body stopped"))]
    BodyTimeout,
    /// 413: the body exceeds the configured limit.
    #[snafu(display("the request's body is too long"))]
    BodyTooLong,
    /// 505: a streaming route over HTTP/1.0, where a client cannot distinguish a truncated body from a complete one.
    #[snafu(display("a stream needs HTTP/1.1: before it, a body that is cut short looks whole"))]
    UnsupportedVersion,
    /// 503: no configuration yet, no memory for the body, or the process shuts down too soon.
    #[snafu(display("not run; come back later"))]
    NotReady,
}

impl Rejection {
    fn status(self) -> StatusCode {
        match self {
            Rejection::Header { .. } | Rejection::Target | Rejection::Body => {
                StatusCode::BAD_REQUEST
            }
            Rejection::NoRoute => StatusCode::NOT_FOUND,
            Rejection::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Rejection::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Rejection::UnsupportedVersion => StatusCode::HTTP_VERSION_NOT_SUPPORTED,
            Rejection::NotReady => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Whether unread bytes of this request may precede the next one, so that the connection must close.
    fn closes_connection(self) -> bool {
        matches!(
            self,
            Rejection::Body | Rejection::BodyTimeout | Rejection::BodyTooLong | Rejection::Target
        )
    }

    /// The response that the client gets.
    pub fn response(self) -> Response<ResponseBody> {
        let response = match self {
            Rejection::NotReady => unavailable_response(RETRY_AFTER_NOT_READY),
            other => text_response(other.status(), other),
        };
        if self.closes_connection() {
            with_connection_close(response)
        } else {
            response
        }
    }
}
