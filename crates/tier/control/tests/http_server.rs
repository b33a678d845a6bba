//! HTTP server with limits, over loopback connections.

use std::net::SocketAddr;
use std::time::Duration;

use axum::Router;
use axum::routing::get;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use woadreach_control::http_server::serve;

/// A server with one route.
struct TestServer {
    address: SocketAddr,
    /// Stops the server.
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

async fn start() -> TestServer {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let (stop, stopped) = watch::channel(false);
    let router = Router::new().route("/", get(|| async { "here" }));
    let task = tokio::spawn(serve(listener, router, 8, stopped, Duration::from_secs(5)));
    TestServer {
        address,
        stop,
        task,
    }
}

async fn response_to(stream: &mut TcpStream, request: &[u8]) -> String {
    // The write fails if the server closes the connection before the whole request is written.
    let _ = stream.write_all(request).await;
    let mut buffer = vec![0; 4096];
    let length = stream.read(&mut buffer).await.unwrap_or(0);
    String::from_utf8_lossy(&buffer[..length]).into_owned()
}

#[tokio::test]
async fn a_request_is_answered_and_the_server_stops_despite_an_idle_client() {
    let server = start().await;
    let mut stream = TcpStream::connect(server.address)
        .await
        .expect("a connection");
    let answer = response_to(&mut stream, b"GET / HTTP/1.1\r\nHost: a\r\n\r\n").await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    let _idle = TcpStream::connect(server.address)
        .await
        .expect("a connection");
    server.stop.send_replace(true);
    server
        .task
        .await
        .expect("the server task ends without a panic");
}

#[tokio::test]
async fn a_head_above_the_size_limit_is_rejected() {
    let server = start().await;
    let mut stream = TcpStream::connect(server.address)
        .await
        .expect("a connection");
    let mut request = b"GET / HTTP/1.1\r\nHost: a\r\nFiller: ".to_vec();
    request.resize(request.len() + (256 << 10), b'f');
    let answer = response_to(&mut stream, &request).await;
    assert!(
        answer.is_empty() || answer.starts_with("HTTP/1.1 431"),
        "{answer}"
    );
}
