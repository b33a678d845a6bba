//! Clients of a co-ordinator: each sends a search, waits for the answer until its timeout, and may retry. As in
//! browsers, connections are reused, with one request at a time.

use crate::recorder::Recorder;
use crate::wire::{Response, encode_request, parse_response};
use std::cell::RefCell;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use woadreach_invariants::{CoordinatorId, EventKind, ShardValue, ShardWeight};
use woadreach_runtime::{Net, Stream};

/// Seconds after a request on a reused connection in which a close by the co-ordinator may have crossed it. Such a
/// request is sent again on a new connection.
const CROSSING_TIME: f64 = 0.02;
/// Seconds for which a client reads on after its timeout, to record late answers.
const LATE_ANSWER_TIME: f64 = 0.3;
/// Maximum number of idle connections for reuse.
const MAX_IDLE_CONNECTIONS: usize = 32;
/// Least time before the deadline, in seconds, with which a retry is sent.
const MIN_ATTEMPT_TIME: f64 = 0.05;

/// A search request of a client.
#[derive(Clone, Debug)]
pub struct SearchRequest {
    /// Identifier of the search, unique to the request.
    pub search: Arc<str>,
    /// Index of the query type in the settings.
    pub query_type: usize,
    /// Path of the URL, without the leading slash: the name of the query type.
    pub path: Rc<str>,
    /// Name of the tenant.
    pub tenant: Rc<str>,
    /// Queried shards, each with its share of the total weight.
    pub parts: Arc<[(u64, f64)]>,
    /// Text that is sent with each part. Its first word is the amount of work, in seconds of one core.
    pub text: String,
    /// Seconds until the client times out.
    pub timeout: f64,
    /// Whether the client marks the request as a retry.
    pub is_retry: bool,
    /// Seconds after which the client disconnects without waiting for its timeout; `None` if it waits.
    pub disconnect_after: Option<f64>,
}

/// Outcome of an attempt for its client. `after` is the time from the start of the attempt, in seconds.
#[derive(Clone, Debug, PartialEq)]
pub enum CallOutcome {
    /// The client received an answer with results.
    Answered {
        /// Whether the answer is marked complete.
        complete: bool,
        /// Seconds from the start of the attempt.
        after: f64,
    },
    /// The search was shed (status 429 or 503).
    Shed {
        /// Seconds in the `Retry-After` header; `None` without the header.
        retry_after: Option<f64>,
        /// Seconds from the start of the attempt.
        after: f64,
    },
    /// The client received a response with an error, or an answer that cannot be parsed.
    Failed {
        /// Seconds from the start of the attempt.
        after: f64,
    },
    /// No connection could be opened, or the request could not be written.
    NotConnected,
    /// The connection closed, the response was malformed, or the client timed out.
    Unanswered,
    /// The client disconnected before its timeout, as configured.
    ClientDisconnected,
}

/// Retry policy of a client.
#[derive(Clone, Copy, Debug)]
pub struct Retry {
    /// Maximum number of retries.
    pub max_retries: usize,
    /// Delay before each retry, in seconds.
    pub delay_s: f64,
    /// Whether the client waits for the time in `Retry-After` if it is longer than `delay_s`.
    pub honors_retry_after: bool,
}

struct Connection<S> {
    stream: S,
    /// Bytes that were received and not yet parsed.
    bytes: Vec<u8>,
}

struct Inner<N: Net> {
    net: N,
    node: CoordinatorId,
    address: SocketAddr,
    recorder: Recorder,
    idle: RefCell<Vec<Connection<N::Stream>>>,
}

/// The clients of one co-ordinator.
pub struct Caller<N: Net>(Rc<Inner<N>>);

impl<N: Net> Clone for Caller<N> {
    fn clone(&self) -> Self {
        Caller(self.0.clone())
    }
}

/// What a client receives after a request.
enum Received {
    Response(Response),
    Closed,
    Malformed(String),
    TimedOut,
}

