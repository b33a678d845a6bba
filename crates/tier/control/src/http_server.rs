//! HTTP/1.1 server with limits on connections, on the size of request heads, and on request time.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tower::ServiceExt;

/// Maximum size in bytes of a request head and of the buffer of a connection.
const MAX_HEAD_BYTES: usize = 32 << 10;
/// Time limit for receiving a request head. It also limits the idle time of a connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(12);
/// Time limit from the receipt of a request head to the response. After it, the response has status 503.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay before the next `accept` after one has failed, for example because no descriptors are available.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Serves `router` on at most `max_connections` concurrent connections until the value of `stop` is `true` or its
/// sender is dropped. Then stops accepting connections, and waits up to `drain_timeout` for requests in flight.
pub async fn serve(
    listener: TcpListener,
    router: Router,
    max_connections: usize,
    mut stop: watch::Receiver<bool>,
    drain_timeout: Duration,
) {
    let permits = Arc::new(Semaphore::new(max_connections));
    let graceful = GracefulShutdown::new();
    loop {
        let permit = tokio::select! {
            permit = Arc::clone(&permits).acquire_owned() => permit,
            () = stopped(&mut stop) => break,
        };
        let Ok(permit) = permit else { break };
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => spawn_connection(stream, router.clone(), permit, &graceful),
                Err(error) => {
                    tracing::warn!(%error, "accept failed");
                    tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await;
                }
            },
            () = stopped(&mut stop) => break,
        }
    }
    drop(listener);
    // Connections that are still open after the time-out are closed.
    let _ = tokio::time::timeout(drain_timeout, graceful.shutdown()).await;
}

/// Waits until the value of `stop` is `true` or its sender is dropped.
async fn stopped(stop: &mut watch::Receiver<bool>) {
    // The error case is a dropped sender, which also stops the server.
    let _ = stop.wait_for(|stopped| *stopped).await;
}

fn spawn_connection(
    stream: TcpStream,
    router: Router,
    permit: OwnedSemaphorePermit,
    graceful: &GracefulShutdown,
) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "TCP_NODELAY not set");
    }
    let service = service_fn(move |request: Request<Incoming>| {
        let router = router.clone();
        async move { Ok::<_, Infallible>(respond(router, request.map(Body::new)).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let watched = graceful.watch(connection);
    tokio::spawn(async move {
        if let Err(error) = watched.await {
            tracing::debug!(%error, "connection failed");
        }
        drop(permit);
    });
}

async fn respond(router: Router, request: Request<Body>) -> axum::response::Response {
    match tokio::time::timeout(REQUEST_TIMEOUT, router.oneshot(request)).await {
        Ok(Ok(response)) => response,
        Ok(Err(never)) => match never {},
        Err(_) => {
            let mut response = axum::response::Response::new(Body::empty());
            *response.status_mut() = axum::http::StatusCode::SERVICE_UNAVAILABLE;
            response
        }
    }
}
