//! One attempt: a request at one replica.

use crate::mutations::{Mutation, mutated};
use crate::replica_answer::{ConnectionReuse, HeadVerdict, connection_reuse, judge, server_load};
use crate::replica_connection::{ConnectionNumber, SendFailure};
use crate::replica_pool::{PooledConnection, ReplicaPool};
use crate::request_headers::{
    EXPECT_INSTANCE, EXPECT_VERSION, LAST_EVENT_ID, PRIORITY, TIMEOUT_MS,
};
use bytes::{Bytes, BytesMut};
use http::header::{CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue};
use http::response::Parts;
use http::{Method, Request, Uri};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use parking_lot::Mutex;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};
use woadreach_scheduler::{Outcome, ServerLoad};

/// Bytes of an answer that is read whole before it is passed on.
const LONGEST_WHOLE_ANSWER: usize = 8 * 1024 * 1024;
/// How many idle connections of one replica may turn out to be closed before the attempt is given up.
const STALE_CONNECTIONS: usize = 8;

/// A client's request as it goes to replicas.
#[derive(Debug)]
pub struct OutgoingRequest {
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub target: Uri,
    /// Headers that are passed along.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// Identity of the client's try.
    pub request_id: String,
    /// Whether the answer is a stream of events.
    pub is_stream: bool,
    /// Connections that have carried it. Each carries it once, so that the id of an answer names one send.
    pub carried_by: Mutex<Vec<ConnectionNumber>>,
}

/// Where and how an attempt is sent.
#[derive(Clone, Debug)]
pub struct SendOrder {
    /// Number of the attempt.
    pub attempt: u32,
    /// Id of the replica.
    pub replica: Arc<str>,
    /// Its address.
    pub address: SocketAddr,
    /// Connections that this process may have to it.
    pub most_connections: usize,
    /// When the attempt ends at the latest.
    pub deadline: Instant,
    /// Rank at the replica.
    pub priority: Option<u8>,
    /// The last event that the client has, when the stream was begun elsewhere.
    pub resume_after: Option<u64>,
}

/// A whole answer of a replica.
#[derive(Clone, Debug)]
pub struct ReplicaAnswer {
    /// Status and headers.
    pub head: Parts,
    /// The whole body.
    pub body: Bytes,
}

/// A stream that has begun.
pub struct OpenStream {
    /// Status and headers.
    pub head: Parts,
    /// The events to come.
    pub body: Incoming,
    connection: PooledConnection,
}

/// How an attempt ended, or that its stream began.
pub enum AttemptResult {
    /// The whole answer is here, and it is the request's.
    Answered(ReplicaAnswer),
    /// The head of a stream is here.
    Streaming(Box<OpenStream>),
    /// Nothing to pass on, or a failure of the replica's own.
    Failed {
        /// What it means for the request.
        outcome: Outcome,
        /// The replica's own failure, whole.
        answer: Option<ReplicaAnswer>,
    },
}

/// An attempt's result with what the replica said of its load.
pub struct AttemptReport {
    /// Number of the attempt.
    pub attempt: u32,
    /// What came of it.
    pub result: AttemptResult,
    /// Load of the replica.
    pub load: Option<ServerLoad>,
}

impl OpenStream {
    /// Gives the connection back after the whole body has been read.
    pub fn release(self) {
        reuse(self.connection, &self.head);
    }
}

/// Sends the request to the replica and waits for its answer, or for the head of its stream.
pub async fn attempt(
    pool: Arc<ReplicaPool>,
    request: Arc<OutgoingRequest>,
    order: SendOrder,
) -> AttemptReport {
    let deadline = order.deadline;
    let number = order.attempt;
    match timeout_at(deadline, exchange(&pool, &request, &order)).await {
        Ok((result, load)) => AttemptReport {
            attempt: number,
            result,
            load,
        },
        Err(_) => AttemptReport {
            attempt: number,
            result: failed(Outcome::TimedOut),
            load: None,
        },
    }
}

fn failed(outcome: Outcome) -> AttemptResult {
    AttemptResult::Failed {
        outcome,
        answer: None,
    }
}

async fn exchange(
    pool: &Arc<ReplicaPool>,
    request: &OutgoingRequest,
    order: &SendOrder,
) -> (AttemptResult, Option<ServerLoad>) {
    for _ in 0..STALE_CONNECTIONS {
        let taken = {
            let carried = request.carried_by.lock();
            let carried: &[ConnectionNumber] = if mutated(Mutation::CarriedTwice) {
                &[]
            } else {
                &carried
            };
            pool.take(
                &order.replica,
                order.address,
                order.most_connections,
                carried,
            )
        };
        let Some(mut pooled) = taken else {
            return (failed(Outcome::NeverSent), None);
        };
        let connection = match pooled.connection().await {
            Ok(connection) => connection,
            Err(error) => {
                tracing::debug!(replica = %order.replica, %error, "no connection");
                return (failed(Outcome::Unreachable), None);
            }
        };
        let was_new = connection.is_new();
        request.carried_by.lock().push(connection.number());
        match connection.send(build(request, order)).await {
            Ok(response) => return receive(pooled, request, response).await,
            Err(SendFailure::NotSent) if was_new => return (failed(Outcome::Unreachable), None),
            Err(SendFailure::NotSent) => {}
            Err(SendFailure::Broken) => {
                return (
                    failed(Outcome::Broken {
                        sent: true,
                        events: 0,
                    }),
                    None,
                );
            }
        }
    }
    (failed(Outcome::Unreachable), None)
}

