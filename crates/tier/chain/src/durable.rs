//! What a member has on its disk.

use snafu::{OptionExt, ResultExt, Snafu};
use speedy::{Endianness, Readable, Writable};

use crate::ballot::{Accepted, Promise};
use crate::state::{Command, ControlState, Stamp};
use crate::view::View;

/// Version of the format of records and snapshots.
const FORMAT_VERSION: u8 = 1;

/// A record or snapshot that can't be read.
#[derive(Debug, Snafu)]
pub enum RecordError {
    #[snafu(display("the record is empty"))]
    Empty,
    #[snafu(display("format version {found}, expected {FORMAT_VERSION}"))]
    Version { found: u8 },
    #[snafu(display("malformed record"))]
    Malformed { source: speedy::Error },
}

/// One change of [`Durable`].
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum Record {
    /// A promise on the view after the one of `promise.epoch`; seals that epoch.
    Promise(Promise),
    /// A vote on the view after the current one.
    Accept(Accepted),
    /// A decided view.
    View(View),
    /// From here on the state takes the writes of this epoch.
    Activate(u64),
    /// The predecessor's state; activates the epoch too.
    State { epoch: u64, state: ControlState },
    /// A write of the chain.
    Write { stamp: Stamp, command: Command },
}

/// An epoch in whose chain a member was without ever having been active: nothing was committed in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct IdleEpoch {
    pub epoch: u64,
    /// The floor of its view: whoever was active there holds what was committed up to `epoch` too.
    pub floor: u64,
}

/// How many idle epochs are remembered.
const MAX_IDLE_EPOCHS: usize = 8;

/// The state of a member's disk: the result of its records, in order.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Durable {
    /// Identity of the disk.
    pub identity: u64,
    /// Whether the disk was first used in the very first start of the system.
    pub bootstrap: bool,
    pub view: View,
    /// The last promise, which concerns the current view if its epoch is the view's.
    pub promise: Option<Promise>,
    /// The last vote on the view after the current one.
    pub accepted: Option<Accepted>,
    /// Epoch whose writes the state takes.
    pub active_epoch: u64,
    /// The state with every write, committed or not.
    pub state: ControlState,
    /// Epochs known to have committed nothing, oldest first. At the end, as earlier snapshots lack it.
    #[speedy(default_on_eof)]
    pub idle_epochs: Vec<IdleEpoch>,
}

impl Durable {
    /// A disk that has just been taken into use.
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

    /// Applies one record.
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
            Record::Write { stamp, command } => self.state.apply(*stamp, command),
        }
    }

    /// The current epoch ends here. If this member was in the chain and never active, that is for good.
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

    /// The promise that binds in the current view.
    pub fn current_promise(&self) -> Option<Promise> {
        self.promise
            .filter(|promise| promise.epoch == self.view.epoch)
    }

    /// Whether the current epoch is sealed: nothing more of it is taken.
    pub fn is_sealed(&self) -> bool {
        self.current_promise().is_some()
    }

    /// The snapshot from which [`Durable::decode`] starts again.
    pub fn encode(&self) -> Vec<u8> {
        encode_versioned(self)
    }

    /// Reads a snapshot.
    pub fn decode(bytes: &[u8]) -> Result<Durable, RecordError> {
        decode_versioned(bytes)
    }
}

impl Record {
    /// The record as it is written to the log.
    pub fn encode(&self) -> Vec<u8> {
        encode_versioned(self)
    }

    /// Reads a record of the log.
    pub fn decode(bytes: &[u8]) -> Result<Record, RecordError> {
        decode_versioned(bytes)
    }
}

/// A version byte and the value.
fn encode_versioned<T: Writable<Endianness>>(value: &T) -> Vec<u8> {
    let mut bytes = vec![FORMAT_VERSION];
    // Writing to a vector fails only when a length exceeds 32 bits, far above every bound on our values.
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
