//! Calls to other processes, over one connection an address.

use crate::connection::{FrameReader, QUEUE, tune, write_frames};
use crate::error::CallError;
use crate::frame::{Frame, FrameKind, LONGEST_BODY, ServiceId};
use bytes::Bytes;
use parking_lot::Mutex;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, timeout_at};

/// How a client connects.
#[derive(Clone, Debug)]
pub struct ClientOptions {
    /// The longest time for a connection to come up.
    pub connect_timeout: Duration,
}

impl Default for ClientOptions {
    fn default() -> Self {
        ClientOptions { connect_timeout: Duration::from_millis(500) }
    }
}

/// Calls other processes. Clones share their connections.
#[derive(Clone)]
pub struct Client {
    shared: Arc<Shared>,
}

struct Shared {
    options: ClientOptions,
    connections: Mutex<BTreeMap<SocketAddr, Arc<Connection>>>,
}

/// The responses that are awaited on one connection.
#[derive(Default)]
struct Awaited {
    calls: BTreeMap<u64, oneshot::Sender<Result<Bytes, CallError>>>,
    ended: bool,
}

struct Connection {
    queue: mpsc::Sender<Frame>,
    next_number: AtomicU64,
    awaited: Mutex<Awaited>,
    /// Frames received so far: tells a silent connection from a slow handler.
    received: AtomicU64,
    /// It has fallen silent: later calls go over a new one.
    abandoned: AtomicBool,
}

impl Client {
    /// A client without connections.
    pub fn new(options: ClientOptions) -> Self {
        Client { shared: Arc::new(Shared { options, connections: Mutex::default() }) }
    }

    /// Sends a request and waits for its response. It is sent once at most.
    pub async fn call(
        &self,
        address: SocketAddr,
        service: ServiceId,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<Bytes, CallError> {
        if body.len() > LONGEST_BODY {
            return Err(CallError::TooLong);
        }
        let deadline = Instant::now() + timeout;
        let connection = self.connection(address);
        let number = connection.next_number.fetch_add(1, Ordering::Relaxed);
        let received_before = connection.received.load(Ordering::Relaxed);
        let response = connection.expect(number)?;
        let frame = Frame { kind: FrameKind::Request, service, number, body: body.into() };
        if connection.queue.try_send(frame).is_err() {
            connection.forget(number);
            return Err(CallError::Refused);
        }
        match timeout_at(deadline, response).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) => Err(CallError::Broken),
            Err(_) => {
                connection.forget(number);
                if connection.received.load(Ordering::Relaxed) == received_before {
                    connection.abandoned.store(true, Ordering::Relaxed);
                }
                Err(CallError::TimedOut)
            }
        }
    }

    /// Sends a message that has no response, if there is room for it; nothing tells whether it came.
    pub fn send(&self, address: SocketAddr, service: ServiceId, body: Vec<u8>) {
        if body.len() <= LONGEST_BODY {
            let frame = Frame { kind: FrameKind::OneWay, service, number: 0, body: body.into() };
            let _ = self.connection(address).queue.try_send(frame);
        }
    }

    /// Closes the connection to an address that is not needed any more.
    pub fn close(&self, address: SocketAddr) {
        self.shared.connections.lock().remove(&address);
    }

    fn connection(&self, address: SocketAddr) -> Arc<Connection> {
        let mut connections = self.shared.connections.lock();
        if let Some(found) = connections.get(&address).filter(|connection| connection.usable()) {
            return found.clone();
        }
        let (queue, frames) = mpsc::channel(QUEUE);
        let connection = Arc::new(Connection {
            queue,
            next_number: AtomicU64::new(1),
            awaited: Mutex::default(),
            received: AtomicU64::new(0),
            abandoned: AtomicBool::new(false),
        });
        connections.insert(address, connection.clone());
        tokio::spawn(run(address, self.shared.options.clone(), Arc::downgrade(&connection), frames));
        connection
    }
}

impl Connection {
    fn usable(&self) -> bool {
        !self.abandoned.load(Ordering::Relaxed) && !self.awaited.lock().ended && !self.queue.is_closed()
    }

    fn expect(&self, number: u64) -> Result<oneshot::Receiver<Result<Bytes, CallError>>, CallError> {
        let (sender, receiver) = oneshot::channel();
        let mut awaited = self.awaited.lock();
        if awaited.ended {
            return Err(CallError::Unreachable);
        }
        awaited.calls.insert(number, sender);
        Ok(receiver)
    }

    fn forget(&self, number: u64) {
        self.awaited.lock().calls.remove(&number);
    }

    fn deliver(&self, frame: Frame) {
        self.received.fetch_add(1, Ordering::Relaxed);
        let result = match frame.kind {
            FrameKind::Response => Ok(frame.body),
            FrameKind::Refusal => Err(CallError::Refused),
            FrameKind::Request | FrameKind::OneWay => return,
        };
        if let Some(call) = self.awaited.lock().calls.remove(&frame.number) {
            let _ = call.send(result);
        }
    }

    fn end(&self, error: CallError) {
        let calls = {
            let mut awaited = self.awaited.lock();
            awaited.ended = true;
            std::mem::take(&mut awaited.calls)
        };
        for call in calls.into_values() {
            let _ = call.send(Err(error));
        }
    }
}

/// Connects and carries frames until the connection ends or nobody holds it any more.
async fn run(
    address: SocketAddr,
    options: ClientOptions,
    connection: std::sync::Weak<Connection>,
    frames: mpsc::Receiver<Frame>,
) {
    let connected = tokio::time::timeout(options.connect_timeout, TcpStream::connect(address)).await;
    let stream = match connected {
        Ok(Ok(stream)) if tune(&stream).is_ok() => stream,
        _ => {
            if let Some(connection) = connection.upgrade() {
                connection.end(CallError::Unreachable);
            }
            return;
        }
    };
    let (read, write) = stream.into_split();
    let mut reader = FrameReader::new(read);
    let receive = async {
        while let Some(frame) = reader.next().await {
            let Some(connection) = connection.upgrade() else { return };
            connection.deliver(frame);
        }
    };
    tokio::select! {
        () = receive => {}
        () = write_frames(frames, write) => {}
    }
    if let Some(connection) = connection.upgrade() {
        connection.end(CallError::Broken);
    }
}
