//! What a process knows of the control plane's state.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::time::Instant;
use woadreach_config::Configuration;
use woadreach_storage::view::StorageView;

use crate::replica::ReplicaRecord;

/// What a process knows of the control plane's state. Versions never go back in one life of the process.
#[derive(Clone, Debug, Default)]
pub struct ControlSnapshot {
    /// The newest configuration known.
    pub configuration: Option<Arc<Configuration>>,
    /// Replicas that are there, by id.
    pub replicas: Arc<BTreeMap<String, ReplicaRecord>>,
    /// The newest view of the storage machines known.
    pub storage_view: Option<Arc<StorageView>>,
    /// Internal addresses of the core's members.
    pub core_members: Vec<SocketAddr>,
    /// Configuration and replicas are known from a core machine that was in quorum and not warming. Stays
    /// set.
    pub warmed: bool,
    /// When a core machine was last heard.
    pub last_heard: Option<Instant>,
}
