//! Frames on one TCP connection: socket options, reading and writing.

use std::io;
use std::time::Duration;

use bytes::BytesMut;
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;

use crate::frame::Frame;

/// Limit on the frames that wait to be written on one connection.
pub(crate) const QUEUE_CAPACITY: usize = 1024;
/// Bytes from which a write takes no further frame.
const MAX_WRITE_BYTES: usize = 256 * 1024;
/// Capacity in bytes from which an empty buffer is freed, so that one long frame doesn't cost memory for
/// good.
const MAX_IDLE_BUFFER_BYTES: usize = 64 * 1024;
/// Time within which the peer's kernel must acknowledge sent data (RFC 5482); after it the connection is
/// closed.
const USER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Idle time after which keep-alive probes are sent, to detect a peer that has failed.
const KEEPALIVE_IDLE_TIME: Duration = Duration::from_secs(5);
/// Interval between keep-alive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Sets the socket options of every connection of the tier: no delay, and detection of a failed peer.
pub(crate) fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE_TIME)
        .with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)
}

/// Writes the frames of the queue until it is closed or the connection fails.
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

    /// The next frame; `None` when the connection has ended, or has sent bytes that are not a frame, which is
    /// logged.
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
