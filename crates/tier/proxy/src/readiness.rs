//! `GET /readyz`, which the platform calls.

use crate::lifecycle::Phase;
use crate::proxy::Proxy;
use axum::Router;
use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::get;
use std::sync::Arc;

/// The routes of the readiness address.
pub fn router(proxy: Arc<Proxy>) -> Router {
    Router::new().route("/readyz", get(ready)).with_state(proxy)
}

/// 200 while new connections are wanted, otherwise 503.
async fn ready(State(proxy): State<Arc<Proxy>>) -> StatusCode {
    if proxy.is_ready() && proxy.lifecycle.phase() == Phase::Serving {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}
