//! Reading and writing of frames on one TCP connection.

use crate::frame::Frame;
use bytes::BytesMut;
use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;

/// Frames that may wait to be written on one connection.
pub(crate) const QUEUE: usize = 1024;
/// Bytes that are gathered into one write.
const WRITE_AT_ONCE: usize = 256 * 1024;
/// A buffer that has grown beyond this for one long frame is given back.
const KEPT_BUFFER: usize = 64 * 1024;
/// What was sent has to be acknowledged by the other machine within this time, or the connection ends.
const UNACKNOWLEDGED: Duration = Duration::from_millis(1500);
/// An idle connection is probed after this time, so that a machine that has gone is noticed.
const PROBE_AFTER: Duration = Duration::from_secs(5);

/// Sets what every connection of the tier needs: no delay, and an end when the other machine has gone.
pub(crate) fn tune(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(Duration::from_secs(1));
    socket.set_tcp_keepalive(&probes)
}

/// Writes what comes through the queue until it is closed or the connection breaks.
pub(crate) async fn write_frames(mut queue: mpsc::Receiver<Frame>, mut stream: OwnedWriteHalf) {
    let mut buffer = BytesMut::new();
    while let Some(frame) = queue.recv().await {
        frame.encode(&mut buffer);
        while buffer.len() < WRITE_AT_ONCE {
            let Ok(next) = queue.try_recv() else { break };
            next.encode(&mut buffer);
        }
        if stream.write_all(&buffer).await.is_err() {
            return;
        }
        buffer.clear();
        if buffer.capacity() > KEPT_BUFFER {
            buffer = BytesMut::new();
        }
    }
}

/// Reads frames off a connection.
pub(crate) struct FrameReader {
    stream: OwnedReadHalf,
    buffer: BytesMut,
}

impl FrameReader {
    pub fn new(stream: OwnedReadHalf) -> Self {
        FrameReader {
            stream,
            buffer: BytesMut::new(),
        }
    }

    /// The next frame, or nothing when the connection has ended or carries something else.
    pub async fn next(&mut self) -> Option<Frame> {
        loop {
            match Frame::decode(&mut self.buffer) {
                Ok(Some(frame)) => return Some(frame),
                Ok(None) => {}
                Err(error) => {
                    tracing::warn!(%error, peer = ?self.stream.peer_addr().ok(), "connection closed");
                    return None;
                }
            }
            if self.buffer.is_empty() && self.buffer.capacity() > KEPT_BUFFER {
                self.buffer = BytesMut::new();
            }
            if self.stream.read_buf(&mut self.buffer).await.ok()? == 0 {
                return None;
            }
        }
    }
}
