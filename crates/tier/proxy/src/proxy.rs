//! State and services that all requests share.

use crate::clock::Clock;
use crate::counters::Counters;
use crate::dispatcher::Dispatcher;
use crate::lifecycle::Lifecycle;
use crate::replica::pool::ReplicaPool;
use crate::routing_state::RoutingState;
use parking_lot::Mutex;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use tokio::sync::watch;
use woadreach_discovery::ControlSnapshot;
use woadreach_scheduler::Scheduler;
use woadreach_storage::StorageClient;

/// Bodies of requests being read together may fill the process's memory divided by this.
const BODIES_MEMORY_DIVISOR: u64 = 5;

/// Assumed number of edges that share each replica's connections; the control plane does not send it
/// (docs/ROADMAP.md).
const ASSUMED_EDGE_COUNT: usize = 6;

/// State and services that all requests share.
pub struct Proxy {
    /// Clock of the scheduler and of the connections' time-outs.
    pub clock: Clock,
    /// The scheduler, with the requests that wait for its decisions.
    pub dispatcher: Dispatcher,
    /// Pooled connections to replicas.
    pub pool: Arc<ReplicaPool>,
    /// Client of the storage machines, for turns and budgets.
    pub storage: StorageClient,
    /// Counters of the state line.
    pub counters: Counters,
    /// Phase of the process, and the number of its requests in flight.
    pub lifecycle: Lifecycle,
    /// Bytes of the requests' bodies that are being read.
    pub buffered_body_bytes: AtomicUsize,
    /// Limit of `buffered_body_bytes`; above it requests get 503.
    pub max_buffered_body_bytes: usize,
    /// Replaced as a whole by each snapshot. A request keeps its route; each of its attempts reads the newest
    /// replicas and limits.
    routing_state: Mutex<Arc<RoutingState>>,
}

impl Proxy {
    /// A data plane without configuration or replicas. `seed` feeds the scheduler's random choices.
    pub fn new(seed: u64, zone: &str, memory_mb: u64, storage: StorageClient) -> Self {
        let max_buffered_body_bytes = memory_mb * 1024 * 1024 / BODIES_MEMORY_DIVISOR;
        let clock = Clock::start();
        Proxy {
            clock,
            dispatcher: Dispatcher::new(Scheduler::new(seed, zone.to_owned()), clock),
            pool: Arc::default(),
            storage,
            counters: Counters::default(),
            lifecycle: Lifecycle::default(),
            buffered_body_bytes: AtomicUsize::new(0),
            max_buffered_body_bytes: max_buffered_body_bytes as usize,
            routing_state: Mutex::default(),
        }
    }

    /// The current configuration and replicas.
    pub fn routing_state(&self) -> Arc<RoutingState> {
        self.routing_state.lock().clone()
    }

    /// Number of edges that share each replica's connections.
    pub fn edges(&self) -> usize {
        ASSUMED_EDGE_COUNT
    }

    /// Applies each snapshot of the control plane; returns when their channel is closed.
    pub async fn follow_snapshots(&self, mut snapshots: watch::Receiver<Arc<ControlSnapshot>>) {
        loop {
            let snapshot = snapshots.borrow_and_update().clone();
            self.apply_snapshot(&snapshot);
            if snapshots.changed().await.is_err() {
                return;
            }
        }
    }

    /// Replaces configuration, replicas and storage view by those of a snapshot.
    pub fn apply_snapshot(&self, snapshot: &ControlSnapshot) {
        let before = self.routing_state();
        let after = Arc::new(before.with_snapshot(snapshot));
        *self.routing_state.lock() = after.clone();
        if let Some(view) = &snapshot.storage_view {
            self.storage.set_view(view.clone());
        }
        if before.generation() != after.generation() {
            tracing::info!(generation = after.generation(), "configuration applied");
            self.dispatcher
                .update_services(&after.service_specs(), self.edges());
            self.dispatcher.update_routes(&after.route_names());
        }
        if !Arc::ptr_eq(&before.replicas, &after.replicas) {
            self.dispatcher.update_replicas(&after.replica_specs());
        }
    }

    /// Whether configuration, replicas and storage view are complete enough to serve requests.
    pub fn is_ready(&self) -> bool {
        let routing_state = self.routing_state();
        routing_state.has_current_state
            && routing_state.configuration.is_some()
            && routing_state.has_storage_view
    }
}
