//! The task of one connection to a replica, from its first packet to its end.
//!
//! It writes what the pool has put into the connection's [`WriteQueue`], and reports to the core, in this
//! order: `Connected` at most once, an `AnswerReceived` for each answer, and `Closed` exactly once. Reading,
//! writing and the wait for the pool to close the connection run side by side; the first that ends, ends the
//! connection. The task never decides what an answer or an end means for an attempt: that is `attempts`.

use super::write_queue::{Closing, QueuedMessage, WriteQueue};
use crate::events::{ConnectionEvent, ConnectionId, Event, Events};
use crate::frame::{self, Frame};
use crate::sockets::Permit;
use snafu::{ResultExt, Snafu};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tracing::debug;
use woadreach_runtime::{Net, Read, Stream, Write};

/// Capacity for an ordinary answer, in bytes; what a longer one took is given back.
const READ_CAPACITY: usize = 2048;
/// Seconds after which a connection that was not writable counts as having kept its attempts waiting.
const MAX_WRITE_DELAY: f64 = 0.001;

/// Why a connection ended.
#[derive(Debug, Snafu)]
pub(super) enum ConnectionError {
    #[snafu(display("closed by the replica"))]
    ClosedByReplica,
    #[snafu(display("a frame without its end"))]
    IncompleteFrame,
    #[snafu(display("{source}"))]
    InvalidFrame { source: frame::ParseError },
    /// The replica says that it closes the connection, and why.
    #[snafu(display("refused: {reason}"))]
    Refused { reason: String },
    /// The pool had it closed before all that waited was written.
    #[snafu(display("what waited was not written"))]
    NotWritten,
    #[snafu(display("{source}"))]
    Io { source: io::Error },
}

/// What a connection's task needs to know.
pub(super) struct ConnectionTask<N: Net> {
    pub(super) net: N,
    pub(super) id: ConnectionId,
    pub(super) address: SocketAddr,
    /// Most seconds that the connection may take to be established, or a message on it to be transmitted.
    pub(super) timeout_s: f64,
    pub(super) queue: Rc<WriteQueue>,
    pub(super) events: Events,
    /// Given back once the socket is closed.
    pub(super) permit: Permit,
}

impl<N: Net> ConnectionTask<N> {
    /// Connects, reads and writes until the connection ends. Sends `Closed` exactly once, after the socket is
    /// closed and its permit given back.
    pub(super) async fn run(self) {
        let (id, address) = (self.id.0, self.address);
        match self
            .net
            .timeout(self.timeout_s, self.net.connect(address))
            .await
        {
            Ok(Ok(stream)) => self.serve(stream).await,
            Ok(Err(error)) => debug!(connection = id, %address, %error, "connection failed"),
            Err(_) => debug!(connection = id, %address, "connection timed out"),
        }
        drop(self.permit);
        // The core's queue is gone only at the end of the process.
        let _ = self
            .events
            .send(Event::Connection(self.id, ConnectionEvent::Closed));
    }

    async fn serve(&self, mut stream: N::Stream) {
        let _ = self
            .events
            .send(Event::Connection(self.id, ConnectionEvent::Connected));
        let (reader, writer) = stream.split();
        let ended = tokio::select! {
            biased;
            ended = read(&self.net, self.id, reader, self.timeout_s, &self.events) => ended,
            // Before the writing: a frame that is cut off must not get its last byte now.
            ended = wait_until_closed(&self.net, &self.queue, self.timeout_s) => ended,
            ended = write(&self.net, writer, &self.queue) => ended,
        };
        if let Err(reason) = ended {
            debug!(connection = self.id.0, address = %self.address, %reason, "connection closed");
        }
        if self.queue.closing() == Closing::Reset {
            stream.reset_on_drop();
        }
    }
}

/// Waits until the connection is to end, and then for as long as what waits on it may take to be written.
///
/// A machine that reads nothing would otherwise keep the connection's descriptor for good. The messages to a
/// slow machine that are lost by this only cancel attempts that were given up.
async fn wait_until_closed(
    net: &impl Net,
    queue: &WriteQueue,
    timeout_s: f64,
) -> Result<(), ConnectionError> {
    queue.close_requested().await;
    if queue.closing() < Closing::Abort {
        net.sleep(timeout_s).await;
    }
    NotWrittenSnafu.fail()
}

