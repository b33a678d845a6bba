//! HTTP/1.1 as pure functions over bytes (RFC 9112): heads of requests and responses, bodies by length or in
//! chunks. Nothing here does I/O, or allocates by a length that a message merely claims.

mod body;
mod head;

pub use body::{Body, Chunk, Taken};
pub use head::{Head, parse_head, parse_request};

use snafu::Snafu;

/// Longest head that is accepted, in bytes.
pub const MAX_HEAD: usize = 16 * 1024;
/// Longest body that is accepted, in bytes, as the protocol has it.
pub const MAX_BODY: usize = 64 * 1024;

/// Why a message cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Snafu)]
pub enum ParseError {
    /// It is not HTTP, or could be read in two ways.
    #[snafu(display("{reason}"))]
    Malformed {
        /// What is wrong with it.
        reason: &'static str,
    },
    /// The head is longer than [`MAX_HEAD`].
    #[snafu(display("head over the limit"))]
    HeadTooLong,
    /// The body is longer than its limit.
    #[snafu(display("body over the limit"))]
    BodyTooLong,
    /// A request that must have a body states neither a length nor chunks.
    #[snafu(display("neither length nor chunks"))]
    LengthRequired,
    /// The version is neither 1.1 nor 1.0.
    #[snafu(display("not HTTP/1.1"))]
    UnsupportedVersion,
}

/// How a body is delimited (RFC 9112 §6).
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Framing {
    /// By neither: a request has no body, a response ends with its connection.
    None,
    /// By a length in bytes.
    Length(usize),
    /// In chunks.
    Chunked,
}

/// The bytes of a response.
pub fn response(status: u16, headers: &[(&str, String)], body: &[u8], close: bool) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status} {}\r\n", reason(status)).into_bytes();
    for (name, value) in headers {
        out.extend(format!("{name}: {value}\r\n").into_bytes());
    }
    if close {
        out.extend(b"Connection: close\r\n");
    }
    out.extend(format!("Content-Length: {}\r\n\r\n", body.len()).into_bytes());
    out.extend(body);
    out
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        411 => "Length Required",
        413 => "Content Too Large",
        417 => "Expectation Failed",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        503 => "Service Unavailable",
        505 => "HTTP Version Not Supported",
        _ => "Error",
    }
}
