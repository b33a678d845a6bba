//! The frames that replicas and co-ordinators exchange, as pure functions over bytes: a length of four bytes,
//! little endian, a byte for the frame's kind, which is an ASCII capital, and a body. Nothing here does I/O, or
//! allocates by a length that a frame states.

use snafu::Snafu;
use std::str::from_utf8;

/// Longest frame accepted from a replica, in bytes: PROTOCOL's longest body, of which a value is a part.
pub const MAX_FRAME: usize = 64 * 1024;

/// Why a frame cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Snafu)]
#[snafu(display("{reason}"))]
pub struct ParseError {
    /// What is wrong with it.
    pub reason: &'static str,
}

fn malformed(reason: &'static str) -> ParseError {
    ParseError { reason }
}

/// How a part has ended at a replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PartStatus {
    /// It was answered.
    Ok,
    /// It failed.
    Error,
    /// The replica has no capacity; the part has not run.
    Full,
}

/// A frame from a replica.
#[derive(Debug, PartialEq)]
pub enum Frame<'a> {
    /// Kind `O`: the answer to a part.
    Answer {
        /// The part's wire id.
        id: &'a str,
        /// How it ended.
        status: PartStatus,
        /// Orders the shards of a second step.
        score: u64,
        /// The bytes that the client receives.
        value: &'a [u8],
    },
    /// Kind `I` or `U`: the answer to a probe. Nothing here asks for probes.
    ProbeAnswer,
    /// Kind `Z`: the replica closes the connection, for the reason that the bytes state.
    Refused(&'a [u8]),
}

/// The first frame of `bytes` and how many of them it takes; `None` while it is incomplete.
///
/// # Errors
///
/// [`ParseError`] where the bytes are no frame: nothing behind them can be read either.
pub fn read(bytes: &[u8]) -> Result<Option<(Frame<'_>, usize)>, ParseError> {
    let Some((length, rest)) = bytes.split_first_chunk::<4>() else {
        return Ok(None);
    };
    let length = u32::from_le_bytes(*length) as usize;
    if length == 0 || length > MAX_FRAME {
        return Err(malformed("length out of bounds"));
    }
    // An unknown kind is refused before the rest is received.
    let kind = rest.first().copied();
    if kind.is_some_and(|k| !b"OIUZ".contains(&k)) {
        return Err(malformed("unknown letter"));
    }
    let Some(body) = rest.get(1..length) else {
        return Ok(None);
    };
    let frame = match kind {
        Some(b'O') => answer(body)?,
        Some(b'Z') => Frame::Refused(body),
        _ => Frame::ProbeAnswer,
    };
    Ok(Some((frame, 4 + length)))
}

fn answer(body: &[u8]) -> Result<Frame<'_>, ParseError> {
    let end_of_line = body
        .iter()
        .position(|b| *b == b'\n')
        .ok_or(malformed("an answer without a line"))?;
    // The fourth field is the replica's load report, which nothing here reads: whatever it is, the answer is
    // good.
    let mut fields = body[..end_of_line].splitn(4, |b| *b == b' ').map(from_utf8);
    let (Some(Ok(id)), Some(Ok(status)), Some(Ok(score))) =
        (fields.next(), fields.next(), fields.next())
    else {
        return Err(malformed("a line with too few words"));
    };
    let status = match status {
        "200" => PartStatus::Ok,
        "500" => PartStatus::Error,
        "503" => PartStatus::Full,
        _ => return Err(malformed("unknown end")),
    };
    let score = if score == "-" {
        Some(0)
    } else {
        score.parse().ok()
    };
    let score = score.ok_or(malformed("a score that is not a whole number"))?;
    Ok(Frame::Answer {
        id,
        status,
        score,
        value: &body[end_of_line + 1..],
    })
}

/// One part of a call: its line with comma-separated `fields`, and its text.
pub fn part(id: &str, shard: u64, fields: &str, text: &str) -> Vec<u8> {
    let mut out = format!("{id} {shard} {fields} {}\n", text.len()).into_bytes();
    out.extend(text.as_bytes());
    out
}

fn frame(out: &mut Vec<u8>, kind: u8, body: &[&[u8]]) {
    let length = 1 + body.iter().map(|b| b.len()).sum::<usize>();
    out.extend(u32::try_from(length).unwrap_or(u32::MAX).to_le_bytes());
    out.push(kind);
    body.iter().for_each(|b| out.extend(*b));
}

/// Appends a frame of kind `D`: parts that share a call.
pub fn call(out: &mut Vec<u8>, parts: &[&[u8]]) {
    frame(out, b'D', parts);
}

/// Appends a frame of kind `K`: the part with this wire id is cancelled.
pub fn cancel(out: &mut Vec<u8>, id: &str) {
    frame(out, b'K', &[id.as_bytes()]);
}
