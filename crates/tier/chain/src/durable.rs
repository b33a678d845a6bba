//! The durable state of a member, and the records that change it.
//!
//! The driver appends each [`Record`] to a log and syncs it. A restart decodes the last snapshot and
//! applies the records that follow it in order. Every step on which other members rely is persisted first: a
//! promise and an acceptance before they are reported, a write before it is forwarded or committed.

use snafu::{OptionExt, ResultExt, Snafu};
use speedy::{Endianness, Readable, Writable};

use crate::ballot::{Accepted, Promise};
use crate::state::{Command, ControlState, WritePosition};
use crate::view::View;

/// Version of the format of records and snapshots.
const FORMAT_VERSION: u8 = 1;

/// Why a record or a snapshot can't be read.
#[derive(Debug, Snafu)]
pub enum RecordError {
    /// There are no bytes, so the version byte is missing.
    #[snafu(display("the record is empty"))]
    Empty,
    /// Another version of the format.
    #[snafu(display("format version {found}, expected {FORMAT_VERSION}"))]
    Version {
        /// Version that was found.
        found: u8,
    },
    /// The bytes after the version are not a record or snapshot of this version.
    #[snafu(display("malformed record"))]
    Malformed {
        /// Error of the decoder.
        source: speedy::Error,
    },
}

/// One change of [`Durable`]. Variants are encoded by position: add new ones at the end.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum Record {
    /// A promise in the instance of `promise.epoch`; seals that epoch.
    Promise(Promise),
    /// An accepted proposal for the view after the current one.
    Accept(Accepted),
    /// A decided view.
    View(View),
    /// The member becomes active in this epoch and appends its writes from this record on.
    Activate(u64),
    /// The predecessor's state replaces the member's, and the epoch is activated.
    State {
        /// Epoch that becomes active.
        epoch: u64,
        /// The predecessor's state.
        state: ControlState,
    },
    /// A replicated write.
    Write {
        /// Position of the write; must be above that of the state.
        position: WritePosition,
        /// The change.
        command: Command,
    },
}

/// An epoch in which nothing was committed, because a member of its chain was never active in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct IdleEpoch {
    /// The epoch.
    pub epoch: u64,
    /// Floor of the epoch's view. A member that was active in the floor or in a later epoch has every write
    /// committed up to and including `epoch`.
    pub floor: u64,
}

/// Maximum number of idle epochs that a member records; the oldest is dropped first.
const MAX_IDLE_EPOCHS: usize = 8;

/// The durable state of a member: the result of applying its records in order.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Durable {
    /// Identity of the disk, drawn when it is first used. Never changes.
    pub identity: u64,
    /// Whether the disk was first used in the first start of the whole system. Only then may the member vote in
    /// epoch 0.
    pub bootstrap: bool,
    /// The newest decided view that the member knows. Its epoch never decreases.
    pub view: View,
    /// The last promise. Binding only if its epoch is that of `view`; see
    /// [`current_promise`](Self::current_promise).
    pub promise: Option<Promise>,
    /// The accepted proposal with the highest ballot for the view after `view`. Cleared by every new view.
    pub accepted: Option<Accepted>,
    /// The last epoch in which the member was active. Must not be above the epoch of `view`.
    pub active_epoch: u64,
    /// The state with every write, committed or not.
    pub state: ControlState,
    /// Epochs known to have committed nothing, oldest first. Must remain the last field: snapshots of earlier
    /// versions end before it.
    #[speedy(default_on_eof)]
    pub idle_epochs: Vec<IdleEpoch>,
}

impl Durable {
    /// The durable state of a disk that is used for the first time. `bootstrap` must be set only in the first
    /// start of the whole system, where `view` is [`View::bootstrap`].
    pub fn new(identity: u64, bootstrap: bool, view: View) -> Durable {
        Durable {
            identity,
            bootstrap,
            view,
            promise: None,
            accepted: None,
            active_epoch: 0,
            state: ControlState::default(),
            idle_epochs: Vec::new(),
        }
    }

    /// Applies one record. Records must be applied in the order in which the member wrote them.
    pub fn apply(&mut self, record: &Record) {
        match record {
            Record::Promise(promise) => self.promise = Some(*promise),
            Record::Accept(accepted) => self.accepted = Some(accepted.clone()),
            Record::View(view) => {
                self.record_idle_epoch();
                self.view = view.clone();
                self.accepted = None;
            }
            Record::Activate(epoch) => self.active_epoch = *epoch,
            Record::State { epoch, state } => {
                self.active_epoch = *epoch;
                self.state = state.clone();
            }
            Record::Write { position, command } => self.state.apply(*position, command),
        }
    }

    /// Records the current epoch, which is about to end, as idle if this member is in its chain and was never
    /// active in it.
    fn record_idle_epoch(&mut self) {
        let View { epoch, floor, .. } = self.view;
        let is_in_chain = self
            .view
            .chain
            .iter()
            .any(|member| member.identity == self.identity);
        if is_in_chain && self.active_epoch < epoch {
            if self.idle_epochs.len() == MAX_IDLE_EPOCHS {
                self.idle_epochs.remove(0);
            }
            self.idle_epochs.push(IdleEpoch { epoch, floor });
        }
    }

    /// The promise in the instance of the current epoch.
    pub fn current_promise(&self) -> Option<Promise> {
        self.promise
            .filter(|promise| promise.epoch == self.view.epoch)
    }

    /// Whether the current epoch is sealed, so that the member accepts no more writes of it.
    pub fn is_sealed(&self) -> bool {
        self.current_promise().is_some()
    }

    /// The state as a snapshot, with a leading version byte.
    pub fn encode(&self) -> Vec<u8> {
        encode_versioned(self)
    }

    /// Decodes a snapshot.
    ///
    /// # Errors
    ///
    /// [`RecordError`] if the bytes are empty, of another version, or not a snapshot.
    pub fn decode(bytes: &[u8]) -> Result<Durable, RecordError> {
        decode_versioned(bytes)
    }
}

impl Record {
    /// The record as it is written to the log, with a leading version byte.
    pub fn encode(&self) -> Vec<u8> {
        encode_versioned(self)
    }

    /// Decodes a record of the log.
    ///
    /// # Errors
    ///
    /// [`RecordError`] if the bytes are empty, of another version, or not a record.
    pub fn decode(bytes: &[u8]) -> Result<Record, RecordError> {
        decode_versioned(bytes)
    }
}

/// A version byte, followed by the value.
fn encode_versioned<T: Writable<Endianness>>(value: &T) -> Vec<u8> {
    let mut bytes = vec![FORMAT_VERSION];
    // Writing to a vector fails only if a length exceeds 32 bits, which the bounds on the values exclude.
    value
        .write_to_stream_with_ctx(Endianness::LittleEndian, &mut bytes)
        .expect("lengths within 32 bits");
    bytes
}

fn decode_versioned<'a, T: Readable<'a, Endianness>>(bytes: &'a [u8]) -> Result<T, RecordError> {
    let (&version, rest) = bytes.split_first().context(EmptySnafu)?;
    if version != FORMAT_VERSION {
        return VersionSnafu { found: version }.fail();
    }
    T::read_from_buffer_with_ctx(Endianness::LittleEndian, rest).context(MalformedSnafu)
}