impl<N: Net> Caller<N> {
    /// Returns clients of the co-ordinator at `address`.
    pub fn new(net: &N, node: CoordinatorId, address: SocketAddr, recorder: &Recorder) -> Self {
        Caller(Rc::new(Inner {
            net: net.clone(),
            node,
            address,
            recorder: recorder.clone(),
            idle: RefCell::default(),
        }))
    }

    /// Network of the clients' machine.
    pub fn net(&self) -> &N {
        &self.0.net
    }

    /// Closes the idle connections.
    pub fn close_idle(&self) {
        self.0.idle.borrow_mut().clear();
    }

    /// Sends a search, and retries it until it is answered or `retry` or the timeout allows no further attempt.
    /// A search that is not `idempotent` is not retried after an attempt that may have run. Each retry is a new search
    /// with an identifier from `next_name`. Returns the outcome of each attempt.
    pub async fn call_with_retries(
        &self,
        mut request: SearchRequest,
        retry: Retry,
        idempotent: bool,
        mut next_name: impl FnMut() -> Arc<str>,
    ) -> Vec<CallOutcome> {
        let deadline = self.0.net.now() + request.timeout;
        let mut outcomes = Vec::new();
        loop {
            let outcome = self.call(&request, true).await;
            outcomes.push(outcome.clone());
            let pause = match outcome {
                CallOutcome::Answered { .. } | CallOutcome::ClientDisconnected => return outcomes,
                // A part of the search may have run.
                CallOutcome::Failed { .. } | CallOutcome::Unanswered if !idempotent => {
                    return outcomes;
                }
                CallOutcome::Shed {
                    retry_after: Some(advice),
                    ..
                } if retry.honors_retry_after => retry.delay_s.max(advice),
                _ => retry.delay_s,
            };
            let remaining = deadline - self.0.net.now() - pause;
            if outcomes.len() > retry.max_retries || remaining < MIN_ATTEMPT_TIME {
                return outcomes;
            }
            self.0.net.sleep(pause).await;
            request.search = next_name();
            request.timeout = remaining;
            request.is_retry = true;
        }
    }

    async fn call(&self, request: &SearchRequest, may_reuse: bool) -> CallOutcome {
        let (inner, search) = (&self.0, request.search.clone());
        let started = inner.net.now();
        let idle = if may_reuse { self.take_idle() } else { None };
        let reused = idle.is_some();
        let mut connection = match idle {
            Some(connection) => connection,
            None => match self.connect(request.timeout).await {
                Some(connection) => connection,
                None => return CallOutcome::NotConnected,
            },
        };
        let requested_at = inner.net.now();
        if !self.send(&mut connection, request, requested_at).await {
            inner
                .recorder
                .record(EventKind::ClientDisconnected { search });
            if reused {
                return Box::pin(self.call(request, false)).await;
            }
            return CallOutcome::NotConnected;
        }
        let until = match request.disconnect_after {
            Some(after) => requested_at + after.min(request.timeout),
            None => requested_at + request.timeout + LATE_ANSWER_TIME,
        };
        let received = self.receive(&mut connection, until).await;
        let crossed = reused && inner.net.now() - requested_at < CROSSING_TIME;
        match received {
            Received::Response(response) => {
                let after = inner.net.now() - started;
                let outcome = self.record_response(search, &response, after);
                let mut idle = inner.idle.borrow_mut();
                if !response.closes && idle.len() < MAX_IDLE_CONNECTIONS {
                    idle.push(connection);
                }
                outcome
            }
            Received::Closed if crossed => {
                inner
                    .recorder
                    .record(EventKind::ClientDisconnected { search });
                Box::pin(self.call(request, false)).await
            }
            failure => self.record_failure(request, failure),
        }
    }

