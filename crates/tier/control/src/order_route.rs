//! Where an order goes next, from what this machine knows of the core.

use std::net::SocketAddr;
use std::time::Duration;

use woadreach_chain::{MemberId, Status};

/// How long an order waits at a machine that is out of quorum, before its caller is sent elsewhere.
pub const QUORUM_WAIT: Duration = Duration::from_millis(400);

/// What becomes of an order now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// This machine is the head: it carries the order out.
    Execute,
    /// It is passed on to the head.
    Forward(SocketAddr),
    /// There is no head that could be asked: it waits for a view.
    Wait,
    /// This machine is cut off from the core's majority, and so from any head that could answer.
    GiveUp,
}

/// The next step of an order that has met this machine out of quorum for `out_of_quorum_for` (zero if it is
/// in quorum now). The machine is at `own`.
pub fn next_step(status: &Status, own: SocketAddr, out_of_quorum_for: Duration) -> Step {
    if !status.in_quorum && out_of_quorum_for >= QUORUM_WAIT {
        return Step::GiveUp;
    }
    match status.head.map(|head| SocketAddr::V4(head.address)) {
        _ if status.is_head => Step::Execute,
        Some(head) if head != own => Step::Forward(head),
        _ => Step::Wait,
    }
}

/// Whether an order that was passed on to `asked` is to be passed on anew, without waiting for an answer.
pub fn is_superseded(asked: Option<MemberId>, status: &Status) -> bool {
    status.head != asked
}
