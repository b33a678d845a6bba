//! What [`LocalPeer`](crate::LocalPeer) asks of its driver, and its counters.

use crate::verdict::VerdictChange;
use std::collections::BTreeMap;
use woadreach_membership::datagram::Rejection;
use woadreach_membership::{MemberId, MembershipEvent};

/// A datagram for another member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingDatagram {
    /// The receiver.
    pub to: MemberId,
    /// The complete datagram.
    pub bytes: Vec<u8>,
}

/// A payload on singleton roles, which this crate doesn't read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolePayload {
    /// The sender.
    pub from: MemberId,
    /// The payload, for `woadreach-lease`.
    pub bytes: Vec<u8>,
}

/// What the driver has to do, and what it may want to log.
#[derive(Debug, Default)]
pub struct PeerActions {
    /// Datagrams to send. Losing them is safe.
    pub datagrams: Vec<OutgoingDatagram>,
    /// Changes of the members that are alive.
    pub membership_events: Vec<MembershipEvent>,
    /// Verdicts that have changed.
    pub verdict_changes: Vec<VerdictChange>,
    /// A payload on singleton roles that was received.
    pub role_payload: Option<RolePayload>,
}

/// Counters of datagrams since the start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PeerCounters {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes of the datagrams sent.
    pub sent_bytes: u64,
    /// Datagrams received and accepted.
    pub accepted: u64,
    /// Datagrams rejected, by the reason.
    pub rejected: BTreeMap<Rejection, u64>,
    /// Payloads and membership messages in accepted datagrams that could not be used.
    pub unusable: u64,
}
