//! Configured services and registered replicas, as passed by the driver.

use std::sync::Arc;

/// A configured service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: Arc<str>,
    /// Number of connections that a replica accepts from all processes together; for 0 see
    /// [`connections_per_process`](crate::connections_per_process).
    pub max_conns: u32,
    /// Engine of the replicas; `None` if they serve no model.
    pub engine: Option<EngineSpec>,
}

/// Engine with which the replicas of a service generate tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineSpec {
    /// Capacity of a replica's KV cache for running requests and cached prefixes together, in tokens; 0 if not
    /// configured.
    pub kv_tokens: u64,
}

/// A registered replica.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicaSpec {
    /// Identifier of this incarnation of the replica.
    pub id: Arc<str>,
    /// Name of the service that the replica belongs to.
    pub service: Arc<str>,
    /// Zone of the replica.
    pub zone: Arc<str>,
    /// Number of requests that the replica processes concurrently.
    pub capacity: u32,
    /// Whether the replica accepts new requests; false while it is draining.
    pub ready: bool,
    /// Seconds until the replica has warmed up; 0 if it is warm.
    pub cold_remaining: f64,
    /// Version of the replica's software. A change implies that its cache is empty.
    pub generation: Arc<str>,
}
