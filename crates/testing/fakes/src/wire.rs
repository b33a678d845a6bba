//! The protocol as its other sides see it: frames that a replica reads and writes, requests that a client
//! writes and answers that it reads. Pure functions over bytes; must never share code with a co-ordinator.

/// A frame as it came: its letter and the rest.
#[derive(Clone, Debug, PartialEq)]
pub struct Frame {
    pub letter: u8,
    pub rest: Vec<u8>,
}

/// One part of a call.
#[derive(Clone, Debug, PartialEq)]
pub struct Part {
    pub search: String,
    pub shard: u64,
    pub fetch: bool,
    /// How long the co-ordinator waits, in seconds.
    pub wait: f64,
    pub from: Vec<u64>,
    pub whole: Option<bool>,
    pub text: String,
}

/// An answer to a client as it came.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    pub status: u16,
    /// Seconds.
    pub retry_after: Option<f64>,
    pub closes: bool,
    pub body: Vec<u8>,
}

/// The first frame in `bytes`, and how many of them it takes.
pub fn frame(bytes: &[u8]) -> Option<(Frame, usize)> {
    let length = u32::from_le_bytes(bytes.get(..4)?.try_into().ok()?) as usize;
    let body = bytes.get(4..4 + length)?;
    let (letter, rest) = body.split_first()?;
    Some((
        Frame {
            letter: *letter,
            rest: rest.to_vec(),
        },
        4 + length,
    ))
}

/// The parts of a call, or what is wrong with it.
pub fn parts_of(mut rest: &[u8]) -> Result<Vec<Part>, String> {
    let mut parts = Vec::new();
    while !rest.is_empty() {
        let end = rest
            .iter()
            .position(|b| *b == b'\n')
            .ok_or("a part without a line")?;
        let line = std::str::from_utf8(&rest[..end]).map_err(|e| e.to_string())?;
        let words: Vec<&str> = line.split(' ').collect();
        let [id, shard, list, length] = words[..] else {
            return Err(format!("not four words: {line}"));
        };
        let number = |text: &str| {
            text.parse::<u64>()
                .map_err(|_| format!("not a number: {text} in {line}"))
        };
        let (shard, length) = (number(shard)?, number(length)? as usize);
        let text = rest
            .get(end + 1..end + 1 + length)
            .ok_or("a text that is cut short")?;
        let (id, fetch) = id
            .strip_suffix(".fetch")
            .map_or((id, false), |id| (id, true));
        let (search, named) = id
            .rsplit_once('.')
            .ok_or(format!("an id without a shard: {id}"))?;
        if number(named)? != shard {
            return Err(format!("an id of another shard: {line}"));
        }
        let (mut wait, mut from, mut whole) = (None, Vec::new(), None);
        for entry in list.split(',') {
            match entry.split_once('=') {
                Some(("d", ms)) => wait = Some(number(ms)? as f64 / 1000.0),
                Some(("from", shards)) => {
                    for shard in shards.split('+').filter(|s| !s.is_empty()) {
                        from.push(number(shard)?);
                    }
                }
                Some(("whole", flag)) => whole = Some(flag == "1"),
                _ => return Err(format!("an unknown entry: {line}")),
            }
        }
        parts.push(Part {
            search: search.to_string(),
            shard,
            fetch,
            wait: wait.ok_or("no d")?,
            from,
            whole,
            text: String::from_utf8(text.to_vec()).map_err(|e| e.to_string())?,
        });
        rest = &rest[end + 1 + length..];
    }
    Ok(parts)
}

fn framed(letter: u8, rest: &[u8]) -> Vec<u8> {
    let mut out = ((rest.len() + 1) as u32).to_le_bytes().to_vec();
    out.push(letter);
    out.extend(rest);
    out
}

