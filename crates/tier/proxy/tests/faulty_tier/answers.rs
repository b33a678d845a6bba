//! Bytes of answers.

const EVENTS: usize = 4;

/// How the end of a body is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Framing {
    Length,
    Chunks,
    EndOfConnection,
}

/// An answer's head and body.
pub(super) fn answer(
    id: &str,
    status: &str,
    lines: &str,
    framing: Framing,
    body: &[u8],
) -> Vec<u8> {
    let framed = match framing {
        Framing::Length => format!("Content-Length: {}\r\n", body.len()),
        Framing::Chunks => "Transfer-Encoding: chunked\r\n".to_owned(),
        Framing::EndOfConnection => String::new(),
    };
    let mut bytes =
        format!("HTTP/1.1 {status}\r\nRequest-Id: {id}\r\n{lines}{framed}\r\n").into_bytes();
    if framing == Framing::Chunks {
        bytes.extend_from_slice(format!("{:x}\r\n", body.len()).as_bytes());
        bytes.extend_from_slice(body);
        bytes.extend_from_slice(b"\r\n0\r\n\r\n");
    } else {
        bytes.extend_from_slice(body);
    }
    bytes
}

/// The events of a request's stream after the one with this id.
pub(super) fn stream_body(id: &str, after: usize) -> Vec<u8> {
    let event = |number: usize| format!("id: {number}\ndata: {id}-{number}\n\n");
    (after + 1..=EVENTS)
        .map(event)
        .collect::<String>()
        .into_bytes()
}
