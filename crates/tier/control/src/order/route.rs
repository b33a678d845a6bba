//! Where an order goes next, decided without I/O from what this machine knows of the core. Asked by `service`
//! before each attempt.

use std::net::SocketAddr;
use std::time::Duration;

use woadreach_chain::{MemberId, Status};

/// How long an order waits at a machine that is out of quorum, before its caller is sent to another one.
pub const OUT_OF_QUORUM_TIMEOUT: Duration = Duration::from_millis(400);

/// Next step of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// This machine is the head and executes the order.
    Execute,
    /// The order is forwarded to the head at this address.
    Forward(SocketAddr),
    /// No head is known that could answer; the order waits for another view.
    Wait,
    /// This machine is partitioned from the core's majority, and so from any head that could answer.
    GiveUp,
}

/// Next step of an order at the machine with the address `own_address`, which has been out of quorum for
/// `out_of_quorum_for` (zero if it is in quorum now).
pub fn next_step(status: &Status, own_address: SocketAddr, out_of_quorum_for: Duration) -> Step {
    if !status.in_quorum && out_of_quorum_for >= OUT_OF_QUORUM_TIMEOUT {
        return Step::GiveUp;
    }
    match status.head.map(|head| SocketAddr::V4(head.address)) {
        _ if status.is_head => Step::Execute,
        Some(head) if head != own_address => Step::Forward(head),
        _ => Step::Wait,
    }
}

/// Whether an order that was sent to `recipient` is to be sent anew, without waiting for an answer, because
/// another member is the head now.
pub fn is_superseded(recipient: Option<MemberId>, status: &Status) -> bool {
    status.head != recipient
}
