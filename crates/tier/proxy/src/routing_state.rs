//! The configuration and the replicas, as the control plane has sent them.
//!
//! Readers get one immutable state; a snapshot replaces it as a whole, so that none sees half of an update.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use woadreach_config::{ClientLimits, Configuration, Route, RouteTable, Service};
use woadreach_discovery::{ControlSnapshot, ReplicaRecord, ReplicaState};
use woadreach_scheduler::{EngineSpec, ReplicaSpec, ServiceSpec};

/// Connections that a replica of a service without configuration accepts.
const DEFAULT_MAX_CONNS: u32 = 64;

/// A configuration with its route table, and the replicas.
#[derive(Default)]
pub struct RoutingState {
    /// The configuration, once one has been received.
    pub configuration: Option<Arc<Configuration>>,
    /// The configuration's routes.
    pub routes: Arc<RouteTable>,
    /// Replicas by id.
    pub replicas: Arc<BTreeMap<String, ReplicaRecord>>,
    /// Whether the process has once had a complete list of replicas from a trusted machine and the newest
    /// configuration that any machine had reported. Stays true.
    pub has_current_state: bool,
    /// Whether the view of the storage machines has been received. Stays true.
    pub has_storage_view: bool,
}

impl RoutingState {
    /// The state after this snapshot. A configuration of an older generation is ignored; the route table is built
    /// for a new configuration only.
    pub fn with_snapshot(&self, snapshot: &ControlSnapshot) -> Self {
        let (configuration, routes) = match self.newer_configuration(snapshot) {
            Some(newer) => (Some(newer.clone()), Arc::new(RouteTable::new(newer))),
            None => (self.configuration.clone(), self.routes.clone()),
        };
        RoutingState {
            configuration,
            routes,
            replicas: snapshot.replicas.clone(),
            has_current_state: self.has_current_state || snapshot.has_reached_current_state,
            has_storage_view: self.has_storage_view || snapshot.storage_view.is_some(),
        }
    }

    fn newer_configuration<'a>(
        &self,
        snapshot: &'a ControlSnapshot,
    ) -> Option<&'a Arc<Configuration>> {
        let received = snapshot.configuration.as_ref()?;
        match &self.configuration {
            Some(current) if Arc::ptr_eq(current, received) => None,
            Some(current) if received.check_newer_than(current.generation).is_err() => None,
            _ => Some(received),
        }
    }

    /// Limits of clients' requests and connections.
    pub fn limits(&self) -> ClientLimits {
        self.configuration
            .as_ref()
            .map(|configuration| configuration.limits.clone())
            .unwrap_or_default()
    }

    /// Generation of the configuration.
    pub fn generation(&self) -> Option<u64> {
        self.configuration
            .as_ref()
            .map(|configuration| configuration.generation)
    }

    /// Connections that a replica of this service accepts from all edges together.
    pub fn max_conns(&self, service: &str) -> u32 {
        let configuration = self.configuration.as_ref();
        configuration
            .and_then(|configuration| configuration.service(service))
            .map_or(DEFAULT_MAX_CONNS, |found| found.max_conns)
    }

    /// Tokens in each event of a route's responses: the largest `stride` of its services.
    pub fn tokens_per_event(&self, route: &Route) -> u32 {
        let Some(configuration) = &self.configuration else {
            return 1;
        };
        let services = route
            .clusters
            .iter()
            .filter_map(|cluster| configuration.service(&cluster.service));
        services
            .filter_map(|service| service.engine.as_ref())
            .map(|engine| engine.stride)
            .max()
            .unwrap_or(1)
    }

    /// Services in the scheduler's form.
    pub fn service_specs(&self) -> Vec<ServiceSpec> {
        let configuration = self.configuration.iter();
        configuration
            .flat_map(|configuration| configuration.services.iter().map(service_spec))
            .collect()
    }

    /// Names of the configured routes.
    pub fn route_names(&self) -> BTreeSet<&str> {
        let configuration = self.configuration.iter();
        configuration
            .flat_map(|configuration| &configuration.routes)
            .map(|route| route.name.as_str())
            .collect()
    }

    /// Replicas in the scheduler's form.
    pub fn replica_specs(&self) -> Vec<ReplicaSpec> {
        self.replicas.values().map(replica_spec).collect()
    }
}

fn service_spec(service: &Service) -> ServiceSpec {
    ServiceSpec {
        name: Arc::from(service.name.as_str()),
        max_conns: service.max_conns,
        engine: service.engine.as_ref().map(|engine| EngineSpec {
            kv_tokens: engine.kv_tokens,
        }),
    }
}

fn replica_spec(record: &ReplicaRecord) -> ReplicaSpec {
    ReplicaSpec {
        id: Arc::from(record.id.as_str()),
        service: Arc::from(record.heartbeat.service.as_str()),
        zone: Arc::from(record.heartbeat.zone.as_str()),
        capacity: record.heartbeat.capacity,
        ready: record.heartbeat.state == ReplicaState::Ready,
        cold_remaining: record.heartbeat.cold_remaining_ms as f64 / 1000.0,
        generation: Arc::from(record.heartbeat.software_version.as_str()),
    }
}
