//! HTTP API for the heartbeats of replicas: `PUT` and `DELETE /instances/{id}`. Heartbeats do not change the
//! configuration: discovery replicates them between core machines without the chain.

use std::net::SocketAddr;
use std::sync::Arc;

use axum::Router;
use axum::body::Bytes;
use axum::extract::{DefaultBodyLimit, Path, State};
use axum::http::{StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::put;
use serde::Deserialize;
use snafu::Snafu;
use woadreach_discovery::{
    AcknowledgeError, CoreDiscovery, Heartbeat, HeartbeatError, ModelRecord, ReplicaState,
};

/// Maximum size in bytes of the body of a heartbeat.
pub const MAX_HEARTBEAT_BYTES: usize = 64 * 1024;

/// Reason why the body of a heartbeat could not be parsed.
#[derive(Debug, Snafu)]
pub enum HeartbeatBodyError {
    /// The body is not JSON, or a field is missing, has the wrong type or has an unknown value.
    #[snafu(display("the heartbeat cannot be read: {source}"))]
    Unreadable {
        /// Error from the JSON parser, with the position in the body.
        source: serde_json::Error,
    },
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum WireState {
    Ready,
    Draining,
}

#[derive(Deserialize)]
struct WireModel {
    name: String,
    #[serde(default)]
    generation: u64,
    #[serde(default)]
    adapters: Vec<serde_json::Value>,
}

/// Body of `PUT /instances/{id}`.
#[derive(Deserialize)]
struct WireHeartbeat {
    service: String,
    address: SocketAddr,
    zone: String,
    generation: String,
    capacity: u32,
    state: WireState,
    cold_remaining_ms: f64,
    sequence: u64,
    #[serde(default)]
    stage: Option<String>,
    #[serde(default)]
    models: Vec<WireModel>,
}

/// Parses the body of a heartbeat.
///
/// # Errors
/// [`HeartbeatBodyError`] if a field is missing or malformed. Unknown fields are ignored.
pub fn parse_heartbeat(body: &[u8]) -> Result<Heartbeat, HeartbeatBodyError> {
    let wire: WireHeartbeat =
        serde_json::from_slice(body).map_err(|source| HeartbeatBodyError::Unreadable { source })?;
    Ok(Heartbeat {
        service: wire.service,
        address: wire.address,
        zone: wire.zone,
        software_version: wire.generation,
        capacity: wire.capacity,
        state: match wire.state {
            WireState::Ready => ReplicaState::Ready,
            WireState::Draining => ReplicaState::Draining,
        },
        cold_remaining_ms: wire.cold_remaining_ms.max(0.0) as u64,
        stage: wire.stage,
        models: wire.models.into_iter().map(model_record).collect(),
        sequence: wire.sequence,
    })
}

fn model_record(wire: WireModel) -> ModelRecord {
    let adapters = wire.adapters.into_iter().map(|adapter| match adapter {
        serde_json::Value::String(name) => name,
        other => other.to_string(),
    });
    ModelRecord {
        name: wire.name,
        generation: wire.generation,
        adapters: adapters.collect(),
    }
}

/// Creates the routes for the heartbeats of replicas.
pub fn router(discovery: Arc<CoreDiscovery>) -> Router {
    Router::new()
        .route("/instances/{id}", put(put_instance).delete(delete_instance))
        .layer(DefaultBodyLimit::max(MAX_HEARTBEAT_BYTES))
        .with_state(discovery)
}

async fn put_instance(
    State(discovery): State<Arc<CoreDiscovery>>,
    Path(id): Path<String>,
    body: Bytes,
) -> Response {
    match parse_heartbeat(&body) {
        Ok(heartbeat) => respond(discovery.heartbeat(&id, heartbeat).await),
        Err(error) => {
            discovery.count_undecodable_heartbeat();
            reject(StatusCode::BAD_REQUEST, "unreadable", &error.to_string())
        }
    }
}

async fn delete_instance(
    State(discovery): State<Arc<CoreDiscovery>>,
    Path(id): Path<String>,
) -> Response {
    respond(discovery.deregister(&id).await)
}

fn respond(result: Result<(), AcknowledgeError>) -> Response {
    let Err(error) = result else {
        return (
            StatusCode::OK,
            [(header::CONTENT_TYPE, "application/json")],
            "{}",
        )
            .into_response();
    };
    let (status, name) = match &error {
        AcknowledgeError::OutOfQuorum => (StatusCode::SERVICE_UNAVAILABLE, "out_of_quorum"),
        AcknowledgeError::Rejected { source } => match source {
            HeartbeatError::InvalidId { .. } => (StatusCode::BAD_REQUEST, "invalid_id"),
            HeartbeatError::InvalidField { .. } => (StatusCode::BAD_REQUEST, "invalid_field"),
            HeartbeatError::Stale { .. } => (StatusCode::CONFLICT, "stale_sequence"),
            HeartbeatError::Departed { .. } => (StatusCode::GONE, "departed"),
        },
    };
    reject(status, name, &error.to_string())
}

fn reject(status: StatusCode, name: &'static str, message: &str) -> Response {
    if status == StatusCode::SERVICE_UNAVAILABLE {
        // Debug level, because every heartbeat is rejected while this machine is out of quorum. The member driver
        // logs the change of quorum once.
        tracing::debug!(error = name, "heartbeat received but not acknowledged");
    } else {
        tracing::info!(%status, error = name, message, "heartbeat rejected");
    }
    let body = serde_json::json!({ "error": name, "message": message }).to_string();
    (status, [(header::CONTENT_TYPE, "application/json")], body).into_response()
}
