//! From a request's head to its task: checks the head, finds the route, reads the body, and hands over.
//!
//! It stands between hyper and the request's task, so that a task only ever sees a request that is complete,
//! routed and well-formed. Each failure is a [`Rejection`], which becomes a response here and nowhere else.

use crate::client::body_reader::read_body;
use crate::client::connection::ConnectionMonitor;
use crate::client::guarded_body::{GuardedBody, RequestGuard};
use crate::client::headers::{HeaderError, REQUEST_ID, RequestMetadata};
use crate::client::local_response::{text_response, with_connection_close};
use crate::client::rejection::Rejection;
use crate::client::request::{ClientRequest, request_deadline};
use crate::client::response_body::ResponseBody;
use crate::counters::Counters;
use crate::lifecycle::Phase;
use crate::proxy::Proxy;
use crate::request::task::RequestTask;
use crate::routing_state::RoutingState;
use http::header::{HOST, HeaderValue, TRANSFER_ENCODING};
use http::request::Parts;
use http::uri::PathAndQuery;
use http::{Method, Request, Response, StatusCode, Uri, Version};
use hyper::body::Incoming;
use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout_at};
use woadreach_config::{Route, RouteType};

/// Serves one request of a client's connection.
///
/// # Errors
///
/// None: whatever goes wrong becomes a response.
pub async fn serve_request(
    proxy: Arc<Proxy>,
    monitor: Arc<ConnectionMonitor>,
    request: Request<Incoming>,
) -> Result<Response<GuardedBody>, Infallible> {
    let guard = RequestGuard::new(proxy.clone(), monitor);
    let (head, body) = request.into_parts();
    // A chunked request may also have carried a length, which hyper drops: what follows it cannot be trusted.
    let must_close = head.headers.contains_key(TRANSFER_ENCODING);
    let request_id = head.headers.get(REQUEST_ID).cloned();
    let mut response = match read_request(&proxy, head, body).await {
        Ok(request) => run_request_task(&proxy, request, request_id).await,
        Err(rejection) => {
            count_rejection(&proxy.counters, rejection);
            with_request_id(rejection.response(), request_id)
        }
    };
    if must_close || proxy.lifecycle.phase() > Phase::Serving {
        response = with_connection_close(response);
    }
    Ok(response.map(|body| GuardedBody::new(body, guard)))
}

fn count_rejection(counters: &Counters, rejection: Rejection) {
    Counters::add(if rejection == Rejection::NoRoute {
        &counters.unrouted
    } else {
        &counters.rejected
    });
}

async fn run_request_task(
    proxy: &Arc<Proxy>,
    request: ClientRequest,
    request_id: Option<HeaderValue>,
) -> Response<ResponseBody> {
    let (sender, receiver) = oneshot::channel();
    tokio::spawn(RequestTask::new(proxy.clone(), request, sender).run());
    match receiver.await {
        Ok(response) => with_request_id(response, request_id),
        Err(_) => with_connection_close(text_response(StatusCode::BAD_GATEWAY, "no answer")),
    }
}

fn with_request_id(
    mut response: Response<ResponseBody>,
    request_id: Option<HeaderValue>,
) -> Response<ResponseBody> {
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
    let arrived_at = Instant::now();
    let routing_state = proxy.routing_state();
    if routing_state.configuration.is_none() {
        return Err(Rejection::NotReady);
    }
    let target = path_and_query(&head)?;
    let route = find_route(&routing_state, &host(&head)?, target.path())?;
    if route.route_type == RouteType::Streaming && head.version < Version::HTTP_11 {
        return Err(Rejection::UnsupportedVersion);
    }
    let metadata = read_metadata(proxy, &head, &route)?;
    let deadline = request_deadline(arrived_at, metadata.timeout, route.timeout);
    if !proxy.lifecycle.accepts_request(deadline) {
        return Err(Rejection::NotReady);
    }
    let body = timeout_at(deadline, read_body(proxy, body, &routing_state.limits())).await;
    let body = body.unwrap_or(Err(Rejection::BodyTimeout))?;
    Ok(ClientRequest {
        deadline,
        tokens_per_event: routing_state.tokens_per_event(&route),
        metadata,
        route,
        method: head.method,
        target: Uri::from(target),
        headers: head.headers,
        body,
        arrived_at,
    })
}

fn find_route(
    routing_state: &RoutingState,
    host: &str,
    path: &str,
) -> Result<Arc<Route>, Rejection> {
    // What a process that has just started knows may be old: a route that is not there may have been added.
    let no_route = if routing_state.has_current_state {
        Rejection::NoRoute
    } else {
        Rejection::NotReady
    };
    let route = routing_state.routes.find(host, path);
    route.cloned().ok_or(no_route)
}

/// Reads the headers. A request of a route that stores turns and names no program is a program of its own.
fn read_metadata(proxy: &Proxy, head: &Parts, route: &Route) -> Result<RequestMetadata, Rejection> {
    let mut metadata =
        RequestMetadata::read(&head.headers).map_err(|source| Rejection::Header { source })?;
    proxy
        .counters
        .unread_hints
        .fetch_add(metadata.unread_hints, Ordering::Relaxed);
    if route.stores_turns && metadata.program.is_none() {
        let session = metadata.session.clone();
        metadata.program = Some(session.unwrap_or_else(|| metadata.request_id.clone()));
    }
    Ok(metadata)
}

fn path_and_query(head: &Parts) -> Result<PathAndQuery, Rejection> {
    let target = head.uri.path_and_query().ok_or(Rejection::Target)?;
    let is_valid = head.method != Method::CONNECT && target.path().starts_with('/');
    if is_valid {
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
