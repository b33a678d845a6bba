//! Inputs and outputs of a member.

use std::net::SocketAddrV4;
use std::sync::Arc;

use crate::durable::Record;
use crate::election::ProposalReason;
use crate::message::Envelope;
use crate::requests::{Reply, Request, RequestId};
use crate::state::ControlState;
use crate::view::View;

/// An event that the driver passes to a member.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed; see [`Member::next_wake`](super::Member::next_wake).
    Tick,
    /// A message was received, which [`Envelope::check`] accepts.
    Message(Envelope),
    /// A request was received. The member answers it with [`Output::Reply`] unless it is cancelled.
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
    /// The seeds in the settings have changed.
    Seeds(Vec<SocketAddrV4>),
    /// The process is shutting down; see [`ExitReadiness`](super::ExitReadiness).
    Leave,
}

/// An action that the driver must execute, in the order in which outputs are returned.
#[derive(Clone, Debug)]
pub enum Output {
    /// Append the record to the log and sync it, then report [`Input::Synced`] with its number.
    Persist {
        /// Number of the record, one above that of the previous record.
        number: u64,
        /// The record.
        record: Record,
    },
    /// Send a message. The network may lose, delay or duplicate it.
    Send {
        /// Internal address of the receiver.
        to: SocketAddrV4,
        /// The message.
        envelope: Envelope,
    },
    /// Answer a request.
    Reply {
        /// Number of the request.
        id: RequestId,
        /// Answer to the request.
        reply: Reply,
    },
    /// A newer state is committed.
    Committed(Arc<ControlState>),
    /// Another view is installed.
    ViewInstalled(View),
    /// This member has begun to propose the view after that of `epoch`. Only for the log.
    ProposalStarted {
        /// Epoch of the installed view.
        epoch: u64,
        /// Reason for the proposal.
        reason: ProposalReason,
    },
}
