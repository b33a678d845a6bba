//! A replica that responds as scripted and records the requests that it receives.

use super::find;
use parking_lot::Mutex;
use socket2::SockRef;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};

/// A request as it was received.
#[derive(Clone, Debug)]
pub(crate) struct Received {
    /// Request line and headers; header names in lower case.
    pub head: String,
    /// The body.
    pub body: Vec<u8>,
}

impl Received {
    /// Value of a header.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.head
            .lines()
            .find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
    }
}

/// One step of an answer.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    /// Write these bytes.
    Write(Vec<u8>),
    /// End the connection.
    Close,
    /// Reset the connection.
    Reset,
    /// Wait for a notification.
    Await(Arc<Notify>),
    /// Wait for this long.
    Delay(Duration),
    /// Write nothing until the caller closes the connection.
    Hang,
}

/// Gets the number of the connection, the number of the request (both from 0) and the request.
type Script = dyn Fn(usize, usize, &Received) -> Vec<Step> + Send + Sync;

/// A replica on loopback.
#[derive(Clone)]
pub(crate) struct Replica {
    /// Where it listens.
    pub address: SocketAddr,
    received: Arc<Mutex<Vec<Received>>>,
    count: Arc<watch::Sender<usize>>,
    closed: Arc<watch::Sender<usize>>,
    connections: Arc<watch::Sender<usize>>,
}

impl Replica {
    /// Starts a replica; `script` gets the number of the request (from 0) and the request.
    pub(crate) async fn start(
        script: impl Fn(usize, &Received) -> Vec<Step> + Send + Sync + 'static,
    ) -> Self {
        Self::start_by_connection(move |_, number, request| script(number, request)).await
    }

    /// Starts a replica whose script also gets the number of the connection (from 0), before the others.
    pub(crate) async fn start_by_connection(
        script: impl Fn(usize, usize, &Received) -> Vec<Step> + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let replica = Replica {
            address: listener.local_addr().expect("an address"),
            received: Arc::default(),
            count: Arc::new(watch::Sender::new(0)),
            closed: Arc::new(watch::Sender::new(0)),
            connections: Arc::new(watch::Sender::new(0)),
        };
        let serving = replica.clone();
        let script: Arc<Script> = Arc::new(script);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let connection = serving.connections();
                serving.connections.send_modify(|count| *count += 1);
                let (serving, script) = (serving.clone(), script.clone());
                tokio::spawn(async move {
                    serving.serve(connection, stream, &*script).await;
                    serving.closed.send_modify(|count| *count += 1);
                });
            }
        });
        replica
    }

    /// An address without a listener.
    pub(crate) async fn nowhere() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        Replica {
            address: listener.local_addr().expect("an address"),
            received: Arc::default(),
            count: Arc::new(watch::Sender::new(0)),
            closed: Arc::new(watch::Sender::new(0)),
            connections: Arc::new(watch::Sender::new(0)),
        }
    }

    /// The requests received so far.
    pub(crate) fn received(&self) -> Vec<Received> {
        self.received.lock().clone()
    }

    /// Connections that were opened to it.
    pub(crate) fn connections(&self) -> usize {
        *self.connections.borrow()
    }

    /// Waits until `wanted` requests have been received.
    pub(crate) async fn wait_for_requests(&self, wanted: usize) {
        let mut count = self.count.subscribe();
        super::wait_for(
            "requests at a replica",
            count.wait_for(|count| *count >= wanted),
        )
        .await
        .expect("open");
    }

    /// Waits until `wanted` connections have closed.
    pub(crate) async fn wait_for_closed(&self, wanted: usize) {
        let mut closed = self.closed.subscribe();
        super::wait_for(
            "closed connections",
            closed.wait_for(|count| *count >= wanted),
        )
        .await
        .expect("open");
    }

    async fn serve(&self, connection: usize, mut stream: TcpStream, script: &Script) {
        let mut unread = Vec::new();
        while let Some(request) = read_request(&mut stream, &mut unread).await {
            let number = {
                let mut received = self.received.lock();
                received.push(request.clone());
                received.len() - 1
            };
            self.count.send_modify(|count| *count += 1);
            for step in script(connection, number, &request) {
                match step {
                    Step::Write(bytes) => {
                        if stream.write_all(&bytes).await.is_err() {
                            return;
                        }
                    }
                    Step::Close => return,
                    Step::Reset => {
                        let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                        return;
                    }
                    Step::Await(notify) => notify.notified().await,
                    Step::Delay(time) => tokio::time::sleep(time).await,
                    Step::Hang => {
                        let mut byte = [0];
                        let _ = stream.read(&mut byte).await;
                        return;
                    }
                }
            }
        }
    }
}

async fn read_request(stream: &mut TcpStream, unread: &mut Vec<u8>) -> Option<Received> {
    let mut buffer = [0; 4096];
    loop {
        if let Some(end) = find(unread, b"\r\n\r\n") {
            let head = lower_names(&String::from_utf8_lossy(&unread[..end + 4]));
            let request = Received {
                head,
                body: Vec::new(),
            };
            let length: usize = request
                .header("content-length")
                .and_then(|text| text.parse().ok())
                .unwrap_or(0);
            if unread.len() >= end + 4 + length {
                let bytes: Vec<u8> = unread.drain(..end + 4 + length).collect();
                return Some(Received {
                    body: bytes[end + 4..].to_vec(),
                    ..request
                });
            }
        }
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return None,
            Ok(length) => unread.extend_from_slice(&buffer[..length]),
        }
    }
}

fn lower_names(head: &str) -> String {
    let mut lines = head.split("\r\n").filter(|line| !line.is_empty());
    let first = lines.next().unwrap_or_default().to_owned();
    lines.fold(first, |text, line| {
        let (name, value) = line.split_once(": ").unwrap_or((line, ""));
        text + "\n" + &name.to_ascii_lowercase() + ": " + value
    })
}

/// A head of an answer to `request`, with its id and these lines.
pub(crate) fn head(request: &Received, status: &str, lines: &[&str]) -> Vec<u8> {
    let id = request.header("request-id").unwrap_or("none");
    let mut text = format!("HTTP/1.1 {status}\r\nRequest-Id: {id}\r\n");
    for line in lines {
        text.push_str(line);
        text.push_str("\r\n");
    }
    (text + "\r\n").into_bytes()
}

/// A complete success.
pub(crate) fn success(request: &Received, body: &str) -> Step {
    let length = format!("Content-Length: {}", body.len());
    let mut bytes = head(request, "200 OK", &["Response-Signature: stamp", &length]);
    bytes.extend_from_slice(body.as_bytes());
    Step::Write(bytes)
}

/// A response that says that the request has not run.
pub(crate) fn not_executed(request: &Received) -> Step {
    Step::Write(head(
        request,
        "503 Service Unavailable",
        &["Not-Executed: 1", "Content-Length: 0"],
    ))
}

/// The head of a stream.
pub(crate) fn stream_head(request: &Received) -> Step {
    let lines = [
        "Response-Signature: stamp",
        "Content-Type: text/event-stream",
        "Transfer-Encoding: chunked",
    ];
    Step::Write(head(request, "200 OK", &lines))
}

/// A chunk of a stream.
pub(crate) fn chunk(bytes: &[u8]) -> Step {
    let mut framed = format!("{:x}\r\n", bytes.len()).into_bytes();
    framed.extend_from_slice(bytes);
    framed.extend_from_slice(b"\r\n");
    Step::Write(framed)
}

/// The end of a stream.
pub(crate) fn stream_end() -> Step {
    Step::Write(b"0\r\n\r\n".to_vec())
}
