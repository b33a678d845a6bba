//! Turns of a conversation: a client's input and the events of the answer, as clients use them ([`Turn`]) and as they
//! are sent and stored ([`TurnRecord`]).

use std::sync::Arc;
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use speedy::{Readable, Writable};

/// Key of a turn.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct TurnKey {
    /// Program to which the turn belongs.
    pub program: String,
    /// `Request-Id` of the turn.
    pub request_id: String,
}

impl TurnKey {
    /// Key of the turn of `program` with this `Request-Id`.
    #[must_use]
    pub fn new(program: &str, request_id: &str) -> TurnKey {
        TurnKey {
            program: program.to_owned(),
            request_id: request_id.to_owned(),
        }
    }
}

/// A turn with its complete answer. Turns are immutable.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Turn {
    /// Program to which the turn belongs.
    pub program: String,
    /// Session of the turn within the program.
    pub session: String,
    /// `Request-Id` of the turn.
    pub request_id: String,
    /// Turn that this one continues; `None` for the first of a chain.
    pub previous: Option<TurnKey>,
    /// The client's new input.
    pub input: Bytes,
    /// Data of each event of the answer.
    pub events: Vec<Bytes>,
    /// Retention of the turn and its chain, from the end of the answer.
    pub retention: Duration,
}

impl Turn {
    /// Key of the turn.
    #[must_use]
    pub fn key(&self) -> TurnKey {
        TurnKey::new(&self.program, &self.request_id)
    }

    /// Approximate bytes of the turn in memory.
    #[must_use]
    pub fn size(&self) -> usize {
        let events: usize = self
            .events
            .iter()
            .map(|event| event.len() + size_of::<Bytes>())
            .sum();
        size_of::<Turn>() + self.input.len() + events
    }

    /// The turn as it is sent and stored under `program`. A turn that another program continues is copied into that
    /// program's group, so that a whole chain is stored by one group.
    #[must_use]
    pub fn to_record(&self, program: &str) -> TurnRecord {
        TurnRecord {
            program: program.to_owned(),
            session: self.session.clone(),
            request_id: self.request_id.clone(),
            previous: self.previous.as_ref().map(|key| key.request_id.clone()),
            retention_ms: u64::try_from(self.retention.as_millis()).unwrap_or(u64::MAX),
            content: encode_content(&self.input, &self.events),
        }
    }
}

/// A turn as it is sent and stored. Its content is opaque to the storage machines.
#[derive(Debug, Clone, PartialEq, Eq, Readable, Writable)]
pub struct TurnRecord {
    /// Program in whose group the turn is stored.
    pub program: String,
    /// Session of the turn within the program.
    pub session: String,
    /// `Request-Id` of the turn.
    pub request_id: String,
    /// `Request-Id` of the turn of the same program that this one continues; `None` for the first of a chain.
    pub previous: Option<String>,
    /// Retention from the end of the answer, in milliseconds.
    pub retention_ms: u64,
    /// Input and events, each prefixed by its length (4 bytes, little endian).
    pub content: Vec<u8>,
}

impl TurnRecord {
    /// Key of the turn.
    #[must_use]
    pub fn key(&self) -> TurnKey {
        TurnKey::new(&self.program, &self.request_id)
    }

    /// Approximate bytes of the record in memory.
    #[must_use]
    pub fn size(&self) -> usize {
        size_of::<TurnRecord>() + self.program.len() + self.request_id.len() + self.content.len()
    }

    /// The turn; `None` if the content is malformed.
    #[must_use]
    pub fn into_turn(self) -> Option<Turn> {
        let (input, events) = decode_content(self.content.into())?;
        let program = self.program;
        let previous = self
            .previous
            .map(|request_id| TurnKey::new(&program, &request_id));
        Some(Turn {
            program,
            session: self.session,
            request_id: self.request_id,
            previous,
            input,
            events,
            retention: Duration::from_millis(self.retention_ms),
        })
    }
}

/// The turn `newest` and its ancestors, newest first, up to the first that `previous` does not find among the
/// `known` turns.
///
/// Turns of a faulty sender may form a cycle, so at most `known + 1` turns are returned.
pub(crate) fn ancestry<'a, T>(
    newest: Option<&'a Arc<T>>,
    known: usize,
    previous: impl Fn(&T) -> Option<&'a Arc<T>>,
) -> impl Iterator<Item = &'a Arc<T>> {
    std::iter::successors(newest, move |turn| previous(turn)).take(known + 1)
}

/// Encodes the input and the events, each prefixed by its length (4 bytes, little endian).
fn encode_content(input: &Bytes, events: &[Bytes]) -> Vec<u8> {
    let length: usize = events.iter().map(|event| 4 + event.len()).sum();
    let mut content = BytesMut::with_capacity(4 + input.len() + length);
    for part in std::iter::once(input).chain(events) {
        content.put_u32_le(u32::try_from(part.len()).expect("a part is shorter than 4 GiB"));
        content.put_slice(part);
    }
    content.into()
}

/// Decodes the output of [`encode_content`]; `None` if it is truncated or empty.
fn decode_content(mut content: Bytes) -> Option<(Bytes, Vec<Bytes>)> {
    let mut parts = Vec::new();
    while !content.is_empty() {
        let length = u32::from_le_bytes(content.get(..4)?.try_into().ok()?) as usize;
        if content.len() < 4 + length {
            return None;
        }
        parts.push(content.slice(4..4 + length));
        content = content.slice(4 + length..);
    }
    let mut parts = parts.into_iter();
    Some((parts.next()?, parts.collect()))
}
