//! HTTP/1.1 as pure functions over bytes: heads of requests and answers, bodies by length or in chunks. Owns
//! nothing; must never do I/O, nor allocate by a length that a message merely claims.

/// A longer head is refused.
pub const LONGEST_HEAD: usize = 16 * 1024;
/// PROTOCOL: a body holds at most 64 KiB.
pub const LONGEST_BODY: usize = 64 * 1024;
/// The longest line that states a chunk's length, extensions included.
const LONGEST_CHUNK_LINE: usize = 256;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Bad {
    Malformed(&'static str),
    HeadTooLong,
    BodyTooLong,
    NoLength,
    Version,
}

type Parsed<T> = Result<T, Bad>;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Framing {
    None,
    Length(usize),
    Chunked,
}

#[derive(Debug, PartialEq)]
pub struct Head {
    /// Of a request: method, target, version. Of an answer: version, status, reason.
    start: [String; 3],
    headers: Vec<(String, String)>,
    /// Bytes that it takes, the empty line included.
    pub length: usize,
}

impl Head {
    pub fn method(&self) -> &str {
        &self.start[0]
    }

    pub fn path(&self) -> &str {
        self.start[1].split('?').next().unwrap_or("")
    }

    pub fn status(&self) -> &str {
        &self.start[1]
    }

    /// The value of a header, its name in lower case; the first if there are several.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(n, _)| n == name)
            .map(|(_, v)| v.as_str())
    }

    fn says(&self, name: &str, word: &str) -> bool {
        let values = self.headers.iter().filter(|(n, _)| n == name);
        values
            .flat_map(|(_, v)| v.split(','))
            .any(|w| w.trim().eq_ignore_ascii_case(word))
    }

    pub fn closes(&self) -> bool {
        self.says("connection", "close")
            || (self.start.contains(&"HTTP/1.0".to_string())
                && !self.says("connection", "keep-alive"))
    }

    pub fn expects_continue(&self) -> bool {
        self.says("expect", "100-continue")
    }

    /// `framing` of an answer that may be longer than a request's body.
    pub fn stream_framing(&self) -> Parsed<Framing> {
        match self.framing() {
            Err(Bad::BodyTooLong) => Ok(Framing::Length(
                self.header("content-length")
                    .and_then(|v| v.parse().ok())
                    .ok_or(Bad::BodyTooLong)?,
            )),
            other => other,
        }
    }

    /// How its body is delimited.
    pub fn framing(&self) -> Parsed<Framing> {
        let mut lengths = self
            .headers
            .iter()
            .filter(|(n, _)| n == "content-length")
            .map(|(_, v)| v);
        let coding = self.headers.iter().any(|(n, _)| n == "transfer-encoding");
        let length = lengths.next();
        // Two readings of one message are how requests are smuggled.
        if (coding && length.is_some()) || lengths.next().is_some() {
            return Err(Bad::Malformed("more than one length"));
        }
        if coding {
            let codings = self
                .headers
                .iter()
                .filter(|(n, _)| n == "transfer-encoding")
                .count();
            let chunked = self
                .header("transfer-encoding")
                .is_some_and(|v| v.eq_ignore_ascii_case("chunked"));
            let only = codings == 1 && chunked;
            return if only {
                Ok(Framing::Chunked)
            } else {
                Err(Bad::Malformed("unknown coding"))
            };
        }
        let Some(text) = length else {
            return Ok(Framing::None);
        };
        if text.is_empty() || !text.bytes().all(|b| b.is_ascii_digit()) {
            return Err(Bad::Malformed("bad length"));
        }
        match text.parse() {
            Ok(n) if n <= LONGEST_BODY => Ok(Framing::Length(n)),
            _ => Err(Bad::BodyTooLong),
        }
    }
}

fn token(text: &str) -> bool {
    !text.is_empty()
        && text
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b))
}

/// The head at the start of `bytes`; None while it has not all come.
pub fn head(bytes: &[u8]) -> Parsed<Option<Head>> {
    let seen = &bytes[..bytes.len().min(LONGEST_HEAD)];
    let Some(end) = seen.windows(4).position(|w| w == b"\r\n\r\n") else {
        return if bytes.len() >= LONGEST_HEAD {
            Err(Bad::HeadTooLong)
        } else {
            Ok(None)
        };
    };
    let text =
        std::str::from_utf8(&seen[..end]).map_err(|_| Bad::Malformed("head is not UTF-8"))?;
    if text
        .bytes()
        .any(|b| (b < 0x20 && !matches!(b, b'\r' | b'\n' | b'\t')) || b == 0x7f)
    {
        return Err(Bad::Malformed("control character in the head"));
    }
    let mut lines = text.split("\r\n");
    let mut words = lines
        .next()
        .unwrap_or("")
        .splitn(3, ' ')
        .map(str::to_string);
    let (Some(a), Some(b)) = (words.next(), words.next()) else {
        return Err(Bad::Malformed("bad first line"));
    };
    let start = [a, b, words.next().unwrap_or_default()];
    let mut headers = Vec::new();
    for line in lines {
        let (name, value) = line
            .split_once(':')
            .ok_or(Bad::Malformed("a header without a colon"))?;
        if !token(name) || value.contains(['\r', '\n']) {
            return Err(Bad::Malformed("bad header"));
        }
        headers.push((
            name.to_ascii_lowercase(),
            value.trim_matches([' ', '\t']).to_string(),
        ));
    }
    Ok(Some(Head {
        start,
        headers,
        length: end + 4,
    }))
}