/// Reads frames and sends their answers to the core, until the connection ends.
///
/// A frame that has begun must be complete within `timeout_s` seconds; a sound replica writes a frame at one
/// time. If one states too great a length, the connection would otherwise stay open, and every later attempt
/// on it wait in vain.
pub(super) async fn read(
    net: &impl Net,
    id: ConnectionId,
    mut reader: impl Read,
    timeout_s: f64,
    events: &Events,
) -> Result<(), ConnectionError> {
    let mut bytes = Vec::with_capacity(READ_CAPACITY);
    let mut deadline = net.now();
    loop {
        let begins = bytes.is_empty();
        let read = if begins {
            reader.read(&mut bytes).await
        } else {
            net.timeout_at(deadline, reader.read(&mut bytes))
                .await
                .map_err(|_| ConnectionError::IncompleteFrame)?
        };
        if read.context(IoSnafu)? == 0 {
            return ClosedByReplicaSnafu.fail();
        }
        // An answer counts from when the kernel had it, so that sound replicas do not look slow after a moment
        // in which this process stood still.
        let received_at = net.now() - reader.receive_delay();
        let taken = take_frames(&bytes, id, received_at, events)?;
        bytes.drain(..taken);
        if begins || taken > 0 {
            deadline = net.now() + timeout_s;
            bytes.shrink_to(READ_CAPACITY);
        }
    }
}

/// Sends the answers of all complete frames to the core. Returns how many bytes these frames take.
fn take_frames(
    bytes: &[u8],
    connection: ConnectionId,
    received_at: f64,
    events: &Events,
) -> Result<usize, ConnectionError> {
    let mut offset = 0;
    while let Some((frame, length)) = frame::read(&bytes[offset..]).context(InvalidFrameSnafu)? {
        offset += length;
        match frame {
            Frame::Answer {
                id,
                status,
                score,
                value,
            } => {
                let event = ConnectionEvent::AnswerReceived {
                    wire_id: id.into(),
                    status,
                    score,
                    value: value.into(),
                    at: received_at,
                };
                let _ = events.send(Event::Connection(connection, event));
            }
            Frame::ProbeAnswer => {}
            Frame::Refused(reason) => {
                let reason = String::from_utf8_lossy(reason);
                return RefusedSnafu { reason }.fail();
            }
        }
    }
    Ok(offset)
}

/// Writes what waits in the queue, until that is written and the connection is to end.
async fn write(
    net: &impl Net,
    mut writer: impl Write,
    queue: &WriteQueue,
) -> Result<(), ConnectionError> {
    let mut is_first = true;
    loop {
        if queue.is_empty() {
            if queue.closing() > Closing::Open {
                return Ok(());
            }
            queue.changed().await;
            continue;
        }
        // A message is taken only once it can begin to leave: until then a drain may take it back.
        let waiting_since = net.now();
        writer.writable().await.context(IoSnafu)?;
        // While an attempt waited for its connection, its client may have disconnected, or its replica been
        // drained, and this process not have read it yet. So all sockets are polled first, then the core,
        // which takes the attempt back. This takes some microseconds.
        let has_waited = net.now() > waiting_since + MAX_WRITE_DELAY;
        if std::mem::take(&mut is_first) || has_waited {
            net.yield_now().await;
            net.yield_now().await;
        }
        let Some(message) = queue.pop() else {
            continue;
        };
        let bytes = match message {
            QueuedMessage::Cancel(wire_id) => {
                let mut bytes = Vec::new();
                frame::cancel(&mut bytes, &wire_id);
                bytes
            }
            QueuedMessage::Call(attempts) => match queue.begin_call(attempts, net.now()) {
                Some(bytes) => bytes,
                None => continue,
            },
        };
        writer.write_all(&bytes).await.context(IoSnafu)?;
        let unsent = writer.unsent() > 0;
        queue.written(net.now(), unsent);
    }
}
