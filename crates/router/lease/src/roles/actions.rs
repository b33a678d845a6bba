//! The output of [`SingletonRoles`](super::SingletonRoles), which its driver executes.

use crate::endpoint_update::EndpointUpdate;
use crate::leases::LeaseEvent;
use crate::message::{Message, encode_messages};
use crate::replica_key::ReplicaKey;
use crate::role::Role;
use woadreach_membership::MemberId;

/// An encoded payload for another member. The driver sends it in a datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingPayload {
    /// Receiver of the payload.
    pub to: MemberId,
    /// Encoded messages, for [`decode_messages`](crate::decode_messages).
    pub bytes: Vec<u8>,
}

/// An action that this member has performed as a lease holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseAction {
    /// Role in which the action was performed.
    pub role: Role,
    /// Epoch of the lease.
    pub epoch: u32,
}

/// The actions that the driver must execute.
#[derive(Clone, Debug, Default)]
pub struct RoleActions {
    /// Payloads to send, each in a separate datagram. Loss of any of them is safe.
    pub payloads: Vec<OutgoingPayload>,
    /// Leases that were acquired or have ended, for the log.
    pub events: Vec<LeaseEvent>,
    /// Actions performed under a lease, for the log.
    pub lease_actions: Vec<LeaseAction>,
    /// Replicas that must receive no new requests, as reported by a lease holder.
    pub closed_replicas: Vec<EndpointUpdate>,
    /// Replicas whose closure has expired. Their state is again that of the member's own endpoint list.
    pub expired_closures: Vec<ReplicaKey>,
}

impl RoleActions {
    pub(super) fn send(&mut self, to: MemberId, message: &Message) {
        self.payloads.push(OutgoingPayload {
            to,
            bytes: encode_messages(std::slice::from_ref(message)),
        });
    }

    pub(super) fn send_to_all(
        &mut self,
        receivers: impl IntoIterator<Item = MemberId>,
        message: &Message,
    ) {
        let bytes = encode_messages(std::slice::from_ref(message));
        let payloads = receivers.into_iter().map(|to| OutgoingPayload {
            to,
            bytes: bytes.clone(),
        });
        self.payloads.extend(payloads);
    }
}
