//! Requests that are refused before they reach the core.

use crate::http::{self, ParseError};

/// Why a request is refused, as the client reads it.
pub(super) struct Refusal {
    pub(super) status: u16,
    /// The response's body; of status 405 also the methods that are allowed.
    pub(super) reason: String,
    /// Whether the connection ends, since it is unknown where the next request begins.
    pub(super) close: bool,
}

impl Refusal {
    /// A refusal after which the connection goes on.
    pub(super) fn new(status: u16, reason: impl Into<String>) -> Self {
        Refusal {
            status,
            reason: reason.into(),
            close: false,
        }
    }

    /// A refusal that ends the connection.
    pub(super) fn closing(status: u16, reason: impl Into<String>) -> Self {
        Refusal {
            close: true,
            ..Refusal::new(status, reason)
        }
    }

    /// The bytes of the response.
    pub(super) fn response(&self, close: bool) -> Vec<u8> {
        let mut headers = vec![("Content-Type", "text/plain".to_string())];
        if self.status == 405 {
            headers.push(("Allow", self.reason.clone()));
        }
        let close = close || self.close;
        http::response(self.status, &headers, self.reason.as_bytes(), close)
    }
}

impl From<ParseError> for Refusal {
    fn from(error: ParseError) -> Self {
        let status = match error {
            ParseError::Malformed { .. } => 400,
            ParseError::HeadTooLong => 431,
            ParseError::BodyTooLong => 413,
            ParseError::LengthRequired => 411,
            ParseError::UnsupportedVersion => 505,
        };
        Refusal::closing(status, error.to_string())
    }
}