/// `O`: the id, its end (`200`, `500` or `503`), the score and the value.
pub fn answer_frame(id: &str, end: &str, score: Option<u64>, value: &str) -> Vec<u8> {
    let score = score.map_or("-".to_string(), |s| s.to_string());
    framed(b'O', format!("{id} {end} {score} -\n{value}").as_bytes())
}

/// A client's request: parts with their weights, and the text that each part carries.
pub fn request(
    path: &str,
    search: &str,
    tenant: &str,
    expires: f64,
    again: bool,
    parts: &[(u64, f64)],
    text: &str,
) -> Vec<u8> {
    let parts: Vec<String> = parts
        .iter()
        .map(|(id, w)| format!(r#"{{"id":{id},"w":{w}}}"#))
        .collect();
    let body = format!(r#"{{"parts":[{}],"expr":"{text}"}}"#, parts.join(","));
    let again = if again { "X-Second-Try: 1\r\n" } else { "" };
    format!(
        "POST /{path} HTTP/1.1\r\nHost: app\r\nX-Trace-Id: {search}\r\nX-Qos: {path}\r\n\
         X-Customer: {tenant}\r\n\
         X-Expires-In: {expires:.3}\r\n{again}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// The first answer in `bytes`, and how many of them it takes; an error for what no client could read.
pub fn response(bytes: &[u8]) -> Result<Option<(Message, usize)>, String> {
    let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") else {
        return Ok(None);
    };
    let head = std::str::from_utf8(&bytes[..end]).map_err(|e| e.to_string())?;
    let mut lines = head.split("\r\n");
    let first = lines.next().unwrap_or("");
    let status = first
        .strip_prefix("HTTP/1.1 ")
        .and_then(|r| r.get(..3))
        .and_then(|s| s.parse().ok());
    let status = status.ok_or(format!("not an answer: {first}"))?;
    let (mut length, mut retry_after, mut closes) = (None, None, false);
    for line in lines {
        let (name, value) = line
            .split_once(':')
            .ok_or(format!("not a header: {line}"))?;
        let value = value.trim();
        match name.to_ascii_lowercase().as_str() {
            "content-length" => length = value.parse::<usize>().ok(),
            "retry-after" => retry_after = value.parse().ok(),
            "connection" => closes = value.eq_ignore_ascii_case("close"),
            _ => {}
        }
    }
    let length = length.ok_or("an answer without its length")?;
    let Some(body) = bytes.get(end + 4..end + 4 + length) else {
        return Ok(None);
    };
    Ok(Some((
        Message {
            status,
            retry_after,
            closes,
            body: body.to_vec(),
        },
        end + 4 + length,
    )))
}

impl Message {
    /// Whether a served answer is marked whole, and its rows in the order in which they stand.
    pub fn rows(&self) -> Result<(bool, Vec<(u64, String)>), String> {
        let text = std::str::from_utf8(&self.body).map_err(|e| e.to_string())?;
        let rest = text.strip_prefix(r#"{"exact":"#).ok_or("no exact")?;
        let (whole, rest) = match rest.strip_prefix("true") {
            Some(rest) => (true, rest),
            None => (
                false,
                rest.strip_prefix("false").ok_or("neither true nor false")?,
            ),
        };
        let rest = rest
            .strip_prefix(r#","rows":["#)
            .and_then(|r| r.strip_suffix("]}"))
            .ok_or("no rows")?;
        let mut rows = Vec::new();
        for row in rest.split("},").filter(|r| !r.is_empty()) {
            let row = row.trim_start_matches('{').trim_end_matches('}');
            let (id, data) = row
                .split_once(r#","data":""#)
                .ok_or(format!("not a row: {row}"))?;
            let id = id.strip_prefix(r#""id":"#).and_then(|id| id.parse().ok());
            let data = data.strip_suffix('"').ok_or(format!("not a row: {row}"))?;
            rows.push((id.ok_or(format!("not a row: {row}"))?, data.to_string()));
        }
        Ok((whole, rows))
    }
}
