//! Byte format of messages, views and journal records: a version byte, then the value in `speedy`'s
//! encoding. [`message`](crate::message) re-exports it for other crates.

use snafu::{OptionExt, Snafu, ensure};
use speedy::{LittleEndian, Readable, Writable};

/// Version of the format; the first byte of each message.
const MESSAGE_VERSION: u8 = 1;

/// Encodes a message: the version byte, then the value.
///
/// # Panics
/// Never: writing to memory cannot fail.
#[must_use]
pub fn encode<T: Writable<LittleEndian>>(message: &T) -> Vec<u8> {
    let length = message
        .bytes_needed()
        .expect("a message in memory has a length");
    let mut bytes = Vec::with_capacity(1 + length);
    bytes.push(MESSAGE_VERSION);
    message
        .write_to_stream(&mut bytes)
        .expect("writing to memory does not fail");
    bytes
}

/// Reason why bytes cannot be decoded as a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum MessageError {
    /// The input has no bytes.
    #[snafu(display("the message is empty"))]
    Empty,
    /// The message was written by another version of the format.
    #[snafu(display("message version {found}, expected {MESSAGE_VERSION}"))]
    Version {
        /// Version byte of the message.
        found: u8,
    },
    /// The value is truncated or malformed, or bytes follow it.
    #[snafu(display("malformed message"))]
    Malformed,
}

/// Decodes a message.
///
/// # Errors
/// [`MessageError`] if the message is empty, truncated, malformed, of another version, or followed by other bytes.
pub fn decode<'a, T: Readable<'a, LittleEndian>>(bytes: &'a [u8]) -> Result<T, MessageError> {
    let (&version, body) = bytes.split_first().context(EmptySnafu)?;
    ensure!(version == MESSAGE_VERSION, VersionSnafu { found: version });
    let (message, used) = T::read_with_length_from_buffer(body);
    message
        .ok()
        .filter(|_| used == body.len())
        .context(MalformedSnafu)
}
