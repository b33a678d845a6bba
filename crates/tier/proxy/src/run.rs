//! Wires the data plane: binds its addresses, spawns its services, and stops them in order.

use crate::client::listener::ClientListener;
use crate::metrics;
use crate::proxy::Proxy;
use crate::readiness;
use crate::shutdown::shut_down;
use snafu::{OptionExt, ResultExt, Snafu};
use std::hash::{BuildHasher, RandomState};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use woadreach_discovery::{ControlSnapshot, ControlWatch, NodeRole, Sampler};
use woadreach_rpc::{Client, ClientOptions, Router};
use woadreach_settings::NodeSettings;
use woadreach_storage::StorageClient;

/// How often the state line is written.
const STATE_LINE_INTERVAL: Duration = Duration::from_secs(10);

/// Why the process could not run.
#[derive(Debug, Snafu)]
pub enum RunError {
    /// A required address is not in the settings.
    #[snafu(display("settings: listen.{field} is missing: an edge needs it"))]
    NoAddress {
        /// Field of `listen`.
        field: &'static str,
    },
    /// An address cannot be bound.
    #[snafu(display("cannot listen on {address}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: std::io::Error,
    },
    /// A signal handler cannot be installed.
    #[snafu(display("cannot wait for signals"))]
    Signals {
        /// The system's error.
        source: std::io::Error,
    },
}

/// Serves until SIGTERM or SIGINT, then shuts down within the grace period.
///
/// # Errors
///
/// [`RunError`] if the process cannot start; nothing stops it later.
pub async fn run(settings: NodeSettings) -> Result<(), RunError> {
    let client_address = settings
        .listen
        .front
        .context(NoAddressSnafu { field: "front" })?;
    let ready_address = settings
        .listen
        .ready
        .context(NoAddressSnafu { field: "ready" })?;
    let client_listener = listen(client_address).await?;
    let ready_listener = listen(ready_address).await?;
    let internal_listener = listen(settings.internal_address()).await?;
    let signals = Signals::new().context(SignalsSnafu)?;

    let rpc = Client::new(ClientOptions::default());
    let tolerated_losses = settings.fault_tolerance.tolerated_losses();
    let turns = StorageClient::new(rpc.clone(), settings.zone.clone(), tolerated_losses);
    let seed = RandomState::new().hash_one(&settings.node);
    let proxy = Arc::new(Proxy::new(
        seed,
        &settings.zone,
        settings.limits.memory_mb,
        turns,
    ));
    let sampler = Sampler::new(&settings, NodeRole::Proxy, seed);
    tokio::spawn(woadreach_rpc::serve(
        internal_listener,
        sampler.handlers(Router::new()),
    ));
    tokio::spawn(sampler.clone().run());
    let snapshots = ControlWatch::spawn_with_sampler(&settings, rpc, sampler.clone());
    let listener = ClientListener::new(proxy.clone(), &settings.limits);
    let page = metrics::page_source(proxy.clone(), listener.clone(), snapshots.clone());
    woadreach_metrics::bind_and_serve(settings.metrics_address(), page).await;

    spawn_services(&proxy, &listener, client_listener, snapshots);
    tokio::spawn(axum::serve(ready_listener, readiness::router(proxy.clone())).into_future());
    tracing::info!(node = %settings.node, zone = %settings.zone, front = %client_address, "serving");
    signals.wait_for_stop(&sampler).await;
    shut_down(&proxy, &listener, settings.bounds.grace_period).await;
    Ok(())
}

async fn listen(address: SocketAddr) -> Result<TcpListener, RunError> {
    TcpListener::bind(address)
        .await
        .context(ListenSnafu { address })
}

fn spawn_services(
    proxy: &Arc<Proxy>,
    listener: &Arc<ClientListener>,
    socket: TcpListener,
    snapshots: watch::Receiver<Arc<ControlSnapshot>>,
) {
    let follower = proxy.clone();
    tokio::spawn(async move { follower.follow_snapshots(snapshots).await });
    let timer = proxy.clone();
    tokio::spawn(async move { timer.dispatcher.run_timer().await });
    tokio::spawn(listener.clone().accept(socket));
    tokio::spawn(listener.clone().sweep());
    tokio::spawn(log_state(proxy.clone(), listener.clone()));
}

/// Logs the state line at intervals; never returns.
async fn log_state(proxy: Arc<Proxy>, listener: Arc<ClientListener>) {
    let mut interval = tokio::time::interval(STATE_LINE_INTERVAL);
    interval.tick().await;
    loop {
        interval.tick().await;
        let routing_state = proxy.routing_state();
        tracing::info!(
            clients = listener.open_connections(),
            requests = proxy.lifecycle.requests_in_flight(),
            replicas = routing_state.replicas.len(),
            replica_connections = proxy.pool.open_connections(),
            generation = routing_state.generation(),
            unread_hints = proxy.counters.unread_hints.load(Ordering::Relaxed),
            ends = ?proxy.counters.request_ends(),
            "state"
        );
    }
}

/// Signals that the process handles.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    fn new() -> std::io::Result<Self> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Returns when the process should shut down. SIGHUP reloads the seeds; other settings apply at the next start.
    async fn wait_for_stop(mut self, sampler: &Sampler) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hangup.recv() => match sampler.reload_seeds() {
                    Ok(()) => tracing::info!(seeds = ?*sampler.seeds().borrow(), "settings reloaded"),
                    Err(error) => tracing::warn!(%error, "settings reload failed"),
                },
            }
        }
    }
}