fn build(request: &OutgoingRequest, order: &SendOrder) -> Request<Full<Bytes>> {
    let mut headers = request.headers.clone();
    let set_number = |headers: &mut HeaderMap, name: HeaderName, value: u64| {
        headers.insert(name, HeaderValue::from(value));
    };
    if let Ok(id) = HeaderValue::from_str(&order.replica) {
        headers.insert(EXPECT_INSTANCE, id);
    }
    let left = order.deadline.saturating_duration_since(Instant::now());
    set_number(&mut headers, TIMEOUT_MS, (left.as_millis() as u64).max(1));
    if let Some(priority) = order.priority {
        set_number(&mut headers, PRIORITY, u64::from(priority));
    }
    if let Some(last_event) = order.resume_after {
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

async fn receive(
    pooled: PooledConnection,
    request: &OutgoingRequest,
    response: http::Response<Incoming>,
) -> (AttemptResult, Option<ServerLoad>) {
    let (head, body) = response.into_parts();
    let load = server_load(&head.headers);
    let mut verdict = judge(&head, &request.request_id);
    if verdict == HeadVerdict::NotRun(Outcome::Misdirected)
        && request.headers.contains_key(EXPECT_VERSION)
    {
        // The weights may have another version: that says nothing of who the replica is.
        verdict = HeadVerdict::NotRun(Outcome::NotExecuted { retry_after: None });
    }
    if verdict == HeadVerdict::Foreign {
        let (replica, id) = (pooled.replica(), &request.request_id);
        tracing::debug!(%replica, request = %id, status = %head.status, "an answer that is not this request's");
        return (
            failed(Outcome::Broken {
                sent: true,
                events: 0,
            }),
            None,
        );
    }
    if verdict == HeadVerdict::Success && request.is_stream {
        return (
            AttemptResult::Streaming(Box::new(OpenStream {
                head,
                body,
                connection: pooled,
            })),
            load,
        );
    }
    let Some(body) = read_whole(body).await else {
        let outcome = match verdict {
            HeadVerdict::NotRun(outcome) => outcome,
            _ => Outcome::Broken {
                sent: true,
                events: 0,
            },
        };
        return (failed(outcome), load);
    };
    reuse(pooled, &head);
    let answer = ReplicaAnswer { head, body };
    let result = match verdict {
        HeadVerdict::Success | HeadVerdict::Failure(Outcome::Answered) => {
            AttemptResult::Answered(answer)
        }
        HeadVerdict::Failure(outcome) => AttemptResult::Failed {
            outcome,
            answer: Some(answer),
        },
        HeadVerdict::NotRun(outcome) => failed(outcome),
        HeadVerdict::Foreign => failed(Outcome::Broken {
            sent: true,
            events: 0,
        }),
    };
    (result, load)
}

/// The whole body, if it comes whole and its length is told by the connection's framing.
async fn read_whole(mut body: Incoming) -> Option<Bytes> {
    if body.is_end_stream() {
        return Some(Bytes::new());
    }
    let mut first: Option<Bytes> = None;
    let mut joined = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if mutated(Mutation::CutIsWhole) && frame.is_err() {
            break;
        }
        let Ok(data) = frame.ok()?.into_data() else {
            continue;
        };
        match (&first, joined.is_empty()) {
            (None, true) => first = Some(data),
            (Some(begun), true) => {
                joined.extend_from_slice(begun);
                joined.extend_from_slice(&data);
            }
            _ => joined.extend_from_slice(&data),
        }
        if joined.len() > LONGEST_WHOLE_ANSWER {
            return None;
        }
    }
    Some(if joined.is_empty() {
        first.unwrap_or_default()
    } else {
        joined.freeze()
    })
}

fn reuse(pooled: PooledConnection, head: &Parts) {
    match connection_reuse(head) {
        ConnectionReuse::Close => drop(pooled),
        ConnectionReuse::Reuse { keep_alive } => pooled.give_back(keep_alive),
    }
}

/// How long a service's connection share is, of what one replica takes from all callers.
pub fn connection_share(max_conns: u32, edges: usize) -> usize {
    (max_conns as usize / edges.max(1)).max(2)
}

/// Time left until `deadline`, in seconds.
pub fn seconds_left(deadline: Instant) -> f64 {
    deadline
        .saturating_duration_since(Instant::now())
        .as_secs_f64()
}

/// A length of time of the decisions, in seconds, as the timers want it.
pub fn duration(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds.max(0.0)).unwrap_or(Duration::ZERO)
}
