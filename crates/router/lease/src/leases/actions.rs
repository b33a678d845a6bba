//! The output of [`Leases`](super::Leases), which its driver executes.

use crate::message::Message;
use crate::role::Role;
use woadreach_membership::MemberId;

/// A lease of this member was acquired or has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseEvent {
    /// This member has acquired the lease on the role.
    Acquired {
        /// Role of the lease.
        role: Role,
        /// Epoch of the lease.
        epoch: u32,
    },
    /// The lease of this member on the role has expired or was released.
    Lost {
        /// Role of the lease.
        role: Role,
        /// Epoch of the lease that ended.
        epoch: u32,
    },
}

/// A message to another member.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingMessage {
    /// Receiver of the message.
    pub to: MemberId,
    /// Contents, for [`Leases::receive`](super::Leases::receive) of the receiver.
    pub message: Message,
}

/// Messages to send and events to handle, each in order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Actions {
    /// Messages to send. Loss of any of them is safe.
    pub messages: Vec<OutgoingMessage>,
    /// Leases that were acquired or have ended.
    pub events: Vec<LeaseEvent>,
}

impl Actions {
    pub(super) fn send(&mut self, to: MemberId, message: Message) {
        self.messages.push(OutgoingMessage { to, message });
    }
}
