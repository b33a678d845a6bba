//! The frames that replicas and co-ordinators exchange, as pure functions over bytes. Owns nothing; must
//! never do I/O or allocate by a length that a frame merely claims.

use std::str::from_utf8;

/// The longest frame taken from a replica: PROTOCOL's longest body; a value is a part of one.
pub const LONGEST: usize = 64 * 1024;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bad(pub &'static str);

/// How a part has ended at a replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum End {
    Ok,
    Error,
    Full,
}

/// What a replica sends.
#[derive(Debug, PartialEq)]
pub enum Frame<'a> {
    /// `O`: the value is the bytes that came.
    Answer {
        id: &'a str,
        end: End,
        score: u64,
        value: &'a [u8],
    },
    /// `I` or `U`: nothing here asks for probes.
    Probe,
    /// `Z`: the words say why the connection is closed.
    Refused(&'a [u8]),
}

/// The first frame of `bytes` and how many of them it takes; None while it has not all come.
pub fn read(bytes: &[u8]) -> Result<Option<(Frame<'_>, usize)>, Bad> {
    let Some((length, rest)) = bytes.split_first_chunk::<4>() else {
        return Ok(None);
    };
    let length = u32::from_le_bytes(*length) as usize;
    if length == 0 || length > LONGEST {
        return Err(Bad("length out of bounds"));
    }
    // An unknown letter need not wait for the rest.
    let letter = rest.first().copied();
    if letter.is_some_and(|l| !b"OIUZ".contains(&l)) {
        return Err(Bad("unknown letter"));
    }
    let Some(body) = rest.get(1..length) else {
        return Ok(None);
    };
    let frame = match letter {
        Some(b'O') => answer(body)?,
        Some(b'Z') => Frame::Refused(body),
        _ => Frame::Probe,
    };
    Ok(Some((frame, 4 + length)))
}

fn answer(body: &[u8]) -> Result<Frame<'_>, Bad> {
    let end_of_line = body
        .iter()
        .position(|b| *b == b'\n')
        .ok_or(Bad("an answer without a line"))?;
    // The fourth word is the report, which nothing here reads: whatever it is, the answer is good.
    let mut words = body[..end_of_line].splitn(4, |b| *b == b' ').map(from_utf8);
    let (Some(Ok(id)), Some(Ok(end)), Some(Ok(score))) = (words.next(), words.next(), words.next())
    else {
        return Err(Bad("a line with too few words"));
    };
    let end = match end {
        "200" => End::Ok,
        "500" => End::Error,
        "503" => End::Full,
        _ => return Err(Bad("unknown end")),
    };
    let score = if score == "-" {
        Some(0)
    } else {
        score.parse().ok()
    };
    let score = score.ok_or(Bad("a score that is not a whole number"))?;
    Ok(Frame::Answer {
        id,
        end,
        score,
        value: &body[end_of_line + 1..],
    })
}

/// One part of a call: its line, and the bytes that follow.
pub fn part(id: &str, shard: u64, list: &str, text: &str) -> Vec<u8> {
    let mut out = format!("{id} {shard} {list} {}\n", text.len()).into_bytes();
    out.extend(text.as_bytes());
    out
}

fn frame(out: &mut Vec<u8>, letter: u8, pieces: &[&[u8]]) {
    let length = 1 + pieces.iter().map(|p| p.len()).sum::<usize>();
    out.extend(u32::try_from(length).unwrap_or(u32::MAX).to_le_bytes());
    out.push(letter);
    pieces.iter().for_each(|p| out.extend(*p));
}

/// `D`: parts that share a call.
pub fn call(out: &mut Vec<u8>, parts: &[&[u8]]) {
    frame(out, b'D', parts);
}

/// `K`: a part is given up.
pub fn give_up(out: &mut Vec<u8>, id: &str) {
    frame(out, b'K', &[id.as_bytes()]);
}
