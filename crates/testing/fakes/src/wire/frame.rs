//! Frames between co-ordinators and replicas. A frame consists of a length of four bytes in little endian, which counts
//! the bytes after it, one byte for the kind, which is an ASCII capital letter, and a body.

use snafu::{OptionExt, ResultExt, Snafu, ensure};
use std::str::Utf8Error;

/// Size of the length field of a frame in bytes.
const LENGTH_BYTES: usize = 4;

pub(crate) struct Frame {
    /// `D` for a call, `K` for a cancellation, `I` or `U` for probes.
    pub(crate) kind: u8,
    pub(crate) body: Vec<u8>,
}

/// One part of a search, as received in a call.
pub(crate) struct Part {
    /// Trace id of the client's request, which identifies the search.
    pub(crate) search: String,
    pub(crate) shard: u64,
    /// Whether the part belongs to the second step.
    pub(crate) second_step: bool,
    /// Shards of the first step's result; empty in the first step.
    pub(crate) first_step_shards: Vec<u64>,
    /// Whether the first step's result is complete; `None` in the first step.
    pub(crate) first_step_complete: Option<bool>,
    pub(crate) text: String,
}

/// Outcome of a part, which determines the status of its answer.
#[derive(Clone, Copy)]
pub(crate) enum PartEnd {
    Completed,
    Failed,
    Rejected,
}

/// Why the parts of a call are malformed.
#[derive(Debug, Snafu)]
pub(crate) enum PartsError {
    #[snafu(display("part has no line feed after its header line"))]
    MissingLine,
    #[snafu(display("{source}"))]
    Encoding { source: Utf8Error },
    #[snafu(display("expected four words in a part's header line, got: {line}"))]
    FieldCount { line: String },
    #[snafu(display("expected a number, got {text} in: {line}"))]
    NotANumber { text: String, line: String },
    #[snafu(display("text of a part is truncated"))]
    TruncatedText,
    #[snafu(display("identifier of a part has no shard: {id}"))]
    MissingShard { id: String },
    #[snafu(display("shard in the identifier differs from the shard of the part: {line}"))]
    OtherShard { line: String },
    #[snafu(display("unknown entry in: {line}"))]
    UnknownEntry { line: String },
    #[snafu(display("header line of a part has no entry d"))]
    MissingWait,
}

/// Parses the first frame in `bytes`. Returns it with its length in bytes; `None` if it is incomplete or empty.
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

/// Parses the parts in the body of a call.
pub(crate) fn parse_parts(mut body: &[u8]) -> Result<Vec<Part>, PartsError> {
    let mut parts = Vec::new();
    while !body.is_empty() {
        let (part, consumed) = parse_part(body)?;
        parts.push(part);
        body = &body[consumed..];
    }
    Ok(parts)
}

fn parse_number(text: &str, line: &str) -> Result<u64, PartsError> {
    text.parse().ok().context(NotANumberSnafu { text, line })
}

/// Parses the first part in `bytes`. Returns it with its length in bytes.
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
        first_step_shards: entries.first_step_shards,
        first_step_complete: entries.first_step_complete,
        text: text.to_string(),
    };
    Ok((part, end))
}

/// Optional entries in the header line of a part; see [`Part`].
struct Entries {
    first_step_shards: Vec<u64>,
    first_step_complete: Option<bool>,
}

fn parse_entries(entries: &str, line: &str) -> Result<Entries, PartsError> {
    let mut wait_ms = None;
    let mut first_step_shards = Vec::new();
    let mut first_step_complete = None;
    for entry in entries.split(',') {
        match entry.split_once('=') {
            Some(("d", ms)) => wait_ms = Some(parse_number(ms, line)?),
            Some(("from", shards)) => {
                for shard in shards.split('+').filter(|s| !s.is_empty()) {
                    first_step_shards.push(parse_number(shard, line)?);
                }
            }
            Some(("whole", flag)) => first_step_complete = Some(flag == "1"),
            _ => return UnknownEntrySnafu { line }.fail(),
        }
    }
    ensure!(wait_ms.is_some(), MissingWaitSnafu);
    Ok(Entries {
        first_step_shards,
        first_step_complete,
    })
}

/// Encodes the answer to a part as a frame, with its outcome, its score if it has one, and its value.
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
