//! The output of [`LocalPeer`](crate::LocalPeer), which its driver executes, and its counters.

use crate::verdict::VerdictChange;
use std::collections::BTreeMap;
use woadreach_membership::datagram::Rejection;
use woadreach_membership::{MemberId, MembershipEvent};

/// A datagram for another member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingDatagram {
    /// Receiver of the datagram.
    pub to: MemberId,
    /// Encoded datagram with its envelope.
    pub bytes: Vec<u8>,
}

/// A payload about singleton roles. This crate doesn't decode it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolePayload {
    /// Sender of the datagram.
    pub from: MemberId,
    /// Encoded payload, to be decoded by `woadreach-lease`.
    pub bytes: Vec<u8>,
}

/// Datagrams to send, and events to log or handle.
#[derive(Debug, Default)]
pub struct PeerActions {
    /// Datagrams to send. Loss of any of them is safe.
    pub datagrams: Vec<OutgoingDatagram>,
    /// Changes of membership.
    pub membership_events: Vec<MembershipEvent>,
    /// Verdicts that have changed.
    pub verdict_changes: Vec<VerdictChange>,
    /// Payload about singleton roles in the received datagram; `None` if there is none.
    pub role_payload: Option<RolePayload>,
}

/// Counters of datagrams since the start of the process.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PeerCounters {
    /// Number of datagrams sent.
    pub sent: u64,
    /// Total length of the datagrams sent, in bytes.
    pub sent_bytes: u64,
    /// Number of datagrams received and accepted.
    pub accepted: u64,
    /// Number of datagrams rejected, by reason.
    pub rejected: BTreeMap<Rejection, u64>,
    /// Number of membership messages, zone payloads and verdicts in accepted datagrams that were rejected.
    pub unusable: u64,
}
