//! Orders and answers, and their encoding between core machines: what the operator's API makes of a request,
//! and what the head returns.
//!
//! A message is a version byte and the value in `speedy`'s little-endian encoding. An order is preceded by
//! the milliseconds that its caller still waits. An empty response says that the receiver has no answer.

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
    /// Move everything off a storage machine, so that it can be removed.
    Retire {
        /// Name of the storage machine.
        node: String,
    },
    /// Ask whether a storage machine may be removed.
    RetireState {
        /// Name of the storage machine.
        node: String,
    },
}

/// Answer to an order. [`Answer::Undecided`] and [`Answer::UnreadableStorageView`] leave open whether the
/// order takes effect, and [`Answer::RetireState`] is its progress; all others are final.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum Answer {
    /// The order is committed, now or by an earlier copy of it.
    Done,
    /// The order was rejected and never takes effect.
    Rejected(Rejection),
    /// The newest committed configuration.
    Configuration {
        /// Generation of the configuration.
        generation: u64,
        /// The configuration as the operator sent it.
        body: Blob,
    },
    /// No configuration has been committed yet.
    NoConfiguration,
    /// The view has no storage machine of this name. To [`Order::RetireState`]: no order to retire it was
    /// given.
    UnknownNode,
    /// Fewer storage machines would remain than the fault tolerance requires.
    TooFewNodes,
    /// Progress of an order to retire a storage machine.
    RetireState {
        /// Whether the storage machine may be removed.
        is_finished: bool,
    },
    /// It is undecided whether the order takes effect, now or when it is sent again.
    Undecided(Undecided),
    /// The head does not know the format of the stored storage view.
    UnreadableStorageView,
}

/// An order or an answer of another core machine that can't be read.
#[derive(Debug, Snafu)]
pub enum OrderDecodeError {
    /// The message has no bytes.
    #[snafu(display("the order is empty"))]
    Empty,
    /// The message is of another version of the format.
    #[snafu(display("order version {found}, expected {ORDER_VERSION}"))]
    Version {
        /// Version that the message begins with.
        found: u8,
    },
    /// The bytes after the version are no value of the expected type.
    #[snafu(display("malformed order"))]
    Malformed {
        /// Failure of the decoder.
        source: speedy::Error,
    },
}

/// An order as one core machine forwards it to another. The order of the fields is that of the bytes.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub(crate) struct ForwardedOrder {
    /// Milliseconds for which the sender waits for the answer.
    timeout_ms: u32,
    /// The order.
    pub(crate) order: Order,
}

impl ForwardedOrder {
    /// An order whose sender waits for `timeout`, counted in complete milliseconds.
    pub(crate) fn new(order: Order, timeout: Duration) -> ForwardedOrder {
        ForwardedOrder {
            timeout_ms: u32::try_from(timeout.as_millis()).unwrap_or(u32::MAX),
            order,
        }
    }

    /// How long the sender waits for the answer.
    pub(crate) fn timeout(&self) -> Duration {
        Duration::from_millis(u64::from(self.timeout_ms))
    }

    /// The order as bytes, with a leading version byte.
    pub(crate) fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    /// Reads a forwarded order.
    pub(crate) fn decode(bytes: &[u8]) -> Result<ForwardedOrder, OrderDecodeError> {
        decode(bytes)
    }
}

pub(crate) fn encode_answer(answer: &Answer) -> Vec<u8> {
    encode(answer)
}

/// Reads the answer of `head`; `None` if the head has none, or if it can't be read, which is logged.
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
    // Writing to a vector fails only when a length exceeds 32 bits, far above every bound on our values.
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
