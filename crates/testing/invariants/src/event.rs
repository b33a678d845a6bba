//! The events of a recorded history, each reported by the side that saw it.

use crate::units::{CoreSeconds, Seconds, Share};
use serde::{Serialize, Serializer};
use std::sync::Arc;

/// A co-ordinator by its number, which it keeps over restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct CoordinatorId(
    /// Counted from 0.
    pub usize,
);

/// A replica by its name in the endpoint list.
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

/// A queried shard and how much it counts; `[shard, weight]` in the record.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShardWeight {
    /// The shard.
    pub shard: u64,
    /// Its share of the whole weight.
    pub weight: Share,
}

impl Serialize for ShardWeight {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (self.shard, self.weight).serialize(serializer)
    }
}

/// A shard and the value that an answer has for it; `[shard, value]` in the record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardValue {
    /// The shard.
    pub shard: u64,
    /// The value.
    pub value: String,
}

impl Serialize for ShardValue {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (self.shard, &self.value).serialize(serializer)
    }
}

/// Something that happened, and when.
#[derive(Clone, Debug, Serialize)]
pub struct Event {
    /// When, by the run's one clock.
    pub at: Seconds,
    /// What happened.
    #[serde(flatten)]
    pub kind: EventKind,
}

/// What happened. The names in the record are older than those of the variants and fields; `docs/faults.md` has them
/// side by side.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum EventKind {
    /// A co-ordinator's process starts, without any search.
    #[serde(rename = "node_started")]
    CoordinatorStarted {
        /// The co-ordinator.
        node: CoordinatorId,
    },
    /// A co-ordinator was killed, so its searches are excused.
    #[serde(rename = "node_killed")]
    CoordinatorKilled {
        /// The co-ordinator.
        node: CoordinatorId,
    },
    /// A co-ordinator has ended by itself, for example after a graceful shutdown.
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
        /// When the client stops waiting, by the run's clock.
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
        /// What the answer has for each shard.
        rows: Vec<ShardValue>,
    },
    /// The client has read the last byte of an answer that says the search was shed.
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
    /// The co-ordinator has closed the connection without a complete response. If no part of the search was
    /// sent, that is a failure and not a loss: the client can tell.
    #[serde(rename = "dropped")]
    ConnectionClosed {
        /// The search.
        search: Arc<str>,
    },

    /// A replica has read a part's frame.
    #[serde(rename = "sent")]
    PartReceived {
        /// The co-ordinator that sent it.
        node: CoordinatorId,
        /// The replica.
        replica: ReplicaName,
        /// The part.
        part: PartName,
        /// When the frame's first byte arrived at the replica's machine.
        #[serde(rename = "begun")]
        first_byte_at: Seconds,
        /// When its last byte arrived there. The replica may have read it later.
        #[serde(rename = "came")]
        last_byte_at: Seconds,
        /// What the part costs.
        work: CoreSeconds,
        /// For a part of the second step: the shards that the first step's result is said to be from.
        #[serde(rename = "from", skip_serializing_if = "Vec::is_empty")]
        first_step_shards: Vec<u64>,
        /// For a part of the second step: whether the first step's result is said to be complete.
        #[serde(rename = "first_whole", skip_serializing_if = "Option::is_none")]
        first_step_complete: Option<bool>,
    },
    /// The replica has rejected the part without running it, and said so.
    #[serde(rename = "turned_away")]
    PartRejected {
        /// The co-ordinator that sent it.
        node: CoordinatorId,
        /// The replica.
        replica: ReplicaName,
        /// The part.
        part: PartName,
    },
    /// The replica has run the part.
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
    /// The replica has read the part's cancellation.
    #[serde(rename = "given_up")]
    PartCancelled {
        /// The co-ordinator that sent it.
        node: CoordinatorId,
        /// The replica.
        replica: ReplicaName,
        /// The part.
        part: PartName,
    },

    /// The co-ordinator's discovery agent lists the replica as ready, or as draining or departed. It counts
    /// from when the agent is responsive and has it, whether or not a watch is open.
    #[serde(rename = "told")]
    ReplicaListed {
        /// The co-ordinator whose agent it is.
        node: CoordinatorId,
        /// The replica.
        replica: ReplicaName,
        /// Ready; otherwise draining or departed.
        ready: bool,
    },
    /// A replica's process has started and warms up.
    #[serde(rename = "born")]
    ReplicaStarted {
        /// The replica.
        replica: ReplicaName,
        /// Number of its cores.
        cores: f64,
    },
    /// One cause that delays what is sent to a replica has begun or ended.
    #[serde(rename = "way")]
    LinkBlocked {
        /// The replica.
        replica: ReplicaName,
        /// Begun; otherwise ended.
        #[serde(rename = "held")]
        blocked: bool,
    },

    /// The co-ordinator's process is suspended from now on, and can't answer meanwhile.
    Stalled {
        /// The co-ordinator.
        node: CoordinatorId,
        /// For how long.
        seconds: Seconds,
    },
    /// A task of the co-ordinator has panicked, or its process has ended with an error.
    Panicked {
        /// The co-ordinator.
        node: CoordinatorId,
        /// The message of the panic or of the error.
        why: String,
    },
    /// Something of the co-ordinator is left that should have ended (memory, a search, its process), or it wrote what
    /// nobody can read.
    #[serde(rename = "kept")]
    CoordinatorUnsound {
        /// The co-ordinator.
        node: CoordinatorId,
        /// What is left, or cannot be read.
        why: String,
    },
}

impl EventKind {
    /// The search that the event is evidence of.
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
