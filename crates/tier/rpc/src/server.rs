//! Handlers of requests, and the connections that bring them.

use crate::connection::{FrameReader, QUEUE, tune, write_frames};
use crate::frame::{Frame, FrameKind, ServiceId};
use crate::rejected::RejectedRequests;
use bytes::Bytes;
use std::collections::BTreeMap;
use std::error::Error;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};

/// Connections that one process takes from others of the tier.
const CONNECTIONS: usize = 2048;
/// Requests of one connection that are handled at once; more wait in the kernel.
const AT_ONCE: usize = 1024;
/// How long to wait after a connection could not be taken, as when descriptors have run out.
const AFTER_FAILURE: Duration = Duration::from_millis(100);

/// A response, or nothing where the request was rejected.
type Handling = Pin<Box<dyn Future<Output = Option<Vec<u8>>> + Send>>;
type Handler = Arc<dyn Fn(SocketAddr, Bytes) -> Handling + Send + Sync>;

/// Handlers by service.
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

    /// Adds the handler of a service. It gets the caller's address and the request, and returns the
    /// response, which is dropped if the caller wants none.
    pub fn route<H, F>(mut self, service: ServiceId, handler: H) -> Self
    where
        H: Fn(SocketAddr, Bytes) -> F + Send + Sync + 'static,
        F: Future<Output = Vec<u8>> + Send + 'static,
    {
        let handle = move |peer, body| -> Handling {
            let handling = handler(peer, body);
            Box::pin(async move { Some(handling.await) })
        };
        self.handlers.insert(service, Arc::new(handle));
        self
    }

    /// Adds the handler of a service that may reject a request. Nothing of such a request has been taken: it
    /// is counted and logged with its sender and the reason, and the caller gets
    /// [`crate::CallError::Refused`].
    pub fn route_checked<H, F, E>(mut self, service: ServiceId, handler: H) -> Self
    where
        H: Fn(SocketAddr, Bytes) -> F + Send + Sync + 'static,
        F: Future<Output = Result<Vec<u8>, E>> + Send + 'static,
        E: Error + Send + 'static,
    {
        let rejected = self.rejected.clone();
        let handle = move |peer, body| -> Handling {
            let (handling, rejected) = (handler(peer, body), rejected.clone());
            Box::pin(async move {
                handling
                    .await
                    .inspect_err(|reason| rejected.note(service, peer, reason))
                    .ok()
            })
        };
        self.handlers.insert(service, Arc::new(handle));
        self
    }

    /// Counts of what the handlers rejected.
    pub fn rejected(&self) -> RejectedRequests {
        self.rejected.clone()
    }
}

/// Takes connections and has their requests handled, for as long as the returned future is polled.
pub async fn serve(listener: TcpListener, router: Router) {
    let places = Arc::new(Semaphore::new(CONNECTIONS));
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let Ok(place) = places.clone().try_acquire_owned() else {
                    continue;
                };
                let router = router.clone();
                tokio::spawn(async move {
                    handle_connection(stream, peer, router).await;
                    drop(place);
                });
            }
            Err(error) => {
                tracing::warn!(%error, "accept failed");
                tokio::time::sleep(AFTER_FAILURE).await;
            }
        }
    }
}

async fn handle_connection(stream: TcpStream, peer: SocketAddr, router: Router) {
    if tune(&stream).is_err() {
        return;
    }
    let (read, write) = stream.into_split();
    let (responses, queue) = mpsc::channel(QUEUE);
    let writer = tokio::spawn(write_frames(queue, write));
    let mut reader = FrameReader::new(read);
    let at_once = Arc::new(Semaphore::new(AT_ONCE));
    while let Some(frame) = reader.next().await {
        let Ok(place) = at_once.clone().acquire_owned().await else {
            break;
        };
        let responses = responses.clone();
        let handler = router.handlers.get(&frame.service).cloned();
        tokio::spawn(async move {
            if let Some(response) = handle(frame, peer, handler).await {
                let _ = responses.send(response).await;
            }
            drop(place);
        });
    }
    writer.abort();
}

async fn handle(frame: Frame, peer: SocketAddr, handler: Option<Handler>) -> Option<Frame> {
    let (service, number) = (frame.service, frame.number);
    let refusal = Frame {
        kind: FrameKind::Refusal,
        service,
        number,
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
                number,
                body: body.into(),
            })
        }
        FrameKind::OneWay => {
            handler(peer, frame.body).await;
            None
        }
        FrameKind::Response | FrameKind::Refusal => None,
    }
}
