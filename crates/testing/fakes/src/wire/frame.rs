//! The frames between co-ordinators and replicas: a length of four bytes, little endian, a byte for the frame's
//! kind, which is an ASCII capital, and a body.

use snafu::{OptionExt, ResultExt, Snafu, ensure};
use std::str::Utf8Error;

/// Bytes of a frame's length field.
const LENGTH_BYTES: usize = 4;

/// A frame.
pub(crate) struct Frame {
    /// `D` for a call, `K` for a cancellation, `I` or `U` for probes.
    pub(crate) kind: u8,
    pub(crate) body: Vec<u8>,
}

/// One part of a call.
pub(crate) struct Part {
    /// The client's trace id, which names the search.
    pub(crate) search: String,
    pub(crate) shard: u64,
    /// Whether it belongs to the second step.
    pub(crate) second_step: bool,
    /// For the second step: the shards that the first step's result is from.
    pub(crate) from: Vec<u64>,
    /// For the second step: whether the first step's result is complete.
    pub(crate) first_complete: Option<bool>,
    pub(crate) text: String,
}

/// How a part ended.
#[derive(Clone, Copy)]
pub(crate) enum PartEnd {
    Completed,
    Failed,
    Rejected,
}

/// What is wrong with the parts of a call.
#[derive(Debug, Snafu)]
pub(crate) enum PartsError {
    #[snafu(display("a part without a line"))]
    MissingLine,
    #[snafu(display("{source}"))]
    Encoding { source: Utf8Error },
    #[snafu(display("not four words: {line}"))]
    FieldCount { line: String },
    #[snafu(display("not a number: {text} in {line}"))]
    NotANumber { text: String, line: String },
    #[snafu(display("a text that is cut short"))]
    TruncatedText,
    #[snafu(display("an id without a shard: {id}"))]
    MissingShard { id: String },
    #[snafu(display("an id of another shard: {line}"))]
    OtherShard { line: String },
    #[snafu(display("an unknown entry: {line}"))]
    UnknownEntry { line: String },
    #[snafu(display("no d"))]
    MissingWait,
}

/// The first frame in `bytes`, and how many of them it takes.
pub(crate) fn parse_frame(bytes: &[u8]) -> Option<(Frame, usize)> {
    let length = u32::from_le_bytes(bytes.get(..LENGTH_BYTES)?.try_into().ok()?) as usize;
    let end = LENGTH_BYTES + length;
    let (kind, body) = bytes.get(LENGTH_BYTES..end)?.split_first()?;
    let frame = Frame {
        kind: *kind,
        body: body.to_vec(),
    };
    Some((frame, end))
}

/// The parts of a call.
pub(crate) fn parse_parts(mut body: &[u8]) -> Result<Vec<Part>, PartsError> {
    let mut parts = Vec::new();
    while !body.is_empty() {
        let (part, taken) = parse_part(body)?;
        parts.push(part);
        body = &body[taken..];
    }
    Ok(parts)
}

fn parse_number(text: &str, line: &str) -> Result<u64, PartsError> {
    text.parse().ok().context(NotANumberSnafu { text, line })
}

/// The first part in `bytes`, and how many of them it takes.
fn parse_part(bytes: &[u8]) -> Result<(Part, usize), PartsError> {
    let line_end = bytes
        .iter()
        .position(|b| *b == b'\n')
        .context(MissingLineSnafu)?;
    let line = std::str::from_utf8(&bytes[..line_end]).context(EncodingSnafu)?;
    let fields: Vec<&str> = line.split(' ').collect();
    let [id, shard, entries, length] = fields[..] else {
        return FieldCountSnafu { line }.fail();
    };
    let shard = parse_number(shard, line)?;
    let text_start = line_end + 1;
    let end = text_start + parse_number(length, line)? as usize;
    let text = bytes.get(text_start..end).context(TruncatedTextSnafu)?;
    let (id, second_step) = id
        .strip_suffix(".fetch")
        .map_or((id, false), |id| (id, true));
    let (search, named) = id.rsplit_once('.').context(MissingShardSnafu { id })?;
    ensure!(
        parse_number(named, line)? == shard,
        OtherShardSnafu { line }
    );
    let entries = parse_entries(entries, line)?;
    let text = std::str::from_utf8(text).context(EncodingSnafu)?;
    let part = Part {
        search: search.to_string(),
        shard,
        second_step,
        from: entries.from,
        first_complete: entries.first_complete,
        text: text.to_string(),
    };
    Ok((part, end))
}

/// The optional values of a part, see [`Part`].
struct Entries {
    from: Vec<u64>,
    first_complete: Option<bool>,
}

fn parse_entries(entries: &str, line: &str) -> Result<Entries, PartsError> {
    let mut wait_ms = None;
    let mut from = Vec::new();
    let mut first_complete = None;
    for entry in entries.split(',') {
        match entry.split_once('=') {
            Some(("d", ms)) => wait_ms = Some(parse_number(ms, line)?),
            Some(("from", shards)) => {
                for shard in shards.split('+').filter(|s| !s.is_empty()) {
                    from.push(parse_number(shard, line)?);
                }
            }
            Some(("whole", flag)) => first_complete = Some(flag == "1"),
            _ => return UnknownEntrySnafu { line }.fail(),
        }
    }
    ensure!(wait_ms.is_some(), MissingWaitSnafu);
    Ok(Entries {
        from,
        first_complete,
    })
}

/// A replica's answer to a part: its end, its score if it has one, and its value.
pub(crate) fn encode_answer(id: &str, end: PartEnd, score: Option<u64>, value: &str) -> Vec<u8> {
    let status = match end {
        PartEnd::Completed => "200",
        PartEnd::Failed => "500",
        PartEnd::Rejected => "503",
    };
    let score = score.map_or("-".to_string(), |s| s.to_string());
    let body = format!("O{id} {status} {score} -\n{value}");
    let mut frame = (body.len() as u32).to_le_bytes().to_vec();
    frame.extend(body.as_bytes());
    frame
}
