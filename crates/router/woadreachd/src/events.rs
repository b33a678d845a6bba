//! Events that the tasks send to the core task, and the plain types that they carry.

use crate::frame::PartStatus;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot};
use woadreach_lease::{Departure, ReplicaKey};
use woadreach_routing::api::{QueryTypeId, SearchId, ShardId, TenantId, ZoneFailoverState};

/// The core task's event queue.
pub(crate) type Events = mpsc::UnboundedSender<Event>;
/// The core task's queue of endpoint lists, which go before events.
pub(crate) type EndpointLists = mpsc::UnboundedSender<EndpointList>;
/// Where the core task reports what its endpoint list says of replicas.
pub(crate) type EndpointReports = mpsc::UnboundedSender<EndpointReport>;

/// Identifies a connection to a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ConnectionId(pub(crate) u64);

/// An input of the core task.
pub(crate) enum Event {
    /// The front has read a search.
    SearchArrived(Box<Arrival>),
    /// Nobody waits for the search's answer any more: its client has disconnected, or the process ends and the
    /// front answers it as errored.
    AnswerNotOwed(SearchId),
    /// The task of a connection to a replica has something to report.
    Connection(ConnectionId, ConnectionEvent),
    /// The co-ordinators of the tier have agreed on the zones that take traffic.
    ZoneFailover(ZoneFailoverState),
    /// Singleton roles change something for this process: by a holder's message, or by its expiry.
    Role(RoleUpdate),
}

/// What singleton roles change for this process.
pub(crate) enum RoleUpdate {
    /// This process's shares of warming replicas.
    QuotaShares(Vec<EvenShares>),
    /// Replicas that take no new attempts, as the lease holder of their zone observes.
    Closed(Vec<ReplicaKey>),
    /// Replicas whose departure the own endpoint list has not confirmed in time: its entries apply again.
    Expired(Vec<ReplicaKey>),
}

/// The share of a warming replica that this process may use, in even shares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct EvenShares {
    pub(crate) replica: ReplicaKey,
    /// 1 is what each co-ordinator would have if the replica were shared out evenly.
    pub(crate) even_shares: f64,
}

/// What the own endpoint list says of a replica.
pub(crate) struct EndpointReport {
    pub(crate) replica: ReplicaKey,
    /// `None`: the replica is ready.
    pub(crate) departure: Option<Departure>,
}

/// A part of a search, as the client asks for it.
pub(crate) struct RequestedPart {
    pub(crate) shard: ShardId,
    /// Its weight in the answer, from 0 to 1; those of a search add up to 1 but for rounding.
    pub(crate) weight: f64,
}

/// A client's search, as the front has read it.
pub(crate) struct Arrival {
    pub(crate) search: SearchId,
    /// The client's trace id, which names the search on the wire.
    pub(crate) trace: String,
    pub(crate) query_type: QueryTypeId,
    pub(crate) tenant: TenantId,
    /// When the kernel had the request, in Unix seconds.
    pub(crate) received_at: f64,
    /// Until when the client waits, in Unix seconds; later than `received_at`.
    pub(crate) client_deadline: f64,
    /// Whether the client marks the request as a retry; `None` where clients don't mark them.
    pub(crate) marked_as_retry: Option<bool>,
    /// One for each shard that it asks, in the client's order; never empty.
    pub(crate) parts: Vec<RequestedPart>,
    /// What each part carries to its replica.
    pub(crate) text: Rc<str>,
    /// Length of the request's body: what the search counts for in the core's memory budget.
    pub(crate) bytes: usize,
    /// Takes the final answer; dropped without one once it is not owed any more.
    pub(crate) reply: oneshot::Sender<Answer>,
}

/// What a shard contributes to an answer.
pub(crate) struct Row {
    pub(crate) shard: ShardId,
    /// The value as its replica gave it.
    pub(crate) value: String,
}

/// The final answer of a search.
pub(crate) enum Answer {
    Answered {
        /// Whether nothing is missing.
        complete: bool,
        rows: Vec<Row>,
    },
    /// Rejected: asking again is harmless.
    Shed {
        /// Seconds until the client may come back; 0 for no advice.
        retry_after_s: f64,
    },
    Errored,
    /// Another search under the same trace id is in flight or has just been answered.
    DuplicateTrace,
}

/// What a process has in memory. At an even load every count but `replicas` levels off.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Searches in flight.
    pub searches: usize,
    /// Parts of searches in flight.
    pub parts: usize,
    /// Attempts in flight or waiting to be written.
    pub attempts: usize,
    /// Connections to replicas.
    pub connections: usize,
    /// Replicas that the endpoint list names.
    pub replicas: usize,
    /// Timers of the core task.
    pub timers: usize,
    /// Descriptors of clients' connections.
    pub client_sockets: usize,
    /// Descriptors of connections to replicas and to discovery.
    pub own_sockets: usize,
    /// Bytes of requests in flight.
    pub request_bytes: usize,
    /// Longest wait of an event for the core task since the last report, in seconds.
    pub max_event_delay_s: f64,
}

/// What a connection's task reports: `Connected` at most once, then answers, and `Closed` exactly once.
pub(crate) enum ConnectionEvent {
    /// The connection is established.
    Connected,
    /// A replica has answered a part.
    AnswerReceived {
        /// The part's id on the wire. The replica chooses the bytes: it may name no attempt in flight.
        wire_id: String,
        status: PartStatus,
        /// Orders the shards of a second step, the highest first; 0 where the replica states none.
        score: u64,
        /// The bytes for the client, which may not be UTF-8.
        value: Vec<u8>,
        /// When the kernel had it, in Unix seconds.
        at: f64,
    },
    /// The socket is closed and its permit given back; the last event of a connection.
    Closed,
}

/// State of an endpoint by the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Lifecycle {
    /// It takes attempts.
    Ready,
    /// It takes no new attempts and finishes those in flight.
    Draining,
    /// It is not there any more.
    Departed,
}

impl Lifecycle {
    /// How the endpoint departs; `None` for one that is ready.
    pub(crate) fn departure(self) -> Option<Departure> {
        match self {
            Lifecycle::Ready => None,
            Lifecycle::Draining => Some(Departure::Draining),
            Lifecycle::Departed => Some(Departure::Departed),
        }
    }
}

/// A replica as an endpoint list names it.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The replica's name.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// The name of its zone.
    pub zone: String,
    /// Its shard group.
    pub cell: u64,
    /// Its state.
    pub lifecycle: Lifecycle,
    /// Unix seconds of the last start; 0 for long ago.
    pub started_at: f64,
}

/// An endpoint list of discovery, complete or the changes after an earlier one.
#[derive(Clone, Debug)]
pub struct EndpointList {
    /// The list's version, which ascends.
    pub generation: u64,
    /// Whether the list is complete: replicas that it does not name have departed.
    pub full: bool,
    /// The replicas that it names.
    pub entries: Vec<Endpoint>,
}
