//! Handlers of requests, and the connections that requests arrive on.

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

/// Limit on the connections that a process accepts from others of the tier; further ones are closed at once.
const MAX_CONNECTIONS: usize = 2048;
/// Limit on the requests of one connection that are handled at once; further ones wait in the kernel's
/// buffers.
const MAX_REQUESTS_IN_FLIGHT: usize = 1024;
/// Interval between a failed `accept`, as when descriptors have run out, and the next attempt.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// The response to a request; `None` if the request was rejected.
type ResponseFuture = Pin<Box<dyn Future<Output = Option<Vec<u8>>> + Send>>;
type Handler = Arc<dyn Fn(SocketAddr, Bytes) -> ResponseFuture + Send + Sync>;

/// Handlers of requests by service.
#[derive(Clone, Default)]
pub struct Router {
    handlers: BTreeMap<ServiceId, Handler>,
    rejected: RejectedRequests,
}

impl Router {
    /// A router without handlers.
    pub fn new() -> Self {
        Router::default()
    }

    /// Adds the handler of a service. It gets the sender's address and the body of the request, and returns
    /// the body of the response, which is dropped if the message was a notification.
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

    /// Adds the handler of a service that may reject a request. A handler that returns an error must not have
    /// acted on the request: the request is counted and logged with its sender and the error, and the caller
    /// gets [`crate::CallError::Refused`].
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

    /// Counts of the requests that handlers have rejected.
    pub fn rejected(&self) -> RejectedRequests {
        self.rejected.clone()
    }
}

/// Accepts connections and handles their requests. Never returns; dropping the future stops accepting.
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

/// Handles the requests of one connection until it ends.
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
        // On the single-threaded runtime tasks start in the order in which they are spawned. Senders of
        // notifications rely on this order: in chain replication, a probe that overtakes a write makes that write
        // look lost.
        tokio::spawn(async move {
            if let Some(response) = handle(frame, peer, handler).await {
                let _ = responses.send(response).await;
            }
            drop(permit);
        });
    }
    writer.abort();
}

/// Handles one frame. Returns the frame to send back, if any.
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
