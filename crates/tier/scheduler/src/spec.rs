//! Configured services and registered replicas, as the driver passes them.

use std::sync::Arc;

/// A service of the operator's configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: Arc<str>,
    /// Connections that a replica accepts from all processes together; see
    /// [`connections_per_process`](crate::connections_per_process) for 0.
    pub max_conns: u32,
    /// How the replicas generate tokens, if they serve a model.
    pub engine: Option<EngineSpec>,
}

/// How the replicas of a service generate tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineSpec {
    /// Capacity of the KV cache for running requests and cached prefixes together, in tokens.
    pub kv_tokens: u64,
}

/// A registered replica.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicaSpec {
    /// Identifier of the replica's incarnation.
    pub id: Arc<str>,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// Its zone.
    pub zone: Arc<str>,
    /// Requests that it processes concurrently.
    pub capacity: u32,
    /// Whether it accepts new requests; false while it is draining.
    pub ready: bool,
    /// Seconds until it has warmed up.
    pub cold_remaining: f64,
    /// Version of its software.
    pub generation: Arc<str>,
}
