//! An HTTP/1.1 server that is bounded in connections, in the size of heads and in the time that they take.

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

/// Bytes of a request's head, and of the buffer of a connection.
const HEAD_BYTES: usize = 32 << 10;
/// Time for a head to arrive, which bounds idle connections too.
const HEAD_TIMEOUT: Duration = Duration::from_secs(12);
/// Longest time for a request in all.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after a connection could not be taken, as when descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves `router` until `stop` holds true; then answers what is in hand for `drain` at most.
pub async fn serve(
    listener: TcpListener,
    router: Router,
    most_connections: usize,
    mut stop: watch::Receiver<bool>,
    drain: Duration,
) {
    let places = Arc::new(Semaphore::new(most_connections));
    let graceful = GracefulShutdown::new();
    loop {
        let place = tokio::select! {
            place = Arc::clone(&places).acquire_owned() => place,
            () = stopped(&mut stop) => break,
        };
        let Ok(place) = place else { break };
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => spawn_connection(stream, router.clone(), place, &graceful),
                Err(error) => {
                    tracing::warn!(%error, "accept failed");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            },
            () = stopped(&mut stop) => break,
        }
    }
    drop(listener);
    // Connections that are still open after this time are closed.
    let _ = tokio::time::timeout(drain, graceful.shutdown()).await;
}

/// Returns once `stop` holds true or its sender has gone.
async fn stopped(stop: &mut watch::Receiver<bool>) {
    // A sender that has gone asks for the same.
    let _ = stop.wait_for(|stopped| *stopped).await;
}

fn spawn_connection(
    stream: TcpStream,
    router: Router,
    place: OwnedSemaphorePermit,
    graceful: &GracefulShutdown,
) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "no delay");
    }
    let service = service_fn(move |request: Request<Incoming>| {
        let router = router.clone();
        async move { Ok::<_, Infallible>(respond(router, request.map(Body::new)).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let watched = graceful.watch(connection);
    tokio::spawn(async move {
        if let Err(error) = watched.await {
            tracing::debug!(%error, "connection ended");
        }
        drop(place);
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
