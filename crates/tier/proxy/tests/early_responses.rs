//! A replica that responds before it has read a long body, and reads on later, gets no other bytes in between.

mod support;

use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use parking_lot::Mutex;
use socket2::{Domain, Socket, Type};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use support::{find, on_one_thread, wait_for};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::Instant;
use woadreach_proxy::replica::attempt::{
    AttemptParams, AttemptReport, AttemptResult, OutgoingRequest, attempt,
};
use woadreach_proxy::replica::pool::{ReplicaEndpoint, ReplicaPool};
use woadreach_scheduler::Outcome;

/// More than the system's buffers take, so that most of it waits until the replica reads on.
const BODY_BYTES: usize = 12 << 20;
const READ_BUFFER_BYTES: usize = 256 << 10;

fn listen() -> (TcpListener, SocketAddr) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket
        .set_recv_buffer_size(READ_BUFFER_BYTES)
        .expect("a small buffer");
    socket
        .bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into())
        .expect("a free port");
    socket.listen(8).expect("a listener");
    socket.set_nonblocking(true).expect("a listener");
    let listener = TcpListener::from_std(socket.into()).expect("a listener");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

fn request(id: &str, body: Bytes) -> Arc<OutgoingRequest> {
    let mut headers = HeaderMap::new();
    headers.insert("request-id", id.parse().expect("an id"));
    Arc::new(OutgoingRequest {
        method: Method::POST,
        target: Uri::from_static("/work/"),
        headers,
        body,
        request_id: id.to_owned(),
        is_stream: false,
        used_connections: Mutex::default(),
    })
}

fn params(address: SocketAddr) -> AttemptParams {
    AttemptParams {
        attempt: 0,
        endpoint: ReplicaEndpoint {
            replica: Arc::from("i-1"),
            address,
        },
        max_connections: 1,
        deadline: Instant::now() + Duration::from_secs(8),
        resume_after: None,
    }
}

/// Reads a complete head; returns it and the bytes read after it.
async fn read_head(stream: &mut TcpStream, mut bytes: Vec<u8>) -> (String, Vec<u8>) {
    let mut buffer = [0; 1024];
    loop {
        if let Some(end) = find(&bytes, b"\r\n\r\n") {
            let rest = bytes.split_off(end + 4);
            return (String::from_utf8(bytes).expect("a head"), rest);
        }
        let length = stream.read(&mut buffer).await.expect("a head");
        bytes.extend_from_slice(&buffer[..length]);
    }
}

/// Everything up to the end of the connection, or until `enough` bytes have been read.
async fn read_on(stream: &mut TcpStream, bytes: &mut Vec<u8>, enough: usize) {
    let mut buffer = vec![0; 1 << 16];
    while bytes.len() < enough {
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return,
            Ok(length) => bytes.extend_from_slice(&buffer[..length]),
        }
    }
}

/// Answers `status` as soon as the head is here.
async fn answer(stream: &mut TcpStream, id: &str, status: &str) {
    let text = format!(
        "HTTP/1.1 {status}\r\nRequest-Id: {id}\r\nResponse-Signature: stamp\r\nContent-Length: 2\r\n\r\nok"
    );
    stream
        .write_all(text.as_bytes())
        .await
        .expect("the caller reads");
}

/// A connection over which a request was answered before its body was read.
struct EarlyAnswered {
    stream: TcpStream,
    /// Bytes of the body that were read with the head.
    received: Vec<u8>,
}

/// Sends `r1` with a long body, and answers it as soon as its head is here.
async fn answer_early(
    pool: &Arc<ReplicaPool>,
    listener: &TcpListener,
    address: SocketAddr,
) -> EarlyAnswered {
    let body = Bytes::from(vec![b'x'; BODY_BYTES]);
    let first = tokio::spawn(attempt(pool.clone(), request("r1", body), params(address)));
    let (mut stream, _) = listener.accept().await.expect("a connection");
    let (_, received) = read_head(&mut stream, Vec::new()).await;
    answer(&mut stream, "r1", "200 OK").await;
    assert_answered("the early answer", first).await;
    EarlyAnswered { stream, received }
}

/// Reads the head of `r2`, of which `read` has been read already, and answers it.
async fn answer_second(stream: &mut TcpStream, read: Vec<u8>) {
    let (head, _) = wait_for("the next request", read_head(stream, read)).await;
    assert!(head.contains("request-id: r2"), "{head}");
    answer(stream, "r2", "200 OK").await;
}

async fn assert_answered(what: &str, task: JoinHandle<AttemptReport>) {
    let report = wait_for(what, task).await.expect("no panic");
    assert!(is_answered(&report), "{what}");
}

