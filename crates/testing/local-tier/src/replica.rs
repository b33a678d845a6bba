//! Fake replica: sends heartbeats to the core and responds deterministically, so that a test can compute the
//! expected response to each request.

use crate::error::{SystemSnafu, TierError};
use crate::settings::HEARTBEAT_MS;
use axum::Router;
use axum::body::{Body, to_bytes};
use axum::extract::{Request, State};
use axum::http::{HeaderMap, StatusCode};
use axum::response::Response;
use bytes::Bytes;
use futures_util::{StreamExt, stream};
use parking_lot::Mutex;
use snafu::ResultExt;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// Maximum size of a request body that a fake replica accepts, in bytes.
const MAX_REQUEST_BYTES: usize = 16 * 1024 * 1024;
/// Time-out of one heartbeat request.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);
/// Response header that marks a request as rejected before execution.
const NOT_EXECUTED: &str = "not-executed";

/// Kind of response that a fake replica sends.
#[derive(Clone, Copy, Debug)]
pub enum ReplicaKind {
    /// Stream of server-sent events.
    Model {
        /// Number of events.
        events: usize,
        /// Pause before each event, in ms.
        pause_ms: u64,
    },
    /// The body `done`.
    Plain,
    /// Body of chunks, each of which contains the request id.
    Chunks {
        /// Number of chunks.
        chunks: usize,
        /// Pause before the response head and before each chunk, in ms.
        pause_ms: u64,
    },
}

/// Returns the complete response body of [`ReplicaKind::Chunks`] for a request.
pub fn expected_chunks(request_id: &str, chunks: usize) -> String {
    (1..=chunks)
        .map(|number| chunk(request_id, number))
        .collect()
}

fn chunk(request_id: &str, number: usize) -> String {
    format!("{request_id} {number}\n")
}

/// Listening socket of a fake replica, and the address that it announces.
pub struct ReplicaSocket {
    /// Socket on which the replica accepts connections.
    pub listener: TcpListener,
    /// Address in the replica's heartbeats: that of `listener`, or of a relay that forwards to it.
    pub announced: SocketAddr,
}

/// Request that a fake replica has executed.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// Method, path and query, for example `POST /chat/2f`.
    pub line: String,
    /// `Request-Id` header of the request.
    pub request_id: String,
    /// Request body.
    pub body: Bytes,
    /// Time of receipt.
    pub received_at: Instant,
}

/// How a fake replica tells the core that it departs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DepartureNotice {
    /// One heartbeat with the state `draining`, and no further ones.
    Draining,
    /// Deregistration without draining first.
    Deregistration,
}

/// Replica on loopback. Dropping this value stops it.
pub struct FakeReplica {
    /// Instance id of the replica.
    pub id: String,
    /// Address in the replica's heartbeats.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    serving: JoinHandle<()>,
    sending_heartbeats: JoinHandle<()>,
}

struct Shared {
    id: String,
    service: String,
    kind: ReplicaKind,
    address: SocketAddr,
    control: Vec<SocketAddr>,
    sequence: AtomicU64,
    received: Mutex<Vec<ReceivedRequest>>,
}

impl FakeReplica {
    /// Starts a replica on a free port. Each heartbeat is sent to the addresses in `control` in order, until one
    /// acknowledges it.
    pub async fn start(
        id: &str,
        service: &str,
        kind: ReplicaKind,
        control: Vec<SocketAddr>,
    ) -> Result<Self, TierError> {
        let what = || format!("replica {id}");
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .with_context(|_| SystemSnafu { what: what() })?;
        let announced = listener
            .local_addr()
            .with_context(|_| SystemSnafu { what: what() })?;
        let socket = ReplicaSocket {
            listener,
            announced,
        };
        Ok(Self::start_at(id, service, kind, control, socket))
    }

    /// Like [`Self::start`], but on a socket that the caller provides.
    pub fn start_at(
        id: &str,
        service: &str,
        kind: ReplicaKind,
        control: Vec<SocketAddr>,
        socket: ReplicaSocket,
    ) -> Self {
        let address = socket.announced;
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            service: service.to_owned(),
            kind,
            address,
            control,
            sequence: AtomicU64::new(1),
            received: Mutex::default(),
        });
        let app = Router::new()
            .fallback(handle_request)
            .with_state(shared.clone());
        let serving = tokio::spawn(async move {
            let _ = axum::serve(socket.listener, app).await;
        });
        let sending_heartbeats = tokio::spawn(send_heartbeats(shared.clone()));
        FakeReplica {
            id: id.to_owned(),
            address,
            shared,
            serving,
            sending_heartbeats,
        }
    }

    /// Stops the heartbeats and sends the notice to the core machines in turn until one acknowledges it; the replica
    /// serves on. Returns the time of the acknowledgement, or `None` after `timeout`.
    pub async fn depart(&self, notice: DepartureNotice, timeout: Duration) -> Option<Instant> {
        self.sending_heartbeats.abort();
        let client = reqwest::Client::new();
        let end = Instant::now() + timeout;
        for control in self.shared.control.iter().cycle() {
            let url = format!("http://{control}/instances/{}", self.id);
            let call = match notice {
                DepartureNotice::Draining => {
                    client.put(url).json(&self.shared.heartbeat("draining"))
                }
                DepartureNotice::Deregistration => client.delete(url),
            };
            let answer = call.timeout(HEARTBEAT_TIMEOUT).send().await;
            if answer.is_ok_and(|response| response.status().is_success()) {
                return Some(Instant::now());
            }
            if Instant::now() >= end {
                break;
            }
        }
        None
    }

    /// Sends a heartbeat of the ready replica with a sequence number from before its departure, as if it came late.
    pub async fn send_late_heartbeat(&self, control: SocketAddr) {
        let mut late = self.shared.heartbeat("ready");
        late["sequence"] = serde_json::json!(1);
        let url = format!("http://{control}/instances/{}", self.id);
        let call = reqwest::Client::new().put(url).json(&late);
        // Any answer will do: the core may be down.
        let _ = call.timeout(HEARTBEAT_TIMEOUT).send().await;
    }

    /// Requests that this replica has executed, in order of receipt.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.shared.received.lock().clone()
    }
}

