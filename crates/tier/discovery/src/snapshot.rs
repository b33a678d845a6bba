//! State of the control plane that [`ControlWatch`](crate::ControlWatch) publishes to the rest of its process.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::time::Instant;
use woadreach_config::Configuration;
use woadreach_storage::view::StorageView;

use crate::replica::ReplicaRecord;

/// State of the control plane as known to one process. Versions never decrease within one incarnation of the process.
#[derive(Clone, Debug, Default)]
pub struct ControlSnapshot {
    /// Newest configuration received; `None` before the first.
    pub configuration: Option<Arc<Configuration>>,
    /// Registered replicas by id.
    pub replicas: Arc<BTreeMap<String, ReplicaRecord>>,
    /// Newest storage view received; `None` before the first.
    pub storage_view: Option<Arc<StorageView>>,
    /// Internal addresses of the core machines in the newest core view; empty before the first.
    pub core_machines: Vec<SocketAddr>,
    /// Whether the process has, at any time since its start, had both a complete list of replicas from a trusted
    /// machine and the newest configuration that any machine had reported. Never reset.
    pub has_reached_current_state: bool,
    /// Time of the last answer of any core machine; `None` before the first.
    pub last_answer_at: Option<Instant>,
}
