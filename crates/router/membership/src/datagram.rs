//! The envelope of every datagram between co-ordinators: a version byte, then a [`Body`] in postcard encoding. The body
//! contains the sender, a message of the membership protocol, and payloads about zones and singleton roles. The message
//! and each payload may be empty.

use crate::member::MemberId;
use serde::{Deserialize, Serialize};

/// Limit on the length of a datagram, in bytes. The benchmark invalidates a run in which a datagram is longer.
pub const MAX_BYTES: usize = 256;
/// Version of the envelope and of all payloads. Datagrams of other versions are rejected. It must be increased when the
/// meaning of the envelope or of a payload changes.
pub const VERSION: u8 = 2;
/// Maximum length of a datagram without its payloads, in bytes: the version, the sender and the lengths of the
/// payloads.
const FRAMING_BYTES: usize = 1 + 3 + 2 + 2 + 2;

/// The contents of a datagram.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub struct Body<'a> {
    /// Sender of the datagram. Must match the source address.
    pub from: MemberId,
    /// Message of the membership protocol, for [`Members::receive`](crate::Members::receive).
    #[serde(borrow)]
    pub swim: &'a [u8],
    /// Payload of `woadreach-zone-failover`.
    #[serde(borrow)]
    pub zone_gossip: &'a [u8],
    /// Payload of `woadreach-lease`.
    #[serde(borrow)]
    pub roles: &'a [u8],
}

/// The reason why a datagram was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rejection {
    /// The datagram is longer than [`MAX_BYTES`].
    Oversize,
    /// The version is not [`VERSION`].
    UnknownVersion,
    /// The datagram can't be decoded or has trailing bytes.
    Malformed,
    /// The source address differs from the sender's address in the roster, or the sender is the receiving member
    /// itself.
    WrongSender,
}

/// Returns the capacity for further payloads, in bytes, of a datagram with payloads of `payload_bytes` in total.
pub fn capacity_beside(payload_bytes: usize) -> usize {
    MAX_BYTES.saturating_sub(FRAMING_BYTES + payload_bytes)
}

/// Encodes a datagram. Returns `None` if it would exceed [`MAX_BYTES`]; callers avoid this with [`capacity_beside`].
pub fn encode(body: &Body<'_>) -> Option<Vec<u8>> {
    let bytes = postcard::to_extend(body, vec![VERSION]).ok()?;
    (bytes.len() <= MAX_BYTES).then_some(bytes)
}

/// Decodes an untrusted datagram.
///
/// # Errors
///
/// [`Rejection::Oversize`], [`Rejection::UnknownVersion`] or [`Rejection::Malformed`]. The datagram is rejected as a
/// whole.
pub fn decode(bytes: &[u8]) -> Result<Body<'_>, Rejection> {
    if bytes.len() > MAX_BYTES {
        return Err(Rejection::Oversize);
    }
    let Some((version, rest)) = bytes.split_first() else {
        return Err(Rejection::Malformed);
    };
    if *version != VERSION {
        return Err(Rejection::UnknownVersion);
    }
    match postcard::take_from_bytes(rest) {
        Ok((body, [])) => Ok(body),
        _ => Err(Rejection::Malformed),
    }
}
