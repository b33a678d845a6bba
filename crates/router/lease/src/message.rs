//! Messages between members about singleton roles, and their codec.
//!
//! The encoding is postcard. It identifies variants and fields by their order, so neither may be reordered.

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
    /// Sent to an acceptor: requests a lease or its renewal.
    Request {
        /// Role whose lease is requested.
        role: Role,
        /// Epoch of the requested lease.
        epoch: u32,
        /// Current run of the sender.
        incarnation: Incarnation,
        /// Distinguishes the proposals of one sender. Retries of a proposal have the same id, and ids wrap.
        request_id: u16,
        /// Whether the sender has the lease and requests a grant of the full lease duration.
        is_holder: bool,
    },
    /// Sent by an acceptor: the request is granted.
    Granted {
        /// Role of the request.
        role: Role,
        /// Epoch of the request.
        epoch: u32,
        /// Run of the member that sent the request.
        incarnation: Incarnation,
        /// `request_id` of the request.
        request_id: u16,
    },
    /// Sent by an acceptor: the request is denied.
    Denied {
        /// Role of the request.
        role: Role,
        /// Highest epoch that the acceptor knows of.
        epoch: u32,
        /// Run of the member that sent the request.
        incarnation: Incarnation,
        /// `request_id` of the request.
        request_id: u16,
        /// Time until a new request may be granted, in hundredths of a second.
        wait_centis: u16,
    },
    /// Sent to an acceptor: releases a lease, or the grants of a proposal that was abandoned.
    Release {
        /// Role whose lease is released.
        role: Role,
        /// Epoch of the lease.
        epoch: u32,
        /// Current run of the sender.
        incarnation: Incarnation,
    },
    /// Sent by the holder of [`Role::EndpointWatch`]: the holder is alive, and these replicas accept no new requests.
    EndpointUpdates {
        /// Role of the sender.
        role: Role,
        /// Token of the sender's lease.
        token: FencingToken,
        /// Replicas that are draining or have departed. May be empty.
        updates: Vec<EndpointUpdate>,
    },
    /// Sent by the holder of [`Role::QuotaAllocator`]: the holder is alive. Other members forward it.
    Beacon {
        /// Role of the allocator.
        role: Role,
        /// Token of the allocator's lease.
        token: FencingToken,
        /// Time of sending, by the clock of the allocator.
        sent_at: ClockStamp,
    },
    /// Sent to a quota allocator: the sender's demand for warming replicas, and the shares that it releases.
    Demands {
        /// Role of the allocator.
        role: Role,
        /// Token of the allocator's lease, from its latest beacon.
        token: FencingToken,
        /// `sent_at` of that beacon.
        beacon_sent_at: ClockStamp,
        /// Time of sending, by the clock of the sender.
        sent_at: ClockStamp,
        /// One entry for each replica.
        demands: Vec<ReplicaDemand>,
    },
    /// Sent by a quota allocator: quota in addition to the receiver's even share.
    QuotaGrants {
        /// Role of the allocator.
        role: Role,
        /// Token of the allocator's lease.
        token: FencingToken,
        /// `sent_at` of the [`Message::Demands`] that this message answers.
        demands_sent_at: ClockStamp,
        /// Validity of the grants after `demands_sent_at`, in hundredths of a second.
        valid_for_centis: u16,
        /// One entry for each replica.
        grants: Vec<QuotaGrant>,
    },
}

impl Message {
    /// Returns the fencing token; `None` for lease requests, their answers and releases.
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

/// Limit on the number of messages in one datagram, in addition to the limit on its bytes.
pub const MAX_MESSAGES: usize = 32;

/// Encodes messages as one payload. Without messages the payload is empty.
pub fn encode_messages(messages: &[Message]) -> Vec<u8> {
    if messages.is_empty() {
        Vec::new()
    } else {
        // Writing to memory cannot fail.
        postcard::to_stdvec(messages).unwrap_or_default()
    }
}

/// Decodes an untrusted payload. Returns `None` if the payload is malformed, has trailing bytes, has more than
/// [`MAX_MESSAGES`] messages, or names a lease holder outside a roster of `roster_size` members. Such a payload is
/// rejected as a whole.
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
