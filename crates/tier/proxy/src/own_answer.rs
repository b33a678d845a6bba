//! Answers that this process gives itself. None carries a replica's signature.

use crate::answer_body::AnswerBody;
use bytes::Bytes;
use http::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode};
use std::fmt::Display;

/// An answer of this status with a line of text.
pub fn plain(status: StatusCode, text: impl Display) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::Whole(Some(Bytes::from(format!("{text}\n")))));
    *response.status_mut() = status;
    response
}

/// 503 with `Retry-After`: the request has not run and never will.
pub fn refusal(retry_after: f64) -> Response<AnswerBody> {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "not run; come back later");
    if let Ok(value) = HeaderValue::from_str(&format!("{retry_after:.3}")) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// Asks the client to close the connection after this answer.
pub fn closing(mut response: Response<AnswerBody>) -> Response<AnswerBody> {
    response
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
    response
}
