//! Reads the headers of a client's request, and tells end-to-end headers from hop-by-hop ones.

use http::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HeaderMap, HeaderName, HeaderValue, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use snafu::Snafu;
use std::time::Duration;
use woadreach_routing::rendezvous::{FNV_OFFSET, hash64, mix};
use woadreach_scheduler::PrefixPart;

/// Identity of one request of a client (its own retry has another); responses carry it back.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("request-id");
/// How long the client waits, in milliseconds.
pub const TIMEOUT_MS: HeaderName = HeaderName::from_static("timeout-ms");
/// Time until the program should finish, in milliseconds.
pub const FINISH_MS: HeaderName = HeaderName::from_static("finish-ms");
/// Tokens that a program's turns may generate together.
pub const BUDGET: HeaderName = HeaderName::from_static("budget");
/// Tokens of the prompt, and the most that may be generated.
pub const TOKEN_USAGE: HeaderName = HeaderName::from_static("token-usage");
/// The program that a request belongs to.
pub const PROGRAM: HeaderName = HeaderName::from_static("program");
/// The sequence of turns that a request belongs to.
pub const SESSION: HeaderName = HeaderName::from_static("session");
/// The turn that a turn continues.
pub const PREVIOUS: HeaderName = HeaderName::from_static("previous");
/// Parts of the prompt, for placement by prefix cache.
pub const PREFIX_HASH: HeaderName = HeaderName::from_static("prefix-hash");
/// The object that a request is about.
pub const AFFINITY_KEY: HeaderName = HeaderName::from_static("affinity-key");
/// Id of the last event of a stream that the reader has.
pub const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
/// The replica that a request is meant for.
pub const EXPECT_INSTANCE: HeaderName = HeaderName::from_static("expect-instance");
/// The version of the weights that a request is meant for.
pub const EXPECT_VERSION: HeaderName = HeaderName::from_static("expect-version");

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_PREFIX: &str = "proxy-";
/// Parts of `Prefix-Hash` that are read, at most; the others are ignored.
const MAX_PREFIX_PARTS: usize = 64;
/// Longest id or affinity key that is accepted, in bytes.
const MAX_ID_BYTES: usize = 128;

/// A header that is missing or malformed; the client gets 400.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum HeaderError {
    /// A required header is absent.
    #[snafu(display("header {name} is missing"))]
    Missing {
        /// Name of the header.
        name: &'static str,
    },
    /// A header's value does not parse, or it is given twice.
    #[snafu(display("header {name} is malformed: expected {expected}"))]
    Malformed {
        /// Name of the header.
        name: &'static str,
        /// What its value should be.
        expected: &'static str,
    },
}

/// Value of `Token-Usage`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenUsage {
    /// Tokens of the prompt.
    pub input: u32,
    /// Tokens that may be generated, at most.
    pub output: u32,
}

/// Values of the headers that the data plane reads.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestMetadata {
    /// `Request-Id`.
    pub request_id: String,
    /// `Timeout-Ms`.
    pub timeout: Option<Duration>,
    /// `Finish-Ms`.
    pub finish: Option<Duration>,
    /// `Budget`.
    pub budget: Option<u64>,
    /// `Token-Usage`.
    pub tokens: Option<TokenUsage>,
    /// `Program`.
    pub program: Option<String>,
    /// `Session`.
    pub session: Option<String>,
    /// `Previous`.
    pub previous: Option<String>,
    /// `Prefix-Hash`; empty when it is absent or malformed.
    pub prefix: Vec<PrefixPart>,
    /// `Affinity-Key` as a number; absent when it is malformed.
    pub affinity: Option<u64>,
    /// Hints (`Prefix-Hash`, `Affinity-Key`) that were given and could not be read.
    pub unread_hints: u64,
    /// `Last-Event-Id`, if it is a number.
    pub last_event_id: Option<u64>,
}

impl RequestMetadata {
    /// Reads the headers of a request.
    ///
    /// # Errors
    ///
    /// [`HeaderError`] for the first header that is missing or malformed. Malformed hints are counted instead.
    pub fn read(headers: &HeaderMap) -> Result<Self, HeaderError> {
        let request_id = identity(headers, &REQUEST_ID, "Request-Id")?;
        let prefix = Hint::read(headers, &PREFIX_HASH, parse_prefix);
        let affinity = Hint::read(headers, &AFFINITY_KEY, parse_affinity);
        let unread_hints = u64::from(prefix.is_unreadable()) + u64::from(affinity.is_unreadable());
        let metadata = RequestMetadata {
            request_id: request_id.ok_or(HeaderError::Missing { name: "Request-Id" })?,
            timeout: milliseconds(headers, &TIMEOUT_MS, "Timeout-Ms")?,
            finish: milliseconds(headers, &FINISH_MS, "Finish-Ms")?,
            budget: budget(headers)?,
            tokens: token_usage(headers)?,
            program: identity(headers, &PROGRAM, "Program")?,
            session: identity(headers, &SESSION, "Session")?,
            previous: identity(headers, &PREVIOUS, "Previous")?,
            prefix: prefix.value().unwrap_or_default(),
            affinity: affinity.value(),
            unread_hints,
            last_event_id: headers
                .get(&LAST_EVENT_ID)
                .and_then(|value| text(value)?.parse().ok()),
        };
        if metadata.budget.is_some() {
            metadata
                .program
                .as_ref()
                .ok_or(HeaderError::Missing { name: "Program" })?;
            metadata.tokens.ok_or(HeaderError::Missing {
                name: "Token-Usage",
            })?;
        }
        Ok(metadata)
    }
}

