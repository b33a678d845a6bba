//! Reads and writes frames on one TCP connection, and sets its socket options.

use std::io;
use std::time::Duration;

use bytes::BytesMut;
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;

use crate::frame::Frame;

/// Maximum number of frames queued for writing on one connection.
pub(crate) const QUEUE_CAPACITY: usize = 1024;
/// Size in bytes of a write buffer from which no further queued frame is added to the same write.
const MAX_WRITE_BYTES: usize = 256 * 1024;
/// Capacity in bytes above which an empty buffer is freed, so that one long frame doesn't occupy memory for the rest
/// of the connection's lifetime.
const MAX_IDLE_BUFFER_BYTES: usize = 64 * 1024;
/// Time without acknowledgement of sent data after which the kernel closes the connection (`TCP_USER_TIMEOUT`,
/// RFC 5482).
const USER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Idle time after which keep-alive probes are sent, to detect a failed peer.
const KEEPALIVE_IDLE_TIME: Duration = Duration::from_secs(5);
/// Interval between keep-alive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Sets the options that every connection between processes of the tier uses: `TCP_NODELAY`, and time-outs and
/// keep-alive probes to detect a failed peer.
pub(crate) fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE_TIME)
        .with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)
}

/// Writes queued frames, several per write if possible, until the queue is closed and empty or the connection fails.
pub(crate) async fn write_frames(mut queue: mpsc::Receiver<Frame>, mut stream: OwnedWriteHalf) {
    let mut buffer = BytesMut::new();
    while let Some(frame) = queue.recv().await {
        frame.encode(&mut buffer);
        while buffer.len() < MAX_WRITE_BYTES {
            let Ok(next) = queue.try_recv() else { break };
            next.encode(&mut buffer);
        }
        if stream.write_all(&buffer).await.is_err() {
            return;
        }
        buffer.clear();
        if buffer.capacity() > MAX_IDLE_BUFFER_BYTES {
            buffer = BytesMut::new();
        }
    }
}

/// Reads frames from a connection.
pub(crate) struct FrameReader {
    stream: OwnedReadHalf,
    buffer: BytesMut,
}

impl FrameReader {
    pub(crate) fn new(stream: OwnedReadHalf) -> Self {
        FrameReader {
            stream,
            buffer: BytesMut::new(),
        }
    }

    /// Reads the next frame. Returns `None` when the connection has ended, or when the received bytes are not a valid
    /// frame; the latter is logged.
    pub(crate) async fn next(&mut self) -> Option<Frame> {
        loop {
            match Frame::decode(&mut self.buffer) {
                Ok(Some(frame)) => return Some(frame),
                Ok(None) => {}
                Err(error) => {
                    tracing::warn!(%error, peer = ?self.stream.peer_addr().ok(), "connection closed");
                    return None;
                }
            }
            if self.buffer.is_empty() && self.buffer.capacity() > MAX_IDLE_BUFFER_BYTES {
                self.buffer = BytesMut::new();
            }
            if self.stream.read_buf(&mut self.buffer).await.ok()? == 0 {
                return None;
            }
        }
    }
}
