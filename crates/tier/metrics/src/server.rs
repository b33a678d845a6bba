//! HTTP server for the metrics page of a process.

use std::future::IntoFuture;
use std::net::SocketAddr;
use std::sync::Arc;

use axum::Router;
use axum::extract::State;
use axum::http::{StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use snafu::{ResultExt, Snafu};
use tokio::net::TcpListener;

use crate::page::Page;

/// Content type of the page: OpenMetrics 1.0.0 text.
pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Builds the page from current values. Called once per request for the page.
pub type PageSource = Arc<dyn Fn() -> Page + Send + Sync>;

/// Reason why the metrics page can't be served.
#[derive(Debug, Snafu)]
pub enum MetricsError {
    /// Binding a listener to the address failed.
    #[snafu(display("cannot serve metrics on {address}: {source}"))]
    Listen {
        /// Address to listen on.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
}

/// Binds the listener on which the page is to be served.
///
/// # Errors
/// [`MetricsError::Listen`] if the address can't be bound, for example because it is in use or is not an address of
/// this machine.
pub async fn bind(address: SocketAddr) -> Result<TcpListener, MetricsError> {
    TcpListener::bind(address)
        .await
        .context(ListenSnafu { address })
}

/// Serves the page at `address` in a background task. If `address` is `None`, no page is served. If binding the
/// address fails, the error is logged as a warning and the process runs without the page.
pub async fn bind_and_serve(address: Option<SocketAddr>, source: PageSource) {
    let Some(address) = address else {
        return;
    };
    match bind(address).await {
        Ok(listener) => {
            tokio::spawn(axum::serve(listener, router(source)).into_future());
        }
        Err(error) => tracing::warn!(%error, "metrics not served"),
    }
}

/// Returns a router that serves the page at `/metrics`.
pub fn router(source: PageSource) -> Router {
    Router::new()
        .route("/metrics", get(respond))
        .with_state(source)
}

async fn respond(State(source): State<PageSource>) -> Response {
    match source().render() {
        Ok(text) => ([(header::CONTENT_TYPE, CONTENT_TYPE)], text).into_response(),
        Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()).into_response(),
    }
}
