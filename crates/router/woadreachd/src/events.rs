//! What the tasks tell the core, as plain types that all of them share. Owns nothing; must never do anything.

use crate::frame::End;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot};
use woadreach_lease::{Departure, ReplicaKey};
use woadreach_routing::api::*;

pub type Events = mpsc::UnboundedSender<Event>;
pub type Lists = mpsc::UnboundedSender<List>;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnId(pub u64);

/// A part, and which of its sub-requests.
pub type AttemptId = (PartId, usize);

pub enum Event {
    Arrived(Box<Arrival>),
    /// The client has closed its connection.
    ClientLeft(SearchId),
    Connection(ConnId, ConnectionEvent),
    /// What the co-ordinators of the tier have decided in common.
    ZoneFailover(ZoneFailoverState),
    /// What a holder of a duty has told.
    Role(RoleUpdate),
}

/// What comes of duties that others hold.
pub enum RoleUpdate {
    /// So many times its even share of a cold replica is this one's.
    QuotaShare(Vec<(ReplicaKey, f64)>),
    /// Replicas that take no more, by the word of who keeps the watch for the zone.
    Closed(Vec<(ReplicaKey, Departure)>),
    /// Such words that the own list has not borne out: what it says stands again.
    Expired(Vec<ReplicaKey>),
}

/// What the own list has said of a replica; none: it serves.
pub struct EndpointReport {
    pub replica: ReplicaKey,
    pub what: Option<Departure>,
}

pub type EndpointReports = mpsc::UnboundedSender<EndpointReport>;

/// A search as a front has read it.
pub struct Arrival {
    pub search: SearchId,
    /// Its name on the wire.
    pub trace: String,
    pub query_type: QueryTypeId,
    pub tenant: TenantId,
    pub at: f64,
    pub client_deadline: f64,
    pub repeated: Option<bool>,
    pub parts: Vec<(ShardId, f64)>,
    pub text: Rc<str>,
    pub bytes: usize,
    pub reply: oneshot::Sender<Answer>,
}

/// The final answer of a search.
pub enum Answer {
    /// Rows are shards with the values that replicas gave, from which an answer is made whole or not.
    Answered {
        whole: bool,
        rows: Vec<(ShardId, String)>,
    },
    Shed {
        retry_after: f64,
    },
    Errored,
    /// Its name is in hand already.
    Twice,
}

/// What a co-ordinator holds at one moment. All but the counts of the list level off at even traffic.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    pub searches: usize,
    pub parts: usize,
    /// Sub-requests, and connections to replicas.
    pub out: usize,
    pub connections: usize,
    /// Replicas that the list names.
    pub replicas: usize,
    pub timers: usize,
    /// Descriptors of clients' connections, and of ours.
    pub clients: usize,
    pub ours: usize,
    /// Of requests.
    pub bytes: usize,
    /// The longest that an event has waited for its round since the last look, in seconds.
    pub late: f64,
}

/// What a connection's task tells the core.
pub enum ConnectionEvent {
    Up,
    Answer {
        id: String,
        end: End,
        score: u64,
        value: Vec<u8>,
        at: f64,
    },
    Ended,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Lifecycle {
    Ready,
    Draining,
    Gone,
}

#[derive(Clone, Debug)]
pub struct Entry {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    pub cell: u64,
    pub lifecycle: Lifecycle,
    /// Unix seconds of the last start; 0 for long ago.
    pub started_at: f64,
}

#[derive(Clone, Debug)]
pub struct List {
    pub generation: u64,
    pub full: bool,
    pub entries: Vec<Entry>,
}
