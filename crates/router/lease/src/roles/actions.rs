//! What [`SingletonRoles`](super::SingletonRoles) asks of its driver.

use crate::endpoint_update::EndpointUpdate;
use crate::leases::LeaseEvent;
use crate::message::{Message, encode_messages};
use crate::replica_key::ReplicaKey;
use crate::role::Role;
use woadreach_membership::MemberId;

/// An encoded payload for another member. The driver puts it into a datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingPayload {
    /// The receiver.
    pub to: MemberId,
    /// The payload, for [`decode_messages`](crate::decode_messages).
    pub bytes: Vec<u8>,
}

/// An action that this member has done as a lease holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseAction {
    /// The role that the action belongs to.
    pub role: Role,
    /// The epoch of the lease.
    pub epoch: u32,
}

/// What the driver has to do.
#[derive(Clone, Debug, Default)]
pub struct RoleActions {
    /// Payloads to send, each in a datagram of its own. Losing them is safe.
    pub payloads: Vec<OutgoingPayload>,
    /// Leases acquired and lost, for the log.
    pub events: Vec<LeaseEvent>,
    /// Actions done under a lease, for the log.
    pub lease_actions: Vec<LeaseAction>,
    /// Replicas to be sent nothing new, as a lease holder reported.
    pub closed_replicas: Vec<EndpointUpdate>,
    /// Replicas whose closing has expired: the member's own endpoint list decides on them again.
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
