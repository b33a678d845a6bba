//! A member's name on the wire. Owns nothing; must never hold an address: each co-ordinator has its own for
//! every other.

use serde::{Deserialize, Serialize};

/// A co-ordinator's place in the roster: the configured `peers`, in their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(pub u16);

/// A member as the protocol tells it: four bytes in most datagrams.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub id: MemberId,
    /// Its own zone, by the settings' order of zones.
    pub zone: u8,
    /// Grows each time it is declared down by mistake or comes back: the later one stands.
    pub turn: u16,
}

impl foca::Identity for Member {
    type Addr = MemberId;

    fn renew(&self) -> Option<Self> {
        Some(Member {
            turn: self.turn.wrapping_add(1),
            ..self.clone()
        })
    }

    fn addr(&self) -> MemberId {
        self.id
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        // Turns wrap: the one that is less than half the circle ahead is the later.
        let ahead = self.turn.wrapping_sub(other.turn);
        if ahead == 0 {
            self.zone > other.zone
        } else {
            ahead < u16::MAX / 2
        }
    }
}
