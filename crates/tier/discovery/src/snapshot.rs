//! The control plane's state as one process knows it: what [`ControlWatch`](crate::ControlWatch) publishes to the rest
//! of the process.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::time::Instant;
use woadreach_config::Configuration;
use woadreach_storage::view::StorageView;

use crate::replica::ReplicaRecord;

/// The control plane's state as one process knows it. Versions never decrease within one incarnation of the
/// process.
#[derive(Clone, Debug, Default)]
pub struct ControlSnapshot {
    /// The newest configuration known.
    pub configuration: Option<Arc<Configuration>>,
    /// Registered replicas by id.
    pub replicas: Arc<BTreeMap<String, ReplicaRecord>>,
    /// The newest view of the storage machines known.
    pub storage_view: Option<Arc<StorageView>>,
    /// Internal addresses of the core machines that the newest core view names; empty before the first.
    pub core_machines: Vec<SocketAddr>,
    /// Whether the process has once had a complete list of replicas from a trusted machine and the newest
    /// configuration that any machine had reported. Stays set.
    pub has_reached_current_state: bool,
    /// When a core machine last answered.
    pub last_answer_at: Option<Instant>,
}
