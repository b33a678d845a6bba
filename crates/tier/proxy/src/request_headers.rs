//! What the headers of a client's request say, and which of them are passed on.

use http::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HeaderMap, HeaderName, HeaderValue, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use snafu::Snafu;
use std::time::Duration;
use woadreach_routing::rendezvous::{FNV_OFFSET, hash64, mix};
use woadreach_scheduler::PrefixPart;

/// Identity of one try of a client.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("request-id");
/// How long the client waits, in milliseconds.
pub const TIMEOUT_MS: HeaderName = HeaderName::from_static("timeout-ms");
/// Time until the program should be over, in milliseconds.
pub const FINISH_MS: HeaderName = HeaderName::from_static("finish-ms");
/// Tokens that a program's turns may generate together.
pub const BUDGET: HeaderName = HeaderName::from_static("budget");
/// Tokens of the prompt, and the most that may be generated.
pub const TOKEN_USAGE: HeaderName = HeaderName::from_static("token-usage");
/// The program that a request belongs to.
pub const PROGRAM: HeaderName = HeaderName::from_static("program");
/// The line of turns that a request belongs to.
pub const SESSION: HeaderName = HeaderName::from_static("session");
/// The turn that a turn goes on from.
pub const PREVIOUS: HeaderName = HeaderName::from_static("previous");
/// Parts of the prompt.
pub const PREFIX_HASH: HeaderName = HeaderName::from_static("prefix-hash");
/// The object that a request is about.
pub const AFFINITY_KEY: HeaderName = HeaderName::from_static("affinity-key");
/// The last event of a stream that the reader has.
pub const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
/// The replica that a request is meant for.
pub const EXPECT_INSTANCE: HeaderName = HeaderName::from_static("expect-instance");
/// The version of the weights that a request is meant for.
pub const EXPECT_VERSION: HeaderName = HeaderName::from_static("expect-version");
/// Rank of a request at a replica.
pub const PRIORITY: HeaderName = HeaderName::from_static("priority");

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_PREFIX: &str = "proxy-";
/// Parts of a prompt that are looked at.
const MOST_PREFIX_PARTS: usize = 64;
/// Bytes of an id that the tier keeps.
const LONGEST_ID: usize = 128;

/// A header that is missing or does not say what it should.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum HeaderError {
    /// It is needed and absent.
    #[snafu(display("header {name} is missing"))]
    Missing {
        /// Name of the header.
        name: &'static str,
    },
    /// It cannot be read.
    #[snafu(display("header {name} is malformed: expected {expected}"))]
    Malformed {
        /// Name of the header.
        name: &'static str,
        /// What it should hold.
        expected: &'static str,
    },
}

/// `Token-Usage`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenUsage {
    /// Tokens of the prompt.
    pub input: u32,
    /// The most that may be generated.
    pub output: u32,
}

/// What the headers of a request say.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestFacts {
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
    /// Headers that only help to place the request, and could not be read.
    pub unread_hints: u64,
    /// `Last-Event-Id`, if it is a number.
    pub last_event_id: Option<u64>,
}

impl RequestFacts {
    /// Reads the headers of a request.
    pub fn read(headers: &HeaderMap) -> Result<Self, HeaderError> {
        let request_id = identity(headers, &REQUEST_ID, "Request-Id")?;
        let (prefix, prefix_unread) = hint(headers, &PREFIX_HASH, parse_prefix);
        let (affinity, affinity_unread) = hint(headers, &AFFINITY_KEY, parse_affinity);
        let unread_hints = u64::from(prefix_unread) + u64::from(affinity_unread);
        let facts = RequestFacts {
            request_id: request_id.ok_or(HeaderError::Missing { name: "Request-Id" })?,
            timeout: milliseconds(headers, &TIMEOUT_MS, "Timeout-Ms")?,
            finish: milliseconds(headers, &FINISH_MS, "Finish-Ms")?,
            budget: budget(headers)?,
            tokens: token_usage(headers)?,
            program: identity(headers, &PROGRAM, "Program")?,
            session: identity(headers, &SESSION, "Session")?,
            previous: identity(headers, &PREVIOUS, "Previous")?,
            prefix: prefix.unwrap_or_default(),
            affinity,
            unread_hints,
            last_event_id: headers
                .get(&LAST_EVENT_ID)
                .and_then(|value| text(value)?.parse().ok()),
        };
        if facts.budget.is_some() {
            facts
                .program
                .as_ref()
                .ok_or(HeaderError::Missing { name: "Program" })?;
            facts.tokens.ok_or(HeaderError::Missing {
                name: "Token-Usage",
            })?;
        }
        Ok(facts)
    }
}

fn text(value: &HeaderValue) -> Option<&str> {
    value.to_str().ok().map(str::trim)
}

