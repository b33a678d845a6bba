//! A control-side edge: everything by which an edge follows the control plane, without its traffic.

use crate::error::{SystemSnafu, TierError};
use snafu::ResultExt;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::Instant;
use woadreach_discovery::{ControlSnapshot, ControlWatch, NodeRole, Sampler};
use woadreach_rpc::{Client, ClientOptions, Router, serve};
use woadreach_settings::NodeSettings;

/// A generation has come in force at an edge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InForce {
    /// Number of the edge.
    pub edge: usize,
    /// Generation of the configuration.
    pub generation: u64,
    /// When.
    pub at: Instant,
}

/// A running edge, which ends with this value.
pub struct HollowEdge {
    /// What it knows.
    pub snapshots: watch::Receiver<Arc<ControlSnapshot>>,
    _tasks: JoinSet<()>,
}

impl HollowEdge {
    /// Starts an edge on the runtime that is entered; it tells of each generation that it takes.
    pub fn start(
        number: usize,
        settings: NodeSettings,
        taken: mpsc::UnboundedSender<InForce>,
    ) -> Result<Self, TierError> {
        let address = settings.internal_address();
        let listener = listen(address).context(SystemSnafu {
            what: format!("address {address}"),
        })?;
        let sampler = Sampler::new(
            &settings,
            NodeRole::Proxy,
            u64::from(u32::from(settings.ip)),
        );
        let rpc = Client::new(ClientOptions::default());
        let mut tasks = JoinSet::new();
        tasks.spawn(serve(listener, sampler.handlers(Router::new())));
        tasks.spawn(sampler.clone().run());
        let snapshots = ControlWatch::spawn_with_sampler(&settings, rpc, sampler);
        tasks.spawn(report_generations(number, snapshots.clone(), taken));
        Ok(HollowEdge {
            snapshots,
            _tasks: tasks,
        })
    }
}

/// A listener on the runtime that is entered.
fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

async fn report_generations(
    edge: usize,
    mut snapshots: watch::Receiver<Arc<ControlSnapshot>>,
    taken: mpsc::UnboundedSender<InForce>,
) {
    let mut newest = 0;
    while snapshots.changed().await.is_ok() {
        let configuration = snapshots.borrow_and_update().configuration.clone();
        let generation = configuration.map_or(0, |configuration| configuration.generation);
        if generation > newest {
            newest = generation;
            if taken
                .send(InForce {
                    edge,
                    generation,
                    at: Instant::now(),
                })
                .is_err()
            {
                return;
            }
        }
    }
}
