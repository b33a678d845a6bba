//! What is configured and which replicas exist.

use std::sync::Arc;

/// A service of the operator's configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    pub name: Arc<str>,
    /// Requests that a replica works on at a time, if the configuration tells.
    pub capacity_hint: Option<u32>,
    /// Connections that a replica accepts from all callers together.
    pub max_conns: u32,
    pub engine: Option<EngineSpec>,
}

/// How the replicas of a service generate tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineSpec {
    /// Requests in one batch.
    pub capacity: u32,
    /// Memory for running requests and cached parts together, in tokens.
    pub kv_tokens: u64,
    /// Tokens in each event.
    pub stride: u32,
}

/// A replica that has announced itself.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicaSpec {
    pub id: Arc<str>,
    pub service: Arc<str>,
    pub zone: Arc<str>,
    pub capacity: u32,
    /// False while it drains.
    pub ready: bool,
    /// Seconds for which it is still slow from its start.
    pub cold_remaining: f64,
    /// Version of its software.
    pub generation: Arc<str>,
}
