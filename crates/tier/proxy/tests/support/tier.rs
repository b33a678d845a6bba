//! A data plane in this process, with a configuration and replicas of the test's choice.

use super::replica::Replica;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::TcpListener;
use woadreach_config::Configuration;
use woadreach_discovery::{ControlSnapshot, Heartbeat, ReplicaRecord, ReplicaState};
use woadreach_proxy::client::listener::ClientListener;
use woadreach_proxy::proxy::Proxy;
use woadreach_rpc::{Client, ClientOptions};
use woadreach_settings::ProcessLimits;
use woadreach_storage::StorageClient;

/// Routes: `/safe/`, `/unsafe/`, `/resumable/` and `/once/` (streams), `/kept/` at host `tier.example`.
pub(crate) const CONFIGURATION: &str = r#"{"generation":7,"routes":[
 {"name":"safe","domain":"tier.example","path_prefix":"/safe/","route_type":"safe","timeout_ms":5000,
  "target_latency_ms":250,"priority":0,"service":"s","max_retries":3},
 {"name":"unsafe","domain":"tier.example","path_prefix":"/unsafe/","route_type":"unsafe","timeout_ms":5000,
  "target_latency_ms":250,"priority":0,"service":"s","max_retries":3},
 {"name":"resumable","domain":"tier.example","path_prefix":"/resumable/","route_type":"streaming",
  "timeout_ms":5000,"target_latency_ms":250,"priority":0,"service":"s","max_retries":3,"resumable":true},
 {"name":"once","domain":"tier.example","path_prefix":"/once/","route_type":"streaming","timeout_ms":5000,
  "target_latency_ms":250,"priority":0,"service":"s","max_retries":3,"resumable":false},
 {"name":"kept","domain":"tier.example","path_prefix":"/kept/","route_type":"streaming","timeout_ms":5000,
  "target_latency_ms":250,"priority":0,"service":"s","max_retries":3,"kept":true,"retention_s":60.0}],
 "services":[{"name":"s","health_check":"/healthz","max_conns":60}],
 "limits":{"max_header_bytes":8192,"max_body_bytes":65536,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// A data plane with its front.
pub(crate) struct Tier {
    /// Address for clients' connections.
    pub front: SocketAddr,
    /// Its parts.
    pub proxy: Arc<Proxy>,
    /// Its client connections.
    pub connections: Arc<ClientListener>,
}

impl Tier {
    /// A data plane that knows the configuration and these replicas, by id.
    pub(crate) async fn start(replicas: &[(&str, &Replica)]) -> Self {
        Self::start_within(replicas, limits()).await
    }

    /// A data plane that has received this snapshot.
    pub(crate) async fn start_knowing(known: &ControlSnapshot) -> Self {
        Self::start_knowing_within(known, limits()).await
    }

    /// The same in a process of these limits.
    pub(crate) async fn start_within(replicas: &[(&str, &Replica)], limits: ProcessLimits) -> Self {
        Self::start_knowing_within(&snapshot(replicas), limits).await
    }

    /// A data plane that has received this snapshot, in a process of these limits.
    async fn start_knowing_within(known: &ControlSnapshot, limits: ProcessLimits) -> Self {
        let storage = StorageClient::new(Client::new(ClientOptions::default()), "a".to_owned(), 0);
        let proxy = Arc::new(Proxy::new(1, "a", 256, storage));
        proxy.apply_snapshot(known);
        let connections = ClientListener::new(proxy.clone(), &limits);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let front = listener.local_addr().expect("an address");
        tokio::spawn(connections.clone().accept(listener));
        let timer = proxy.clone();
        tokio::spawn(async move { timer.dispatcher.run_timer().await });
        Tier {
            front,
            proxy,
            connections,
        }
    }
}

/// Limits of the process, unless a test sets others.
pub(crate) fn limits() -> ProcessLimits {
    ProcessLimits {
        cpu_share: 1.0,
        cores: 1.0,
        memory_mb: 256,
        max_fds: 4096,
        link_mbps: 1000.0,
        disk_mb: 0,
    }
}

/// The control plane's snapshot.
pub(crate) fn snapshot(replicas: &[(&str, &Replica)]) -> ControlSnapshot {
    configured(replicas, CONFIGURATION)
}

/// The same with another configuration.
pub(crate) fn configured(replicas: &[(&str, &Replica)], configuration: &str) -> ControlSnapshot {
    let replicas = replicas.iter().map(|(id, replica)| (*id, replica.address));
    snapshot_of(replicas, configuration)
}

/// The control plane's snapshot of replicas at these addresses, by id, with this configuration.
pub(crate) fn snapshot_of<'a>(
    replicas: impl Iterator<Item = (&'a str, SocketAddr)>,
    configuration: &str,
) -> ControlSnapshot {
    let records: BTreeMap<String, ReplicaRecord> = replicas
        .map(|(id, address)| (id.to_owned(), record(id, address)))
        .collect();
    ControlSnapshot {
        configuration: Some(Arc::new(
            Configuration::parse(configuration.as_bytes()).expect("valid"),
        )),
        replicas: Arc::new(records),
        has_reached_current_state: true,
        ..ControlSnapshot::default()
    }
}

fn record(id: &str, address: SocketAddr) -> ReplicaRecord {
    let heartbeat = Heartbeat {
        service: "s".to_owned(),
        address,
        zone: "a".to_owned(),
        software_version: "v1".to_owned(),
        capacity: 8,
        state: ReplicaState::Ready,
        cold_remaining_ms: 0,
        stage: None,
        models: Vec::new(),
        sequence: 1,
    };
    ReplicaRecord::new(id, heartbeat)
}