fn is_answered(report: &AttemptReport) -> bool {
    matches!(report.result, AttemptResult::Answered(_))
}

#[test]
fn what_follows_an_early_answer_on_its_connection_is_the_rest_of_the_body() {
    on_one_thread(async {
        for status in ["200 OK", "404 Not Found"] {
            let (listener, address) = listen();
            let pool = Arc::<ReplicaPool>::default();
            let body = Bytes::from(vec![b'x'; BODY_BYTES]);
            let first = tokio::spawn(attempt(pool.clone(), request("r1", body), params(address)));
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let (head, mut received) = read_head(&mut stream, Vec::new()).await;
            assert!(
                head.contains(&format!("content-length: {BODY_BYTES}")),
                "{head}"
            );
            answer(&mut stream, "r1", status).await;
            assert!(
                is_answered(&wait_for("the early answer", first).await.expect("no panic")),
                "{status}"
            );
            // The next request, on this connection or on a new one.
            let second = tokio::spawn(attempt(
                pool.clone(),
                request("r2", Bytes::new()),
                params(address),
            ));
            let reads_on = async {
                read_on(&mut stream, &mut received, BODY_BYTES).await;
                let complete = received.len() >= BODY_BYTES;
                assert!(
                    received.iter().take(BODY_BYTES).all(|byte| *byte == b'x'),
                    "{status}: other bytes"
                );
                if complete {
                    let behind = received.split_off(BODY_BYTES);
                    answer_second(&mut stream, behind).await;
                }
                std::future::pending::<()>().await;
            };
            let serves_new_ones = async {
                let (mut stream, _) = listener.accept().await.expect("a connection");
                answer_second(&mut stream, Vec::new()).await;
                std::future::pending::<()>().await;
            };
            let report = tokio::select! {
                report = wait_for("the second answer", second) => report.expect("no panic"),
                () = reads_on => unreachable!("it waits"),
                () = serves_new_ones => unreachable!("it waits"),
            };
            let outcome = match &report.result {
                AttemptResult::Failed { outcome, .. } => Some(*outcome),
                _ => None,
            };
            assert!(is_answered(&report), "{status}: {outcome:?}");
        }
    });
}

#[test]
fn a_request_that_times_out_behind_a_long_body_writes_only_that_body() {
    on_one_thread(async {
        let (listener, address) = listen();
        let pool = Arc::<ReplicaPool>::default();
        let EarlyAnswered {
            mut stream,
            mut received,
        } = answer_early(&pool, &listener, address).await;
        let soon = AttemptParams {
            deadline: Instant::now() + Duration::from_millis(200),
            ..params(address)
        };
        let report = attempt(pool.clone(), request("r2", Bytes::new()), soon).await;
        assert!(matches!(
            report.result,
            AttemptResult::Failed {
                outcome: Outcome::TimedOut,
                ..
            }
        ));
        wait_for(
            "the end of the connection",
            read_on(&mut stream, &mut received, usize::MAX),
        )
        .await;
        assert!(
            received.len() <= BODY_BYTES,
            "{} bytes of another request",
            received.len() - BODY_BYTES
        );
        assert!(received.iter().all(|byte| *byte == b'x'));
    });
}

#[test]
fn no_request_waits_behind_the_rest_of_a_body() {
    on_one_thread(async {
        let (listener, address) = listen();
        let pool = Arc::<ReplicaPool>::default();
        let _unread = answer_early(&pool, &listener, address).await;
        // Before the system gives a connection up on which nothing is read.
        let soon = AttemptParams {
            deadline: Instant::now() + Duration::from_secs(1),
            ..params(address)
        };
        let second = tokio::spawn(attempt(pool.clone(), request("r2", Bytes::new()), soon));
        let (mut other, _) = wait_for("another connection", listener.accept())
            .await
            .expect("a connection");
        answer_second(&mut other, Vec::new()).await;
        assert_answered("the second answer", second).await;
    });
}

#[test]
fn a_connection_whose_request_was_read_completely_is_reused() {
    on_one_thread(async {
        let (listener, address) = listen();
        let pool = Arc::<ReplicaPool>::default();
        let body = Bytes::from(vec![b'x'; 1 << 20]);
        let first = tokio::spawn(attempt(pool.clone(), request("r1", body), params(address)));
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let (_, mut received) = read_head(&mut stream, Vec::new()).await;
        read_on(&mut stream, &mut received, 1 << 20).await;
        answer(&mut stream, "r1", "200 OK").await;
        assert_answered("the answer", first).await;
        let second = tokio::spawn(attempt(
            pool.clone(),
            request("r2", Bytes::new()),
            params(address),
        ));
        answer_second(&mut stream, Vec::new()).await;
        assert_answered("the second answer", second).await;
    });
}
