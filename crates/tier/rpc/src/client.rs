//! Client side of calls: one connection per address, shared by all calls to it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Weak};
use std::time::Duration;

use bytes::Bytes;
use parking_lot::Mutex;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, timeout_at};

use crate::connection::{FrameReader, QUEUE_CAPACITY, set_socket_options, write_frames};
use crate::error::CallError;
use crate::frame::{Frame, FrameKind, MAX_BODY_BYTES, ServiceId};
#[cfg(feature = "mutations")]
use crate::mutations::Mutation;

/// Parameters of a [`Client`].
#[derive(Clone, Debug)]
pub struct ClientOptions {
    /// Maximum time to establish a TCP connection. Default: 500 ms.
    pub connect_timeout: Duration,
}

impl Default for ClientOptions {
    fn default() -> Self {
        ClientOptions {
            connect_timeout: Duration::from_millis(500),
        }
    }
}

/// Sends requests and notifications to other processes. Clones share their connections.
#[derive(Clone)]
pub struct Client {
    shared: Arc<Shared>,
}

struct Shared {
    options: ClientOptions,
    connections: Mutex<BTreeMap<SocketAddr, Arc<Connection>>>,
    /// Id of the next request. Request ids are unique across all connections, so that a response can't match the
    /// call of another connection.
    next_request_id: AtomicU64,
    #[cfg(feature = "mutations")]
    mutation: Mutex<Option<Mutation>>,
}

/// A request that has not been sent yet, with its destination.
#[cfg_attr(feature = "mutations", derive(Clone))]
struct OutgoingRequest {
    address: SocketAddr,
    service: ServiceId,
    body: Bytes,
    /// Maximum time until the response is received, including the time to connect.
    timeout: Duration,
}

/// Calls of one connection whose response has not been received.
#[derive(Default)]
struct PendingCalls {
    by_request_id: BTreeMap<u64, oneshot::Sender<Result<Bytes, CallError>>>,
    /// Whether the connection has ended. Never reset to `false`; once set, `by_request_id` stays empty.
    has_ended: bool,
}

struct Connection {
    queue: mpsc::Sender<Frame>,
    pending: Mutex<PendingCalls>,
    /// Number of frames received. If it doesn't change while a call times out, the connection is presumed failed;
    /// otherwise only the handler of that call is slow.
    received: AtomicU64,
    /// Set when a call times out and no frame was received on the connection since the call started. Later calls use
    /// a new connection.
    abandoned: AtomicBool,
    #[cfg(feature = "mutations")]
    accepts_any_request_id: bool,
}

/// Registration of a call in [`PendingCalls`]. Dropping it removes the call, whether the call has finished or was
/// cancelled by its caller.
struct PendingCall<'a> {
    connection: &'a Connection,
    request_id: u64,
    response: oneshot::Receiver<Result<Bytes, CallError>>,
}

impl Drop for PendingCall<'_> {
    fn drop(&mut self) {
        let mut pending = self.connection.pending.lock();
        pending.by_request_id.remove(&self.request_id);
    }
}

impl Client {
    /// Creates a client without connections.
    pub fn new(options: ClientOptions) -> Self {
        let shared = Shared {
            options,
            connections: Mutex::default(),
            next_request_id: AtomicU64::new(1),
            #[cfg(feature = "mutations")]
            mutation: Mutex::default(),
        };
        Client {
            shared: Arc::new(shared),
        }
    }

    /// Injects a bug into this client and its clones. Replaces an earlier one. A connection that is already open is
    /// not affected by [`Mutation::AcceptsAnyRequestId`].
    #[cfg(feature = "mutations")]
    pub fn set_mutation(&self, mutation: Mutation) {
        *self.shared.mutation.lock() = Some(mutation);
    }

    #[cfg(feature = "mutations")]
    fn has_mutation(&self, mutation: Mutation) -> bool {
        *self.shared.mutation.lock() == Some(mutation)
    }

