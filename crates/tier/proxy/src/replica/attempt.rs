//! One attempt: sends a request to one replica and classifies what comes back.
//!
//! An attempt stands below the scheduler's decisions: it never sends again what may have run, and reports an
//! [`Outcome`] instead. Only a request of which no byte was written goes to another connection here.

use crate::client::headers::{EXPECT_INSTANCE, EXPECT_VERSION, LAST_EVENT_ID, TIMEOUT_MS};
use crate::mutations::{Mutation, is_mutated};
use crate::replica::connection::{ConnectionId, SendError};
use crate::replica::pool::{PooledConnection, ReplicaEndpoint, ReplicaPool};
use crate::replica::response_head::{
    ConnectionReuse, ResponseClass, classify_response, connection_reuse, server_load,
};
use bytes::{Bytes, BytesMut};
use http::header::{CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue};
use http::response::Parts;
use http::{Method, Request, Response, Uri};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use parking_lot::Mutex;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};
use woadreach_scheduler::{Outcome, ServerLoad};

/// Largest response, in bytes, that is buffered before it is forwarded. Streams are not buffered.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 8 * 1024 * 1024;
/// Pooled connections of one replica that may turn out to be closed before the attempt fails.
const MAX_STALE_CONNECTIONS: usize = 8;
/// The request was sent, and no event of a response arrived.
const BROKEN: Outcome = Outcome::Broken {
    sent: true,
    events: 0,
};

/// A client's request as it goes to replicas.
#[derive(Debug)]
pub struct OutgoingRequest {
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub target: Uri,
    /// Its end-to-end headers.
    pub headers: HeaderMap,
    /// Its complete body.
    pub body: Bytes,
    /// The client's `Request-Id`.
    pub request_id: String,
    /// Whether the response is a stream of events.
    pub is_stream: bool,
    /// Connections that it was sent over. Each carries it at most once, so that the id in a response names
    /// exactly one send.
    pub used_connections: Mutex<Vec<ConnectionId>>,
}

/// Where and how an attempt is sent.
#[derive(Clone, Debug)]
pub struct AttemptParams {
    /// Number of the attempt within its request.
    pub attempt: u32,
    /// The replica.
    pub endpoint: ReplicaEndpoint,
    /// Connections that this process may have to the replica.
    pub max_connections: usize,
    /// When the attempt times out.
    pub deadline: Instant,
    /// Id of the last event that the client has, if another replica began the stream.
    pub resume_after: Option<u64>,
}

/// A complete response of a replica.
#[derive(Clone, Debug)]
pub struct ReplicaResponse {
    /// Status and headers.
    pub head: Parts,
    /// The complete body.
    pub body: Bytes,
}

/// A stream whose head has arrived.
pub struct OpenStream {
    /// Status and headers.
    pub head: Parts,
    /// The events to come.
    pub body: Incoming,
    /// Resets the connection when it is dropped, and with it the replica's work.
    connection: PooledConnection,
}

/// How an attempt ended, or that its stream started.
pub enum AttemptResult {
    /// A complete response to this request.
    Answered(ReplicaResponse),
    /// The head of a stream.
    Streaming(Box<OpenStream>),
    /// No response that could be forwarded as the request's answer.
    Failed {
        /// The outcome that is reported to the scheduler.
        outcome: Outcome,
        /// The replica's own error response, if it is complete.
        response: Option<ReplicaResponse>,
    },
}

/// Result of an attempt, with the load that the replica reported.
pub struct AttemptReport {
    /// Number of the attempt within its request.
    pub attempt: u32,
    /// How it ended.
    pub result: AttemptResult,
    /// Load of the replica, if the head of a response to this request had one.
    pub load: Option<ServerLoad>,
}

/// What one exchange with a replica has come to.
struct Exchange {
    result: AttemptResult,
    load: Option<ServerLoad>,
}

impl Exchange {
    /// An exchange without the head of a response to this request.
    fn without_response(outcome: Outcome) -> Self {
        Exchange {
            result: failed(outcome),
            load: None,
        }
    }
}

impl OpenStream {
    /// Returns the connection to the pool after the complete body has been read.
    pub fn release(self) {
        release_connection(self.connection, &self.head);
    }
}

/// Sends the request to the replica and waits for its response, or for the head of its stream.
pub async fn attempt(
    pool: Arc<ReplicaPool>,
    request: Arc<OutgoingRequest>,
    params: AttemptParams,
) -> AttemptReport {
    let exchanged = timeout_at(params.deadline, exchange(&pool, &request, &params)).await;
    let Exchange { result, load } =
        exchanged.unwrap_or_else(|_| Exchange::without_response(Outcome::TimedOut));
    AttemptReport {
        attempt: params.attempt,
        result,
        load,
    }
}

fn failed(outcome: Outcome) -> AttemptResult {
    AttemptResult::Failed {
        outcome,
        response: None,
    }
}

/// Sends the request, over another connection as long as the last one had been closed before a byte was written.
async fn exchange(
    pool: &Arc<ReplicaPool>,
    request: &OutgoingRequest,
    params: &AttemptParams,
) -> Exchange {
    for _ in 0..MAX_STALE_CONNECTIONS {
        let Some(mut pooled) = check_out(pool, request, params) else {
            return Exchange::without_response(Outcome::NeverSent);
        };
        let connection = match pooled.connection().await {
            Ok(connection) => connection,
            Err(error) => {
                tracing::debug!(replica = %params.endpoint.replica, %error, "replica connection failed");
                return Exchange::without_response(Outcome::Unreachable);
            }
        };
        let was_new = connection.is_new();
        request.used_connections.lock().push(connection.id());
        match connection.send(build_request(request, params)).await {
            Ok(response) => return receive(pooled, request, response).await,
            Err(SendError::NotSent) if was_new => {
                return Exchange::without_response(Outcome::Unreachable);
            }
            Err(SendError::NotSent) => {}
            Err(SendError::Broken) => return Exchange::without_response(BROKEN),
        }
    }
    Exchange::without_response(Outcome::Unreachable)
}

