//! The envelope of every datagram between co-ordinators: a version byte, then a `postcard` body with who
//! sends it, a message of the membership protocol, and zone_gossip of other packages: on zones, on roles. Each of
//! them may be empty.
//! Owns the limit on its length; must never read what it carries.

use crate::member::MemberId;
use serde::{Deserialize, Serialize};

/// The platform voids a run in which one is longer.
pub const MAX_BYTES: usize = 256;
/// Raised when what stands in a datagram changes its meaning; others are refused.
pub const VERSION: u8 = 2;
/// What a body holds beside its contents: the sender and their lengths, two bytes or three each.
const FRAMING: usize = 1 + 3 + 2 + 2 + 2;

#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub struct Body<'a> {
    pub from: MemberId,
    #[serde(borrow)]
    pub swim: &'a [u8],
    #[serde(borrow)]
    pub zone_gossip: &'a [u8],
    #[serde(borrow)]
    pub roles: &'a [u8],
}

/// Why a datagram is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rejection {
    Oversize,
    Version,
    Garbled,
    /// Its address is not the roster's for the member that it names, or it names the receiver.
    Name,
}

/// How many bytes of zone_gossip fit beside so many of other contents.
pub fn capacity_beside(swim: usize) -> usize {
    MAX_BYTES.saturating_sub(FRAMING + swim)
}

/// None if it would be too long, which its maker sees to that it is not.
pub fn encode(body: &Body) -> Option<Vec<u8>> {
    let bytes = postcard::to_extend(body, vec![VERSION]).ok()?;
    (bytes.len() <= MAX_BYTES).then_some(bytes)
}

/// Danger: any process may send anything here. What is too long, of another version, cut short, or longer
/// than what it says is refused as a whole.
pub fn decode(bytes: &[u8]) -> Result<Body<'_>, Rejection> {
    if bytes.len() > MAX_BYTES {
        return Err(Rejection::Oversize);
    }
    let Some((version, rest)) = bytes.split_first() else {
        return Err(Rejection::Garbled);
    };
    if *version != VERSION {
        return Err(Rejection::Version);
    }
    match postcard::take_from_bytes(rest) {
        Ok((body, [])) => Ok(body),
        _ => Err(Rejection::Garbled),
    }
}
