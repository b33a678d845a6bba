//! The `storage` role: starts the services of a storage machine, announces it to the core, and stops it on
//! SIGTERM.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use snafu::{ResultExt, Snafu};
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::time::{Instant, sleep};
use woadreach_discovery::{ControlSnapshot, ControlWatch, NodeRole, Sampler};
use woadreach_rpc::{Client, ClientOptions, Router, serve};
use woadreach_settings::NodeSettings;
use woadreach_storage::StorageView;
use woadreach_storage::server::{Server, ServerError, ServerOptions};

use crate::DEPARTURE_POLL_INTERVAL;
use crate::random::random_number;
use crate::storage_announcer::StorageAnnouncer;
use crate::storage_metrics;

/// Part of the grace period reserved for stopping the process after the departure from the storage view.
const STOP_MARGIN: Duration = Duration::from_millis(2_000);

/// Reason why the storage role failed to start.
#[derive(Debug, Snafu)]
pub enum StorageRoleError {
    /// The settings field `data_dir` is missing.
    #[snafu(display(
        "settings of {node}: `data_dir` is missing; the role `storage` needs a folder on the machine's disk"
    ))]
    NoDataDir {
        /// Name of the machine.
        node: String,
    },
    /// Opening the storage server on the disk failed.
    #[snafu(display("{source}"))]
    Storage {
        /// Error from the storage server.
        source: ServerError,
    },
    /// Binding a listening socket failed.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// Internal address of the machine.
        address: SocketAddr,
        /// Error from the operating system.
        source: std::io::Error,
    },
    /// Installing a signal handler failed.
    #[snafu(display("cannot install a signal handler: {source}"))]
    Signal {
        /// Error from the operating system.
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
        tolerated_losses: settings.fault_tolerance.tolerated_losses(),
        disk_bytes: settings.limits.disk_bytes(),
    };
    let server = Server::open(&folder, rpc.clone(), options)
        .await
        .context(StorageSnafu)?;
    let listener = TcpListener::bind(address)
        .await
        .context(ListenSnafu { address })?;
    let sampler = Sampler::new(&settings, NodeRole::Storage, random_number());
    let router = sampler.handlers(server.handlers(Router::new()));
    let control = ControlWatch::spawn_with_sampler(&settings, rpc.clone(), Arc::clone(&sampler));
    let mut terminate = signal(SignalKind::terminate()).context(SignalSnafu)?;
    let page = storage_metrics::page_source(server.clone());
    woadreach_metrics::bind_and_serve(settings.metrics_address(), page).await;
    let hangup = signal(SignalKind::hangup()).context(SignalSnafu)?;
    tracing::info!(node = settings.node, %address, "storage machine started");
    let service = async {
        tokio::join!(
            serve(listener, router),
            server.run_pulls(),
            Arc::clone(&sampler).run(),
            reload_on_hangup(&sampler, hangup),
            apply_storage_views(&server, control.clone()),
            StorageAnnouncer::new(&server, &rpc, sampler.seeds(), control).run(),
        )
    };
    tokio::select! {
        _ = service => {}
        () = leave_on_sigterm(&server, &mut terminate, settings.bounds.grace_period) => {}
    }
    tracing::info!(node = settings.node, "storage machine stopped");
    Ok(())
}

/// Waits for SIGTERM, and then until no data depends on the disk of this machine, because the machine may never
/// restart. The wait ends at the latest [`STOP_MARGIN`] before the end of the grace period.
async fn leave_on_sigterm(server: &Server, terminate: &mut Signal, grace_period: Duration) {
    terminate.recv().await;
    tracing::info!("departure from the storage view requested");
    server.begin_shutdown();
    let deadline = Instant::now() + grace_period.saturating_sub(STOP_MARGIN);
    while !server.may_shut_down() {
        if Instant::now() >= deadline {
            tracing::warn!("stopped at the deadline while the disk was still needed");
            return;
        }
        sleep(DEPARTURE_POLL_INTERVAL).await;
    }
}

/// Reloads the seeds on each SIGHUP. Changes of other settings take effect at the next start.
async fn reload_on_hangup(sampler: &Sampler, mut hangup: Signal) {
    while hangup.recv().await.is_some() {
        match sampler.reload_seeds() {
            Ok(()) => tracing::info!(seeds = ?*sampler.seeds().borrow(), "settings reloaded"),
            Err(error) => tracing::warn!(%error, "settings reload failed"),
        }
    }
}

/// Passes each new storage view to the server.
async fn apply_storage_views(server: &Server, mut control: watch::Receiver<Arc<ControlSnapshot>>) {
    while control.changed().await.is_ok() {
        let snapshot = control.borrow_and_update().clone();
        if let Some(view) = &snapshot.storage_view {
            server.learn_view(StorageView::clone(view)).await;
        }
    }
}
