//! What a replica says about itself.

use std::net::SocketAddr;

use speedy::{Readable, Writable};

/// Whether a replica takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Readable, Writable)]
pub enum ReplicaState {
    /// Takes requests.
    Ready,
    /// Is about to end: takes no new requests.
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
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Service that the replica belongs to.
    pub service: String,
    /// Address at which it takes requests.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Version of its software.
    pub generation: String,
    /// Requests that it works on at a time.
    pub capacity: u32,
    /// Whether it takes requests.
    pub state: ReplicaState,
    /// How much longer it is slow from its start.
    pub cold_remaining_ms: u64,
    /// Stage of model serving, where it has one.
    pub stage: Option<String>,
    /// Models that it has loaded.
    pub models: Vec<ModelRecord>,
    /// Rises with each call of one incarnation.
    pub sequence: u64,
}

/// A replica as the registry knows it. Each incarnation has an `id` of its own.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReplicaRecord {
    /// Identity of this incarnation.
    pub id: String,
    /// Service that the replica belongs to.
    pub service: String,
    /// Address at which it takes requests.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Version of its software.
    pub generation: String,
    /// Requests that it works on at a time.
    pub capacity: u32,
    /// Whether it takes requests.
    pub state: ReplicaState,
    /// How much longer it is slow from its start, at the time when this record was received.
    pub cold_remaining_ms: u64,
    /// Stage of model serving, where it has one.
    pub stage: Option<String>,
    /// Models that it has loaded.
    pub models: Vec<ModelRecord>,
    /// Sequence of the heartbeat that this record is from.
    pub sequence: u64,
}

impl ReplicaRecord {
    /// The record of `id` that `heartbeat` describes.
    pub fn new(id: &str, heartbeat: Heartbeat) -> Self {
        Self {
            id: id.to_owned(),
            service: heartbeat.service,
            address: heartbeat.address,
            zone: heartbeat.zone,
            generation: heartbeat.generation,
            capacity: heartbeat.capacity,
            state: heartbeat.state,
            cold_remaining_ms: heartbeat.cold_remaining_ms,
            stage: heartbeat.stage,
            models: heartbeat.models,
            sequence: heartbeat.sequence,
        }
    }

    /// Whether both describe the replica alike, apart from what changes with every heartbeat.
    pub fn has_same_content(&self, other: &Self) -> bool {
        self.id == other.id
            && self.service == other.service
            && self.address == other.address
            && self.zone == other.zone
            && self.generation == other.generation
            && self.capacity == other.capacity
            && self.state == other.state
            && self.stage == other.stage
            && self.models == other.models
            && (self.cold_remaining_ms > 0) == (other.cold_remaining_ms > 0)
    }

    /// A digest of what [`has_same_content`](Self::has_same_content) compares.
    pub fn content_digest(&self) -> u32 {
        let mut hash = Fnv::new();
        for text in [&self.id, &self.service, &self.zone, &self.generation] {
            hash.text(text);
        }
        hash.text(&self.address.to_string());
        hash.number(u64::from(self.capacity));
        hash.number(self.state as u64);
        hash.number(u64::from(self.cold_remaining_ms > 0));
        hash.text(self.stage.as_deref().unwrap_or("\0"));
        for model in &self.models {
            hash.text(&model.name);
            hash.number(model.generation);
            for adapter in &model.adapters {
                hash.text(adapter);
            }
            hash.number(model.adapters.len() as u64);
        }
        hash.0
    }
}

/// FNV-1a, 32 bits.
struct Fnv(u32);

impl Fnv {
    const OFFSET: u32 = 0x811c_9dc5;
    const PRIME: u32 = 0x0100_0193;

    fn new() -> Self {
        Self(Self::OFFSET)
    }

    fn bytes(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u32::from(*byte)).wrapping_mul(Self::PRIME);
        }
    }

    fn text(&mut self, text: &str) {
        self.number(text.len() as u64);
        self.bytes(text.as_bytes());
    }

    fn number(&mut self, number: u64) {
        self.bytes(&number.to_le_bytes());
    }
}
