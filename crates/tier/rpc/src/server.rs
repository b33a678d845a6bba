//! Server side of calls: accepts connections and dispatches their requests to handlers.

use std::collections::BTreeMap;
use std::error::Error;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};

use crate::connection::{FrameReader, QUEUE_CAPACITY, set_socket_options, write_frames};
use crate::frame::{Frame, FrameKind, ServiceId};
use crate::rejected::RejectedRequests;

/// Maximum number of open connections of a listener. Further connections are closed as soon as they are accepted.
const MAX_CONNECTIONS: usize = 2048;
/// Maximum number of requests of one connection that are handled concurrently. While it is reached, the connection is
/// not read, and further requests remain in the kernel's receive buffer.
const MAX_REQUESTS_IN_FLIGHT: usize = 1024;
/// Delay after a failed `accept` before the next one, for example when no file descriptors are available.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Body of the response, or `None` if the handler rejected the request.
type ResponseFuture = Pin<Box<dyn Future<Output = Option<Vec<u8>>> + Send>>;
type Handler = Arc<dyn Fn(SocketAddr, Bytes) -> ResponseFuture + Send + Sync>;

/// Maps each service to the handler of its requests.
#[derive(Clone, Default)]
pub struct Router {
    handlers: BTreeMap<ServiceId, Handler>,
    rejected: RejectedRequests,
}

impl Router {
    /// Creates a router without handlers. Requests are refused until handlers are added.
    pub fn new() -> Self {
        Router::default()
    }

    /// Sets the handler of a service. The handler is called with the address of the sender and the body of the
    /// request. It returns the body of the response, which is discarded if the message is a notification.
    pub fn route<H, F>(mut self, service: ServiceId, handler: H) -> Self
    where
        H: Fn(SocketAddr, Bytes) -> F + Send + Sync + 'static,
        F: Future<Output = Vec<u8>> + Send + 'static,
    {
        let handle = move |peer, body| -> ResponseFuture {
            let response = handler(peer, body);
            Box::pin(async move { Some(response.await) })
        };
        self.handlers.insert(service, Arc::new(handle));
        self
    }

    /// Sets the handler of a service that may reject a request by returning an error. The handler must not have
    /// acted on a request that it rejects, because the caller receives [`crate::CallError::Refused`]. Rejected
    /// requests are counted; see [`RejectedRequests`] for how they are logged.
    pub fn route_checked<H, F, E>(mut self, service: ServiceId, handler: H) -> Self
    where
        H: Fn(SocketAddr, Bytes) -> F + Send + Sync + 'static,
        F: Future<Output = Result<Vec<u8>, E>> + Send + 'static,
        E: Error + Send + 'static,
    {
        let rejected = self.rejected.clone();
        let handle = move |peer, body| -> ResponseFuture {
            let (response, rejected) = (handler(peer, body), rejected.clone());
            Box::pin(async move {
                response
                    .await
                    .inspect_err(|reason| rejected.record(service, peer, reason))
                    .ok()
            })
        };
        self.handlers.insert(service, Arc::new(handle));
        self
    }

    /// Returns the counts of requests that handlers have rejected. They stay up to date while the router is served.
    pub fn rejected(&self) -> RejectedRequests {
        self.rejected.clone()
    }
}

/// Accepts connections and handles their requests. Never returns. Dropping the future stops accepting connections;
/// open ones are still served.
pub async fn serve(listener: TcpListener, router: Router) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let Ok(permit) = permits.clone().try_acquire_owned() else {
                    continue;
                };
                let router = router.clone();
                tokio::spawn(async move {
                    handle_connection(stream, peer, router).await;
                    drop(permit);
                });
            }
            Err(error) => {
                tracing::warn!(%error, "accept failed");
                tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await;
            }
        }
    }
}

/// Handles the requests of one connection until the connection ends. Responses that are not sent by then are dropped.
async fn handle_connection(stream: TcpStream, peer: SocketAddr, router: Router) {
    if set_socket_options(&stream).is_err() {
        return;
    }
    let (read, write) = stream.into_split();
    let (responses, queue) = mpsc::channel(QUEUE_CAPACITY);
    let writer = tokio::spawn(write_frames(queue, write));
    let mut reader = FrameReader::new(read);
    let permits = Arc::new(Semaphore::new(MAX_REQUESTS_IN_FLIGHT));
    while let Some(frame) = reader.next().await {
        let Ok(permit) = permits.clone().acquire_owned().await else {
            break;
        };
        let responses = responses.clone();
        let handler = router.handlers.get(&frame.service).cloned();
        // On the single-threaded runtime, tasks start in the order in which they are spawned. Senders of
        // notifications rely on this order. In chain replication, for example, a write appears to be missing if a
        // probe that was sent after it is handled first.
        tokio::spawn(async move {
            if let Some(response) = handle(frame, peer, handler).await {
                let _ = responses.send(response).await;
            }
            drop(permit);
        });
    }
    writer.abort();
}

/// Handles one frame. Returns the response or refusal to send, or `None` if the frame is not a request.
async fn handle(frame: Frame, peer: SocketAddr, handler: Option<Handler>) -> Option<Frame> {
    let (service, request_id) = (frame.service, frame.request_id);
    let refusal = Frame {
        kind: FrameKind::Refusal,
        service,
        request_id,
        body: Bytes::new(),
    };
    let Some(handler) = handler else {
        return (frame.kind == FrameKind::Request).then_some(refusal);
    };
    match frame.kind {
        FrameKind::Request => {
            let Some(body) = handler(peer, frame.body).await else {
                return Some(refusal);
            };
            Some(Frame {
                kind: FrameKind::Response,
                service,
                request_id,
                body: body.into(),
            })
        }
        FrameKind::Notification => {
            handler(peer, frame.body).await;
            None
        }
        FrameKind::Response | FrameKind::Refusal => None,
    }
}
