//! Messages between members on singleton roles, and their encoding.
//!
//! The encoding is postcard: variants and fields are identified by their order, so neither may be reordered.

use crate::clock_stamp::ClockStamp;
use crate::endpoint_update::EndpointUpdate;
use crate::fencing_token::{FencingToken, Incarnation};
use crate::quota::{QuotaGrant, ReplicaDemand};
use crate::role::Role;
use serde::{Deserialize, Serialize};
use woadreach_membership::MemberId;

/// A message from one member to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// To an acceptor: the sender requests a lease, or its renewal.
    Request {
        /// The role whose lease is requested.
        role: Role,
        /// The epoch of the lease.
        epoch: u32,
        /// The sender's run.
        incarnation: Incarnation,
        /// Tells this request from others of the same sender.
        request_id: u16,
        /// Whether the sender holds the lease, and requests a grant for its whole duration.
        is_holder: bool,
    },
    /// An acceptor grants a request.
    Granted {
        /// The role that was requested.
        role: Role,
        /// The epoch that was requested.
        epoch: u32,
        /// The incarnation that requested it.
        incarnation: Incarnation,
        /// The request that is answered.
        request_id: u16,
    },
    /// An acceptor denies a request.
    Denied {
        /// The role that was requested.
        role: Role,
        /// The highest epoch that the acceptor knows of.
        epoch: u32,
        /// The incarnation that requested it.
        incarnation: Incarnation,
        /// The request that is answered.
        request_id: u16,
        /// After how many hundredths of a second a new request may be granted.
        wait_centis: u16,
    },
    /// To an acceptor: the sender gives up a lease, or a request that found no majority.
    Release {
        /// The role whose lease is given up.
        role: Role,
        /// The epoch of the lease.
        epoch: u32,
        /// The sender's run.
        incarnation: Incarnation,
    },
    /// From the holder of [`Role::EndpointWatch`]: it is alive, and these replicas take nothing new.
    EndpointUpdates {
        /// The sender's role.
        role: Role,
        /// The sender's lease.
        token: FencingToken,
        /// Replicas that drain or have departed.
        updates: Vec<EndpointUpdate>,
    },
    /// From the holder of [`Role::QuotaAllocator`]: it is alive. Other members pass it on.
    Beacon {
        /// The allocator's role.
        role: Role,
        /// The allocator's lease.
        token: FencingToken,
        /// When the allocator sent it, by its own clock.
        sent_at: ClockStamp,
    },
    /// To a quota allocator: what the sender would send to warming replicas, and which shares it releases.
    Demands {
        /// The allocator's role.
        role: Role,
        /// The allocator's lease, by its latest beacon.
        token: FencingToken,
        /// `sent_at` of that beacon.
        beacon_sent_at: ClockStamp,
        /// When this message was sent, by the sender's clock.
        sent_at: ClockStamp,
        /// One for each replica.
        demands: Vec<ReplicaDemand>,
    },
    /// From a quota allocator: quota beyond the receiver's even share.
    QuotaGrants {
        /// The allocator's role.
        role: Role,
        /// The allocator's lease.
        token: FencingToken,
        /// `sent_at` of the demands that are answered.
        demands_sent_at: ClockStamp,
        /// For how many hundredths of a second after `demands_sent_at` the grants are valid.
        valid_for_centis: u16,
        /// One for each replica.
        grants: Vec<QuotaGrant>,
    },
}

impl Message {
    /// The fencing token, in messages that carry one.
    fn token(&self) -> Option<&FencingToken> {
        match self {
            Message::EndpointUpdates { token, .. }
            | Message::Beacon { token, .. }
            | Message::Demands { token, .. }
            | Message::QuotaGrants { token, .. } => Some(token),
            _ => None,
        }
    }
}

/// Limit on the messages of one datagram, beside the limit on its bytes.
pub const MAX_MESSAGES: usize = 32;

/// Encodes messages as one payload; it is empty if there are none.
pub fn encode_messages(messages: &[Message]) -> Vec<u8> {
    if messages.is_empty() {
        Vec::new()
    } else {
        // Writing to memory cannot fail.
        postcard::to_stdvec(messages).unwrap_or_default()
    }
}

/// Decodes a payload from any process. `None` if it is malformed, has bytes left over, has more than [`MAX_MESSAGES`]
/// messages, or names a holder outside a roster of `roster_size` members; all of it is rejected then.
pub fn decode_messages(bytes: &[u8], roster_size: usize) -> Option<Vec<Message>> {
    if bytes.is_empty() {
        return Some(Vec::new());
    }
    let (messages, rest): (Vec<Message>, _) = postcard::take_from_bytes(bytes).ok()?;
    let holder_is_member = |message: &Message| {
        let holder: Option<MemberId> = message.token().map(|token| token.holder);
        holder.is_none_or(|holder| usize::from(holder.0) < roster_size)
    };
    let is_valid =
        rest.is_empty() && messages.len() <= MAX_MESSAGES && messages.iter().all(holder_is_member);
    is_valid.then_some(messages)
}