fn text(value: &HeaderValue) -> Option<&str> {
    value.to_str().ok().map(str::trim)
}

/// Reads a header that may be absent. One that is given twice, or that `parse` does not accept, is malformed.
fn optional<T>(
    headers: &HeaderMap,
    name: &HeaderName,
    shown: &'static str,
    expected: &'static str,
    parse: impl Fn(&str) -> Option<T>,
) -> Result<Option<T>, HeaderError> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    let parsed = match values.next() {
        None => text(value).and_then(parse),
        Some(_second) => None,
    };
    let malformed = HeaderError::Malformed {
        name: shown,
        expected,
    };
    parsed.map(Some).ok_or(malformed)
}

fn identity(
    headers: &HeaderMap,
    name: &HeaderName,
    shown: &'static str,
) -> Result<Option<String>, HeaderError> {
    optional(headers, name, shown, "an id", |value| {
        let is_valid =
            !value.is_empty() && value.len() <= MAX_ID_BYTES && value.bytes().all(is_id_byte);
        is_valid.then(|| value.to_owned())
    })
}

fn is_id_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"-_.:".contains(&byte)
}

fn milliseconds(
    headers: &HeaderMap,
    name: &HeaderName,
    shown: &'static str,
) -> Result<Option<Duration>, HeaderError> {
    optional(headers, name, shown, "milliseconds", |value| {
        let number: f64 = value.parse().ok()?;
        // The time until the target is negative once the target has passed.
        let number = if *name == FINISH_MS && number < 0.0 {
            0.0
        } else {
            number
        };
        Duration::try_from_secs_f64(number / 1000.0).ok()
    })
}

fn budget(headers: &HeaderMap) -> Result<Option<u64>, HeaderError> {
    optional(headers, &BUDGET, "Budget", "a number of tokens", |value| {
        value.parse().ok()
    })
}

fn token_usage(headers: &HeaderMap) -> Result<Option<TokenUsage>, HeaderError> {
    optional(headers, &TOKEN_USAGE, "Token-Usage", "IN,OUT", |value| {
        let (input, output) = value.split_once(',')?;
        Some(TokenUsage {
            input: input.trim().parse().ok()?,
            output: output.trim().parse().ok()?,
        })
    })
}

/// A header that only helps to place a request: a malformed one is counted and the request is served.
enum Hint<T> {
    Absent,
    Unreadable,
    Value(T),
}

impl<T> Hint<T> {
    /// Reads the header `name`. A header that is given twice cannot be read.
    fn read(
        headers: &HeaderMap,
        name: &HeaderName,
        parse: impl Fn(&HeaderValue) -> Option<T>,
    ) -> Self {
        let mut values = headers.get_all(name).iter();
        let Some(value) = values.next() else {
            return Hint::Absent;
        };
        if values.next().is_some() {
            return Hint::Unreadable;
        }
        parse(value).map_or(Hint::Unreadable, Hint::Value)
    }

    fn is_unreadable(&self) -> bool {
        matches!(self, Hint::Unreadable)
    }

    fn value(self) -> Option<T> {
        match self {
            Hint::Value(value) => Some(value),
            Hint::Absent | Hint::Unreadable => None,
        }
    }
}

/// Hashes `Affinity-Key`, an opaque value.
fn parse_affinity(value: &HeaderValue) -> Option<u64> {
    let is_valid = !value.is_empty() && value.len() <= MAX_ID_BYTES;
    is_valid.then(|| mix(hash64(value.as_bytes(), 0)))
}

/// Parses `Prefix-Hash`: `ID:TOKENS` separated by commas, the id in hexadecimal.
fn parse_prefix(value: &HeaderValue) -> Option<Vec<PrefixPart>> {
    let parts = text(value)?.split(',').take(MAX_PREFIX_PARTS);
    let part = |part: &str| {
        let (id, tokens) = part.trim().split_once(':')?;
        Some(PrefixPart {
            id: u64::from_str_radix(id, 16).ok()?,
            tokens: tokens.parse().ok()?,
        })
    };
    parts.map(part).collect()
}

/// A number for an id, for the scheduler, which compares ids only.
pub fn identity_number(id: &str) -> u64 {
    u64::from_str_radix(id, 16).unwrap_or_else(|_| hash64(id.as_bytes(), FNV_OFFSET))
}

/// The headers that are forwarded: all but hop-by-hop headers and those of a body's framing (RFC 9110 §7.6.1).
pub fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let mut named_by_connection: Vec<HeaderName> = Vec::new();
    for value in headers.get_all(CONNECTION) {
        let tokens = value.to_str().unwrap_or_default().split(',');
        named_by_connection.extend(tokens.filter_map(|token| token.trim().parse().ok()));
    }
    let mut forwarded = HeaderMap::with_capacity(headers.len() + 4);
    for (name, value) in headers {
        if !is_hop_by_hop(name) && !named_by_connection.contains(name) {
            forwarded.append(name.clone(), value.clone());
        }
    }
    forwarded
}

fn is_hop_by_hop(name: &HeaderName) -> bool {
    [
        CONNECTION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
        CONTENT_LENGTH,
        EXPECT,
        KEEP_ALIVE,
    ]
    .contains(name)
        || name.as_str().starts_with(PROXY_PREFIX)
}
