//! HTTP requests of clients and the responses to them.

use crate::client::SearchRequest;
use snafu::{OptionExt, ResultExt, Snafu};
use std::str::Utf8Error;

/// A response to a client.
pub(crate) struct Response {
    pub(crate) status: u16,
    /// Value of the `Retry-After` header in seconds; `None` if it is absent or not a number.
    pub(crate) retry_after: Option<f64>,
    /// Whether the co-ordinator closes the connection after the response.
    pub(crate) closes: bool,
    body: Vec<u8>,
}

/// The results in a response.
pub(crate) struct Rows {
    /// Whether the response is marked complete.
    pub(crate) complete: bool,
    /// Shards with their values, in the order of the response.
    pub(crate) rows: Vec<(u64, String)>,
}

/// Why a response is malformed.
#[derive(Debug, Snafu)]
pub(crate) enum ResponseError {
    #[snafu(display("{source}"))]
    Encoding { source: Utf8Error },
    #[snafu(display("expected a status line of HTTP, got: {line}"))]
    NotAResponse { line: String },
    #[snafu(display("expected a header line, got: {line}"))]
    NotAHeader { line: String },
    #[snafu(display("response has no valid Content-Length"))]
    MissingLength,
    #[snafu(display("body does not start with the field \"exact\""))]
    MissingExact,
    #[snafu(display("value of \"exact\" is neither true nor false"))]
    NotABoolean,
    #[snafu(display("body has no list \"rows\" after \"exact\""))]
    MissingRows,
    #[snafu(display("expected a row with \"id\" and \"data\", got: {row}"))]
    NotARow { row: String },
}

/// Encodes the HTTP request of a client.
pub(crate) fn encode_request(request: &SearchRequest) -> Vec<u8> {
    let SearchRequest {
        search,
        path,
        tenant,
        text,
        timeout,
        ..
    } = request;
    let parts: Vec<String> = request
        .parts
        .iter()
        .map(|(id, w)| format!(r#"{{"id":{id},"w":{w}}}"#))
        .collect();
    let body = format!(r#"{{"parts":[{}],"expr":"{text}"}}"#, parts.join(","));
    let retry = if request.is_retry {
        "X-Second-Try: 1\r\n"
    } else {
        ""
    };
    format!(
        "POST /{path} HTTP/1.1\r\nHost: app\r\nX-Trace-Id: {search}\r\nX-Qos: {path}\r\n\
         X-Customer: {tenant}\r\n\
         X-Expires-In: {timeout:.3}\r\n{retry}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Parses the first response in `bytes`. Returns it with its length in bytes; `None` if it is incomplete.
pub(crate) fn parse_response(bytes: &[u8]) -> Result<Option<(Response, usize)>, ResponseError> {
    let Some(head_end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") else {
        return Ok(None);
    };
    let head = std::str::from_utf8(&bytes[..head_end]).context(EncodingSnafu)?;
    let mut lines = head.split("\r\n");
    let line = lines.next().unwrap_or("");
    let status = line
        .strip_prefix("HTTP/1.1 ")
        .and_then(|r| r.get(..3))
        .and_then(|s| s.parse().ok())
        .context(NotAResponseSnafu { line })?;
    let (mut length, mut retry_after, mut closes) = (None, None, false);
    for line in lines {
        let (name, value) = line.split_once(':').context(NotAHeaderSnafu { line })?;
        let value = value.trim();
        match name.to_ascii_lowercase().as_str() {
            "content-length" => length = value.parse::<usize>().ok(),
            "retry-after" => retry_after = value.parse().ok(),
            "connection" => closes = value.eq_ignore_ascii_case("close"),
            _ => {}
        }
    }
    let body_start = head_end + 4;
    let end = body_start + length.context(MissingLengthSnafu)?;
    let response = bytes.get(body_start..end).map(|body| Response {
        status,
        retry_after,
        closes,
        body: body.to_vec(),
    });
    Ok(response.map(|response| (response, end)))
}

fn parse_row(row: &str) -> Option<(u64, String)> {
    let row = row.trim_start_matches('{').trim_end_matches('}');
    let (id, data) = row.split_once(r#","data":""#)?;
    let id = id.strip_prefix(r#""id":"#)?.parse().ok()?;
    Some((id, data.strip_suffix('"')?.to_string()))
}

impl Response {
    /// Parses the results in the body.
    pub(crate) fn rows(&self) -> Result<Rows, ResponseError> {
        let text = std::str::from_utf8(&self.body).context(EncodingSnafu)?;
        let rest = text
            .strip_prefix(r#"{"exact":"#)
            .context(MissingExactSnafu)?;
        let (complete, rest) = match rest.strip_prefix("true") {
            Some(rest) => (true, rest),
            None => (false, rest.strip_prefix("false").context(NotABooleanSnafu)?),
        };
        let rest = rest
            .strip_prefix(r#","rows":["#)
            .and_then(|r| r.strip_suffix("]}"))
            .context(MissingRowsSnafu)?;
        let rows = rest
            .split("},")
            .filter(|row| !row.is_empty())
            .map(|row| parse_row(row).context(NotARowSnafu { row }))
            .collect::<Result<_, _>>()?;
        Ok(Rows { complete, rows })
    }
}
