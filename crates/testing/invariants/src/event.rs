//! The events of a recorded history, each reported by the component that observed it.

use crate::units::{CoreSeconds, Seconds, Share};
use serde::{Serialize, Serializer};
use std::sync::Arc;

/// Number of a co-ordinator, which is the same after a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct CoordinatorId(
    /// Counted from 0.
    pub usize,
);

/// Name of a replica in the endpoint list.
pub type ReplicaName = Arc<str>;

/// A part of a search.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct PartName {
    /// The search's identifier on the wire.
    pub search: Arc<str>,
    /// The shard that the part queries.
    pub shard: u64,
    /// Whether the part belongs to the second step.
    #[serde(rename = "fetch")]
    pub second_step: bool,
}

/// A queried shard with its weight; `[shard, weight]` in the record.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShardWeight {
    /// The shard.
    pub shard: u64,
    /// Share of the search's total weight.
    pub weight: Share,
}

impl Serialize for ShardWeight {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (self.shard, self.weight).serialize(serializer)
    }
}

/// A shard with its value in an answer; `[shard, value]` in the record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardValue {
    /// The shard.
    pub shard: u64,
    /// The value in the answer.
    pub value: String,
}

impl Serialize for ShardValue {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (self.shard, &self.value).serialize(serializer)
    }
}

/// An event of the history, with its time.
#[derive(Clone, Debug, Serialize)]
pub struct Event {
    /// Time of the event. All events of a run have one clock.
    pub at: Seconds,
    /// The kind of event with its details.
    #[serde(flatten)]
    pub kind: EventKind,
}

