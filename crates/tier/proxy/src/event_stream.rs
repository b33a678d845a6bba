//! Incremental reader of `text/event-stream` bodies.
//!
//! Only complete events leave the reader, so that a stream that is cut in the middle of an event leaves
//! nothing half sent. The bytes of complete events are handed on unchanged; most chunks hold whole events
//! and are not copied.

use bytes::{Bytes, BytesMut};
use snafu::{Snafu, ensure};

/// Bytes of one event, at most.
pub const LONGEST_EVENT: usize = 1024 * 1024;

/// Why a body is no stream of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("an event is longer than {LONGEST_EVENT} bytes"))]
pub struct EventTooLong;

/// One event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its `id`, if it has one and it is a number.
    pub id: Option<u64>,
    /// Its `data` lines, joined by line feeds.
    pub data: Bytes,
    /// Where it ends in the bytes of its batch.
    pub end: usize,
}

/// The complete events of one read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EventBatch {
    /// The events as they came, with all their lines.
    pub bytes: Bytes,
    /// What they say. Blocks without data (comments) are in `bytes` only.
    pub events: Vec<Event>,
}

impl EventBatch {
    /// Drops the events up to and including this id; what comes before the first one that stays is dropped
    /// too.
    pub fn skip_through(&mut self, last_id: u64) {
        let skipped = self
            .events
            .iter()
            .take_while(|event| event.id.is_some_and(|id| id <= last_id))
            .count();
        if skipped == 0 {
            return;
        }
        let from = self.events[skipped - 1].end;
        self.bytes = self.bytes.slice(from..);
        self.events.drain(..skipped);
        for event in &mut self.events {
            event.end -= from;
        }
    }
}

/// How far a client is in a stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StreamPosition {
    /// Nothing has been passed on.
    #[default]
    Start,
    /// The event with this id was passed on last.
    After(u64),
    /// An event without an id was passed on: nobody can go on from there.
    Unknown,
}

impl StreamPosition {
    /// Notes events that are passed on.
    pub fn advance(&mut self, events: &[Event]) {
        if *self == StreamPosition::Unknown || events.is_empty() {
            return;
        }
        let all_have_ids = events.iter().all(|event| event.id.is_some());
        *self = match events.last().and_then(|event| event.id) {
            Some(id) if all_have_ids => StreamPosition::After(id),
            _ => StreamPosition::Unknown,
        };
    }

    /// The `Last-Event-Id` for another replica.
    pub fn resume_after(self) -> Option<u64> {
        match self {
            StreamPosition::After(id) => Some(id),
            StreamPosition::Start | StreamPosition::Unknown => None,
        }
    }
}

/// Splits a body into events.
#[derive(Debug, Default)]
pub struct EventReader {
    partial: BytesMut,
}

impl EventReader {
    /// Takes the next bytes of the body and gives the events that they complete.
    pub fn push(&mut self, chunk: Bytes) -> Result<EventBatch, EventTooLong> {
        let bytes = self.join(chunk);
        let mut events = Vec::new();
        let mut complete = 0;
        let mut block = Block::default();
        let mut line_start = 0;
        while let Some(length) = bytes[line_start..].iter().position(|byte| *byte == b'\n') {
            let line_end = line_start + length;
            let line = trim_carriage_return(&bytes, line_start, line_end);
            line_start = line_end + 1;
            if line.is_empty() {
                complete = line_start;
                events.extend(std::mem::take(&mut block).finish(complete));
            } else {
                block.take_line(line);
            }
        }
        let rest = &bytes[complete..];
        ensure!(rest.len() <= LONGEST_EVENT, EventTooLongSnafu);
        self.partial.extend_from_slice(rest);
        Ok(EventBatch {
            bytes: bytes.slice(..complete),
            events,
        })
    }

    /// Whether the body would end in the middle of an event if it ended here.
    pub fn is_inside_event(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Bytes of an event that the end of the body left without its blank line.
    pub fn into_rest(self) -> Bytes {
        self.partial.freeze()
    }

    fn join(&mut self, chunk: Bytes) -> Bytes {
        if self.partial.is_empty() {
            return chunk;
        }
        self.partial.extend_from_slice(&chunk);
        self.partial.split().freeze()
    }
}

fn trim_carriage_return(bytes: &Bytes, start: usize, end: usize) -> Bytes {
    match end > start && bytes[end - 1] == b'\r' {
        true => bytes.slice(start..end - 1),
        false => bytes.slice(start..end),
    }
}

/// The lines of an event that has not ended.
#[derive(Default)]
struct Block {
    id: Option<u64>,
    data: Vec<Bytes>,
}

impl Block {
    fn take_line(&mut self, line: Bytes) {
        if let Some(value) = field_value(&line, b"data") {
            self.data.push(value);
        } else if let Some(value) = field_value(&line, b"id") {
            self.id = std::str::from_utf8(&value)
                .ok()
                .and_then(|text| text.trim().parse().ok());
        }
    }

    fn finish(mut self, end: usize) -> Option<Event> {
        let data = match self.data.len() {
            0 => return None,
            1 => self.data.remove(0),
            _ => Bytes::from(self.data.join(&b'\n')),
        };
        Some(Event {
            id: self.id,
            data,
            end,
        })
    }
}

/// The value of a line that has this field; a single space behind the colon does not belong to it.
fn field_value(line: &Bytes, name: &[u8]) -> Option<Bytes> {
    let rest = line.strip_prefix(name)?;
    if rest.is_empty() {
        return Some(Bytes::new());
    }
    let value = rest.strip_prefix(b":")?;
    let value = value.strip_prefix(b" ").unwrap_or(value);
    Some(line.slice_ref(value))
}
