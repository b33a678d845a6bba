//! Starts the parts of the data plane and stops them in order.

use crate::front::Front;
use crate::proxy::Proxy;
use crate::readiness;
use crate::shutdown::stop;
use snafu::{OptionExt, ResultExt, Snafu};
use std::hash::{BuildHasher, RandomState};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use woadreach_discovery::{ControlWatch, NodeRole, Sampler};
use woadreach_rpc::{Client, ClientOptions, Router};
use woadreach_settings::NodeSettings;
use woadreach_storage::StorageClient;

/// How often the state line is written.
const STATE_LINE_INTERVAL: Duration = Duration::from_secs(10);

/// Why the process could not run.
#[derive(Debug, Snafu)]
pub enum RunError {
    /// A needed address is not in the settings.
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
        /// What the system said.
        source: std::io::Error,
    },
    /// A signal cannot be waited for.
    #[snafu(display("cannot wait for signals"))]
    Signals {
        /// What the system said.
        source: std::io::Error,
    },
}

/// Serves until the process is told to end.
pub async fn run(settings: NodeSettings) -> Result<(), RunError> {
    let front_address = settings
        .listen
        .front
        .context(NoAddressSnafu { field: "front" })?;
    let ready_address = settings
        .listen
        .ready
        .context(NoAddressSnafu { field: "ready" })?;
    let front_listener = listen(front_address).await?;
    let ready_listener = listen(ready_address).await?;
    let internal_listener = listen(settings.internal_address()).await?;
    let signals = Signals::new().context(SignalsSnafu)?;

    let rpc = Client::new(ClientOptions::default());
    let tolerated = settings.fault_tolerance.tolerated_group_losses();
    let turns = StorageClient::new(rpc.clone(), settings.zone.clone(), tolerated);
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
    let snapshots = ControlWatch::spawn_with_sampler(&settings, rpc, sampler);
    let front = Front::new(proxy.clone(), &settings.limits);

    spawn_service(&proxy, &front, front_listener, snapshots);
    tokio::spawn(axum::serve(ready_listener, readiness::router(proxy.clone())).into_future());
    tracing::info!(node = %settings.node, zone = %settings.zone, front = %front_address, "serving");
    signals.wait_for_stop().await;
    stop(&proxy, &front, settings.bounds.grace_period).await;
    Ok(())
}

async fn listen(address: SocketAddr) -> Result<TcpListener, RunError> {
    TcpListener::bind(address)
        .await
        .context(ListenSnafu { address })
}

fn spawn_service(
    proxy: &Arc<Proxy>,
    front: &Arc<Front>,
    listener: TcpListener,
    snapshots: tokio::sync::watch::Receiver<Arc<woadreach_discovery::ControlSnapshot>>,
) {
    let follower = proxy.clone();
    tokio::spawn(async move { follower.follow(snapshots).await });
    let timer = proxy.clone();
    tokio::spawn(async move { timer.dispatcher.run_timer().await });
    tokio::spawn(front.clone().accept(listener));
    tokio::spawn(front.clone().sweep());
    tokio::spawn(write_state(proxy.clone(), front.clone()));
}

async fn write_state(proxy: Arc<Proxy>, front: Arc<Front>) {
    let mut interval = tokio::time::interval(STATE_LINE_INTERVAL);
    interval.tick().await;
    loop {
        interval.tick().await;
        let knowledge = proxy.knowledge();
        tracing::info!(
            clients = front.open_connections(),
            requests = proxy.lifecycle.requests(),
            replicas = knowledge.replicas.len(),
            replica_connections = proxy.pool.open_connections(),
            generation = knowledge.configuration.as_ref().map(|known| known.generation),
            unread_hints = proxy.counters.unread_hints.load(Ordering::Relaxed),
            ends = ?proxy.counters.ends(),
            "state"
        );
    }
}

/// The signals that the platform sends.
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

    /// Returns when the process should end. A changed settings file needs no restart.
    async fn wait_for_stop(mut self) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hangup.recv() => match NodeSettings::load_from_environment() {
                    Ok(_) => tracing::info!("settings read again"),
                    Err(error) => tracing::warn!(%error, "settings cannot be read again; the old ones stay"),
                },
            }
        }
    }
}