/// The kind of an event with its details. Many variants and fields have another name in the record, which must not
/// change; `docs/faults.md` lists both.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum EventKind {
    /// A co-ordinator's process has started; it has no searches yet.
    #[serde(rename = "node_started")]
    CoordinatorStarted {
        /// The co-ordinator.
        node: CoordinatorId,
    },
    /// A co-ordinator was killed. Its open searches need no answer.
    #[serde(rename = "node_killed")]
    CoordinatorKilled {
        /// The co-ordinator.
        node: CoordinatorId,
    },
    /// A co-ordinator's process has exited without being killed, for example after a graceful shutdown.
    #[serde(rename = "node_ended")]
    CoordinatorEnded {
        /// The co-ordinator.
        node: CoordinatorId,
    },

    /// The last byte of a search's request has arrived at the co-ordinator's machine.
    #[serde(rename = "asked")]
    Requested {
        /// The co-ordinator.
        node: CoordinatorId,
        /// The search's identifier.
        search: Arc<str>,
        /// Index into [`Terms::query_types`](crate::Terms::query_types).
        query_type: usize,
        /// The queried shards.
        parts: Arc<[ShardWeight]>,
        /// Time by the run's clock at which the client times out.
        #[serde(rename = "ends")]
        deadline: Seconds,
    },
    /// The client has read the last byte of an answer with results.
    Answered {
        /// The search.
        search: Arc<str>,
        /// Whether the answer claims to be complete.
        #[serde(rename = "whole")]
        complete: bool,
        /// The shards in the answer with their values.
        rows: Vec<ShardValue>,
    },
    /// The client has read the last byte of a response with status 429 or 503: the search was shed.
    Shed {
        /// The search.
        search: Arc<str>,
    },
    /// The client has read the last byte of an answer that reports an error.
    #[serde(rename = "errored")]
    Failed {
        /// The search.
        search: Arc<str>,
    },
    /// The client has closed its connection.
    #[serde(rename = "left")]
    ClientDisconnected {
        /// The search.
        search: Arc<str>,
    },
    /// The co-ordinator has closed the connection without a complete response. This violates a rule only if a part
    /// of the search was sent; otherwise the client can recognize the failure.
    #[serde(rename = "dropped")]
    ConnectionClosed {
        /// The search.
        search: Arc<str>,
    },

    /// A replica has read the frame of a part.
    #[serde(rename = "sent")]
    PartReceived {
        /// The co-ordinator that sent it.
        node: CoordinatorId,
        /// The replica.
        replica: ReplicaName,
        /// The part.
        part: PartName,
        /// Time at which the first byte of the frame arrived at the replica's machine.
        #[serde(rename = "begun")]
        first_byte_at: Seconds,
        /// Time at which the last byte arrived there. The replica may have read it later.
        #[serde(rename = "came")]
        last_byte_at: Seconds,
        /// Amount of work of the part.
        work: CoreSeconds,
        /// Shards of the first step's result, as stated in a part of the second step; empty otherwise.
        #[serde(rename = "from", skip_serializing_if = "Vec::is_empty")]
        first_step_shards: Vec<u64>,
        /// Whether the first step's result is complete, as stated in a part of the second step; `None` otherwise.
        #[serde(rename = "first_whole", skip_serializing_if = "Option::is_none")]
        first_step_complete: Option<bool>,
    },
    /// The replica has rejected the part without running it.
    #[serde(rename = "turned_away")]
    PartRejected {
        /// The co-ordinator that sent it.
        node: CoordinatorId,
        /// The replica.
        replica: ReplicaName,
        /// The part.
        part: PartName,
    },
    /// The replica has computed the value of the part.
    #[serde(rename = "made")]
    PartCompleted {
        /// The co-ordinator that sent it.
        node: CoordinatorId,
        /// The replica.
        replica: ReplicaName,
        /// The part.
        part: PartName,
        /// The value that the replica computed.
        value: Arc<str>,
    },
    /// The replica has read the cancellation of the part.
    #[serde(rename = "given_up")]
    PartCancelled {
        /// The co-ordinator that sent it.
        node: CoordinatorId,
        /// The replica.
        replica: ReplicaName,
        /// The part.
        part: PartName,
    },

    /// The co-ordinator's discovery agent lists the replica as ready, or as draining or departed. Recorded when the
    /// agent has the entry and is responsive, whether or not a watch is open.
    #[serde(rename = "told")]
    ReplicaListed {
        /// The co-ordinator that the agent serves.
        node: CoordinatorId,
        /// The replica.
        replica: ReplicaName,
        /// `true` if ready; `false` if draining or departed.
        ready: bool,
    },
    /// A replica's process has started; its warm-up begins.
    #[serde(rename = "born")]
    ReplicaStarted {
        /// The replica.
        replica: ReplicaName,
        /// Number of the replica's cores.
        cores: f64,
    },
    /// A fault that delays frames to a replica has begun or ended. Several can overlap.
    #[serde(rename = "way")]
    LinkBlocked {
        /// The replica.
        replica: ReplicaName,
        /// `true` if the fault has begun; `false` if it has ended.
        #[serde(rename = "held")]
        blocked: bool,
    },

    /// The co-ordinator's process is suspended, starting now, and cannot answer meanwhile.
    Stalled {
        /// The co-ordinator.
        node: CoordinatorId,
        /// Duration of the suspension.
        seconds: Seconds,
    },
    /// A task of the co-ordinator has panicked, or its process has exited with an error.
    Panicked {
        /// The co-ordinator.
        node: CoordinatorId,
        /// Message of the panic or of the error.
        why: String,
    },
    /// The co-ordinator has leaked a resource (memory, a search, its process), or has written bytes that cannot be
    /// parsed.
    #[serde(rename = "kept")]
    CoordinatorUnsound {
        /// The co-ordinator.
        node: CoordinatorId,
        /// Description of the leak or of the malformed bytes.
        why: String,
    },
}

impl EventKind {
    /// The search that the event belongs to; `None` for an event of a co-ordinator or replica.
    pub(crate) fn search(&self) -> Option<&Arc<str>> {
        match self {
            EventKind::Requested { search, .. }
            | EventKind::Answered { search, .. }
            | EventKind::Shed { search }
            | EventKind::Failed { search }
            | EventKind::ClientDisconnected { search }
            | EventKind::ConnectionClosed { search } => Some(search),
            EventKind::PartReceived { part, .. }
            | EventKind::PartRejected { part, .. }
            | EventKind::PartCompleted { part, .. }
            | EventKind::PartCancelled { part, .. } => Some(&part.search),
            _ => None,
        }
    }
}
