//! Events of a simulation run and the endpoints that exchange messages.

use woadreach_storage::StorageView;
use woadreach_storage::announce::Announcement;
use woadreach_storage::message::{Request, Response};

use super::faults::Fault;
use super::proxy::JobId;

/// Receiver of a view, or sender of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Endpoint {
    Machine(usize),
    Proxy(usize),
}

/// Event in the queue of a simulation run.
pub(crate) enum Event {
    Request {
        to: usize,
        call: u64,
        request: Request,
    },
    Response {
        call: u64,
        response: Response,
    },
    CallTimeout {
        call: u64,
    },
    SyncDone {
        machine: usize,
        incarnation: u64,
    },
    Announce {
        machine: usize,
        incarnation: u64,
    },
    Announced(Announcement),
    Plan,
    Commit(StorageView),
    View {
        to: Endpoint,
        view: StorageView,
    },
    Turn,
    Reserve {
        proxy: usize,
        program: usize,
        id: u64,
    },
    TurnEnded {
        proxy: usize,
        program: usize,
        id: u64,
    },
    Resend {
        proxy: usize,
        job: JobId,
    },
    Deadline {
        proxy: usize,
        job: JobId,
    },
    Fault(Fault),
    FinalReads,
}
