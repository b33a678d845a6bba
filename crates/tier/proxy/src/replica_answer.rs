//! What the head of a replica's answer means.

use crate::mutations::{Mutation, mutated};
use crate::request_headers::REQUEST_ID;
use http::header::{
    CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH, HeaderMap, HeaderName, RETRY_AFTER,
    TRANSFER_ENCODING,
};
use http::response::Parts;
use http::{StatusCode, Version};
use std::time::Duration;
use woadreach_scheduler::{Outcome, ServerLoad};

/// Stamp of the replica that made an answer.
pub const RESPONSE_SIGNATURE: HeaderName = HeaderName::from_static("response-signature");
/// Promise that the replica has not run the request.
pub const NOT_EXECUTED: HeaderName = HeaderName::from_static("not-executed");
/// Load of the replica: running, waiting, slots.
pub const SERVER_LOAD: HeaderName = HeaderName::from_static("server-load");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// What the head of an answer means for its request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HeadVerdict {
    /// A success, if its whole body comes.
    Success,
    /// The replica's own failure: it is passed on unchanged if it is the last word.
    Failure(Outcome),
    /// The replica has not run the request.
    NotRun(Outcome),
    /// It belongs to another request, or is no proper answer: the request may have run.
    Foreign,
}

/// Judges the head of an answer to the request `request_id`.
pub fn judge(head: &Parts, request_id: &str) -> HeadVerdict {
    let answers = head
        .headers
        .get(&REQUEST_ID)
        .is_some_and(|id| id.as_bytes() == request_id.as_bytes());
    let answers = answers || mutated(Mutation::AnyId);
    if !answers || head.status.is_informational() {
        return HeadVerdict::Foreign;
    }
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        return HeadVerdict::NotRun(Outcome::Misdirected);
    }
    if head.headers.contains_key(&NOT_EXECUTED) && !head.status.is_success() {
        return HeadVerdict::NotRun(Outcome::NotExecuted {
            retry_after: retry_after(&head.headers),
        });
    }
    if head.status.is_success() {
        let stamped = head.headers.contains_key(&RESPONSE_SIGNATURE);
        let plain = !head.headers.contains_key(CONTENT_ENCODING);
        return if stamped && plain {
            HeadVerdict::Success
        } else {
            HeadVerdict::Foreign
        };
    }
    if head.status.is_server_error() || is_promise(head.status) {
        return HeadVerdict::Failure(Outcome::ReplicaError);
    }
    HeadVerdict::Failure(Outcome::Answered)
}

/// Whether a status promises a client that its request has not run.
pub fn is_promise(status: StatusCode) -> bool {
    let promises = [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::MISDIRECTED_REQUEST,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::PAYMENT_REQUIRED,
    ];
    promises.contains(&status) && !mutated(Mutation::AnyFailurePasses)
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

/// Reads `Server-Load`.
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

/// Whether the end of an answer's body is told by its framing, and not by the end of its connection.
pub fn tells_its_length(head: &Parts) -> bool {
    head.headers.contains_key(CONTENT_LENGTH) || head.headers.contains_key(TRANSFER_ENCODING)
}

/// What the replica says of the connection after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionReuse {
    /// It is closed.
    Close,
    /// It may be used again, for so long if the replica says so.
    Reuse {
        /// How long the replica keeps it when it is idle.
        keep_alive: Option<Duration>,
    },
}

/// Reads `Connection` and `Keep-Alive` of an answer.
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