fn check_out(
    pool: &Arc<ReplicaPool>,
    request: &OutgoingRequest,
    params: &AttemptParams,
) -> Option<PooledConnection> {
    let used_connections = request.used_connections.lock();
    let excluded: &[ConnectionId] = if is_mutated(Mutation::ReuseConnectionForResend) {
        &[]
    } else {
        &used_connections
    };
    pool.check_out(&params.endpoint, params.max_connections, excluded)
}

fn build_request(request: &OutgoingRequest, params: &AttemptParams) -> Request<Full<Bytes>> {
    let mut headers = request.headers.clone();
    let set_number = |headers: &mut HeaderMap, name: HeaderName, value: u64| {
        headers.insert(name, HeaderValue::from(value));
    };
    if let Ok(id) = HeaderValue::from_str(&params.endpoint.replica) {
        headers.insert(EXPECT_INSTANCE, id);
    }
    let remaining = params.deadline.saturating_duration_since(Instant::now());
    set_number(
        &mut headers,
        TIMEOUT_MS,
        (remaining.as_millis() as u64).max(1),
    );
    if let Some(last_event) = params.resume_after {
        set_number(&mut headers, LAST_EVENT_ID, last_event);
    }
    if !request.body.is_empty() || request.method == Method::POST || request.method == Method::PUT {
        set_number(&mut headers, CONTENT_LENGTH, request.body.len() as u64);
    }
    let mut outgoing = Request::new(Full::new(request.body.clone()));
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = request.target.clone();
    *outgoing.headers_mut() = headers;
    outgoing
}

/// Classifies the head of a response, and reads its body unless it is a stream.
async fn receive(
    pooled: PooledConnection,
    request: &OutgoingRequest,
    response: Response<Incoming>,
) -> Exchange {
    let (head, body) = response.into_parts();
    let load = server_load(&head.headers);
    let class = classify(&head, request);
    if class == ResponseClass::Mismatched {
        let (replica, id) = (pooled.replica(), &request.request_id);
        tracing::debug!(%replica, request = %id, status = %head.status, "response mismatched");
        return Exchange::without_response(BROKEN);
    }
    if class == ResponseClass::Success && request.is_stream {
        let stream = OpenStream {
            head,
            body,
            connection: pooled,
        };
        let result = AttemptResult::Streaming(Box::new(stream));
        return Exchange { result, load };
    }
    let Some(body) = read_to_end(body).await else {
        let outcome = match class {
            ResponseClass::NotExecuted(outcome) => outcome,
            _ => BROKEN,
        };
        let result = failed(outcome);
        return Exchange { result, load };
    };
    release_connection(pooled, &head);
    let response = ReplicaResponse { head, body };
    let result = match class {
        ResponseClass::Success | ResponseClass::OtherStatus => AttemptResult::Answered(response),
        ResponseClass::ReplicaError => AttemptResult::Failed {
            outcome: Outcome::ReplicaError,
            response: Some(response),
        },
        ResponseClass::NotExecuted(outcome) => failed(outcome),
        ResponseClass::Mismatched => failed(BROKEN),
    };
    Exchange { result, load }
}

/// Classifies the head of a response to the request.
fn classify(head: &Parts, request: &OutgoingRequest) -> ResponseClass {
    let class = classify_response(head, &request.request_id);
    if class == ResponseClass::NotExecuted(Outcome::Misdirected)
        && request.headers.contains_key(EXPECT_VERSION)
    {
        // The weights may have another version, which is no evidence that the address has another replica.
        return ResponseClass::NotExecuted(Outcome::NotExecuted { retry_after: None });
    }
    class
}

/// Reads a body to the end that its framing gives; `None` if it is truncated or too long.
async fn read_to_end(mut body: Incoming) -> Option<Bytes> {
    if body.is_end_stream() {
        return Some(Bytes::new());
    }
    let mut first: Option<Bytes> = None;
    let mut joined = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if is_mutated(Mutation::AcceptTruncatedBody) && frame.is_err() {
            break;
        }
        let Ok(data) = frame.ok()?.into_data() else {
            continue;
        };
        match (&first, joined.is_empty()) {
            (None, true) => first = Some(data),
            (Some(first), true) => {
                joined.extend_from_slice(first);
                joined.extend_from_slice(&data);
            }
            _ => joined.extend_from_slice(&data),
        }
        if joined.len() > MAX_BUFFERED_RESPONSE_BYTES {
            return None;
        }
    }
    Some(if joined.is_empty() {
        first.unwrap_or_default()
    } else {
        joined.freeze()
    })
}

fn release_connection(pooled: PooledConnection, head: &Parts) {
    match connection_reuse(head) {
        ConnectionReuse::Close => drop(pooled),
        ConnectionReuse::Reuse { keep_alive } => pooled.return_to_pool(keep_alive),
    }
}

/// Converts the scheduler's seconds; zero for a number that no `Duration` can have.
pub fn duration_from_seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds.max(0.0)).unwrap_or(Duration::ZERO)
}
