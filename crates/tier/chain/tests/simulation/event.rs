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
    /// A process is stopped; see [`super::stops`].
    Stop {
        node: usize,
        stop: Stop,
    },
    /// A machine loses its disk.
    Lose {
        node: usize,
    },
    /// A process that is being stopped checks whether it may exit.
    CheckStop {
        node: usize,
        incarnation: u64,
    },
    /// A call of an operator reaches a machine; `hops` machines have forwarded it.
    Call {
        node: usize,
        call: CallId,
        request: Request,
        hops: u8,
    },
    /// The operators' clock.
    Operate,
    Fault,
    EndFault,
}

impl Event {
    /// The machine whose process has to run for the event.
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
