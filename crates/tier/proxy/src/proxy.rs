//! The parts of the data plane that all requests share.

use crate::counters::Counters;
use crate::deadline::Clock;
use crate::dispatcher::Dispatcher;
use crate::knowledge::Knowledge;
use crate::lifecycle::Lifecycle;
use crate::replica_pool::ReplicaPool;
use parking_lot::Mutex;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use tokio::sync::watch;
use woadreach_discovery::ControlSnapshot;
use woadreach_scheduler::Admission;
use woadreach_storage::StorageClient;

/// Part of the process's memory that the bodies of requests being read may fill.
const BODIES_SHARE_OF_MEMORY: u64 = 5;

/// Edges among which the connections of replicas are shared while their number is not known.
const ASSUMED_EDGES: usize = 6;

/// The parts that all requests share.
pub struct Proxy {
    /// Time since the start.
    pub clock: Clock,
    /// Decisions.
    pub dispatcher: Dispatcher,
    /// Connections to replicas.
    pub pool: Arc<ReplicaPool>,
    /// Turns and budgets.
    pub turns: StorageClient,
    /// Counters.
    pub counters: Counters,
    /// Start to exit.
    pub lifecycle: Lifecycle,
    /// Bytes of requests' bodies in hand.
    pub body_bytes: AtomicUsize,
    /// Bytes of requests' bodies that may be in hand.
    pub most_body_bytes: usize,
    knowledge: Mutex<Arc<Knowledge>>,
}

impl Proxy {
    /// A data plane that knows nothing yet.
    pub fn new(seed: u64, zone: &str, memory_mb: u64, turns: StorageClient) -> Self {
        let most_body_bytes = memory_mb * 1024 * 1024 / BODIES_SHARE_OF_MEMORY;
        let clock = Clock::start();
        Proxy {
            clock,
            dispatcher: Dispatcher::new(Admission::new(seed, zone.to_owned()), clock),
            pool: Arc::default(),
            turns,
            counters: Counters::default(),
            lifecycle: Lifecycle::default(),
            body_bytes: AtomicUsize::new(0),
            most_body_bytes: most_body_bytes as usize,
            knowledge: Mutex::default(),
        }
    }

    /// What is known now.
    pub fn knowledge(&self) -> Arc<Knowledge> {
        self.knowledge.lock().clone()
    }

    /// Edges among which the connections of replicas are shared.
    pub fn edges(&self) -> usize {
        ASSUMED_EDGES
    }

    /// Follows the control plane; returns when nothing more can come.
    pub async fn follow(&self, mut snapshots: watch::Receiver<Arc<ControlSnapshot>>) {
        loop {
            let snapshot = snapshots.borrow_and_update().clone();
            self.learn(&snapshot);
            if snapshots.changed().await.is_err() {
                return;
            }
        }
    }

    /// Takes over what the control plane tells.
    pub fn learn(&self, snapshot: &ControlSnapshot) {
        let before = self.knowledge();
        let after = Arc::new(before.after(snapshot));
        *self.knowledge.lock() = after.clone();
        if let Some(view) = &snapshot.storage_view {
            self.turns.set_view(view.clone());
        }
        let generation = |knowledge: &Knowledge| {
            knowledge
                .configuration
                .as_ref()
                .map(|known| known.generation)
        };
        if generation(&before) != generation(&after) {
            tracing::info!(generation = generation(&after), "configuration in force");
            self.dispatcher
                .configure(&after.service_specs(), self.edges());
        }
        if !Arc::ptr_eq(&before.replicas, &after.replicas) {
            self.dispatcher.replicas(&after.replica_specs());
        }
    }

    /// Whether requests can be served.
    pub fn is_ready(&self) -> bool {
        let knowledge = self.knowledge();
        knowledge.warmed && knowledge.configuration.is_some() && knowledge.has_storage_view
    }
}
