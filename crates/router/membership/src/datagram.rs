//! The envelope of every datagram between co-ordinators: a version byte, then a `postcard` body with who
//! sends it, a message of the membership protocol, and riders of other packages: on zones, on duties. Each of
//! them may be empty.
//! Owns the limit on its length; must never read what it carries.

use crate::member::MemberId;
use serde::{Deserialize, Serialize};

/// The platform voids a run in which one is longer.
pub const MOST_BYTES: usize = 256;
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
    pub riders: &'a [u8],
    #[serde(borrow)]
    pub duties: &'a [u8],
}

/// Why a datagram is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Refused {
    Oversize,
    Version,
    Garbled,
    /// Its address is not the roster's for the member that it names, or it names the receiver.
    Name,
}

/// How many bytes of riders fit beside so many of other contents.
pub fn room(swim: usize) -> usize {
    MOST_BYTES.saturating_sub(FRAMING + swim)
}

/// None if it would be too long, which its maker sees to that it is not.
pub fn seal(body: &Body) -> Option<Vec<u8>> {
    let bytes = postcard::to_extend(body, vec![VERSION]).ok()?;
    (bytes.len() <= MOST_BYTES).then_some(bytes)
}

/// Danger: any process may send anything here. What is too long, of another version, cut short, or longer
/// than what it says is refused as a whole.
pub fn open(bytes: &[u8]) -> Result<Body<'_>, Refused> {
    if bytes.len() > MOST_BYTES {
        return Err(Refused::Oversize);
    }
    let Some((version, rest)) = bytes.split_first() else {
        return Err(Refused::Garbled);
    };
    if *version != VERSION {
        return Err(Refused::Version);
    }
    match postcard::take_from_bytes(rest) {
        Ok((body, [])) => Ok(body),
        _ => Err(Refused::Garbled),
    }
}
