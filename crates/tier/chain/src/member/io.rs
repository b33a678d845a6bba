//! What goes into a member and what comes out of it.

use std::net::SocketAddrV4;
use std::sync::Arc;

use crate::durable::Record;
use crate::election::ProposalReason;
use crate::message::Envelope;
use crate::requests::{Reply, Request, RequestId};
use crate::state::ControlState;
use crate::view::View;

/// What happens to a member.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed; see [`Member::next_wake`](super::Member::next_wake).
    Tick,
    /// A message arrived that [`Envelope::check`] accepts.
    Message(Envelope),
    /// A request arrived. The member answers it with [`Output::Reply`] unless it is cancelled.
    Request(RequestId, Request),
    /// The caller of a request has disconnected.
    Cancel(RequestId),
    /// Every record up to this number is synced.
    Synced(u64),
    /// The disk has become healthy or unhealthy.
    DiskHealth {
        /// Whether the disk syncs in time.
        is_healthy: bool,
    },
    /// The settings name other seeds.
    Seeds(Vec<SocketAddrV4>),
    /// The process is shutting down; see [`ExitReadiness`](super::ExitReadiness).
    Leave,
}

/// What the driver must do, in the order in which outputs are returned.
#[derive(Clone, Debug)]
pub enum Output {
    /// Append the record and sync; then report [`Input::Synced`] with its number.
    Persist {
        /// Number of the record, one above that of the record before.
        number: u64,
        /// The record.
        record: Record,
    },
    /// Send a message. It may be lost, delayed or delivered twice.
    Send {
        /// Internal address of the receiver.
        to: SocketAddrV4,
        /// The message.
        envelope: Envelope,
    },
    /// Answer a request.
    Reply {
        /// The request.
        id: RequestId,
        /// Its answer.
        reply: Reply,
    },
    /// A newer state is committed.
    Committed(Arc<ControlState>),
    /// Another view is installed.
    ViewInstalled(View),
    /// This member has begun to propose a view to follow that of `epoch`. For the log; nothing depends on it.
    ProposalStarted {
        /// Epoch of the installed view.
        epoch: u64,
        /// Why another view is to follow.
        reason: ProposalReason,
    },
}
