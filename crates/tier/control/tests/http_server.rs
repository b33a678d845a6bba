//! The bounded HTTP server over loopback.

use std::time::Duration;

use axum::Router;
use axum::routing::get;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use woadreach_control::http_server::serve;

/// A server with one route; gives back its address, the switch that stops it, and its task.
async fn start() -> (
    std::net::SocketAddr,
    watch::Sender<bool>,
    tokio::task::JoinHandle<()>,
) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let (stop, stopped) = watch::channel(false);
    let router = Router::new().route("/", get(|| async { "here" }));
    let task = tokio::spawn(serve(listener, router, 8, stopped, Duration::from_secs(5)));
    (address, stop, task)
}

async fn answer_to(stream: &mut TcpStream, request: &[u8]) -> String {
    // The server may close before everything is written.
    let _ = stream.write_all(request).await;
    let mut buffer = vec![0; 4096];
    let length = stream.read(&mut buffer).await.unwrap_or(0);
    String::from_utf8_lossy(&buffer[..length]).into_owned()
}

#[tokio::test]
async fn an_answer_comes_and_the_server_stops_with_idle_clients() {
    let (address, stop, task) = start().await;
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let answer = answer_to(&mut stream, b"GET / HTTP/1.1\r\nHost: a\r\n\r\n").await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    let _idle = TcpStream::connect(address).await.expect("a connection");
    stop.send_replace(true);
    task.await.expect("the server ends");
}

#[tokio::test]
async fn a_head_without_end_is_refused() {
    let (address, _stop, _task) = start().await;
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let mut request = b"GET / HTTP/1.1\r\nHost: a\r\nFiller: ".to_vec();
    request.resize(request.len() + (256 << 10), b'f');
    let answer = answer_to(&mut stream, &request).await;
    assert!(
        answer.is_empty() || answer.starts_with("HTTP/1.1 431"),
        "{answer}"
    );
}
