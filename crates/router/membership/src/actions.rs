//! What [`Members`](crate::Members) asks of its driver.

use crate::member::MemberId;

/// A change of the members that are alive.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipEvent {
    /// The member has joined.
    Up(MemberId),
    /// The member has left, or was suspected for the suspicion time-out without refuting it (SWIM, section 4.2).
    Down(MemberId),
    /// Others had declared this member down; it has joined again under a new generation.
    Rejoined,
    /// This member seems partitioned from the majority, see [`View::is_partitioned`](crate::View::is_partitioned).
    Partitioned,
    /// This member hears the majority again.
    Reconnected,
}

/// A message of the membership protocol for another member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingMessage {
    /// The receiver.
    pub to: MemberId,
    /// The encoded message, for [`Body::swim`](crate::datagram::Body::swim).
    pub bytes: Vec<u8>,
}

/// Messages to send and events to handle, both in their order.
#[derive(Debug, Default)]
pub struct Actions {
    /// Messages to send. Losing them is safe.
    pub messages: Vec<OutgoingMessage>,
    /// What has changed.
    pub events: Vec<MembershipEvent>,
}
