//! A data plane on loopback with scripted replicas.

#![allow(dead_code, reason = "each test file uses its own part")]

pub(crate) mod replica;
pub(crate) mod settings;
pub(crate) mod storage;
pub(crate) mod stream_task;
pub(crate) mod tier;

use std::future::Future;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The longest that anything is waited for; a test that reaches it has failed.
const WAIT: Duration = Duration::from_secs(10);

/// Waits with a bound.
pub(crate) async fn wait_for<F: Future>(what: &str, future: F) -> F::Output {
    match tokio::time::timeout(WAIT, future).await {
        Ok(output) => output,
        Err(_) => panic!("waited for too long: {what}"),
    }
}

/// Runs a test on one thread, as the program runs.
pub(crate) fn on_one_thread<F: Future>(test: F) -> F::Output {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime")
        .block_on(test)
}

/// What a client saw.
#[derive(Clone, Debug)]
pub(crate) struct Seen {
    /// Status line and headers, in lower case.
    pub head: String,
    /// The body without its framing.
    pub body: Vec<u8>,
    /// Whether the body is complete by its framing.
    pub complete: bool,
}

impl Seen {
    /// The status.
    pub(crate) fn status(&self) -> u16 {
        self.head
            .split(' ')
            .nth(1)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    }

    /// The body as text.
    pub(crate) fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Value of a header.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines();
        lines.find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
    }
}

/// A client's connection.
pub(crate) struct Client {
    pub stream: TcpStream,
    unread: Vec<u8>,
}

impl Client {
    /// Connects.
    pub(crate) async fn connect(address: std::net::SocketAddr) -> Self {
        let stream = TcpStream::connect(address)
            .await
            .expect("the front accepts");
        Client {
            stream,
            unread: Vec::new(),
        }
    }

    /// Sends bytes as they are.
    pub(crate) async fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).await.expect("the front reads");
    }

    /// Reads the next answer.
    pub(crate) async fn answer(&mut self) -> Seen {
        wait_for("an answer", self.read_answer()).await
    }

    /// Whether the connection ends without another byte.
    pub(crate) async fn is_closed(&mut self) -> bool {
        wait_for("the end of the connection", async {
            self.unread.is_empty() && !self.more().await
        })
        .await
    }

    /// Waits until the bytes read so far hold `text`.
    pub(crate) async fn until(&mut self, text: &str) {
        wait_for(text, async {
            while !String::from_utf8_lossy(&self.unread).contains(text) {
                assert!(self.more().await, "the connection ended before {text:?}");
            }
        })
        .await;
    }

    async fn more(&mut self) -> bool {
        let mut buffer = [0; 4096];
        match self.stream.read(&mut buffer).await {
            Ok(0) | Err(_) => false,
            Ok(length) => {
                self.unread.extend_from_slice(&buffer[..length]);
                true
            }
        }
    }

    async fn read_answer(&mut self) -> Seen {
        let head_end = loop {
            match find(&self.unread, b"\r\n\r\n") {
                Some(at) => break at + 4,
                None if self.more().await => {}
                None => {
                    let head = String::from_utf8_lossy(&self.unread).into_owned();
                    return Seen {
                        head,
                        body: Vec::new(),
                        complete: false,
                    };
                }
            }
        };
        let head: Vec<u8> = self.unread.drain(..head_end).collect();
        let head = String::from_utf8_lossy(&head)
            .to_ascii_lowercase()
            .replace("\r\n", "\n");
        let mut seen = Seen {
            head,
            body: Vec::new(),
            complete: false,
        };
        if seen.header("transfer-encoding").is_some() {
            self.read_chunks(&mut seen).await;
        } else {
            let length = seen
                .header("content-length")
                .and_then(|text| text.parse().ok())
                .unwrap_or(0);
            while self.unread.len() < length && self.more().await {}
            let here = length.min(self.unread.len());
            seen.body = self.unread.drain(..here).collect();
            seen.complete = here == length;
        }
        seen
    }

    async fn read_chunks(&mut self, seen: &mut Seen) {
        loop {
            let Some(line) = self.line().await else {
                return;
            };
            let Ok(size) = usize::from_str_radix(line.trim(), 16) else {
                return;
            };
            while self.unread.len() < size + 2 {
                if !self.more().await {
                    let here = size.min(self.unread.len());
                    seen.body.extend(self.unread.drain(..here));
                    return;
                }
            }
            seen.body.extend(self.unread.drain(..size));
            self.unread.drain(..2);
            if size == 0 {
                seen.complete = true;
                return;
            }
        }
    }

    async fn line(&mut self) -> Option<String> {
        loop {
            if let Some(at) = find(&self.unread, b"\r\n") {
                let line: Vec<u8> = self.unread.drain(..at + 2).collect();
                return String::from_utf8(line).ok();
            }
            if !self.more().await {
                return None;
            }
        }
    }
}

/// Where `part` begins in `bytes`.
pub(crate) fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}

/// Sends one request on a new connection and reads its answer.
pub(crate) async fn send_request(address: std::net::SocketAddr, request: &str) -> Seen {
    let mut client = Client::connect(address).await;
    client.send(request.as_bytes()).await;
    client.answer().await
}
