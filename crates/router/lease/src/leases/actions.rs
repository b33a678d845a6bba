//! What [`Leases`](super::Leases) asks of its driver.

use crate::message::Message;
use crate::role::Role;
use woadreach_membership::MemberId;

/// A change of what this member holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseEvent {
    /// This member holds the role from now on.
    Acquired {
        /// The role.
        role: Role,
        /// The epoch of its lease.
        epoch: u32,
    },
    /// This member no longer holds the role: its lease has expired or was released.
    Lost {
        /// The role.
        role: Role,
        /// The epoch of the lease that ended.
        epoch: u32,
    },
}

/// A message to another member.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingMessage {
    /// The receiver.
    pub to: MemberId,
    /// The message.
    pub message: Message,
}

/// Messages to send and events to handle, both in their order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Actions {
    /// Messages to send. Losing them is safe.
    pub messages: Vec<OutgoingMessage>,
    /// What has changed.
    pub events: Vec<LeaseEvent>,
}

impl Actions {
    pub(super) fn send(&mut self, to: MemberId, message: Message) {
        self.messages.push(OutgoingMessage { to, message });
    }
}
