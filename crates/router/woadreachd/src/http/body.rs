//! Bodies, read as their bytes are received.

use super::head::malformed;
use super::{Framing, ParseError};

/// Longest line that states a chunk's length, extensions included, in bytes.
const MAX_CHUNK_LINE: usize = 256;

/// State of a body that is being read.
#[derive(Debug)]
pub enum Body {
    /// Delimited by its length.
    Length {
        /// Bytes that are still to come.
        remaining: usize,
    },
    /// In chunks.
    Chunks {
        /// Bytes of the chunk that are still to come.
        remaining: usize,
        /// What comes next.
        state: Chunk,
    },
    /// Of a response that states no length: all until its connection ends.
    UntilClose,
    /// Complete.
    Done,
}

/// What comes next of a body in chunks (RFC 9112 §7.1).
#[derive(Debug, PartialEq)]
pub enum Chunk {
    /// The line with the chunk's length.
    Line,
    /// The chunk's bytes.
    Data,
    /// The line end after the chunk's bytes.
    DataEnd,
    /// Trailer lines, up to the empty one.
    Trailer,
}

/// What [`Body::take`] has read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Taken {
    /// Number of bytes that it took.
    pub bytes: usize,
    /// Whether the body is complete.
    pub complete: bool,
}

impl Body {
    /// The body of a request.
    pub fn new(framing: Framing) -> Self {
        match framing {
            Framing::None | Framing::Length(0) => Body::Done,
            Framing::Length(remaining) => Body::Length { remaining },
            Framing::Chunked => Body::Chunks {
                remaining: 0,
                state: Chunk::Line,
            },
        }
    }

    /// The body of a response.
    pub fn of_response(framing: Framing) -> Self {
        if framing == Framing::None {
            Body::UntilClose
        } else {
            Body::new(framing)
        }
    }

    /// Whether the body is complete once its connection ends in good order.
    pub fn completes_on_close(&self) -> bool {
        matches!(self, Body::UntilClose)
    }

    /// Takes from `bytes` what is there of the body, and appends its content to `out`, which holds at most
    /// `max_length` bytes.
    ///
    /// # Errors
    ///
    /// [`ParseError`] where the chunks are malformed or the content is longer than `max_length`.
    pub fn take(
        &mut self,
        bytes: &[u8],
        out: &mut Vec<u8>,
        max_length: usize,
    ) -> Result<Taken, ParseError> {
        let mut offset = 0;
        let taken = |bytes, complete| Ok(Taken { bytes, complete });
        loop {
            let rest = &bytes[offset..];
            match self {
                Body::Done => return taken(offset, true),
                Body::UntilClose => {
                    append(out, rest, max_length)?;
                    return taken(bytes.len(), false);
                }
                Body::Length { remaining }
                | Body::Chunks {
                    remaining,
                    state: Chunk::Data,
                } => {
                    let n = rest.len().min(*remaining);
                    append(out, &rest[..n], max_length)?;
                    (offset, *remaining) = (offset + n, *remaining - n);
                    if *remaining > 0 {
                        return taken(offset, false);
                    }
                    self.end_data();
                }
                Body::Chunks { .. } => match self.take_line(rest, out.len(), max_length)? {
                    Some(n) => offset += n,
                    None => return taken(offset, false),
                },
            }
        }
    }

    /// After the last byte of a chunk, or of a body by length.
    fn end_data(&mut self) {
        *self = match self {
            Body::Chunks { .. } => Body::Chunks {
                remaining: 0,
                state: Chunk::DataEnd,
            },
            _ => Body::Done,
        };
    }

    /// Takes a line between chunks; the number of its bytes, or `None` while it is incomplete. `length` is
    /// that of the content so far.
    fn take_line(
        &mut self,
        rest: &[u8],
        length: usize,
        max_length: usize,
    ) -> Result<Option<usize>, ParseError> {
        let Body::Chunks { remaining, state } = self else {
            return Ok(None);
        };
        let Some(end) = rest.windows(2).position(|w| w == b"\r\n") else {
            let max_line = if *state == Chunk::DataEnd {
                1
            } else {
                MAX_CHUNK_LINE
            };
            return if rest.len() > max_line {
                Err(malformed("bad chunk"))
            } else {
                Ok(None)
            };
        };
        let line = &rest[..end];
        match state {
            Chunk::DataEnd if !line.is_empty() => return Err(malformed("bad chunk")),
            Chunk::DataEnd => *state = Chunk::Line,
            Chunk::Trailer if line.is_empty() => *self = Body::Done,
            Chunk::Trailer if end > MAX_CHUNK_LINE => return Err(malformed("long trailer")),
            Chunk::Trailer => {}
            Chunk::Line | Chunk::Data => {
                *remaining = chunk_length(line)?;
                *state = if *remaining == 0 {
                    Chunk::Trailer
                } else {
                    Chunk::Data
                };
                // Nothing is allocated for it: this only spares reading what will be refused.
                if length.saturating_add(*remaining) > max_length {
                    return Err(ParseError::BodyTooLong);
                }
            }
        }
        Ok(Some(end + 2))
    }
}

fn append(out: &mut Vec<u8>, bytes: &[u8], max_length: usize) -> Result<(), ParseError> {
    if out.len() + bytes.len() > max_length {
        return Err(ParseError::BodyTooLong);
    }
    out.extend(bytes);
    Ok(())
}

fn chunk_length(line: &[u8]) -> Result<usize, ParseError> {
    let error = malformed("bad chunk");
    let digits = line.split(|b| *b == b';').next().unwrap_or(line);
    let text = std::str::from_utf8(digits)
        .map_err(|_| error)?
        .trim_end_matches([' ', '\t']);
    if text.is_empty()
        || line.len() > MAX_CHUNK_LINE
        || !text.bytes().all(|b| b.is_ascii_hexdigit())
    {
        return Err(error);
    }
    let text = text.trim_start_matches('0');
    if text.len() > 8 {
        return Err(ParseError::BodyTooLong);
    }
    if text.is_empty() {
        Ok(0)
    } else {
        usize::from_str_radix(text, 16).map_err(|_| error)
    }
}
