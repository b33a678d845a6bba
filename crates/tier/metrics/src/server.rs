//! Serves a process's page at `/metrics`.

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

/// The content type of the page.
pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Makes the page of the moment.
pub type PageSource = Arc<dyn Fn() -> Page + Send + Sync>;

/// Why a process has no metrics page.
#[derive(Debug, Snafu)]
pub enum MetricsError {
    /// The address can't be listened on.
    #[snafu(display("cannot serve metrics on {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The operating system's failure.
        source: std::io::Error,
    },
}

/// Listens for readers of the page.
///
/// # Errors
/// [`MetricsError::Listen`] if the address is taken or isn't this machine's.
pub async fn bind(address: SocketAddr) -> Result<TcpListener, MetricsError> {
    TcpListener::bind(address)
        .await
        .context(ListenSnafu { address })
}

/// Serves the page at `address` in a task of its own. Without an address, or if it can't be listened on, the process
/// runs without the page; the latter is logged.
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

/// The page at `/metrics`.
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
