//! The output of [`Members`](crate::Members), which its driver executes.

use crate::member::MemberId;

/// A change of membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipEvent {
    /// The member has joined.
    Up(MemberId),
    /// The member has left, or has not refuted a suspicion within the suspicion timeout (SWIM, section 4.2).
    Down(MemberId),
    /// Other members had declared this member down, and it has joined again with a new generation.
    Rejoined,
    /// This member is probably partitioned from the majority; see
    /// [`View::is_partitioned`](crate::View::is_partitioned).
    Partitioned,
    /// This member is connected to the majority again.
    Reconnected,
}

/// A message of the membership protocol for another member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingMessage {
    /// Receiver of the message.
    pub to: MemberId,
    /// Encoded message, for [`Body::swim`](crate::datagram::Body::swim).
    pub bytes: Vec<u8>,
}

/// Messages to send and events to handle, each in order.
#[derive(Debug, Default)]
pub struct Actions {
    /// Messages to send. Loss of any of them is safe.
    pub messages: Vec<OutgoingMessage>,
    /// Changes of membership and of this member's connection.
    pub events: Vec<MembershipEvent>,
}
