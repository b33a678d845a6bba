//! From a request's head to its task: reading the body, finding the route, checking the headers.

use crate::answer_body::{AnswerBody, CutShort};
use crate::client_connection::ConnectionTrack;
use crate::client_request::{ClientRequest, give_up_at};
use crate::counters::Counters;
use crate::lifecycle::Phase;
use crate::own_answer::{closing, plain, refusal};
use crate::proxy::Proxy;
use crate::request_headers::{HeaderError, REQUEST_ID, RequestFacts};
use crate::request_task::RequestTask;
use bytes::{Bytes, BytesMut};
use http::header::{HOST, HeaderValue, TRANSFER_ENCODING};
use http::request::Parts;
use http::uri::PathAndQuery;
use http::{Method, Request, Response, StatusCode, Uri, Version};
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use snafu::Snafu;
use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout_at};
use woadreach_config::{ClientLimits, RouteType};

/// Advice to a client when nothing can be served yet, in seconds.
const RETRY_SOON: f64 = 0.25;

/// Why a request is answered here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum Rejection {
    /// 400.
    #[snafu(display("{source}"))]
    Header {
        /// What is wrong with which header.
        source: HeaderError,
    },
    /// 400.
    #[snafu(display("the request's target is no path"))]
    Target,
    /// 400.
    #[snafu(display("the request's body is malformed"))]
    Body,
    /// 404.
    #[snafu(display("no route leads there"))]
    NoRoute,
    /// 408.
    #[snafu(display("the request's body stopped"))]
    SlowBody,
    /// 413.
    #[snafu(display("the request's body is too long"))]
    LongBody,
    /// 505.
    #[snafu(display("a stream needs HTTP/1.1: before it, a body that is cut short looks whole"))]
    OldVersion,
    /// 503.
    #[snafu(display("not run; come back later"))]
    NotReady,
}

impl Rejection {
    fn status(self) -> StatusCode {
        match self {
            Rejection::Header { .. } | Rejection::Target | Rejection::Body => {
                StatusCode::BAD_REQUEST
            }
            Rejection::NoRoute => StatusCode::NOT_FOUND,
            Rejection::SlowBody => StatusCode::REQUEST_TIMEOUT,
            Rejection::LongBody => StatusCode::PAYLOAD_TOO_LARGE,
            Rejection::OldVersion => StatusCode::HTTP_VERSION_NOT_SUPPORTED,
            Rejection::NotReady => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Whether the rest of the connection cannot be read any more.
    fn ends_connection(self) -> bool {
        matches!(
            self,
            Rejection::Body | Rejection::SlowBody | Rejection::LongBody | Rejection::Target
        )
    }

    fn answer(self) -> Response<AnswerBody> {
        let answer = match self {
            Rejection::NotReady => refusal(RETRY_SOON),
            other => plain(other.status(), other),
        };
        if self.ends_connection() {
            closing(answer)
        } else {
            answer
        }
    }
}

/// Serves one request of a client's connection.
pub async fn serve_request(
    proxy: Arc<Proxy>,
    track: Arc<ConnectionTrack>,
    request: Request<Incoming>,
) -> Result<Response<GuardedBody>, Infallible> {
    let guard = RequestGuard::new(proxy.clone(), track);
    let (head, body) = request.into_parts();
    // A chunked request may also have carried a length, which hyper drops: what follows it cannot be trusted.
    let must_close = head.headers.contains_key(TRANSFER_ENCODING);
    let request_id = head.headers.get(REQUEST_ID).cloned();
    let mut response = match read_request(&proxy, head, body).await {
        Ok(client) => answer_of_task(&proxy, client, request_id).await,
        Err(rejection) => {
            let unrouted = rejection == Rejection::NoRoute;
            let counters = &proxy.counters;
            Counters::add(if unrouted {
                &counters.unrouted
            } else {
                &counters.rejected
            });
            with_request_id(rejection.answer(), request_id)
        }
    };
    if must_close || proxy.lifecycle.phase() > Phase::Serving {
        response = closing(response);
    }
    Ok(response.map(|body| GuardedBody {
        body,
        _guard: guard,
    }))
}

async fn answer_of_task(
    proxy: &Arc<Proxy>,
    client: ClientRequest,
    request_id: Option<HeaderValue>,
) -> Response<AnswerBody> {
    let (sender, receiver) = oneshot::channel();
    tokio::spawn(RequestTask::new(proxy.clone(), client, sender).run());
    match receiver.await {
        Ok(response) => with_request_id(response, request_id),
        Err(_) => closing(plain(StatusCode::BAD_GATEWAY, "no answer")),
    }
}

fn with_request_id(
    mut response: Response<AnswerBody>,
    request_id: Option<HeaderValue>,
) -> Response<AnswerBody> {
    if let Some(id) = request_id {
        response.headers_mut().entry(REQUEST_ID).or_insert(id);
    }
    response
}

async fn read_request(
    proxy: &Proxy,
    head: Parts,
    body: Incoming,
) -> Result<ClientRequest, Rejection> {
    let arrived = Instant::now();
    let knowledge = proxy.knowledge();
    if knowledge.configuration.is_none() {
        return Err(Rejection::NotReady);
    }
    let target = path_and_query(&head)?;
    let host = host(&head)?;
    // What a process that has just started knows may be old: a route that is not there may have been added.
    let no_route = if knowledge.warmed {
        Rejection::NoRoute
    } else {
        Rejection::NotReady
    };
    let route = knowledge
        .routes
        .find(&host, target.path())
        .ok_or(no_route)?
        .clone();
    if route.route_type == RouteType::Streaming && head.version < Version::HTTP_11 {
        return Err(Rejection::OldVersion);
    }
    let mut facts =
        RequestFacts::read(&head.headers).map_err(|source| Rejection::Header { source })?;
    proxy
        .counters
        .unread_hints
        .fetch_add(facts.unread_hints, Ordering::Relaxed);
    if route.kept && facts.program.is_none() {
        facts.program = Some(
            facts
                .session
                .clone()
                .unwrap_or_else(|| facts.request_id.clone()),
        );
    }
    let give_up = give_up_at(arrived, facts.timeout, route.timeout);
    if !proxy.lifecycle.takes_request(give_up) {
        return Err(Rejection::NotReady);
    }
    let body = timeout_at(give_up, read_body(proxy, body, &knowledge.limits())).await;
    let body = body.unwrap_or(Err(Rejection::SlowBody))?;
    Ok(ClientRequest {
        give_up,
        stride: knowledge.stride(&route),
        facts,
        route,
        method: head.method,
        target: Uri::from(target),
        headers: head.headers,
        body,
        arrived,
    })
}

fn path_and_query(head: &Parts) -> Result<PathAndQuery, Rejection> {
    let target = head.uri.path_and_query().ok_or(Rejection::Target)?;
    let proper = head.method != Method::CONNECT && target.path().starts_with('/');
    if proper {
        Ok(target.clone())
    } else {
        Err(Rejection::Target)
    }
}

fn host(head: &Parts) -> Result<String, Rejection> {
    let missing = Rejection::Header {
        source: HeaderError::Missing { name: "Host" },
    };
    let malformed = Rejection::Header {
        source: HeaderError::Malformed {
            name: "Host",
            expected: "one host",
        },
    };
    let mut values = head.headers.get_all(HOST).iter();
    let value = values.next();
    if values.next().is_some() {
        return Err(malformed);
    }
    match (head.uri.authority(), value) {
        (Some(authority), _) => Ok(authority.as_str().to_owned()),
        (None, Some(value)) => value.to_str().map(str::to_owned).map_err(|_| malformed),
        (None, None) => Err(missing),
    }
}

/// Room for a body's bytes, given back when it is dropped.
struct BodyRoom<'a> {
    proxy: &'a Proxy,
    bytes: usize,
}

impl BodyRoom<'_> {
    fn grow(&mut self, bytes: usize) -> Result<(), Rejection> {
        self.bytes += bytes;
        let all = self.proxy.body_bytes.fetch_add(bytes, Ordering::Relaxed) + bytes;
        if all > self.proxy.most_body_bytes {
            Err(Rejection::NotReady)
        } else {
            Ok(())
        }
    }
}