/// `head`, as that of a request.
pub fn request(bytes: &[u8]) -> Parsed<Option<Head>> {
    let Some(head) = head(bytes)? else {
        return Ok(None);
    };
    let [method, target, version] = &head.start;
    if !token(method) || !target.starts_with('/') || target.contains(['\r', '\n']) {
        return Err(Bad::Malformed("bad first line"));
    }
    match version.as_str() {
        "HTTP/1.1" | "HTTP/1.0" => Ok(Some(head)),
        v if v.starts_with("HTTP/") && !v.contains(' ') => Err(Bad::Version),
        _ => Err(Bad::Malformed("bad first line")),
    }
}

/// Reads a body as its bytes come.
#[derive(Debug)]
pub enum Body {
    Length {
        left: usize,
    },
    Chunks {
        left: usize,
        state: Chunk,
    },
    /// Of an answer that states no length: all that comes until its connection ends.
    ToEnd,
    Done,
}

#[derive(Debug, PartialEq)]
pub enum Chunk {
    Line,
    Data,
    DataEnd,
    Trailer,
}

impl Body {
    pub fn new(framing: Framing) -> Self {
        match framing {
            Framing::None | Framing::Length(0) => Body::Done,
            Framing::Length(left) => Body::Length { left },
            Framing::Chunked => Body::Chunks {
                left: 0,
                state: Chunk::Line,
            },
        }
    }

    /// The same of an answer.
    pub fn of_answer(framing: Framing) -> Self {
        if framing == Framing::None {
            Body::ToEnd
        } else {
            Body::new(framing)
        }
    }

    /// Whether the connection's sound end is the body's.
    pub fn ends_with_connection(&self) -> bool {
        matches!(self, Body::ToEnd)
    }

    /// Takes from `bytes` what is there of the body, adds its content to `out`, and gives how many bytes it
    /// took and whether the body has ended. `longest` bounds `out`.
    pub fn take(
        &mut self,
        bytes: &[u8],
        out: &mut Vec<u8>,
        longest: usize,
    ) -> Parsed<(usize, bool)> {
        let mut at = 0;
        loop {
            let rest = &bytes[at..];
            match self {
                Body::Done => return Ok((at, true)),
                Body::ToEnd => {
                    if out.len() + rest.len() > longest {
                        return Err(Bad::BodyTooLong);
                    }
                    out.extend(rest);
                    return Ok((bytes.len(), false));
                }
                Body::Length { left }
                | Body::Chunks {
                    left,
                    state: Chunk::Data,
                } => {
                    let n = rest.len().min(*left);
                    if out.len() + n > longest {
                        return Err(Bad::BodyTooLong);
                    }
                    out.extend(&rest[..n]);
                    (at, *left) = (at + n, *left - n);
                    if *left > 0 {
                        return Ok((at, false));
                    }
                    *self = match self {
                        Body::Chunks { .. } => Body::Chunks {
                            left: 0,
                            state: Chunk::DataEnd,
                        },
                        _ => Body::Done,
                    };
                }
                Body::Chunks { left, state } => {
                    let Some(end) = rest.windows(2).position(|w| w == b"\r\n") else {
                        let bound = if *state == Chunk::DataEnd {
                            1
                        } else {
                            LONGEST_CHUNK_LINE
                        };
                        let long = rest.len() > bound;
                        return if long {
                            Err(Bad::Malformed("bad chunk"))
                        } else {
                            Ok((at, false))
                        };
                    };
                    let line = &rest[..end];
                    match state {
                        Chunk::DataEnd if !line.is_empty() => {
                            return Err(Bad::Malformed("bad chunk"));
                        }
                        Chunk::DataEnd => *state = Chunk::Line,
                        Chunk::Trailer if line.is_empty() => *self = Body::Done,
                        Chunk::Trailer if end > LONGEST_CHUNK_LINE => {
                            return Err(Bad::Malformed("long trailer"));
                        }
                        Chunk::Trailer => {}
                        _ => {
                            *left = chunk_length(line)?;
                            *state = if *left == 0 {
                                Chunk::Trailer
                            } else {
                                Chunk::Data
                            };
                            // No space for it is kept: this only spares reading what will be refused.
                            if out.len().saturating_add(*left) > longest {
                                return Err(Bad::BodyTooLong);
                            }
                        }
                    }
                    at += end + 2;
                }
            }
        }
    }
}

fn chunk_length(line: &[u8]) -> Parsed<usize> {
    let bad = Bad::Malformed("bad chunk");
    let digits = line.split(|b| *b == b';').next().unwrap_or(line);
    let text = std::str::from_utf8(digits)
        .map_err(|_| bad)?
        .trim_end_matches([' ', '\t']);
    if text.is_empty()
        || line.len() > LONGEST_CHUNK_LINE
        || !text.bytes().all(|b| b.is_ascii_hexdigit())
    {
        return Err(bad);
    }
    let text = text.trim_start_matches('0');
    if text.len() > 8 {
        return Err(Bad::BodyTooLong);
    }
    if text.is_empty() {
        Ok(0)
    } else {
        usize::from_str_radix(text, 16).map_err(|_| bad)
    }
}

/// The bytes of an answer.
pub fn answer(status: u16, headers: &[(&str, String)], body: &[u8], close: bool) -> Vec<u8> {
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
