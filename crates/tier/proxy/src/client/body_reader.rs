//! Reads a request's body into memory, within the limits of one body and of the process.

use crate::client::rejection::Rejection;
use crate::proxy::Proxy;
use bytes::{Bytes, BytesMut};
use http_body::{Body, Frame};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::sync::atomic::Ordering;
use std::time::Duration;
use woadreach_config::ClientLimits;

/// Bytes of one body, counted against the process's limit until this is dropped.
struct BodyBudget<'a> {
    proxy: &'a Proxy,
    bytes: usize,
}

impl BodyBudget<'_> {
    fn reserve(&mut self, bytes: usize) -> Result<(), Rejection> {
        self.bytes += bytes;
        let total = self
            .proxy
            .buffered_body_bytes
            .fetch_add(bytes, Ordering::Relaxed)
            + bytes;
        if total > self.proxy.max_buffered_body_bytes {
            Err(Rejection::NotReady)
        } else {
            Ok(())
        }
    }
}

impl Drop for BodyBudget<'_> {
    fn drop(&mut self) {
        self.proxy
            .buffered_body_bytes
            .fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Reads a body to its end. A body of a single chunk is not copied.
///
/// # Errors
///
/// [`Rejection::BodyTooLong`] and [`Rejection::NotReady`] for the limits of one body and of all,
/// [`Rejection::BodyTimeout`] if no chunk arrives within `header_timeout`, [`Rejection::Body`] if the framing is
/// broken.
pub async fn read_body(
    proxy: &Proxy,
    mut body: Incoming,
    limits: &ClientLimits,
) -> Result<Bytes, Rejection> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    if body.size_hint().lower() > limits.max_body_bytes as u64 {
        return Err(Rejection::BodyTooLong);
    }
    let mut budget = BodyBudget { proxy, bytes: 0 };
    let mut joined = BytesMut::new();
    let mut first: Option<Bytes> = None;
    while let Some(frame) = next_frame(&mut body, limits.header_timeout).await? {
        let Ok(data) = frame.into_data() else {
            continue;
        };
        budget.reserve(data.len())?;
        if budget.bytes > limits.max_body_bytes {
            return Err(Rejection::BodyTooLong);
        }
        if first.is_none() && joined.is_empty() {
            first = Some(data);
            continue;
        }
        if let Some(first) = first.take() {
            joined.extend_from_slice(&first);
        }
        joined.extend_from_slice(&data);
    }
    Ok(first.unwrap_or_else(|| joined.freeze()))
}

async fn next_frame(
    body: &mut Incoming,
    stall_timeout: Duration,
) -> Result<Option<Frame<Bytes>>, Rejection> {
    match tokio::time::timeout(stall_timeout, body.frame()).await {
        Err(_) => Err(Rejection::BodyTimeout),
        Ok(None) => Ok(None),
        Ok(Some(Ok(frame))) => Ok(Some(frame)),
        Ok(Some(Err(_))) => Err(Rejection::Body),
    }
}
