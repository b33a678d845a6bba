//! The envelope of every datagram between co-ordinators: a version byte, then a postcard [`Body`] with the sender, a
//! message of the membership protocol, and payloads on zones and on singleton roles. Each of these may be empty.

use crate::member::MemberId;
use serde::{Deserialize, Serialize};

/// Limit on the length of a datagram in bytes. The bench voids a play in which one is longer.
pub const MAX_BYTES: usize = 256;
/// The version of the envelope and of all payloads; datagrams of other versions are rejected. It must be raised when
/// the meaning of either changes.
pub const VERSION: u8 = 2;
/// Bytes of a datagram beside its payloads: the version, the sender and the payloads' lengths at their longest.
const FRAMING_BYTES: usize = 1 + 3 + 2 + 2 + 2;

/// The contents of a datagram.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub struct Body<'a> {
    /// The sender. Must match the address that the datagram came from.
    pub from: MemberId,
    /// A message of the membership protocol, for [`Members::receive`](crate::Members::receive).
    #[serde(borrow)]
    pub swim: &'a [u8],
    /// A payload of `woadreach-zone-failover`.
    #[serde(borrow)]
    pub zone_gossip: &'a [u8],
    /// A payload of `woadreach-lease`.
    #[serde(borrow)]
    pub roles: &'a [u8],
}

/// Why a datagram was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rejection {
    /// It is longer than [`MAX_BYTES`].
    Oversize,
    /// It has a version other than [`VERSION`].
    UnknownVersion,
    /// It can't be decoded, or bytes are left over.
    Malformed,
    /// It was sent from another address than the roster has for its sender, or names the receiver as its sender.
    WrongSender,
}

/// How many bytes of further payloads fit into a datagram beside payloads of `payload_bytes` in all.
pub fn capacity_beside(payload_bytes: usize) -> usize {
    MAX_BYTES.saturating_sub(FRAMING_BYTES + payload_bytes)
}

/// Encodes a datagram; `None` if it would exceed [`MAX_BYTES`], which callers avoid by [`capacity_beside`].
pub fn encode(body: &Body<'_>) -> Option<Vec<u8>> {
    let bytes = postcard::to_extend(body, vec![VERSION]).ok()?;
    (bytes.len() <= MAX_BYTES).then_some(bytes)
}

/// Decodes a datagram from any process.
///
/// # Errors
///
/// [`Rejection::Oversize`], [`Rejection::UnknownVersion`] or [`Rejection::Malformed`]; no part of the datagram may be
/// used then.
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
