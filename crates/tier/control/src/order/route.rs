//! Routing of orders, decided without I/O from the status of the core as known to this machine. `service` calls
//! this module before each attempt.

use std::net::SocketAddr;
use std::time::Duration;

use woadreach_chain::{MemberId, Status};

/// Time that an order waits at a machine that is out of quorum, before it fails so that the caller tries another
/// machine.
pub const OUT_OF_QUORUM_TIMEOUT: Duration = Duration::from_millis(400);

/// Next step of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Execute the order here: this machine is the head.
    Execute,
    /// Forward the order to the head at this address.
    Forward(SocketAddr),
    /// Wait for another view: no head is known that could execute the order.
    Wait,
    /// Fail the order: this machine is partitioned from the majority of the core, and so from any head that could
    /// execute the order.
    GiveUp,
}

/// Returns the next step of an order at the machine with the address `own_address`. `out_of_quorum_for` is the time
/// for which this machine has been out of quorum, zero if it is in quorum.
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

/// Returns whether an order that was sent to `recipient` must be sent again without waiting for the answer, because
/// the head is now another member.
pub fn is_superseded(recipient: Option<MemberId>, status: &Status) -> bool {
    status.head != recipient
}
