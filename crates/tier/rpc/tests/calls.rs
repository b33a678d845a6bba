//! Calls over loopback: each response completes its own call, and each failure has the expected [`CallError`].

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use woadreach_rpc::{CallError, Client, ClientOptions, Router, ServiceId, serve};

const ECHO: ServiceId = ServiceId(40);
/// Service whose handler never responds.
const UNANSWERED: ServiceId = ServiceId(41);
/// Time-out of calls that are expected to finish before it.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

fn client() -> Client {
    Client::new(ClientOptions::default())
}

#[tokio::test]
async fn concurrent_calls_receive_their_own_responses() {
    let (listener, address) = listener().await;
    let router = Router::new().route(ECHO, |_, body: Bytes| async move { body.to_vec() });
    tokio::spawn(serve(listener, router));
    let client = client();
    let calls = (0..200u32).map(|n| {
        let client = client.clone();
        tokio::spawn(async move {
            let response = client
                .call(address, ECHO, n.to_le_bytes().to_vec(), TEST_TIMEOUT)
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
    let handled = Arc::new(Notify::new());
    let notify = handled.clone();
    let router = Router::new().route(ECHO, move |_, _| {
        notify.notify_one();
        async { Vec::new() }
    });
    tokio::spawn(serve(listener, router));
    client().notify(address, ECHO, vec![1]);
    tokio::time::timeout(TEST_TIMEOUT, handled.notified())
        .await
        .unwrap();
}

#[tokio::test]
async fn a_request_without_handler_is_refused() {
    let (listener, address) = listener().await;
    tokio::spawn(serve(listener, Router::new()));
    assert_eq!(
        client().call(address, ECHO, vec![], TEST_TIMEOUT).await,
        Err(CallError::Refused)
    );
}

#[tokio::test]
async fn a_port_without_listener_is_unreachable_and_later_calls_connect_again() {
    let (listener, address) = listener().await;
    drop(listener);
    let client = client();
    assert_eq!(
        client.call(address, ECHO, vec![], TEST_TIMEOUT).await,
        Err(CallError::Unreachable)
    );
    let listener = TcpListener::bind(address).await.unwrap();
    tokio::spawn(serve(
        listener,
        Router::new().route(ECHO, |_, body: Bytes| async move { body.to_vec() }),
    ));
    assert_eq!(
        client.call(address, ECHO, vec![7], TEST_TIMEOUT).await,
        Ok(Bytes::from_static(&[7]))
    );
}

/// The peer may have handled the request before it closed the connection, so the call must fail without a retry.
#[tokio::test]
async fn a_call_whose_connection_closes_fails_as_broken_without_a_retry() {
    let (listener, address) = listener().await;
    let client = client();
    let call = tokio::spawn({
        let client = client.clone();
        async move { client.call(address, ECHO, vec![1], TEST_TIMEOUT).await }
    });
    let (stream, _) = listener.accept().await.unwrap();
    stream.readable().await.unwrap();
    drop(stream);
    assert_eq!(call.await.unwrap(), Err(CallError::Broken));
}

#[tokio::test]
async fn a_connection_without_received_frames_is_abandoned_after_a_time_out() {
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
        "a call after a time-out must use a new connection if no frame was received on the old one"
    );
}

/// Guards against a time-out of one call that ends or abandons the connection although its peer responds to other
/// calls.
#[tokio::test]
async fn a_call_that_times_out_does_not_fail_other_calls_of_its_connection() {
    let (listener, address) = listener().await;
    let router = Router::new()
        .route(ECHO, |_, body: Bytes| async move { body.to_vec() })
        .route(UNANSWERED, |_, _| std::future::pending());
    tokio::spawn(serve(listener, router));
    let client = client();
    let unanswered = client.call(address, UNANSWERED, vec![], Duration::from_millis(50));
    let answered = client.call(address, ECHO, vec![3], TEST_TIMEOUT);
    let (unanswered, answered) = tokio::join!(unanswered, answered);
    assert_eq!(unanswered, Err(CallError::TimedOut));
    assert_eq!(answered, Ok(Bytes::from_static(&[3])));
}
