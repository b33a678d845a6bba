//! How members are identified in messages. Addresses are not: each co-ordinator has its own table of them.

use serde::{Deserialize, Serialize};

/// A co-ordinator's position in the roster, which is the list of configured `peers` in its order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(pub u16);

/// A member's identity in the protocol; four bytes in most datagrams.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its position in the roster.
    pub id: MemberId,
    /// Its own zone, as a position in the settings' list of zones.
    pub zone: u8,
    /// Increases each time the member joins again after it was declared down. Of two identities with one `id` the later
    /// generation is valid. It wraps. It is not SWIM's incarnation number, by which a live member refutes a suspicion:
    /// that one is kept by `foca`.
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
        // Generations wrap: the one that is less than half of the range ahead is the later.
        let ahead = self.generation.wrapping_sub(other.generation);
        if ahead == 0 {
            self.zone > other.zone
        } else {
            ahead < u16::MAX / 2
        }
    }
}
