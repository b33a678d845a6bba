//! What [`Members`](crate::Members) asks of its driver.

use crate::member::MemberId;

/// A change of the members that are alive.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipEvent {
    /// The member has joined.
    Up(MemberId),
    /// The member has left, or neither this member nor any other that it asked has an answer from it.
    Down(MemberId),
    /// Others took this member for down; it has joined again under a new generation.
    Rejoined,
    /// Whether this member seems to be the one that is cut off, see [`View::cut_off`](crate::View::cut_off).
    CutOff(bool),
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
