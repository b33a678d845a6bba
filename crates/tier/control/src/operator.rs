//! HTTP API of the operator: `PUT` and `GET /config`, `POST` and `GET /retire/NODE`. A configuration change
//! starts with a request to this API and ends with its response.

use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::extract::{Path, State};
use axum::http::{HeaderMap, StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use serde_json::json;
use snafu::Snafu;
use tokio::sync::Semaphore;
use tokio::time::Instant;
use woadreach_chain::{Blob, Digest, PutConfiguration, Rejection};
use woadreach_config::{Configuration, ConfigurationError};

use crate::order::message::{Answer, Order};
use crate::order::service::{ExecutionError, ORDER_TIMEOUT, OrderService};

/// Maximum size in bytes of the body of a configuration.
pub const MAX_CONFIGURATION_BYTES: usize = 6 << 20;
/// Time limit for receiving a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of configurations that are read and validated concurrently.
const MAX_CONCURRENT_CONFIGURATIONS: usize = 10;

/// Reason why a configuration order is rejected before it is sent to the chain.
#[derive(Debug, Snafu)]
enum OrderError {
    /// The request has no valid `If-Match` header, which names the generation that the order replaces.
    #[snafu(display("the header `If-Match` is missing or is not a generation number"))]
    NoIfMatch,
    /// The body exceeds [`MAX_CONFIGURATION_BYTES`].
    #[snafu(display("the body is longer than {MAX_CONFIGURATION_BYTES} bytes"))]
    TooLong,
    /// The connection failed, or the body took longer than [`BODY_TIMEOUT`].
    #[snafu(display("the body was not completely received within {BODY_TIMEOUT:?}"))]
    Incomplete,
    /// [`MAX_CONCURRENT_CONFIGURATIONS`] are already being read.
    #[snafu(display(
        "too many configuration orders at once; the limit is {MAX_CONCURRENT_CONFIGURATIONS}"
    ))]
    TooMany,
    /// The body is not a valid configuration.
    #[snafu(display("{source}"))]
    Invalid { source: ConfigurationError },
}

/// State shared by the handlers.
struct OperatorApi {
    orders: Arc<OrderService>,
    /// Permits to read and validate a configuration, [`MAX_CONCURRENT_CONFIGURATIONS`] in total.
    configuration_permits: Semaphore,
}

/// Creates the routes of the operator's API.
pub fn router(orders: Arc<OrderService>) -> Router {
    let api = Arc::new(OperatorApi {
        orders,
        configuration_permits: Semaphore::new(MAX_CONCURRENT_CONFIGURATIONS),
    });
    Router::new()
        .route("/config", get(get_configuration).put(put_configuration))
        .route("/retire/{node}", post(post_retire).get(get_retire))
        .with_state(api)
}

async fn put_configuration(
    State(api): State<Arc<OperatorApi>>,
    headers: HeaderMap,
    body: Body,
) -> Response {
    match read_configuration(&api, &headers, body).await {
        Ok(put) => {
            let generation = put.generation;
            let answer = execute(&api, Order::PutConfiguration(put)).await;
            tracing::info!(generation, ?answer, "configuration order answered");
            respond(answer)
        }
        Err(error) => reject(&error),
    }
}

/// Reads and validates a configuration order. The chain later compares its base with the current generation.
async fn read_configuration(
    api: &OperatorApi,
    headers: &HeaderMap,
    body: Body,
) -> Result<PutConfiguration, OrderError> {
    let _permit = api
        .configuration_permits
        .try_acquire()
        .map_err(|_| OrderError::TooMany)?;
    let base = base_generation(headers).ok_or(OrderError::NoIfMatch)?;
    let body = read_body(body).await?;
    let configuration =
        Configuration::parse(&body).map_err(|source| OrderError::Invalid { source })?;
    Ok(PutConfiguration {
        base,
        generation: configuration.generation,
        digest: digest(&body),
        body: Blob(body),
    })
}

fn base_generation(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get(header::IF_MATCH)?.to_str().ok()?;
    value.trim().trim_matches('"').parse().ok()
}

