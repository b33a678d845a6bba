//! Incremental reader of `text/event-stream` bodies.
//!
//! It stands between a replica's body and the client, so that a stream that breaks off in the middle of an event
//! can resume elsewhere: only complete events are forwarded, their bytes unchanged. Most chunks consist of
//! complete events and are not copied. Format: HTML standard, server-sent events, §9.2.6.

use bytes::{Bytes, BytesMut};
use snafu::{Snafu, ensure};

/// Largest event, in bytes.
pub const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// An event exceeds [`MAX_EVENT_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("an event is longer than {MAX_EVENT_BYTES} bytes"))]
pub struct EventTooLong;

/// One event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its `id`, if it has one and it is a number.
    pub id: Option<u64>,
    /// Its `data` lines, joined by line feeds.
    pub data: Bytes,
    /// Offset of its end in the bytes of its batch.
    pub end_offset: usize,
}

/// The complete events of one read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EventBatch {
    /// The events as they were received, with all their lines.
    pub bytes: Bytes,
    /// The parsed events. Blocks without data (comments) are in `bytes` only.
    pub events: Vec<Event>,
}

impl EventBatch {
    /// Drops the events up to and including this id, with the bytes before the first event that remains.
    pub fn skip_through(&mut self, last_id: u64) {
        let skipped = self
            .events
            .iter()
            .take_while(|event| event.id.is_some_and(|id| id <= last_id))
            .count();
        if skipped == 0 {
            return;
        }
        let from = self.events[skipped - 1].end_offset;
        self.bytes = self.bytes.slice(from..);
        self.events.drain(..skipped);
        for event in &mut self.events {
            event.end_offset -= from;
        }
    }
}

/// How much of a stream a client has received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StreamPosition {
    /// No event has been forwarded.
    #[default]
    Start,
    /// The event with this id was forwarded last.
    After(u64),
    /// An event without an id was forwarded, so that no replica can resume the stream.
    Unknown,
}

impl StreamPosition {
    /// Records events that are forwarded.
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

    /// The `Last-Event-Id` with which another replica resumes the stream.
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
    /// Takes the next bytes of the body and returns the events that they complete.
    ///
    /// # Errors
    ///
    /// [`EventTooLong`] if an event exceeds [`MAX_EVENT_BYTES`].
    pub fn push(&mut self, chunk: Bytes) -> Result<EventBatch, EventTooLong> {
        let bytes = self.join(chunk);
        let mut events = Vec::new();
        let mut complete = 0;
        let mut pending = PendingEvent::default();
        let mut line_start = 0;
        while let Some(length) = bytes[line_start..].iter().position(|byte| *byte == b'\n') {
            let line_end = line_start + length;
            let line = trim_carriage_return(&bytes, line_start, line_end);
            line_start = line_end + 1;
            if line.is_empty() {
                complete = line_start;
                events.extend(std::mem::take(&mut pending).finish(complete));
            } else {
                pending.add_line(line);
            }
        }
        let rest = &bytes[complete..];
        ensure!(rest.len() <= MAX_EVENT_BYTES, EventTooLongSnafu);
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

    /// Bytes of a last event whose blank line is missing.
    pub fn into_remainder(self) -> Bytes {
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
    if end > start && bytes[end - 1] == b'\r' {
        bytes.slice(start..end - 1)
    } else {
        bytes.slice(start..end)
    }
}

/// The fields of an event whose blank line has not been read.
#[derive(Default)]
struct PendingEvent {
    id: Option<u64>,
    data: Vec<Bytes>,
}

impl PendingEvent {
    fn add_line(&mut self, line: Bytes) {
        if let Some(value) = field_value(&line, b"data") {
            self.data.push(value);
        } else if let Some(value) = field_value(&line, b"id") {
            self.id = std::str::from_utf8(&value)
                .ok()
                .and_then(|text| text.trim().parse().ok());
        }
    }

    fn finish(mut self, end_offset: usize) -> Option<Event> {
        let data = match self.data.len() {
            0 => return None,
            1 => self.data.remove(0),
            _ => Bytes::from(self.data.join(&b'\n')),
        };
        Some(Event {
            id: self.id,
            data,
            end_offset,
        })
    }
}

/// The value of a line that has this field; a single space after the colon is not part of it.
fn field_value(line: &Bytes, name: &[u8]) -> Option<Bytes> {
    let rest = line.strip_prefix(name)?;
    if rest.is_empty() {
        return Some(Bytes::new());
    }
    let value = rest.strip_prefix(b":")?;
    let value = value.strip_prefix(b" ").unwrap_or(value);
    Some(line.slice_ref(value))
}
