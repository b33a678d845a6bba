//! Classifies the head of a replica's response.
//!
//! It stands between the connection and everything that trusts a response: only what passes here as the response
//! to this very request is forwarded or counted as one.

use crate::client::headers::REQUEST_ID;
use crate::mutations::{Mutation, is_mutated};
use http::header::{
    CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH, HeaderMap, HeaderName, RETRY_AFTER,
    TRANSFER_ENCODING,
};
use http::response::Parts;
use http::{StatusCode, Version};
use std::time::Duration;
use woadreach_scheduler::{Outcome, ServerLoad};

/// Signature of the replica that made a response.
pub const RESPONSE_SIGNATURE: HeaderName = HeaderName::from_static("response-signature");
/// The replica's statement that it has not run the request.
pub const NOT_EXECUTED: HeaderName = HeaderName::from_static("not-executed");
/// Load of the replica: running requests, waiting requests, slots.
pub const SERVER_LOAD: HeaderName = HeaderName::from_static("server-load");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// What the head of a response means for its request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ResponseClass {
    /// A success, provided that its body arrives completely.
    Success,
    /// The replica's own error, forwarded unchanged if no further attempt is made.
    ReplicaError,
    /// Any other status: the request's answer, forwarded at once.
    OtherStatus,
    /// The replica has not run the request.
    NotExecuted(Outcome),
    /// The response to another request, or an invalid one: this request may have run.
    Mismatched,
}

/// Classifies the head of a response to the request `request_id`.
pub fn classify_response(head: &Parts, request_id: &str) -> ResponseClass {
    let has_id = head
        .headers
        .get(&REQUEST_ID)
        .is_some_and(|id| id.as_bytes() == request_id.as_bytes());
    let has_id = has_id || is_mutated(Mutation::SkipResponseIdCheck);
    if !has_id || head.status.is_informational() {
        return ResponseClass::Mismatched;
    }
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        return ResponseClass::NotExecuted(Outcome::Misdirected);
    }
    if head.headers.contains_key(&NOT_EXECUTED) && !head.status.is_success() {
        return ResponseClass::NotExecuted(Outcome::NotExecuted {
            retry_after: retry_after(&head.headers),
        });
    }
    if head.status.is_success() {
        let is_signed = head.headers.contains_key(&RESPONSE_SIGNATURE);
        let is_unencoded = !head.headers.contains_key(CONTENT_ENCODING);
        return if is_signed && is_unencoded {
            ResponseClass::Success
        } else {
            ResponseClass::Mismatched
        };
    }
    if head.status.is_server_error() || promises_not_executed(head.status) {
        return ResponseClass::ReplicaError;
    }
    ResponseClass::OtherStatus
}

/// Whether a status tells a client that its request has not run.
pub fn promises_not_executed(status: StatusCode) -> bool {
    let statuses = [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::MISDIRECTED_REQUEST,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::PAYMENT_REQUIRED,
    ];
    statuses.contains(&status) && !is_mutated(Mutation::ForwardAnyFailure)
}

fn retry_after(headers: &HeaderMap) -> Option<f64> {
    let seconds: f64 = headers
        .get(RETRY_AFTER)?
        .to_str()
        .ok()?
        .trim()
        .parse()
        .ok()?;
    (seconds.is_finite() && seconds >= 0.0).then_some(seconds)
}

/// Parses `Server-Load`; `None` if it is absent or malformed.
pub fn server_load(headers: &HeaderMap) -> Option<ServerLoad> {
    let text = headers.get(&SERVER_LOAD)?.to_str().ok()?;
    let mut numbers = text
        .split(',')
        .map(|number| number.trim().parse::<u32>().ok());
    let mut next = || numbers.next().flatten();
    Some(ServerLoad {
        running: next()?,
        waiting: next()?,
        slots: next()?,
    })
}

/// Whether a body's end is marked by its framing rather than by the end of the connection (RFC 9112 §6.3).
pub fn has_explicit_length(head: &Parts) -> bool {
    head.headers.contains_key(CONTENT_LENGTH) || head.headers.contains_key(TRANSFER_ENCODING)
}

/// What becomes of the connection after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionReuse {
    /// The replica closes it.
    Close,
    /// It may carry another request.
    Reuse {
        /// The replica's idle time-out, if it sent one.
        keep_alive: Option<Duration>,
    },
}

/// Reads `Connection` and `Keep-Alive` of a response.
pub fn connection_reuse(head: &Parts) -> ConnectionReuse {
    let closes = |value: &str| {
        value
            .split(',')
            .any(|token| token.trim().eq_ignore_ascii_case("close"))
    };
    let mut tokens = head
        .headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok());
    if head.version != Version::HTTP_11 || tokens.any(closes) {
        return ConnectionReuse::Close;
    }
    let keep_alive = head.headers.get(&KEEP_ALIVE).and_then(|value| {
        let mut parameters = value.to_str().ok()?.split(',');
        let seconds = parameters.find_map(|parameter| parameter.trim().strip_prefix("timeout="))?;
        Some(Duration::from_secs(seconds.trim().parse().ok()?))
    });
    ConnectionReuse::Reuse { keep_alive }
}
