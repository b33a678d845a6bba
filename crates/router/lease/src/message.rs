//! What members say to each other of duties. Owns the form on the wire; must never judge it.

use crate::endpoint_update::EndpointUpdate;
use crate::quota_allocator::{QuotaGrant, ReplicaDemand};
use serde::{Deserialize, Serialize};
use woadreach_membership::MemberId;

/// What one member does for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Role {
    /// Keeps the watch on the list for a zone, and tells of what drains and goes.
    EndpointWatch(u8),
    /// QuotaGrants out what cold replicas bear: those whose names fall into this bucket.
    QuotaAllocator(u8),
}

/// One run of a process, by a number that it drew at its start: what its former life said counts for nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u16);

/// Whose lease an act was done under. A later epoch goes before; of one epoch the first that was seen stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FencingToken {
    pub epoch: u32,
    pub holder: MemberId,
    pub life: Incarnation,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// May I have it, under this epoch? `ask` tells this time of asking from others; `holds`: I have it, and
    /// ask for a whole lease.
    Request {
        duty: Role,
        epoch: u32,
        life: Incarnation,
        ask: u16,
        holds: bool,
    },
    Granted {
        duty: Role,
        epoch: u32,
        life: Incarnation,
        ask: u16,
    },
    /// No. `epoch` is the highest that was seen; in `wait` hundredths of a second it is worth asking again.
    Denied {
        duty: Role,
        epoch: u32,
        life: Incarnation,
        ask: u16,
        wait: u16,
    },
    Release {
        duty: Role,
        epoch: u32,
        life: Incarnation,
    },
    /// The holder of a list's duty tells that it lives, and what has drained or gone.
    EndpointUpdates {
        duty: Role,
        fence: FencingToken,
        facts: Vec<EndpointUpdate>,
    },
    /// A warden tells that it lives. `stamp` counts hundredths of a second on its own clock.
    Beacon {
        duty: Role,
        fence: FencingToken,
        stamp: u16,
    },
    /// To a warden: what is asked of cold replicas, and what is left to others. `stamp` is that of its
    /// beacon, `own` this member's.
    Demands {
        duty: Role,
        fence: FencingToken,
        stamp: u16,
        own: u16,
        offers: Vec<ReplicaDemand>,
    },
    /// From a warden: beyond what is everybody's, of each replica, until `lasts` hundredths after `own`.
    QuotaGrants {
        duty: Role,
        fence: FencingToken,
        own: u16,
        lasts: u16,
        shares: Vec<QuotaGrant>,
    },
}

impl Message {
    pub fn duty(&self) -> Role {
        match self {
            Message::Request { duty, .. }
            | Message::Granted { duty, .. }
            | Message::Denied { duty, .. }
            | Message::Release { duty, .. }
            | Message::EndpointUpdates { duty, .. }
            | Message::Beacon { duty, .. }
            | Message::Demands { duty, .. }
            | Message::QuotaGrants { duty, .. } => *duty,
        }
    }
}

/// Most messages of one datagram, beside its bytes.
pub const MAX_MESSAGES: usize = 32;

/// None if there is nothing to say.
pub fn seal(messages: &[Message]) -> Vec<u8> {
    // Writing to memory cannot fail.
    if messages.is_empty() {
        Vec::new()
    } else {
        postcard::to_stdvec(messages).unwrap_or_default()
    }
}

/// Danger: any process may send anything here. What does not read to its last byte, or names a duty, a
/// replica or a holder in numbers beyond sense, is refused as a whole. None: garbled.
pub fn open(bytes: &[u8], roster: usize) -> Option<Vec<Message>> {
    if bytes.is_empty() {
        return Some(Vec::new());
    }
    let (messages, rest): (Vec<Message>, _) = postcard::take_from_bytes(bytes).ok()?;
    let known = |m: &Message| match m {
        Message::EndpointUpdates { fence, .. }
        | Message::Beacon { fence, .. }
        | Message::Demands { fence, .. }
        | Message::QuotaGrants { fence, .. } => usize::from(fence.holder.0) < roster,
        _ => true,
    };
    (rest.is_empty() && messages.len() <= MAX_MESSAGES && messages.iter().all(known))
        .then_some(messages)
}
