//! Heads of requests and responses.

use super::{Framing, MAX_BODY, MAX_HEAD, ParseError};

/// The head of a request or a response.
#[derive(Debug, PartialEq)]
pub struct Head {
    /// Of a request: method, target, version. Of a response: version, status, reason.
    start_line: [String; 3],
    /// Names in lower case, with their values.
    headers: Vec<(String, String)>,
    /// Bytes that the head takes, the empty line included.
    pub length: usize,
}

impl Head {
    /// A request's method.
    pub fn method(&self) -> &str {
        &self.start_line[0]
    }

    /// A request's target without its query.
    pub fn path(&self) -> &str {
        self.start_line[1].split('?').next().unwrap_or("")
    }

    /// A response's status.
    pub fn status(&self) -> &str {
        &self.start_line[1]
    }

    /// The value of a header, its name in lower case; the first if there are several.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.values(name).next()
    }

    fn values<'a, 'n>(&'a self, name: &'n str) -> impl Iterator<Item = &'a str> + use<'a, 'n> {
        self.headers
            .iter()
            .filter(move |(n, _)| n == name)
            .map(|(_, v)| v.as_str())
    }

    fn has_token(&self, name: &str, token: &str) -> bool {
        self.values(name)
            .flat_map(|v| v.split(','))
            .any(|t| t.trim().eq_ignore_ascii_case(token))
    }

    /// Whether the connection ends after this message.
    pub fn closes(&self) -> bool {
        self.has_token("connection", "close")
            || (self.start_line.iter().any(|part| part == "HTTP/1.0")
                && !self.has_token("connection", "keep-alive"))
    }

    /// Whether the client waits for status 100 before it sends the body.
    pub fn expects_continue(&self) -> bool {
        self.has_token("expect", "100-continue")
    }

    /// [`Head::framing`] of a response, which may be longer than a request's body.
    ///
    /// # Errors
    ///
    /// [`ParseError`] where the body's end is not stated in one way that can be read.
    pub fn response_framing(&self) -> Result<Framing, ParseError> {
        match self.framing() {
            Err(ParseError::BodyTooLong) => Ok(Framing::Length(
                self.header("content-length")
                    .and_then(|v| v.parse().ok())
                    .ok_or(ParseError::BodyTooLong)?,
            )),
            other => other,
        }
    }

    /// How the body is delimited.
    ///
    /// # Errors
    ///
    /// [`ParseError`] where the body's end is not stated in one way that can be read, or beyond [`MAX_BODY`].
    pub fn framing(&self) -> Result<Framing, ParseError> {
        let mut lengths = self.values("content-length");
        let codings: Vec<&str> = self.values("transfer-encoding").collect();
        let length = lengths.next();
        // Two readings of one message are how requests are smuggled (RFC 9112 §11.2).
        if (!codings.is_empty() && length.is_some()) || lengths.next().is_some() {
            return Err(malformed("more than one length"));
        }
        if let Some(coding) = codings.first() {
            let chunked = codings.len() == 1 && coding.eq_ignore_ascii_case("chunked");
            return if chunked {
                Ok(Framing::Chunked)
            } else {
                Err(malformed("unknown coding"))
            };
        }
        let Some(text) = length else {
            return Ok(Framing::None);
        };
        if text.is_empty() || !text.bytes().all(|b| b.is_ascii_digit()) {
            return Err(malformed("bad length"));
        }
        match text.parse() {
            Ok(n) if n <= MAX_BODY => Ok(Framing::Length(n)),
            _ => Err(ParseError::BodyTooLong),
        }
    }
}

pub(super) fn malformed(reason: &'static str) -> ParseError {
    ParseError::Malformed { reason }
}

fn is_token(text: &str) -> bool {
    !text.is_empty()
        && text
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b))
}

fn is_forbidden_control(byte: u8) -> bool {
    (byte < 0x20 && !matches!(byte, b'\r' | b'\n' | b'\t')) || byte == 0x7f
}

/// The head at the start of `bytes`; `None` while it is incomplete.
///
/// # Errors
///
/// [`ParseError`] where it is not the head of a message, or longer than [`MAX_HEAD`].
pub fn parse_head(bytes: &[u8]) -> Result<Option<Head>, ParseError> {
    let seen = &bytes[..bytes.len().min(MAX_HEAD)];
    let Some(end) = seen.windows(4).position(|w| w == b"\r\n\r\n") else {
        return if bytes.len() >= MAX_HEAD {
            Err(ParseError::HeadTooLong)
        } else {
            Ok(None)
        };
    };
    let text = std::str::from_utf8(&seen[..end]).map_err(|_| malformed("head is not UTF-8"))?;
    if text.bytes().any(is_forbidden_control) {
        return Err(malformed("control character in the head"));
    }
    let mut lines = text.split("\r\n");
    let start_line = parse_start_line(lines.next().unwrap_or(""))?;
    let headers = lines.map(parse_header).collect::<Result<_, _>>()?;
    Ok(Some(Head {
        start_line,
        headers,
        length: end + 4,
    }))
}

/// The three components of a start line, of which the last may be empty.
fn parse_start_line(line: &str) -> Result<[String; 3], ParseError> {
    let mut components = line.splitn(3, ' ').map(str::to_string);
    let (Some(first), Some(second)) = (components.next(), components.next()) else {
        return Err(malformed("bad first line"));
    };
    Ok([first, second, components.next().unwrap_or_default()])
}

fn parse_header(line: &str) -> Result<(String, String), ParseError> {
    let (name, value) = line
        .split_once(':')
        .ok_or(malformed("a header without a colon"))?;
    if !is_token(name) || value.contains(['\r', '\n']) {
        return Err(malformed("bad header"));
    }
    let value = value.trim_matches([' ', '\t']);
    Ok((name.to_ascii_lowercase(), value.to_string()))
}

/// [`parse_head`], as that of a request.
///
/// # Errors
///
/// [`ParseError`] where it is not the head of an HTTP/1.1 request.
pub fn parse_request(bytes: &[u8]) -> Result<Option<Head>, ParseError> {
    let Some(head) = parse_head(bytes)? else {
        return Ok(None);
    };
    let [method, target, version] = &head.start_line;
    if !is_token(method) || !target.starts_with('/') || target.contains(['\r', '\n']) {
        return Err(malformed("bad first line"));
    }
    match version.as_str() {
        "HTTP/1.1" | "HTTP/1.0" => Ok(Some(head)),
        v if v.starts_with("HTTP/") && !v.contains(' ') => Err(ParseError::UnsupportedVersion),
        _ => Err(malformed("bad first line")),
    }
}