/// The single value of a header; two are as bad as one that cannot be read.
fn single<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
    malformed: HeaderError,
) -> Result<Option<&'a str>, HeaderError> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(malformed);
    }
    text(value).map(Some).ok_or(malformed)
}

fn identity(
    headers: &HeaderMap,
    name: &HeaderName,
    shown: &'static str,
) -> Result<Option<String>, HeaderError> {
    let malformed = HeaderError::Malformed {
        name: shown,
        expected: "an id",
    };
    let Some(value) = single(headers, name, malformed)? else {
        return Ok(None);
    };
    let proper = !value.is_empty() && value.len() <= LONGEST_ID && value.bytes().all(is_id_byte);
    if proper {
        Ok(Some(value.to_owned()))
    } else {
        Err(malformed)
    }
}

fn is_id_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"-_.:".contains(&byte)
}

fn milliseconds(
    headers: &HeaderMap,
    name: &HeaderName,
    shown: &'static str,
) -> Result<Option<Duration>, HeaderError> {
    let malformed = HeaderError::Malformed {
        name: shown,
        expected: "milliseconds",
    };
    let Some(value) = single(headers, name, malformed)? else {
        return Ok(None);
    };
    let number: f64 = value.parse().map_err(|_| malformed)?;
    // The time until an aim is under zero once the aim has passed.
    let number = if *name == FINISH_MS && number < 0.0 {
        0.0
    } else {
        number
    };
    Duration::try_from_secs_f64(number / 1000.0)
        .map(Some)
        .map_err(|_| malformed)
}

fn budget(headers: &HeaderMap) -> Result<Option<u64>, HeaderError> {
    let malformed = HeaderError::Malformed {
        name: "Budget",
        expected: "a number of tokens",
    };
    let Some(value) = single(headers, &BUDGET, malformed)? else {
        return Ok(None);
    };
    value.parse().map(Some).map_err(|_| malformed)
}

fn token_usage(headers: &HeaderMap) -> Result<Option<TokenUsage>, HeaderError> {
    let malformed = HeaderError::Malformed {
        name: "Token-Usage",
        expected: "IN,OUT",
    };
    let Some(value) = single(headers, &TOKEN_USAGE, malformed)? else {
        return Ok(None);
    };
    let (input, output) = value.split_once(',').ok_or(malformed)?;
    let number = |part: &str| part.trim().parse::<u32>().map_err(|_| malformed);
    Ok(Some(TokenUsage {
        input: number(input)?,
        output: number(output)?,
    }))
}

/// A header without which a request is served as well, if more slowly: what it says, and whether it is there and
/// cannot be read. Given twice it says nothing.
fn hint<T>(
    headers: &HeaderMap,
    name: &HeaderName,
    parse: impl Fn(&HeaderValue) -> Option<T>,
) -> (Option<T>, bool) {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return (None, false);
    };
    let said = if values.next().is_some() {
        None
    } else {
        parse(value)
    };
    let unread = said.is_none();
    (said, unread)
}

/// Reads `Affinity-Key`, which means nothing but itself.
fn parse_affinity(value: &HeaderValue) -> Option<u64> {
    let proper = !value.is_empty() && value.len() <= LONGEST_ID;
    proper.then(|| mix(hash64(value.as_bytes(), 0)))
}

/// Reads `Prefix-Hash`: ID:TOKENS separated by commas, the id in hex. Malformed: nothing.
fn parse_prefix(value: &HeaderValue) -> Option<Vec<PrefixPart>> {
    let parts = text(value)?.split(',').take(MOST_PREFIX_PARTS);
    let part = |part: &str| {
        let (id, tokens) = part.trim().split_once(':')?;
        Some(PrefixPart {
            id: u64::from_str_radix(id, 16).ok()?,
            tokens: tokens.parse().ok()?,
        })
    };
    parts.map(part).collect()
}

/// A number for an id, for decisions that compare ids only.
pub fn identity_number(id: &str) -> u64 {
    u64::from_str_radix(id, 16).unwrap_or_else(|_| hash64(id.as_bytes(), FNV_OFFSET))
}

/// The headers that are passed along: all but those that concern a single connection or describe a body's
/// framing.
pub fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let mut named_by_connection: Vec<HeaderName> = Vec::new();
    for value in headers.get_all(CONNECTION) {
        let tokens = value.to_str().unwrap_or_default().split(',');
        named_by_connection.extend(tokens.filter_map(|token| token.trim().parse().ok()));
    }
    let mut kept = HeaderMap::with_capacity(headers.len() + 4);
    for (name, value) in headers {
        if !is_hop_by_hop(name) && !named_by_connection.contains(name) {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
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
