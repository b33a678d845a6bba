//! What goes into a member and what comes out of it.

use std::net::SocketAddrV4;
use std::sync::Arc;

use crate::durable::Record;
use crate::message::Envelope;
use crate::requests::{Reply, Request, RequestId};
use crate::state::ControlState;
use crate::view::View;

/// What happens to a member.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed; see [`Member::next_wake`].
    Tick,
    /// A message came.
    Message(Envelope),
    /// A request came.
    Request(RequestId, Request),
    /// The caller of a request has gone.
    Cancel(RequestId),
    /// Every record up to this number is synced.
    Persisted(u64),
    /// Whether the disk syncs in time.
    DiskHealth { is_healthy: bool },
    /// The settings name other seeds.
    Seeds(Vec<SocketAddrV4>),
    /// This process is stopping.
    Leave,
}

/// What the driver does.
#[derive(Clone, Debug)]
pub enum Output {
    /// Append the record and sync; then say [`Input::Persisted`] with its number.
    Persist { number: u64, record: Record },
    /// Send a message, best effort.
    Send {
        to: SocketAddrV4,
        envelope: Envelope,
    },
    /// Answer a request.
    Reply { id: RequestId, reply: Reply },
    /// A newer state is committed.
    Committed(Arc<ControlState>),
    /// Another view is in force.
    ViewInstalled(View),
}
