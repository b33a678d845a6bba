//! Calls over loopback: responses find their requests, failures are distinguished, nothing is sent twice.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use woadreach_rpc::{CallError, Client, ClientOptions, Router, ServiceId, serve};

const ECHO: ServiceId = ServiceId(40);
const NEVER: ServiceId = ServiceId(41);
const LONG: Duration = Duration::from_secs(10);

async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

fn client() -> Client {
    Client::new(ClientOptions::default())
}

#[tokio::test]
async fn many_calls_at_once_get_their_own_responses() {
    let (listener, address) = listener().await;
    let router = Router::new().route(ECHO, |_, body: Bytes| async move { body.to_vec() });
    tokio::spawn(serve(listener, router));
    let client = client();
    let calls = (0..200u32).map(|n| {
        let client = client.clone();
        tokio::spawn(async move {
            let response = client
                .call(address, ECHO, n.to_le_bytes().to_vec(), LONG)
                .await
                .unwrap();
            assert_eq!(response[..], n.to_le_bytes());
        })
    });
    for call in calls.collect::<Vec<_>>() {
        call.await.unwrap();
    }
}

#[tokio::test]
async fn notifications_are_handled() {
    let (listener, address) = listener().await;
    let arrived = Arc::new(Notify::new());
    let notify = arrived.clone();
    let router = Router::new().route(ECHO, move |_, _| {
        notify.notify_one();
        async { Vec::new() }
    });
    tokio::spawn(serve(listener, router));
    client().notify(address, ECHO, vec![1]);
    tokio::time::timeout(LONG, arrived.notified())
        .await
        .unwrap();
}

#[tokio::test]
async fn a_service_without_handler_is_refused() {
    let (listener, address) = listener().await;
    tokio::spawn(serve(listener, Router::new()));
    assert_eq!(
        client().call(address, ECHO, vec![], LONG).await,
        Err(CallError::Refused)
    );
}

#[tokio::test]
async fn a_port_without_listener_is_unreachable_and_later_calls_try_anew() {
    let (listener, address) = listener().await;
    drop(listener);
    let client = client();
    assert_eq!(
        client.call(address, ECHO, vec![], LONG).await,
        Err(CallError::Unreachable)
    );
    let listener = TcpListener::bind(address).await.unwrap();
    tokio::spawn(serve(
        listener,
        Router::new().route(ECHO, |_, body: Bytes| async move { body.to_vec() }),
    ));
    assert_eq!(
        client.call(address, ECHO, vec![7], LONG).await,
        Ok(Bytes::from_static(&[7]))
    );
}

#[tokio::test]
async fn a_connection_that_closes_breaks_its_calls_and_nothing_is_sent_again() {
    let (listener, address) = listener().await;
    let client = client();
    let call = tokio::spawn({
        let client = client.clone();
        async move { client.call(address, ECHO, vec![1], LONG).await }
    });
    let (stream, _) = listener.accept().await.unwrap();
    stream.readable().await.unwrap();
    drop(stream);
    assert_eq!(call.await.unwrap(), Err(CallError::Broken));
}

#[tokio::test]
async fn an_unresponsive_connection_is_abandoned_after_a_time_out() {
    let (listener, address) = listener().await;
    let accepted = Arc::new(AtomicUsize::new(0));
    let count = accepted.clone();
    tokio::spawn(async move {
        let mut connections = Vec::new();
        loop {
            connections.push(listener.accept().await.unwrap());
            count.fetch_add(1, Ordering::SeqCst);
        }
    });
    let client = client();
    for _ in 0..2 {
        let result = client
            .call(address, ECHO, vec![], Duration::from_millis(20))
            .await;
        assert_eq!(result, Err(CallError::TimedOut));
    }
    let third = client
        .call(address, ECHO, vec![], Duration::from_millis(20))
        .await;
    assert_eq!(third, Err(CallError::TimedOut));
    assert!(
        accepted.load(Ordering::SeqCst) >= 2,
        "each call after a time-out without a response uses a new connection"
    );
}

#[tokio::test]
async fn a_slow_handler_does_not_cost_the_connection_of_others() {
    let (listener, address) = listener().await;
    let router = Router::new()
        .route(ECHO, |_, body: Bytes| async move { body.to_vec() })
        .route(NEVER, |_, _| std::future::pending());
    tokio::spawn(serve(listener, router));
    let client = client();
    let slow = client.call(address, NEVER, vec![], Duration::from_millis(50));
    let quick = client.call(address, ECHO, vec![3], LONG);
    let (slow, quick) = tokio::join!(slow, quick);
    assert_eq!(slow, Err(CallError::TimedOut));
    assert_eq!(quick, Ok(Bytes::from_static(&[3])));
}
