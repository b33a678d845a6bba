//! One HTTP/1.1 connection to a replica.
//!
//! It counts the bytes that were written, since a request of which none was written cannot have run.

use crate::clock::within;
use crate::mutations::{Mutation, is_mutated};
use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use snafu::{ResultExt, Snafu};
use socket2::{SockRef, TcpKeepalive};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// Time-out of a connect. A machine that has failed does not answer at all.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long sent bytes may stay unacknowledged before the kernel closes the connection (`TCP_USER_TIMEOUT`).
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Idle time before the first TCP keep-alive probe, and the interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which the kernel closes the connection.
const KEEPALIVE_RETRIES: u32 = 2;
/// Largest response head, and largest single read, in bytes.
const READ_BUFFER_BYTES: usize = 32 * 1024;

/// Why a connection could not be opened.
#[derive(Debug, Snafu)]
pub enum ConnectError {
    /// The replica's machine did not answer within the time-out.
    #[snafu(display("no connection to {address} in time"))]
    TimedOut {
        /// Address of the replica.
        address: SocketAddr,
    },
    /// The connection was refused or reset, or its options could not be set.
    #[snafu(display("no connection to {address}"))]
    Refused {
        /// Address of the replica.
        address: SocketAddr,
        /// The system's error.
        source: std::io::Error,
    },
    /// The HTTP handshake failed.
    #[snafu(display("no HTTP connection to {address}"))]
    Handshake {
        /// Address of the replica.
        address: SocketAddr,
        /// hyper's error.
        source: hyper::Error,
    },
}

/// Why a request got no response on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendError {
    /// No byte of it was written: it has not run.
    NotSent,
    /// Part of it may have been written, and no response came: it may have run.
    Broken,
}

/// Identity of a connection; never reused within a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionId(u64);

impl ConnectionId {
    fn next() -> Self {
        static OPENED: AtomicU64 = AtomicU64::new(0);
        ConnectionId(OPENED.fetch_add(1, Ordering::Relaxed))
    }
}

/// A connection that carries one request at a time. Dropping it resets it, which stops the replica's work and
/// discards what is still in flight in the network.
pub struct ReplicaConnection {
    id: ConnectionId,
    sender: SendRequest<Full<Bytes>>,
    /// Task that reads and writes the socket.
    driver: AbortHandle,
    /// Bytes written to the socket since it was opened.
    bytes_written: Arc<AtomicU64>,
    /// Value of `bytes_written` from which on the last request's body has been written.
    body_end_offset: u64,
    idle_since: Instant,
    /// Until when it may be used, shortly before the replica closes it; `None` if the replica sent no `Keep-Alive`.
    expires_at: Option<Instant>,
    requests_sent: u64,
}

impl ReplicaConnection {
    /// Connects, within 400 ms.
    ///
    /// # Errors
    ///
    /// [`ConnectError`] if no connection or no HTTP handshake comes about.
    pub async fn open(address: SocketAddr) -> Result<Self, ConnectError> {
        let connected = within(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = connected
            .ok_or(ConnectError::TimedOut { address })?
            .context(RefusedSnafu { address })?;
        set_options(&stream).context(RefusedSnafu { address })?;
        let bytes_written = Arc::new(AtomicU64::new(0));
        let socket = CountingSocket {
            socket: TokioIo::new(stream),
            bytes_written: bytes_written.clone(),
        };
        let handshake = Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .writev(false)
            .handshake(socket);
        let (sender, connection) = handshake.await.context(HandshakeSnafu { address })?;
        let driver = tokio::spawn(async move {
            if let Err(error) = connection.await {
                tracing::trace!(%address, %error, "replica connection closed");
            }
        });
        let driver = driver.abort_handle();
        Ok(ReplicaConnection {
            id: ConnectionId::next(),
            sender,
            driver,
            bytes_written,
            body_end_offset: 0,
            idle_since: Instant::now(),
            expires_at: None,
            requests_sent: 0,
        })
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// [`SendError`] if the connection ends before that; it says whether the request may have run.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<http::Response<Incoming>, SendError> {
        if self.sender.ready().await.is_err() {
            return Err(SendError::NotSent);
        }
        self.requests_sent += 1;
        let bytes_before = self.bytes_written.load(Ordering::Relaxed);
        self.body_end_offset = bytes_before + request.body().size_hint().lower();
        let sent = self.sender.try_send_request(request).await;
        sent.map_err(|mut error| {
            let nothing_written = self.bytes_written.load(Ordering::Relaxed) == bytes_before;
            let is_unsent = error.take_message().is_some()
                || nothing_written
                || is_mutated(Mutation::TreatBrokenAsUnsent);
            if is_unsent {
                SendError::NotSent
            } else {
                SendError::Broken
            }
        })
    }

    /// Its identity.
    pub fn id(&self) -> ConnectionId {
        self.id
    }

    /// Whether it has carried no request yet.
    pub fn is_new(&self) -> bool {
        self.requests_sent == 0
    }

    /// Whether another request may be sent over it.
    pub fn is_usable(&self, now: Instant) -> bool {
        !self.sender.is_closed() && self.expires_at.is_none_or(|at| now < at)
    }

    /// Whether the last request's body has been written. A replica may answer before it has read the body, and the
    /// next request would wait behind the rest.
    pub fn is_body_written(&self) -> bool {
        self.bytes_written.load(Ordering::Relaxed) >= self.body_end_offset
    }

    /// Since when no request has been in flight on it.
    pub fn idle_since(&self) -> Instant {
        self.idle_since
    }

    /// Records that its request has finished; `keep_alive` is how long it may stay idle.
    pub fn mark_idle(&mut self, now: Instant, keep_alive: Option<Duration>) {
        self.idle_since = now;
        self.expires_at = keep_alive.map(|time| now + time);
    }
}

impl Drop for ReplicaConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// A socket that counts the bytes written to it.
struct CountingSocket {
    socket: TokioIo<TcpStream>,
    bytes_written: Arc<AtomicU64>,
}

impl Read for CountingSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.socket).poll_read(context, buffer)
    }
}

impl Write for CountingSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let result = Pin::new(&mut self.socket).poll_write(context, bytes);
        if let Poll::Ready(Ok(length)) = result {
            self.bytes_written
                .fetch_add(length as u64, Ordering::Relaxed);
        }
        result
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(context)
    }
}

fn set_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    // Closing resets the connection: otherwise bytes that a network partition delays would arrive seconds later.
    socket.set_linger(Some(Duration::ZERO))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)
}
