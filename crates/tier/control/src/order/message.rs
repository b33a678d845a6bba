//! Orders of the operator's API, answers of the head, and their encoding between core machines.
//!
//! A message is a version byte followed by the value in `speedy`'s little-endian encoding. An order is preceded by
//! the remaining time-out of its caller in milliseconds. An empty response means that the receiver has no answer.

use std::net::SocketAddr;
use std::time::Duration;

use snafu::{OptionExt, ResultExt, Snafu, ensure};
use speedy::{Endianness, Readable, Writable};
use woadreach_chain::{Blob, PutConfiguration, Rejection, Undecided};

/// Version of the format of orders between core machines.
const ORDER_VERSION: u8 = 1;

/// An order of the operator.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum Order {
    /// Replace the configuration of a given generation.
    PutConfiguration(PutConfiguration),
    /// Read the newest committed configuration.
    ReadConfiguration,
    /// Move all data off a storage machine, so that it can be removed.
    Retire {
        /// Name of the storage machine.
        node: String,
    },
    /// Read whether a storage machine that is being retired may be removed.
    RetireState {
        /// Name of the storage machine.
        node: String,
    },
}

/// Answer to an order. After [`Answer::Undecided`] and [`Answer::UnreadableStorageView`], the order may or may not
/// take effect. [`Answer::RetireState`] reports the progress of an order. All other answers are final.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum Answer {
    /// The order is committed, by this copy or an earlier one.
    Done,
    /// The order is rejected and never takes effect.
    Rejected(Rejection),
    /// The newest committed configuration.
    Configuration {
        /// Generation of the configuration.
        generation: u64,
        /// Body of the configuration, byte for byte as the operator sent it.
        body: Blob,
    },
    /// No configuration has been committed yet.
    NoConfiguration,
    /// The storage view has no machine with this name. As an answer to [`Order::RetireState`]: no order to retire
    /// the machine is stored.
    UnknownNode,
    /// Fewer storage machines would remain than the fault tolerance requires.
    TooFewNodes,
    /// Progress of an order to retire a storage machine.
    RetireState {
        /// Whether the storage machine may be removed.
        is_finished: bool,
    },
    /// It is undecided whether the order takes effect, now or on a retry.
    Undecided(Undecided),
    /// The head does not know the format of the stored storage view.
    UnreadableStorageView,
}

/// Reason why an order or an answer from another core machine could not be decoded.
#[derive(Debug, Snafu)]
pub enum OrderDecodeError {
    /// The message has no bytes.
    #[snafu(display("the order is empty"))]
    Empty,
    /// The message has an unsupported format version.
    #[snafu(display("order version {found}, expected {ORDER_VERSION}"))]
    Version {
        /// Format version in the first byte of the message.
        found: u8,
    },
    /// The bytes after the version are not a valid encoding of the expected type.
    #[snafu(display("malformed order"))]
    Malformed {
        /// Error from the decoder.
        source: speedy::Error,
    },
}

/// An order that one core machine forwards to another. The fields are encoded in the order of declaration.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub(crate) struct ForwardedOrder {
    /// Time in milliseconds for which the sender waits for the answer.
    timeout_ms: u32,
    pub(crate) order: Order,
}

impl ForwardedOrder {
    /// Creates an order whose sender waits for `timeout`, rounded down to milliseconds.
    pub(crate) fn new(order: Order, timeout: Duration) -> ForwardedOrder {
        ForwardedOrder {
            timeout_ms: u32::try_from(timeout.as_millis()).unwrap_or(u32::MAX),
            order,
        }
    }

    /// Returns the time for which the sender waits for the answer.
    pub(crate) fn timeout(&self) -> Duration {
        Duration::from_millis(u64::from(self.timeout_ms))
    }

    /// Encodes the order with a leading version byte.
    pub(crate) fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    /// Decodes an order with a leading version byte.
    pub(crate) fn decode(bytes: &[u8]) -> Result<ForwardedOrder, OrderDecodeError> {
        decode(bytes)
    }
}

pub(crate) fn encode_answer(answer: &Answer) -> Vec<u8> {
    encode(answer)
}

/// Decodes the answer of `head`. Returns `None` if the head has no answer, or if decoding fails, which is logged.
pub(crate) fn decode_answer(head: SocketAddr, bytes: &[u8]) -> Option<Answer> {
    if bytes.is_empty() {
        return None;
    }
    decode(bytes)
        .inspect_err(|error| tracing::warn!(%head, %error, "answer of the head not decoded"))
        .ok()
}

fn encode<T: Writable<Endianness>>(value: &T) -> Vec<u8> {
    let mut bytes = vec![ORDER_VERSION];
    // Writing to a vector fails only if a length exceeds 32 bits, which is far above the size limits of all values.
    value
        .write_to_stream_with_ctx(Endianness::LittleEndian, &mut bytes)
        .expect("lengths within 32 bits");
    bytes
}

fn decode<'a, T: Readable<'a, Endianness>>(bytes: &'a [u8]) -> Result<T, OrderDecodeError> {
    let (&version, rest) = bytes.split_first().context(EmptySnafu)?;
    ensure!(version == ORDER_VERSION, VersionSnafu { found: version });
    T::read_from_buffer_with_ctx(Endianness::LittleEndian, rest).context(MalformedSnafu)
}
