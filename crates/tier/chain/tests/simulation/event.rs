//! Events of the simulation.

use woadreach_chain::{Envelope, Request};

use super::operator::CallId;
use super::stops::Stop;

/// An event of the simulation's queue.
#[derive(Debug)]
pub(crate) enum Event {
    Wake {
        node: usize,
        incarnation: u64,
    },
    Deliver {
        to: usize,
        from: usize,
        envelope: Box<Envelope>,
    },
    Synced {
        node: usize,
        incarnation: u64,
        through: u64,
    },
    Start {
        node: usize,
    },
    Thaw {
        node: usize,
    },
    /// The graceful shutdown of a process begins; see [`super::stops`].
    Stop {
        node: usize,
        stop: Stop,
    },
    /// A machine loses its disk.
    Wipe {
        node: usize,
    },
    /// A process that is shutting down checks whether it may exit.
    CheckStop {
        node: usize,
        incarnation: u64,
    },
    /// A machine receives an operator's call, which `hops` machines have forwarded.
    Call {
        node: usize,
        call: CallId,
        request: Request,
        hops: u8,
    },
    /// Periodic tick of the operators.
    OperatorTick,
    /// The next fault begins.
    Fault,
    /// The current fault ends.
    EndFault,
}

impl Event {
    /// The machine whose process must run to handle the event.
    pub(super) fn process(&self) -> Option<usize> {
        match self {
            Event::Wake { node, .. }
            | Event::Deliver { to: node, .. }
            | Event::Synced { node, .. }
            | Event::CheckStop { node, .. }
            | Event::Call { node, .. } => Some(*node),
            _ => None,
        }
    }
}
