//! Events and messages of the simulated world.

use woadreach_discovery::Heartbeat;
use woadreach_discovery::registry::RegistryVersion;

/// A core machine or an observer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Node {
    Core(usize),
    Edge(usize),
}

#[derive(Clone)]
pub(super) enum Event {
    CoreTick {
        core: usize,
        incarnation: u64,
    },
    CoreFlush {
        core: usize,
        incarnation: u64,
    },
    Pull {
        core: usize,
        incarnation: u64,
    },
    PullFailed {
        core: usize,
        incarnation: u64,
        peer: usize,
    },
    PollDeadline {
        core: usize,
        incarnation: u64,
        poll: u64,
    },
    AcknowledgementDeadline {
        core: usize,
        incarnation: u64,
        call: u64,
    },
    DeparturesWritten {
        core: usize,
        incarnation: u64,
        number: u64,
        record: Vec<u8>,
    },
    EdgeWake {
        edge: usize,
        incarnation: u64,
    },
    EdgeTimeout {
        edge: usize,
        incarnation: u64,
        call: u64,
    },
    Deliver {
        from: Node,
        to: Node,
        message: Message,
    },
    Refused {
        edge: usize,
        incarnation: u64,
        call: u64,
    },
    HeartbeatDue {
        replica: usize,
    },
    HeartbeatTimeout {
        replica: usize,
        call: u64,
    },
    HeartbeatReceived {
        replica: usize,
        core: usize,
        call: u64,
        heartbeat: Option<Heartbeat>,
    },
    Acknowledged {
        replica: usize,
        call: u64,
        is_acknowledged: bool,
    },
}

#[derive(Clone)]
pub(super) enum Message {
    Request {
        call: u64,
        incarnation: u64,
        body: Vec<u8>,
    },
    Answer {
        call: u64,
        incarnation: u64,
        body: Vec<u8>,
    },
    Batch {
        body: Vec<u8>,
    },
    Urgent {
        call: u64,
        incarnation: u64,
        body: Vec<u8>,
    },
    UrgentAcknowledged {
        call: u64,
        incarnation: u64,
    },
    RegistryRequest {
        incarnation: u64,
        known: RegistryVersion,
    },
    Registry {
        incarnation: u64,
        body: Vec<u8>,
    },
}

impl Message {
    pub(super) fn bytes(&self) -> u64 {
        const FRAME: u64 = 15;
        FRAME
            + match self {
                Self::Request { body, .. }
                | Self::Answer { body, .. }
                | Self::Batch { body }
                | Self::Urgent { body, .. }
                | Self::Registry { body, .. } => body.len() as u64,
                Self::UrgentAcknowledged { .. } => 9,
                Self::RegistryRequest { .. } => 26,
            }
    }
}

impl Event {
    /// Core machine or observer that handles the event; `None` for events of replicas.
    pub(super) fn node(&self) -> Option<Node> {
        match self {
            Self::EdgeWake { edge, .. }
            | Self::EdgeTimeout { edge, .. }
            | Self::Refused { edge, .. }
            | Self::Deliver {
                to: Node::Edge(edge),
                ..
            } => Some(Node::Edge(*edge)),
            event => event.core().map(Node::Core),
        }
    }

    /// Core machine that handles the event; `None` for events of observers and replicas.
    pub(super) fn core(&self) -> Option<usize> {
        match self {
            Self::CoreTick { core, .. }
            | Self::CoreFlush { core, .. }
            | Self::Pull { core, .. }
            | Self::PullFailed { core, .. }
            | Self::PollDeadline { core, .. }
            | Self::AcknowledgementDeadline { core, .. }
            | Self::DeparturesWritten { core, .. }
            | Self::HeartbeatReceived { core, .. }
            | Self::Deliver {
                to: Node::Core(core),
                ..
            } => Some(*core),
            _ => None,
        }
    }
}