impl Drop for BodyRoom<'_> {
    fn drop(&mut self) {
        self.proxy
            .body_bytes
            .fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

async fn read_body(
    proxy: &Proxy,
    mut body: Incoming,
    limits: &ClientLimits,
) -> Result<Bytes, Rejection> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    if body.size_hint().lower() > limits.max_body_bytes as u64 {
        return Err(Rejection::LongBody);
    }
    let mut room = BodyRoom { proxy, bytes: 0 };
    let mut whole = BytesMut::new();
    let mut single: Option<Bytes> = None;
    while let Some(frame) = next_frame(&mut body, limits.header_timeout).await? {
        let Ok(data) = frame.into_data() else {
            continue;
        };
        room.grow(data.len())?;
        if room.bytes > limits.max_body_bytes {
            return Err(Rejection::LongBody);
        }
        if single.is_none() && whole.is_empty() {
            single = Some(data);
            continue;
        }
        if let Some(first) = single.take() {
            whole.extend_from_slice(&first);
        }
        whole.extend_from_slice(&data);
    }
    Ok(single.unwrap_or_else(|| whole.freeze()))
}

async fn next_frame(
    body: &mut Incoming,
    stall: Duration,
) -> Result<Option<Frame<Bytes>>, Rejection> {
    match tokio::time::timeout(stall, body.frame()).await {
        Err(_) => Err(Rejection::SlowBody),
        Ok(None) => Ok(None),
        Ok(Some(Ok(frame))) => Ok(Some(frame)),
        Ok(Some(Err(_))) => Err(Rejection::Body),
    }
}

/// Marks a request in hand until it is dropped.
struct RequestGuard {
    proxy: Arc<Proxy>,
    track: Arc<ConnectionTrack>,
}

impl RequestGuard {
    fn new(proxy: Arc<Proxy>, track: Arc<ConnectionTrack>) -> Self {
        track.request_began();
        proxy.lifecycle.request_began();
        RequestGuard { proxy, track }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.track.request_ended();
        self.proxy.lifecycle.request_ended();
    }
}

/// An answer's body that marks its request as in hand until it has been written or given up.
pub struct GuardedBody {
    body: AnswerBody,
    _guard: RequestGuard,
}

impl Body for GuardedBody {
    type Data = Bytes;
    type Error = CutShort;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CutShort>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
