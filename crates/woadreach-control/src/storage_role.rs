//! The `storage` role: keeps turns and programs' budgets.

use std::net::SocketAddr;

use snafu::{ResultExt, Snafu};
use tokio::net::TcpListener;
use tokio::time::sleep;
use woadreach_rpc::{Client, ClientOptions, Router, ServiceId, serve};
use woadreach_settings::NodeSettings;
use woadreach_storage::announce::ANNOUNCE_INTERVAL;
use woadreach_storage::message::encode;
use woadreach_storage::server::{Server, ServerError, ServerOptions};

/// Bytes in a megabyte of the settings.
const MEGABYTE: u64 = 1_000_000;

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
}

/// Runs the role until it fails.
///
/// # Errors
/// See [`StorageRoleError`].
pub async fn run(settings: NodeSettings) -> Result<(), StorageRoleError> {
    let node = settings.node.clone();
    let folder = settings.data_dir.clone().ok_or(StorageRoleError::NoDataDir { node })?;
    let address = settings.internal_address();
    let rpc = Client::new(ClientOptions::default());
    let options = ServerOptions {
        node: settings.node.clone(),
        address,
        zone: settings.zone.clone(),
        tolerated: settings.fault_tolerance.machines,
        disk_bytes: settings.limits.disk_mb * MEGABYTE,
    };
    let server = Server::open(&folder, rpc.clone(), options).await.context(StorageSnafu)?;
    let listener = TcpListener::bind(address).await.context(ListenSnafu { address })?;
    let router = server.routes(Router::new());
    tracing::info!(node = settings.node, %address, "storage is up");
    tokio::join!(
        serve(listener, router),
        server.run(),
        announce(&server, &rpc, settings.seed_internal_addresses())
    );
    Ok(())
}

/// Tells the core machines, at intervals and at once when a pull has ended.
async fn announce(server: &Server, rpc: &Client, core: Vec<SocketAddr>) {
    let mut pulled = server.pulled();
    loop {
        let announcement = encode(&server.announcement());
        for address in &core {
            rpc.send(*address, ServiceId::ANNOUNCE, announcement.clone());
        }
        tokio::select! {
            () = sleep(ANNOUNCE_INTERVAL) => {}
            _ = pulled.changed() => {}
        }
    }
}
