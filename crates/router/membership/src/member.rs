//! Identifiers of members in messages. Messages contain no addresses: each co-ordinator has its own address table.

use serde::{Deserialize, Serialize};

/// A co-ordinator's position in the roster, which is the configured list of `peers`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(pub u16);

/// A member's identity in the membership protocol. It usually takes four bytes in a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Position of the member in the roster.
    pub id: MemberId,
    /// Zone of the member, as a position in the settings' list of zones.
    pub zone: u8,
    /// Number that increases each time the member rejoins after it was declared down. It wraps. Of two identities with
    /// the same `id`, that with the later generation is valid. It differs from SWIM's incarnation number, with which a
    /// live member refutes a suspicion and which `foca` manages.
    pub generation: u16,
}

impl foca::Identity for Member {
    type Addr = MemberId;

    fn renew(&self) -> Option<Self> {
        Some(Member {
            generation: self.generation.wrapping_add(1),
            ..self.clone()
        })
    }

    fn addr(&self) -> MemberId {
        self.id
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        // Generations wrap: the later one is ahead by less than half of the range.
        let ahead = self.generation.wrapping_sub(other.generation);
        if ahead == 0 {
            self.zone > other.zone
        } else {
            ahead < u16::MAX / 2
        }
    }
}