impl Drop for FakeReplica {
    fn drop(&mut self) {
        self.serving.abort();
        self.sending_heartbeats.abort();
    }
}

impl Shared {
    /// Records a request that is executed now.
    fn record_request(&self, line: String, request_id: &str, body: Bytes) {
        self.received.lock().push(ReceivedRequest {
            line,
            request_id: request_id.to_owned(),
            body,
            received_at: Instant::now(),
        });
    }

    /// Next heartbeat in this state.
    fn heartbeat(&self, state: &str) -> serde_json::Value {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        serde_json::json!({
            "service": self.service, "address": self.address.to_string(), "zone": "z1", "generation": "v1",
            "capacity": 32, "state": state, "cold_remaining_ms": 0, "stage": "both",
            "models": [{"name": "m", "generation": 1, "adapters": []}], "sequence": sequence,
        })
    }
}

async fn send_heartbeats(shared: Arc<Shared>) {
    let client = reqwest::Client::new();
    let mut interval = tokio::time::interval(Duration::from_millis(HEARTBEAT_MS));
    loop {
        interval.tick().await;
        let heartbeat = shared.heartbeat("ready");
        for control in &shared.control {
            let url = format!("http://{control}/instances/{}", shared.id);
            let call = client
                .put(url)
                .json(&heartbeat)
                .timeout(HEARTBEAT_TIMEOUT)
                .send()
                .await;
            if call.is_ok_and(|response| response.status().is_success()) {
                break;
            }
        }
    }
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
}

fn not_executed(status: StatusCode) -> Response {
    let response = Response::builder().status(status).header(NOT_EXECUTED, "1");
    response.body(Body::empty()).unwrap_or_default()
}

async fn handle_request(State(shared): State<Arc<Shared>>, request: Request) -> Response {
    let (head, body) = request.into_parts();
    if head.uri.path() == "/healthz" {
        let response = Response::builder().header("instance-id", &shared.id);
        return response.body(Body::empty()).unwrap_or_default();
    }
    let expected = header(&head.headers, "expect-instance");
    if !expected.is_empty() && expected != shared.id {
        return not_executed(StatusCode::MISDIRECTED_REQUEST);
    }
    let request_id = header(&head.headers, "request-id").to_owned();
    let Ok(body) = to_bytes(body, MAX_REQUEST_BYTES).await else {
        return not_executed(StatusCode::BAD_REQUEST);
    };
    if request_id.is_empty() {
        return not_executed(StatusCode::BAD_REQUEST);
    }
    let signature = format!("{}.{request_id}", shared.id);
    let first_event = header(&head.headers, "last-event-id").parse().unwrap_or(0);
    let line = format!("{} {}", head.method, head.uri);
    shared.record_request(line, &request_id, body);
    let response = Response::builder()
        .header("request-id", &request_id)
        .header("response-signature", signature);
    let response = match shared.kind {
        ReplicaKind::Plain => response.body(Body::from("done")),
        ReplicaKind::Chunks { chunks, pause_ms } => {
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            let chunk = move |number| chunk(&request_id, number);
            response.body(paused_body(
                1..=chunks,
                Duration::from_millis(pause_ms),
                chunk,
            ))
        }
        ReplicaKind::Model { events, pause_ms } => {
            let response = response.header("content-type", "text/event-stream");
            response.body(events_body(
                first_event,
                events,
                Duration::from_millis(pause_ms),
            ))
        }
    };
    response.unwrap_or_default()
}

fn events_body(first: usize, events: usize, pause: Duration) -> Body {
    paused_body(first + 1..=events, pause, |number| {
        format!("id: {number}\ndata: word-{number}\n\n")
    })
}

/// Streams `text(number)` for each of these numbers, with a pause before each.
fn paused_body(
    numbers: RangeInclusive<usize>,
    pause: Duration,
    text: impl Fn(usize) -> String + Send + 'static,
) -> Body {
    Body::from_stream(stream::iter(numbers).then(move |number| {
        let bytes = Bytes::from(text(number));
        async move {
            tokio::time::sleep(pause).await;
            Ok::<_, Infallible>(bytes)
        }
    }))
}
