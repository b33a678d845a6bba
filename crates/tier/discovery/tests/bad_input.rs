//! Requests and answers that cannot be decoded, over loopback connections.

mod common;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use common::{FixedState, departure_journal, settings};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use woadreach_discovery::messages::{MESSAGE_VERSION, Request, encode};
use woadreach_discovery::{ControlWatch, CoreDiscovery};
use woadreach_journal::SimulatedDisk;
use woadreach_rpc::{CallError, Client, ClientOptions, Router, ServiceId, serve};

const TIMEOUT: Duration = Duration::from_secs(10);

fn rpc() -> Client {
    Client::new(ClientOptions::default())
}

#[tokio::test]
async fn requests_of_other_versions_or_truncated_are_rejected_and_counted() {
    let listener = TcpListener::bind((Ipv4Addr::new(127, 0, 0, 51), 0))
        .await
        .unwrap();
    let address = listener.local_addr().unwrap();
    let settings = settings("core-51", 51, address.port(), &[51]);
    let committed = Arc::new(FixedState::new(vec![address]));
    committed.commit_configuration(7);
    let discovery = CoreDiscovery::new(
        &settings,
        1,
        rpc(),
        committed,
        departure_journal(&SimulatedDisk::default()),
    );
    let router = discovery.handlers(Router::new());
    let rejected = router.rejected();
    tokio::spawn(serve(listener, router));

    let message = encode(&Request::Configuration);
    let older = [&[MESSAGE_VERSION - 1], &message[1..]].concat();
    let newer = [&[MESSAGE_VERSION + 1], &message[1..]].concat();
    let batch = encode(&Request::Registry(Default::default()));
    let malformed = [
        Vec::new(),
        older,
        newer,
        vec![MESSAGE_VERSION],
        batch[..batch.len() - 1].to_vec(),
    ];
    for body in &malformed {
        let answer = rpc()
            .call(address, ServiceId::DISCOVERY, body.clone(), TIMEOUT)
            .await;
        assert_eq!(answer, Err(CallError::Refused), "{body:?}");
    }
    assert_eq!(rejected.count(ServiceId::DISCOVERY), malformed.len() as u64);
    assert!(
        rpc()
            .call(address, ServiceId::DISCOVERY, message, TIMEOUT)
            .await
            .is_ok()
    );
    assert_eq!(discovery.counters(), Default::default());
}

/// A core machine of another message version continues to be polled, but its answers are ignored.
#[tokio::test]
async fn answers_of_another_version_are_ignored() {
    let listener = TcpListener::bind((Ipv4Addr::new(127, 0, 0, 52), 0))
        .await
        .unwrap();
    let address: SocketAddr = listener.local_addr().unwrap();
    let (requests, notified) = (Arc::new(AtomicUsize::new(0)), Arc::new(Notify::new()));
    let (count, notify) = (requests.clone(), notified.clone());
    let router = Router::new().route(ServiceId::DISCOVERY, move |_, _| {
        if count.fetch_add(1, Ordering::Relaxed) == 2 {
            notify.notify_one();
        }
        async { vec![MESSAGE_VERSION + 1, 1, 2, 3] }
    });
    tokio::spawn(serve(listener, router));
    let snapshots = ControlWatch::spawn(&settings("edge", 53, address.port(), &[52]), rpc());
    tokio::time::timeout(TIMEOUT, notified.notified())
        .await
        .expect("the machine is polled again");
    let snapshot = snapshots.borrow().clone();
    assert!(snapshot.configuration.is_none() && snapshot.storage_view.is_none());
    assert!(snapshot.last_answer_at.is_none() && snapshot.replicas.is_empty());
}
