//! Core machines and an observer that communicate over loopback connections. The tests wait for events, not for fixed
//! times.

mod common;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use common::{FixedState, departure_journal, draining, heartbeat, settings};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use woadreach_discovery::{
    AcknowledgeError, ControlSnapshot, ControlWatch, CoreDiscovery, HeartbeatError, NodeRole,
    ReplicaState, Sampler,
};
use woadreach_journal::{DiskFault, SimulatedDisk};
use woadreach_rpc::{Client, ClientOptions, Router, serve};

struct Core {
    discovery: Arc<CoreDiscovery>,
    committed: Arc<FixedState>,
    tasks: Vec<JoinHandle<()>>,
}

impl Core {
    async fn start(host: u8, port: u16, members: &[u8]) -> Self {
        Self::start_on(&SimulatedDisk::default(), host, port, members).await
    }

    async fn start_on(disk: &SimulatedDisk, host: u8, port: u16, members: &[u8]) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::new(127, 0, 0, host), port))
            .await
            .unwrap();
        let addresses: Vec<SocketAddr> = members
            .iter()
            .map(|member| SocketAddr::from(([127, 0, 0, *member], port)))
            .collect();
        let committed = Arc::new(FixedState::new(addresses));
        let settings = settings(&format!("core-{host}"), host, port, members);
        let rpc = Client::new(ClientOptions::default());
        let discovery = CoreDiscovery::new(
            &settings,
            u64::from(host),
            rpc,
            committed.clone(),
            departure_journal(disk),
        );
        let router = discovery.handlers(Router::new());
        let tasks = vec![
            tokio::spawn(discovery.clone().run()),
            tokio::spawn(serve(listener, router)),
        ];
        Self {
            discovery,
            committed,
            tasks,
        }
    }

    fn stop(&self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

async fn free_port(hosts: &[u8]) -> u16 {
    let probe = TcpListener::bind((Ipv4Addr::new(127, 0, 0, hosts[0]), 0))
        .await
        .unwrap();
    probe.local_addr().unwrap().port()
}

async fn wait_for(
    snapshots: &mut watch::Receiver<Arc<ControlSnapshot>>,
    condition: impl Fn(&ControlSnapshot) -> bool,
) {
    snapshots
        .wait_for(|snapshot| condition(snapshot))
        .await
        .unwrap();
}

#[tokio::test]
async fn replicas_and_configuration_reach_an_observer_through_any_core_machine() {
    let hosts = [21, 22, 23];
    let port = free_port(&hosts).await;
    let mut cores = Vec::new();
    for host in hosts {
        cores.push(Core::start(host, port, &hosts).await);
    }
    let rpc = Client::new(ClientOptions::default());
    let mut snapshots = ControlWatch::spawn(&settings("edge", 24, port, &hosts), rpc);
    cores[0]
        .discovery
        .heartbeat("r1", heartbeat(1, 1))
        .await
        .unwrap();
    cores[1]
        .discovery
        .heartbeat("r2", heartbeat(2, 1))
        .await
        .unwrap();
    wait_for(&mut snapshots, |snapshot| snapshot.replicas.len() == 2).await;
    cores[2].committed.commit_configuration(7);
    let has_seven = |snapshot: &ControlSnapshot| {
        snapshot
            .configuration
            .as_ref()
            .is_some_and(|configuration| configuration.generation == 7)
    };
    wait_for(&mut snapshots, has_seven).await;
    wait_for(&mut snapshots, |snapshot| {
        snapshot.has_reached_current_state
    })
    .await;

    // The machine that acknowledged the departure stops at once. The other machines have been notified before.
    cores[0]
        .discovery
        .heartbeat("r1", draining(1, 2))
        .await
        .unwrap();
    cores[0].stop();
    wait_for(&mut snapshots, |snapshot| {
        snapshot.replicas["r1"].heartbeat.state == ReplicaState::Draining
    })
    .await;
    cores[1].discovery.deregister("r1").await.unwrap();
    wait_for(&mut snapshots, |snapshot| {
        !snapshot.replicas.contains_key("r1")
    })
    .await;
}

/// Whether the heartbeat of the ready replica is rejected because the machine knows that the replica has left.
async fn rejects_late_heartbeat(core: &Core, id: &str) -> bool {
    let late = core.discovery.heartbeat(id, heartbeat(1, 1)).await;
    matches!(
        late,
        Err(AcknowledgeError::Rejected {
            source: HeartbeatError::Departed { .. } | HeartbeatError::Stale { .. }
        })
    )
}

/// Guards against departures that only processes remember. Each machine has them on its own disk, before it has heard of
/// any other machine.
#[tokio::test]
async fn acknowledged_departures_outlast_the_processes_of_all_core_machines() {
    let hosts = [28, 29, 30];
    let port = free_port(&hosts).await;
    let disks = [(); 3].map(|()| SimulatedDisk::default());
    let mut cores = Vec::new();
    for (host, disk) in hosts.into_iter().zip(&disks) {
        cores.push(Core::start_on(disk, host, port, &hosts).await);
    }
    for id in ["drained", "deregistered"] {
        let discovery = &cores[0].discovery;
        discovery.heartbeat(id, heartbeat(1, 1)).await.unwrap();
    }
    let drained = cores[1].discovery.heartbeat("drained", draining(1, 2));
    drained.await.unwrap();
    cores[2].discovery.deregister("deregistered").await.unwrap();
    cores.iter().for_each(Core::stop);

    let port = free_port(&hosts).await;
    for (host, disk) in hosts.into_iter().zip(&disks) {
        let core = Core::start_on(&disk.fork(), host, port, &[host]).await;
        assert!(rejects_late_heartbeat(&core, "drained").await, "{host}");
        assert!(
            rejects_late_heartbeat(&core, "deregistered").await,
            "{host}"
        );
        core.stop();
    }
}

/// A machine whose disk fails confirms nothing, and confirms all departures once the disk works again.
#[tokio::test]
async fn departures_are_acknowledged_only_while_the_disks_of_a_majority_work() {
    let port = free_port(&[31]).await;
    let disk = SimulatedDisk::default();
    let core = Core::start_on(&disk, 31, port, &[31]).await;
    for fault in [DiskFault::Full, DiskFault::FailingSync, DiskFault::Failing] {
        let id = format!("{fault:?}");
        disk.set_fault(fault);
        let error = core.discovery.deregister(&id).await.unwrap_err();
        assert_eq!(error, AcknowledgeError::OutOfQuorum, "{fault:?}");
        assert_eq!(core.discovery.report().unsynced_departures, 1);
        disk.set_fault(DiskFault::Healthy);
        // The writer tries again by itself; the replica, too, as a client does.
        while core.discovery.deregister(&id).await.is_err() {}
        assert_eq!(core.discovery.report().unsynced_departures, 0);
    }
    core.stop();
    let restarted = Core::start_on(&disk.fork(), 31, free_port(&[31]).await, &[31]).await;
    for id in ["Full", "FailingSync", "Failing"] {
        assert!(rejects_late_heartbeat(&restarted, id).await, "{id}");
    }
}

#[tokio::test]
async fn an_observer_polls_new_seeds_as_soon_as_they_are_set() {
    let port = free_port(&[25]).await;
    let core = Core::start(25, port, &[25]).await;
    core.committed.commit_configuration(3);
    // No process listens at the seed in the observer's settings.
    let settings = settings("edge", 27, port, &[26]);
    let sampler = Sampler::new(&settings, NodeRole::Proxy, 1);
    let rpc = Client::new(ClientOptions::default());
    let mut snapshots = ControlWatch::spawn_with_sampler(&settings, rpc, Arc::clone(&sampler));
    let started = tokio::time::Instant::now();
    sampler.set_seeds(vec![SocketAddr::from(([127, 0, 0, 25], port))]);
    wait_for(&mut snapshots, |snapshot| snapshot.configuration.is_some()).await;
    assert_eq!(
        *sampler.seeds().borrow(),
        [SocketAddr::from(([127, 0, 0, 25], port))]
    );
    println!("configuration received after {:?}", started.elapsed());
}
