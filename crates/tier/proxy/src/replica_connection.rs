//! One connection to a replica.

use crate::deadline::within;
use crate::mutations::{Mutation, mutated};
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

/// How long a connection may take to come up; a machine that is gone says nothing.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Sent bytes that stay unacknowledged for so long end the connection.
const USER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Silence after which the peer's machine is probed, and the pause between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
const PROBES: u32 = 2;
/// Bytes of an answer's head and of one read, at most.
const READ_BUFFER: usize = 32 * 1024;

/// Why no connection came up.
#[derive(Debug, Snafu)]
pub enum ConnectError {
    /// The replica's machine did not answer in time.
    #[snafu(display("no connection to {address} in time"))]
    TimedOut {
        /// Of the replica.
        address: SocketAddr,
    },
    /// The connection was refused or reset, or its options could not be set.
    #[snafu(display("no connection to {address}"))]
    Refused {
        /// Of the replica.
        address: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// No HTTP connection could be begun on it.
    #[snafu(display("no HTTP connection to {address}"))]
    Handshake {
        /// Of the replica.
        address: SocketAddr,
        /// What went wrong.
        source: hyper::Error,
    },
}

/// What became of a request that was given to a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendFailure {
    /// No byte of it left.
    NotSent,
    /// It may have left, and no answer came.
    Broken,
}

/// Number of a connection; never used twice in a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionNumber(u64);

impl ConnectionNumber {
    fn next() -> Self {
        static OPENED: AtomicU64 = AtomicU64::new(0);
        ConnectionNumber(OPENED.fetch_add(1, Ordering::Relaxed))
    }
}

/// A connection that serves one request at a time. It is reset when it is dropped, which stops the replica's
/// work and takes back what the network still holds of the request.
pub struct ReplicaConnection {
    number: ConnectionNumber,
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    written: Arc<AtomicU64>,
    /// What `written` must have come to for the last request's body to have left.
    body_written: u64,
    idle_since: Instant,
    expires: Option<Instant>,
    requests: u64,
}

impl ReplicaConnection {
    /// Connects.
    pub async fn open(address: SocketAddr) -> Result<Self, ConnectError> {
        let connected = within(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = connected
            .ok_or(ConnectError::TimedOut { address })?
            .context(RefusedSnafu { address })?;
        set_options(&stream).context(RefusedSnafu { address })?;
        let written = Arc::new(AtomicU64::new(0));
        let socket = CountingSocket {
            socket: TokioIo::new(stream),
            written: written.clone(),
        };
        let handshake = Builder::new()
            .max_buf_size(READ_BUFFER)
            .writev(false)
            .handshake(socket);
        let (sender, connection) = handshake.await.context(HandshakeSnafu { address })?;
        let driver = tokio::spawn(async move {
            if let Err(error) = connection.await {
                tracing::trace!(%address, %error, "connection to a replica ended");
            }
        });
        let driver = driver.abort_handle();
        Ok(ReplicaConnection {
            number: ConnectionNumber::next(),
            sender,
            driver,
            written,
            body_written: 0,
            idle_since: Instant::now(),
            expires: None,
            requests: 0,
        })
    }

    /// Sends a request and waits for the head of its answer.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<http::Response<Incoming>, SendFailure> {
        if self.sender.ready().await.is_err() {
            return Err(SendFailure::NotSent);
        }
        self.requests += 1;
        let written_before = self.written.load(Ordering::Relaxed);
        self.body_written = written_before + request.body().size_hint().lower();
        let sent = self.sender.try_send_request(request).await;
        sent.map_err(|mut error| {
            let nothing_left = self.written.load(Ordering::Relaxed) == written_before;
            match error.take_message().is_some()
                || nothing_left
                || mutated(Mutation::BrokenIsUnsent)
            {
                true => SendFailure::NotSent,
                false => SendFailure::Broken,
            }
        })
    }

    /// Its number.
    pub fn number(&self) -> ConnectionNumber {
        self.number
    }

    /// Whether it has carried no request yet.
    pub fn is_new(&self) -> bool {
        self.requests == 0
    }

    /// Whether another request may be given to it.
    pub fn is_usable(&self, now: Instant) -> bool {
        !self.sender.is_closed() && self.expires.is_none_or(|expires| now < expires)
    }

    /// Whether the last request's body has left. A replica may answer before it has read it: the next request
    /// would wait behind the rest.
    pub fn has_written_body(&self) -> bool {
        self.written.load(Ordering::Relaxed) >= self.body_written
    }

    /// Since when no request has been on it.
    pub fn idle_since(&self) -> Instant {
        self.idle_since
    }

    /// Notes that its request has ended well; `keep_alive` is how long the replica keeps an idle connection.
    pub fn set_idle(&mut self, now: Instant, keep_alive: Option<Duration>) {
        self.idle_since = now;
        self.expires = keep_alive.map(|time| now + time);
    }
}

impl Drop for ReplicaConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// A socket that counts the bytes written to it: a request of which none was written has not run.
struct CountingSocket {
    socket: TokioIo<TcpStream>,
    written: Arc<AtomicU64>,
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
            self.written.fetch_add(length as u64, Ordering::Relaxed);
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
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    // A connection that is given up is reset: bytes that a cut holds up would else come through seconds
    // later.
    socket.set_linger(Some(Duration::ZERO))?;
    let keepalive = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&keepalive)
}
