//! What a replica reports about itself: the body of a heartbeat, and the record that the registry keeps of it.

use std::net::SocketAddr;

use speedy::{Readable, Writable};

use crate::fnv::Fnv32;

/// Whether a replica accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Readable, Writable)]
pub enum ReplicaState {
    /// Accepts new requests.
    Ready,
    /// Is shutting down gracefully: finishes what it has and accepts nothing new.
    Draining,
}

/// A model that a replica has loaded.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Readable, Writable)]
pub struct ModelRecord {
    /// Name of the model.
    pub name: String,
    /// Version of its weights.
    pub generation: u64,
    /// Adapters loaded with it.
    pub adapters: Vec<String>,
}

/// Body of a heartbeat: the replica's description of itself.
///
/// The order of the fields is part of the order in which statuses replace each other, see
/// [`ReplicaStatus::compare`](crate::ReplicaStatus::compare).
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Heartbeat {
    /// Service that the replica belongs to.
    pub service: String,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Version of its software; `generation` in the JSON of a heartbeat.
    pub software_version: String,
    /// Number of requests that it processes concurrently.
    pub capacity: u32,
    /// Whether it accepts new requests.
    pub state: ReplicaState,
    /// Time until it has warmed up, in milliseconds after the heartbeat was received; 0 if it has.
    pub cold_remaining_ms: u64,
    /// Stage of model serving, such as prefill or decode, if it serves only one.
    pub stage: Option<String>,
    /// Models that it has loaded.
    pub models: Vec<ModelRecord>,
    /// Rises with each heartbeat of one incarnation.
    pub sequence: u64,
}

impl Heartbeat {
    /// Whether the replica is still warming up.
    pub fn is_warming_up(&self) -> bool {
        self.cold_remaining_ms > 0
    }

    /// Whether both describe the replica alike, apart from what changes with every heartbeat.
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

/// One incarnation of a replica, as the registry knows it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReplicaRecord {
    /// Identifier of this incarnation.
    pub id: String,
    /// Its newest heartbeat.
    pub heartbeat: Heartbeat,
}

impl ReplicaRecord {
    /// The record of the replica `id` after `heartbeat`.
    pub fn new(id: &str, heartbeat: Heartbeat) -> Self {
        Self {
            id: id.to_owned(),
            heartbeat,
        }
    }

    /// Whether both describe the same replica alike, apart from what changes with every heartbeat.
    pub fn has_same_content(&self, other: &Self) -> bool {
        self.id == other.id && self.heartbeat.has_same_content(&other.heartbeat)
    }

    /// Digest of what [`has_same_content`](Self::has_same_content) compares. Core machines of different
    /// releases compare digests, so the hash and the order of its fields must not change.
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
