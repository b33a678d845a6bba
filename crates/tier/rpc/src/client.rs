//! Calls to other processes, over one connection an address.

use crate::connection::{FrameReader, QUEUE, tune, write_frames};
use crate::error::CallError;
use crate::frame::{Frame, FrameKind, LONGEST_BODY, ServiceId};
#[cfg(feature = "mutations")]
use crate::mutations::Mutation;
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
        ClientOptions {
            connect_timeout: Duration::from_millis(500),
        }
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
    /// Number of the next call, whatever its connection: no response can fit another call.
    next_number: AtomicU64,
    #[cfg(feature = "mutations")]
    mutation: Mutex<Option<Mutation>>,
}

/// The responses that are awaited on one connection.
#[derive(Default)]
struct Awaited {
    calls: BTreeMap<u64, oneshot::Sender<Result<Bytes, CallError>>>,
    ended: bool,
}

struct Connection {
    queue: mpsc::Sender<Frame>,
    awaited: Mutex<Awaited>,
    /// Frames received so far: tells a silent connection from a slow handler.
    received: AtomicU64,
    /// It has fallen silent: later calls go over a new one.
    abandoned: AtomicBool,
    #[cfg(feature = "mutations")]
    takes_any_number: bool,
}

/// A call whose response is awaited until this is dropped, as when the caller has given up.
struct AwaitedCall<'a> {
    connection: &'a Connection,
    number: u64,
    response: oneshot::Receiver<Result<Bytes, CallError>>,
}

impl Drop for AwaitedCall<'_> {
    fn drop(&mut self) {
        self.connection.awaited.lock().calls.remove(&self.number);
    }
}

impl Client {
    /// A client without connections.
    pub fn new(options: ClientOptions) -> Self {
        let shared = Shared {
            options,
            connections: Mutex::default(),
            next_number: AtomicU64::new(1),
            #[cfg(feature = "mutations")]
            mutation: Mutex::default(),
        };
        Client {
            shared: Arc::new(shared),
        }
    }

    /// Switches a defence off.
    #[cfg(feature = "mutations")]
    pub fn mutation(&self, mutation: Mutation) {
        *self.shared.mutation.lock() = Some(mutation);
    }

    #[cfg(feature = "mutations")]
    fn has_mutation(&self, mutation: Mutation) -> bool {
        *self.shared.mutation.lock() == Some(mutation)
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
        #[cfg(feature = "mutations")]
        let again = body.clone();
        let result = self.call_once(address, service, body, timeout).await;
        #[cfg(feature = "mutations")]
        if result == Err(CallError::Broken) && self.has_mutation(Mutation::SentAgain) {
            return self.call_once(address, service, again, timeout).await;
        }
        result
    }

    async fn call_once(
        &self,
        address: SocketAddr,
        service: ServiceId,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<Bytes, CallError> {
        let deadline = Instant::now() + timeout;
        let connection = self.connection(address);
        let number = self.shared.next_number.fetch_add(1, Ordering::Relaxed);
        let received_before = connection.received.load(Ordering::Relaxed);
        let mut call = connection.expect(number)?;
        let frame = Frame {
            kind: FrameKind::Request,
            service,
            number,
            body: body.into(),
        };
        connection
            .queue
            .try_send(frame)
            .map_err(|_| CallError::Refused)?;
        match timeout_at(deadline, &mut call.response).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) => Err(CallError::Broken),
            Err(_) => {
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
            let frame = Frame {
                kind: FrameKind::OneWay,
                service,
                number: 0,
                body: body.into(),
            };
            let _ = self.connection(address).queue.try_send(frame);
        }
    }

    /// Closes the connection to an address that is not needed any more.
    pub fn close(&self, address: SocketAddr) {
        self.shared.connections.lock().remove(&address);
    }

    fn connection(&self, address: SocketAddr) -> Arc<Connection> {
        let mut connections = self.shared.connections.lock();
        if let Some(found) = connections
            .get(&address)
            .filter(|connection| connection.usable())
        {
            return found.clone();
        }
        let (queue, frames) = mpsc::channel(QUEUE);
        let connection = Arc::new(Connection {
            queue,
            awaited: Mutex::default(),
            received: AtomicU64::new(0),
            abandoned: AtomicBool::new(false),
            #[cfg(feature = "mutations")]
            takes_any_number: self.has_mutation(Mutation::AnyNumber),
        });
        connections.insert(address, connection.clone());
        tokio::spawn(run(
            address,
            self.shared.options.clone(),
            Arc::downgrade(&connection),
            frames,
        ));
        connection
    }
}

impl Connection {
    fn usable(&self) -> bool {
        !self.abandoned.load(Ordering::Relaxed)
            && !self.awaited.lock().ended
            && !self.queue.is_closed()
    }

    fn expect(&self, number: u64) -> Result<AwaitedCall<'_>, CallError> {
        let (sender, response) = oneshot::channel();
        let mut awaited = self.awaited.lock();
        if awaited.ended {
            return Err(CallError::Unreachable);
        }
        awaited.calls.insert(number, sender);
        Ok(AwaitedCall {
            connection: self,
            number,
            response,
        })
    }

    fn deliver(&self, frame: Frame) {
        self.received.fetch_add(1, Ordering::Relaxed);
        let result = match frame.kind {
            FrameKind::Response => Ok(frame.body),
            FrameKind::Refusal => Err(CallError::Refused),
            FrameKind::Request | FrameKind::OneWay => return,
        };
        let mut awaited = self.awaited.lock();
        let call = awaited.calls.remove(&frame.number);
        #[cfg(feature = "mutations")]
        let call = match call {
            None if self.takes_any_number => awaited.calls.pop_first().map(|(_, call)| call),
            of_its_number => of_its_number,
        };
        if let Some(call) = call {
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
    let connected =
        tokio::time::timeout(options.connect_timeout, TcpStream::connect(address)).await;
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
            let Some(connection) = connection.upgrade() else {
                return;
            };
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