async fn read_body(body: Body) -> Result<Bytes, OrderError> {
    let limited = Limited::new(body, MAX_CONFIGURATION_BYTES).collect();
    let collected = tokio::time::timeout(BODY_TIMEOUT, limited).await;
    match collected {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(OrderError::TooLong)
        }
        Ok(Err(_)) | Err(_) => Err(OrderError::Incomplete),
    }
}

fn digest(body: &[u8]) -> Digest {
    let hash = blake3::hash(body);
    let mut digest = Digest::default();
    digest.copy_from_slice(&hash.as_bytes()[..16]);
    digest
}

async fn get_configuration(State(api): State<Arc<OperatorApi>>) -> Response {
    respond(execute(&api, Order::ReadConfiguration).await)
}

async fn post_retire(State(api): State<Arc<OperatorApi>>, Path(node): Path<String>) -> Response {
    let answer = execute(&api, Order::Retire { node: node.clone() }).await;
    tracing::info!(node, ?answer, "retire order answered");
    respond(answer)
}

async fn get_retire(State(api): State<Arc<OperatorApi>>, Path(node): Path<String>) -> Response {
    respond(execute(&api, Order::RetireState { node }).await)
}

async fn execute(api: &OperatorApi, order: Order) -> Result<Answer, ExecutionError> {
    api.orders
        .execute(order, Instant::now() + ORDER_TIMEOUT)
        .await
}

fn respond(answer: Result<Answer, ExecutionError>) -> Response {
    match answer {
        Ok(Answer::Done) => json_response(StatusCode::OK, &json!({})),
        Ok(Answer::Rejected(rejection)) => respond_rejected(rejection),
        Ok(Answer::Configuration { generation, body }) => {
            let headers = [
                (header::CONTENT_TYPE, "application/json".to_owned()),
                (header::ETAG, format!("\"{generation}\"")),
            ];
            (StatusCode::OK, headers, body.0).into_response()
        }
        Ok(Answer::NoConfiguration) => {
            error_response(StatusCode::NOT_FOUND, "no configuration yet")
        }
        Ok(Answer::UnknownNode) => error_response(StatusCode::NOT_FOUND, "no such storage machine"),
        Ok(Answer::TooFewNodes) => error_response(
            StatusCode::CONFLICT,
            "too few storage machines would be left",
        ),
        Ok(Answer::RetireState { is_finished }) => {
            let state = if is_finished { "succeeded" } else { "running" };
            json_response(StatusCode::OK, &json!({ "state": state }))
        }
        Ok(Answer::Undecided(undecided)) => {
            error_response(StatusCode::SERVICE_UNAVAILABLE, &undecided.to_string())
        }
        Ok(Answer::UnreadableStorageView) => error_response(
            StatusCode::SERVICE_UNAVAILABLE,
            "the head cannot decode the stored storage view",
        ),
        Err(error) => error_response(StatusCode::SERVICE_UNAVAILABLE, &error.to_string()),
    }
}

fn respond_rejected(rejection: Rejection) -> Response {
    let status = match rejection {
        Rejection::BaseMismatch { .. } => StatusCode::PRECONDITION_FAILED,
        Rejection::StaleGeneration { .. } => StatusCode::BAD_REQUEST,
        Rejection::StorageEpochMismatch { .. } => StatusCode::SERVICE_UNAVAILABLE,
    };
    error_response(status, &rejection.to_string())
}

fn reject(error: &OrderError) -> Response {
    tracing::info!(%error, "configuration order rejected");
    let status = match error {
        OrderError::NoIfMatch | OrderError::Invalid { .. } => StatusCode::BAD_REQUEST,
        OrderError::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
        OrderError::Incomplete => StatusCode::REQUEST_TIMEOUT,
        OrderError::TooMany => StatusCode::SERVICE_UNAVAILABLE,
    };
    error_response(status, &error.to_string())
}

fn error_response(status: StatusCode, message: &str) -> Response {
    json_response(status, &json!({ "error": message }))
}

fn json_response(status: StatusCode, body: &serde_json::Value) -> Response {
    (
        status,
        [(header::CONTENT_TYPE, "application/json")],
        body.to_string(),
    )
        .into_response()
}
