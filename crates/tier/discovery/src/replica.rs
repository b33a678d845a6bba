//! The body of a replica's heartbeat, and the record of a replica in the registry.

use std::net::SocketAddr;

use speedy::{Readable, Writable};

use crate::fnv::Fnv32;

/// Whether a replica accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Readable, Writable)]
pub enum ReplicaState {
    /// The replica accepts new requests.
    Ready,
    /// The replica is shutting down gracefully: it finishes the requests in flight and accepts no new ones.
    Draining,
}

/// Model loaded by a replica.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Readable, Writable)]
pub struct ModelRecord {
    /// Name of the model.
    pub name: String,
    /// Version of the model's weights.
    pub generation: u64,
    /// Names of the adapters loaded with the model.
    pub adapters: Vec<String>,
}

/// Body of a heartbeat.
///
/// The derived order, which depends on the order of the fields, decides between two statuses with the same sequence
/// number: see [`ReplicaStatus::compare`](crate::ReplicaStatus::compare).
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Heartbeat {
    /// Name of the service that the replica belongs to.
    pub service: String,
    /// Address at which the replica accepts requests.
    pub address: SocketAddr,
    /// Zone of the replica.
    pub zone: String,
    /// Version of the replica's software; may be empty. Named `generation` in the JSON of a heartbeat.
    pub software_version: String,
    /// Number of requests that the replica processes concurrently.
    pub capacity: u32,
    /// Whether the replica accepts new requests.
    pub state: ReplicaState,
    /// Remaining warm-up time in milliseconds, counted from the receipt of the heartbeat; 0 once warm.
    pub cold_remaining_ms: u64,
    /// Stage of model serving, such as prefill or decode, if the replica serves only one; `None` if the replica reports
    /// none.
    pub stage: Option<String>,
    /// Models loaded by the replica.
    pub models: Vec<ModelRecord>,
    /// Sequence number, which increases with each heartbeat of one incarnation. Less than `u64::MAX`.
    pub sequence: u64,
}

impl Heartbeat {
    /// Whether the replica is still warming up.
    pub fn is_warming_up(&self) -> bool {
        self.cold_remaining_ms > 0
    }

    /// Whether both are equal, ignoring `sequence` and the exact value of `cold_remaining_ms`.
    fn has_same_content(&self, other: &Self) -> bool {
        self.service == other.service
            && self.address == other.address
            && self.zone == other.zone
            && self.software_version == other.software_version
            && self.capacity == other.capacity
            && self.state == other.state
            && self.stage == other.stage
            && self.models == other.models
            && self.is_warming_up() == other.is_warming_up()
    }
}

/// Registry record of one incarnation of a replica.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReplicaRecord {
    /// Identifier of the replica's incarnation.
    pub id: String,
    /// Newest heartbeat of the incarnation.
    pub heartbeat: Heartbeat,
}

impl ReplicaRecord {
    /// Creates the record of the replica `id` from `heartbeat`.
    pub fn new(id: &str, heartbeat: Heartbeat) -> Self {
        Self {
            id: id.to_owned(),
            heartbeat,
        }
    }

    /// Whether both have the same id and content, ignoring the sequence number and the exact remaining warm-up time.
    pub fn has_same_content(&self, other: &Self) -> bool {
        self.id == other.id && self.heartbeat.has_same_content(&other.heartbeat)
    }

    /// Digest of the fields that [`has_same_content`](Self::has_same_content) compares. Core machines of different
    /// releases compare digests, so the hash function and the order of the fields must not change.
    pub fn content_digest(&self) -> u32 {
        let heartbeat = &self.heartbeat;
        let mut hash = Fnv32::new();
        hash.add_text(&self.id);
        hash.add_text(&heartbeat.service);
        hash.add_text(&heartbeat.zone);
        hash.add_text(&heartbeat.software_version);
        hash.add_text(&heartbeat.address.to_string());
        hash.add_number(u64::from(heartbeat.capacity));
        hash.add_number(heartbeat.state as u64);
        hash.add_number(u64::from(heartbeat.is_warming_up()));
        hash.add_text(heartbeat.stage.as_deref().unwrap_or("\0"));
        for model in &heartbeat.models {
            hash.add_text(&model.name);
            hash.add_number(model.generation);
            for adapter in &model.adapters {
                hash.add_text(adapter);
            }
            hash.add_number(model.adapters.len() as u64);
        }
        hash.finish()
    }
}