    async fn connect(&self, timeout: f64) -> Option<Connection<N::Stream>> {
        let connect = self.0.net.connect(self.0.address);
        let connected = self.0.net.timeout(timeout, connect).await;
        let stream = connected.ok()?.ok()?;
        let bytes = Vec::new();
        Some(Connection { stream, bytes })
    }

    /// Sends the request. Returns whether it was written completely.
    async fn send(
        &self,
        connection: &mut Connection<N::Stream>,
        request: &SearchRequest,
        now: f64,
    ) -> bool {
        let bytes = encode_request(request);
        let parts = request.parts.iter();
        let parts = parts.map(|&(shard, weight)| ShardWeight { shard, weight });
        // Recorded before the write, so that it precedes all events that the request causes.
        self.0.recorder.record(EventKind::Requested {
            node: self.0.node,
            search: request.search.clone(),
            query_type: request.query_type,
            parts: parts.collect(),
            deadline: now + request.timeout,
        });
        connection.stream.write_all(&bytes).await.is_ok()
    }

    fn record_malformed_response(&self, why: String) {
        let node = self.0.node;
        self.0
            .recorder
            .record(EventKind::CoordinatorUnsound { node, why });
    }

    fn record_response(&self, search: Arc<str>, response: &Response, after: f64) -> CallOutcome {
        let recorder = &self.0.recorder;
        match response.status {
            200 => match response.rows() {
                Ok(answer) => {
                    let complete = answer.complete;
                    let rows = answer.rows.into_iter();
                    let rows = rows.map(|(shard, value)| ShardValue { shard, value });
                    recorder.record(EventKind::Answered {
                        search,
                        complete,
                        rows: rows.collect(),
                    });
                    CallOutcome::Answered { complete, after }
                }
                Err(error) => {
                    self.record_malformed_response(format!("malformed answer: {error}"));
                    recorder.record(EventKind::Failed { search });
                    CallOutcome::Failed { after }
                }
            },
            429 | 503 => {
                recorder.record(EventKind::Shed { search });
                CallOutcome::Shed {
                    retry_after: response.retry_after,
                    after,
                }
            }
            _ => {
                recorder.record(EventKind::Failed { search });
                CallOutcome::Failed { after }
            }
        }
    }

    fn record_failure(&self, request: &SearchRequest, failure: Received) -> CallOutcome {
        let (recorder, search) = (&self.0.recorder, request.search.clone());
        match failure {
            Received::Closed => {
                recorder.record(EventKind::ConnectionClosed { search });
                return CallOutcome::Unanswered;
            }
            Received::Malformed(why) => self.record_malformed_response(why),
            Received::TimedOut if request.disconnect_after.is_some() => {
                recorder.record(EventKind::ClientDisconnected { search });
                return CallOutcome::ClientDisconnected;
            }
            Received::TimedOut | Received::Response(_) => {}
        }
        recorder.record(EventKind::ClientDisconnected { search });
        CallOutcome::Unanswered
    }

    /// Removes and returns an idle connection that the co-ordinator has not closed; closes the others that it finds.
    fn take_idle(&self) -> Option<Connection<N::Stream>> {
        loop {
            let mut connection = self.0.idle.borrow_mut().pop()?;
            match connection.stream.try_read(&mut connection.bytes) {
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Some(connection),
                _ => {}
            }
        }
    }

    async fn receive(&self, connection: &mut Connection<N::Stream>, until: f64) -> Received {
        loop {
            match parse_response(&connection.bytes) {
                Ok(Some((response, consumed))) => {
                    connection.bytes.drain(..consumed);
                    return Received::Response(response);
                }
                Ok(None) => {}
                Err(error) => return Received::Malformed(error.to_string()),
            }
            let read = connection.stream.read(&mut connection.bytes);
            match self.0.net.timeout_at(until, read).await {
                Ok(Ok(1..)) => {}
                Ok(_) => return Received::Closed,
                Err(_) => return Received::TimedOut,
            }
        }
    }
}
