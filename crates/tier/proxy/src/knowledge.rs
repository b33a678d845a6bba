//! What this process knows of the configuration and the replicas.

use std::collections::BTreeMap;
use std::sync::Arc;
use woadreach_config::{ClientLimits, Configuration, Route, RouteTable};
use woadreach_discovery::{ControlSnapshot, ReplicaRecord, ReplicaState};
use woadreach_scheduler::{EngineSpec, ReplicaSpec, ServiceSpec};

/// Connections to one replica of a service that is not configured.
const DEFAULT_MAX_CONNS: u32 = 64;

/// A configuration in force, with its route table.
#[derive(Default)]
pub struct Knowledge {
    /// The configuration, once there is one.
    pub configuration: Option<Arc<Configuration>>,
    /// Its routes.
    pub routes: Arc<RouteTable>,
    /// Replicas by id.
    pub replicas: Arc<BTreeMap<String, ReplicaRecord>>,
    /// Configuration and replicas come from a core machine in quorum.
    pub warmed: bool,
    /// The view of the storage machines is known.
    pub has_storage_view: bool,
}

impl Knowledge {
    /// Knowledge after this snapshot; the route table is built anew for a new configuration only.
    pub fn after(&self, snapshot: &ControlSnapshot) -> Self {
        let same = match (&self.configuration, &snapshot.configuration) {
            (Some(known), Some(told)) => {
                Arc::ptr_eq(known, told) || known.generation >= told.generation
            }
            (None, None) => true,
            (Some(_), None) => true,
            (None, Some(_)) => false,
        };
        let (configuration, routes) = match (&snapshot.configuration, same) {
            (Some(told), false) => (Some(told.clone()), Arc::new(RouteTable::new(told))),
            _ => (self.configuration.clone(), self.routes.clone()),
        };
        Knowledge {
            configuration,
            routes,
            replicas: snapshot.replicas.clone(),
            warmed: self.warmed || snapshot.warmed,
            has_storage_view: self.has_storage_view || snapshot.storage_view.is_some(),
        }
    }

    /// What clients may send.
    pub fn limits(&self) -> ClientLimits {
        self.configuration
            .as_ref()
            .map(|configuration| configuration.limits.clone())
            .unwrap_or_default()
    }

    /// Connections that a replica of this service takes from all callers together.
    pub fn max_conns(&self, service: &str) -> u32 {
        let configuration = self.configuration.as_ref();
        configuration
            .and_then(|known| known.service(service))
            .map_or(DEFAULT_MAX_CONNS, |found| found.max_conns)
    }

    /// Tokens in each event of a route's answers.
    pub fn stride(&self, route: &Route) -> u32 {
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

    /// Services as the decisions want them.
    pub fn service_specs(&self) -> Vec<ServiceSpec> {
        let Some(configuration) = &self.configuration else {
            return Vec::new();
        };
        let spec = |service: &woadreach_config::Service| ServiceSpec {
            name: Arc::from(service.name.as_str()),
            capacity_hint: service.engine.as_ref().map(|engine| engine.capacity),
            max_conns: service.max_conns,
            engine: service.engine.as_ref().map(|engine| EngineSpec {
                capacity: engine.capacity,
                kv_tokens: engine.kv_tokens,
                stride: engine.stride,
            }),
        };
        configuration.services.iter().map(spec).collect()
    }

    /// Replicas as the decisions want them.
    pub fn replica_specs(&self) -> Vec<ReplicaSpec> {
        let spec = |record: &ReplicaRecord| ReplicaSpec {
            id: Arc::from(record.id.as_str()),
            service: Arc::from(record.heartbeat.service.as_str()),
            zone: Arc::from(record.heartbeat.zone.as_str()),
            capacity: record.heartbeat.capacity,
            ready: record.heartbeat.state == ReplicaState::Ready,
            cold_remaining: record.heartbeat.cold_remaining_ms as f64 / 1000.0,
            generation: Arc::from(record.heartbeat.generation.as_str()),
        };
        self.replicas.values().map(spec).collect()
    }
}