    /// Sends a request and waits up to `timeout` for its response. The request is never sent more than once, since
    /// the peer may have handled it even if the call fails.
    ///
    /// # Errors
    /// See [`CallError`].
    pub async fn call(
        &self,
        address: SocketAddr,
        service: ServiceId,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<Bytes, CallError> {
        if body.len() > MAX_BODY_BYTES {
            return Err(CallError::TooLong);
        }
        let request = OutgoingRequest {
            address,
            service,
            body: body.into(),
            timeout,
        };
        #[cfg(feature = "mutations")]
        let retry = request.clone();
        let result = self.call_once(request).await;
        #[cfg(feature = "mutations")]
        if result == Err(CallError::Broken) && self.has_mutation(Mutation::RetriesBrokenCalls) {
            return self.call_once(retry).await;
        }
        result
    }

    async fn call_once(&self, request: OutgoingRequest) -> Result<Bytes, CallError> {
        let deadline = Instant::now() + request.timeout;
        let connection = self.connection(request.address);
        let request_id = self.shared.next_request_id.fetch_add(1, Ordering::Relaxed);
        let received_before = connection.received.load(Ordering::Relaxed);
        let mut call = connection.register_call(request_id)?;
        let frame = Frame {
            kind: FrameKind::Request,
            service: request.service,
            request_id,
            body: request.body,
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

    /// Queues a notification, which has no response. The notification is dropped without an error if its body is
    /// longer than [`MAX_BODY_BYTES`], if the queue of the connection is full, or if the connection fails.
    pub fn notify(&self, address: SocketAddr, service: ServiceId, body: Vec<u8>) {
        if body.len() <= MAX_BODY_BYTES {
            let frame = Frame {
                kind: FrameKind::Notification,
                service,
                request_id: 0,
                body: body.into(),
            };
            let _ = self.connection(address).queue.try_send(frame);
        }
    }

    /// Closes the connection to an address once its pending calls have finished. Later calls open a new connection.
    pub fn close(&self, address: SocketAddr) {
        self.shared.connections.lock().remove(&address);
    }

    /// Returns the usable connection to an address, or opens a new one in the background.
    fn connection(&self, address: SocketAddr) -> Arc<Connection> {
        let mut connections = self.shared.connections.lock();
        if let Some(found) = connections
            .get(&address)
            .filter(|connection| connection.is_usable())
        {
            return found.clone();
        }
        let (queue, frames) = mpsc::channel(QUEUE_CAPACITY);
        let connection = Arc::new(Connection {
            queue,
            pending: Mutex::default(),
            received: AtomicU64::new(0),
            abandoned: AtomicBool::new(false),
            #[cfg(feature = "mutations")]
            accepts_any_request_id: self.has_mutation(Mutation::AcceptsAnyRequestId),
        });
        connections.insert(address, connection.clone());
        tokio::spawn(run_connection(
            address,
            self.shared.options.clone(),
            Arc::downgrade(&connection),
            frames,
        ));
        connection
    }
}

impl Connection {
    fn is_usable(&self) -> bool {
        !self.abandoned.load(Ordering::Relaxed)
            && !self.pending.lock().has_ended
            && !self.queue.is_closed()
    }

    fn register_call(&self, request_id: u64) -> Result<PendingCall<'_>, CallError> {
        let (sender, response) = oneshot::channel();
        let mut pending = self.pending.lock();
        if pending.has_ended {
            return Err(CallError::Unreachable);
        }
        pending.by_request_id.insert(request_id, sender);
        Ok(PendingCall {
            connection: self,
            request_id,
            response,
        })
    }

    /// Completes the call that a response or refusal belongs to. Frames of other kinds or with the request id of no
    /// pending call are only counted as received.
    fn complete_call(&self, frame: Frame) {
        self.received.fetch_add(1, Ordering::Relaxed);
        let result = match frame.kind {
            FrameKind::Response => Ok(frame.body),
            FrameKind::Refusal => Err(CallError::Refused),
            FrameKind::Request | FrameKind::Notification => return,
        };
        let mut pending = self.pending.lock();
        let call = pending.by_request_id.remove(&frame.request_id);
        #[cfg(feature = "mutations")]
        let call = match call {
            None if self.accepts_any_request_id => {
                pending.by_request_id.pop_first().map(|(_, call)| call)
            }
            matching => matching,
        };
        if let Some(call) = call {
            let _ = call.send(result);
        }
    }

    /// Marks the connection as ended and fails its pending calls with `error`.
    fn end(&self, error: CallError) {
        let calls = {
            let mut pending = self.pending.lock();
            pending.has_ended = true;
            std::mem::take(&mut pending.by_request_id)
        };
        for call in calls.into_values() {
            let _ = call.send(Err(error));
        }
    }
}

/// Connects to `address`, then sends and receives frames until the connection fails or until neither the client nor
/// a call refers to it any more.
async fn run_connection(
    address: SocketAddr,
    options: ClientOptions,
    connection: Weak<Connection>,
    frames: mpsc::Receiver<Frame>,
) {
    let connected =
        tokio::time::timeout(options.connect_timeout, TcpStream::connect(address)).await;
    let stream = match connected {
        Ok(Ok(stream)) if set_socket_options(&stream).is_ok() => stream,
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
            connection.complete_call(frame);
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
