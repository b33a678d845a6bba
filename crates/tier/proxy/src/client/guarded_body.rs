//! Counts a request as in flight from its head to the last byte of its response.

use crate::client::connection::ConnectionMonitor;
use crate::client::response_body::{BodyTruncated, ResponseBody};
use crate::proxy::Proxy;
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

/// Counts a request as in flight, for its connection and for the process, until it is dropped.
pub struct RequestGuard {
    proxy: Arc<Proxy>,
    monitor: Arc<ConnectionMonitor>,
}

impl RequestGuard {
    /// Starts to count a request of this connection.
    pub fn new(proxy: Arc<Proxy>, monitor: Arc<ConnectionMonitor>) -> Self {
        monitor.request_started();
        proxy.lifecycle.request_started();
        RequestGuard { proxy, monitor }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.monitor.request_finished();
        self.proxy.lifecycle.request_finished();
    }
}

/// A response's body that counts its request as in flight until hyper has taken all of it or dropped it.
pub struct GuardedBody {
    body: ResponseBody,
    _guard: RequestGuard,
}

impl GuardedBody {
    /// Ties the guard's end to that of the body.
    pub fn new(body: ResponseBody, guard: RequestGuard) -> Self {
        GuardedBody {
            body,
            _guard: guard,
        }
    }
}

impl Body for GuardedBody {
    type Data = Bytes;
    type Error = BodyTruncated;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyTruncated>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
