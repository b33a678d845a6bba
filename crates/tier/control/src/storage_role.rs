//! The `storage` role: keeps turns and programs' budgets.

use std::hash::{BuildHasher, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use snafu::{ResultExt, Snafu};
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::time::{Instant, sleep};
use woadreach_discovery::{ControlSnapshot, ControlWatch, NodeRole, Sampler};
use woadreach_rpc::{Client, ClientOptions, Router, ServiceId, serve};
use woadreach_settings::NodeSettings;
use woadreach_storage::StorageView;
use woadreach_storage::announce::{ANNOUNCE_INTERVAL, is_from_quorum};
use woadreach_storage::message::encode;
use woadreach_storage::server::{Server, ServerError, ServerOptions};

/// Bytes in a megabyte of the settings.
const MEGABYTE: u64 = 1_000_000;
/// Without an answer of a core machine in quorum for this long, this machine was cut off.
const CUT_OFF_AFTER: Duration = Duration::from_millis(1_800);
/// What is left of the grace period for ending.
const LEAVE_MARGIN: Duration = Duration::from_millis(2_000);
/// How often it is looked at whether this machine may end.
const LEAVE_POLL: Duration = Duration::from_millis(50);
/// How long the answer to an announcement is waited for.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// Why the role cannot run.
#[derive(Debug, Snafu)]
pub enum StorageRoleError {
    /// The settings name no folder for data.
    #[snafu(display("the settings of {node} have no data_dir: a storage machine needs a disk"))]
    NoDataDir {
        /// Machine concerned.
        node: String,
    },
    /// The disk does not work.
    #[snafu(display("{source}"))]
    Storage {
        /// What the storage says.
        source: ServerError,
    },
    /// The address cannot be listened on.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// Address for the tier's own traffic.
        address: SocketAddr,
        /// The operating system's failure.
        source: std::io::Error,
    },
    /// A signal cannot be waited for.
    #[snafu(display("cannot wait for signals: {source}"))]
    Signal {
        /// The operating system's failure.
        source: std::io::Error,
    },
}

/// Runs the role until SIGTERM.
///
/// # Errors
/// See [`StorageRoleError`].
pub async fn run(settings: NodeSettings) -> Result<(), StorageRoleError> {
    let node = settings.node.clone();
    let folder = settings
        .data_dir
        .clone()
        .ok_or(StorageRoleError::NoDataDir { node })?;
    let address = settings.internal_address();
    let rpc = Client::new(ClientOptions::default());
    let options = ServerOptions {
        node: settings.node.clone(),
        address,
        zone: settings.zone.clone(),
        tolerated: settings.fault_tolerance.tolerated_group_losses(),
        disk_bytes: settings.limits.disk_mb * MEGABYTE,
    };
    let server = Server::open(&folder, rpc.clone(), options)
        .await
        .context(StorageSnafu)?;
    let listener = TcpListener::bind(address)
        .await
        .context(ListenSnafu { address })?;
    let sampler = Sampler::new(
        &settings,
        NodeRole::Storage,
        std::hash::RandomState::new().build_hasher().finish(),
    );
    let router = sampler.handlers(server.routes(Router::new()));
    let control = ControlWatch::spawn_with_sampler(&settings, rpc.clone(), Arc::clone(&sampler));
    let mut terminate = signal(SignalKind::terminate()).context(SignalSnafu)?;
    // Whoever needs the changed settings reads them again; without a handler the signal would end the
    // process.
    let _hangup = signal(SignalKind::hangup()).context(SignalSnafu)?;
    tracing::info!(node = settings.node, %address, "storage is up");
    let service = async {
        tokio::join!(
            serve(listener, router),
            server.run(),
            sampler.run(),
            follow_views(&server, control.clone()),
            announce(&server, &rpc, settings.seed_internal_addresses(), control),
        )
    };
    tokio::select! {
        _ = service => {}
        () = stopped(&server, &mut terminate, settings.bounds.grace_period) => {}
    }
    tracing::info!(node = settings.node, "storage stopped");
    Ok(())
}

/// Waits for SIGTERM, and then until the other machines do without this one's disk, which may be gone for
/// good.
async fn stopped(server: &Server, terminate: &mut Signal, grace_period: Duration) {
    terminate.recv().await;
    tracing::info!("leaving the storage machines");
    server.begin_shutdown();
    let deadline = Instant::now() + grace_period.saturating_sub(LEAVE_MARGIN);
    while !server.may_shut_down() {
        if Instant::now() >= deadline {
            tracing::warn!("this machine's disk is still needed");
            return;
        }
        sleep(LEAVE_POLL).await;
    }
}

/// Takes each new view of the storage machines.
async fn follow_views(server: &Server, mut control: watch::Receiver<Arc<ControlSnapshot>>) {
    while control.changed().await.is_ok() {
        let snapshot = control.borrow_and_update().clone();
        if let Some(view) = &snapshot.storage_view {
            server.learn_view(StorageView::clone(view)).await;
        }
    }
}

/// Tells the core machines, at intervals and at once when a pull has ended. One of them that is in quorum is
/// to answer: after a time without such answers this machine was cut off and may have missed records.
async fn announce(
    server: &Server,
    rpc: &Client,
    seeds: Vec<SocketAddr>,
    control: watch::Receiver<Arc<ControlSnapshot>>,
) {
    let mut pulled = server.pulled();
    let mut last_answer = Instant::now();
    let mut turn: usize = 0;
    loop {
        let snapshot = control.borrow().clone();
        let core = if snapshot.core_members.is_empty() {
            &seeds
        } else {
            &snapshot.core_members
        };
        let announcement = encode(&server.announcement());
        let asked = turn % core.len().max(1);
        for (_, address) in core.iter().enumerate().filter(|(place, _)| *place != asked) {
            rpc.send(*address, ServiceId::ANNOUNCE, announcement.clone());
        }
        let answered = async {
            let Some(address) = core.get(asked) else {
                return false;
            };
            let answer = rpc
                .call(
                    *address,
                    ServiceId::ANNOUNCE,
                    announcement.clone(),
                    ANSWER_TIMEOUT,
                )
                .await;
            answer.is_ok_and(|answer| is_from_quorum(&answer))
        };
        let pause = async {
            tokio::select! {
                () = sleep(ANNOUNCE_INTERVAL) => server.tick(),
                _ = pulled.changed() => {}
            }
        };
        let (answered, ()) = tokio::join!(answered, pause);
        if answered {
            let now = Instant::now();
            if now.saturating_duration_since(last_answer) > CUT_OFF_AFTER {
                server.missed_records();
            }
            last_answer = now;
        } else {
            turn = turn.wrapping_add(1);
        }
    }
}
