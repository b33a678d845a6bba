//! A storage node on real files, behind a relay that may drop requests.

use super::replica::Replica;
use super::tier::{Tier, snapshot};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tempfile::TempDir;
use tokio::net::TcpListener;
use tokio::sync::watch;
use woadreach_discovery::ControlSnapshot;
use woadreach_rpc::{Client, ClientOptions, Router, ServiceId, serve};
use woadreach_storage::StorageView;
use woadreach_storage::message::{Operation, Request, decode};
use woadreach_storage::server::{Server, ServerOptions};

/// How long the relay waits for the storage node.
const RELAY_TIMEOUT: Duration = Duration::from_secs(5);

/// A storage node in a tier's view.
pub(crate) struct Storage {
    _folder: TempDir,
    dropped: watch::Receiver<usize>,
    answered: watch::Receiver<usize>,
}

impl Storage {
    /// Starts a storage node and adds it to the tier's view.
    pub(crate) async fn start(tier: &Tier, replicas: &[(&str, &Replica)]) -> Self {
        Self::dropping(tier, replicas, |_| false).await
    }

    /// The same with a relay that drops the requests for which `is_dropped` is true.
    pub(crate) async fn dropping(
        tier: &Tier,
        replicas: &[(&str, &Replica)],
        is_dropped: impl Fn(&Operation) -> bool + Send + Sync + 'static,
    ) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let options = ServerOptions {
            node: "store-1".to_owned(),
            address: listener.local_addr().expect("an address"),
            zone: "a".to_owned(),
            tolerated_losses: 0,
            disk_bytes: 50 << 20,
        };
        let rpc = Client::new(ClientOptions::default());
        let server = Server::open(folder.path(), rpc, options)
            .await
            .expect("a disk");
        let mut member = server.announcement().member;
        let router = server.handlers(Router::new());
        tokio::spawn(async move { tokio::join!(serve(listener, router), server.run_pulls()) });
        let (address, dropped, answered) = relay(member.address, Arc::new(is_dropped)).await;
        member.address = address;
        let view = StorageView {
            epoch: 1,
            current: vec![member],
            ..StorageView::default()
        };
        let known = ControlSnapshot {
            storage_view: Some(Arc::new(view)),
            ..snapshot(replicas)
        };
        tier.proxy.apply_snapshot(&known);
        Storage {
            _folder: folder,
            dropped,
            answered,
        }
    }

    /// Waits until `wanted` requests have been dropped.
    pub(crate) async fn wait_for_dropped(&mut self, wanted: usize) {
        super::wait_for(
            "swallowed requests",
            self.dropped.wait_for(|count| *count >= wanted),
        )
        .await
        .expect("the relay runs");
    }

    /// Waits until the storage node has answered `wanted` requests.
    pub(crate) async fn wait_for_answered(&mut self, wanted: usize) {
        super::wait_for(
            "answered requests",
            self.answered.wait_for(|count| *count >= wanted),
        )
        .await
        .expect("the relay runs");
    }
}

/// Forwards requests to `machine`, except those for which `is_dropped` is true.
async fn relay(
    machine: SocketAddr,
    is_dropped: Arc<dyn Fn(&Operation) -> bool + Send + Sync>,
) -> (SocketAddr, watch::Receiver<usize>, watch::Receiver<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let client = Client::new(ClientOptions::default());
    let (count, dropped) = watch::channel(0);
    let count = Arc::new(count);
    let (answers, answered) = watch::channel(0);
    let answers = Arc::new(answers);
    let router = Router::new().route(ServiceId::STORAGE, move |_, body: bytes::Bytes| {
        let (client, count, is_dropped) = (client.clone(), count.clone(), is_dropped.clone());
        let answers = answers.clone();
        async move {
            let request: Request = decode(&body).expect("a request");
            if is_dropped(&request.operation) {
                count.send_modify(|count| *count += 1);
                std::future::pending::<()>().await;
            }
            let answer = client
                .call(machine, ServiceId::STORAGE, body.to_vec(), RELAY_TIMEOUT)
                .await;
            answers.send_modify(|answers| *answers += 1);
            answer.map(|answer| answer.to_vec()).unwrap_or_default()
        }
    });
    tokio::spawn(serve(listener, router));
    (address, dropped, answered)
}
