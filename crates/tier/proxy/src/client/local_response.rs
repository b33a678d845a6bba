//! Responses that this process makes itself. None carries a replica's signature.

use crate::client::response_body::ResponseBody;
use bytes::Bytes;
use http::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode};
use std::fmt::Display;

/// A response of this status whose body is one line of text.
pub fn text_response(status: StatusCode, text: impl Display) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::Full(Some(Bytes::from(format!("{text}\n")))));
    *response.status_mut() = status;
    response
}

/// 503 with `Retry-After` in seconds: the client may send the request again, since it has not run or is idempotent.
pub fn unavailable_response(retry_after: f64) -> Response<ResponseBody> {
    let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, "not run; come back later");
    if let Ok(value) = HeaderValue::from_str(&format!("{retry_after:.3}")) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// The response with `Connection: close`: hyper closes the connection after it.
pub fn with_connection_close(mut response: Response<ResponseBody>) -> Response<ResponseBody> {
    response
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
    response
}
