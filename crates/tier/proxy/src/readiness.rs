//! `GET /readyz`, the platform's readiness check.

use crate::lifecycle::Phase;
use crate::proxy::Proxy;
use axum::Router;
use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::get;
use std::sync::Arc;

/// Routes of the readiness address.
pub fn router(proxy: Arc<Proxy>) -> Router {
    Router::new().route("/readyz", get(ready)).with_state(proxy)
}

/// 200 while the process is ready and serving, otherwise 503.
async fn ready(State(proxy): State<Arc<Proxy>>) -> StatusCode {
    if proxy.is_ready() && proxy.lifecycle.phase() == Phase::Serving {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}
