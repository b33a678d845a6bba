//! A client's request that has been read completely and has its route.

use crate::client::headers::{RequestMetadata, end_to_end_headers, identity_number};
use crate::replica::attempt::OutgoingRequest;
use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use parking_lot::Mutex;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use woadreach_config::{Route, RouteType};
use woadreach_scheduler::{Call, CallId, CallKind, WeightedService};

/// A complete request with its route.
pub struct ClientRequest {
    /// What its headers say.
    pub metadata: RequestMetadata,
    /// The route that matched it.
    pub route: Arc<Route>,
    /// Tokens in each event of the route's service.
    pub tokens_per_event: u32,
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub target: Uri,
    /// Its headers as received.
    pub headers: HeaderMap,
    /// Its complete body.
    pub body: Bytes,
    /// When its head had been read.
    pub arrived_at: Instant,
    /// When it is given up; see [`request_deadline`].
    pub deadline: Instant,
}

impl ClientRequest {
    /// How often the request may run, by the type of its route.
    pub fn kind(&self) -> CallKind {
        match self.route.route_type {
            RouteType::Safe => CallKind::Idempotent,
            RouteType::Unsafe => CallKind::NonIdempotent,
            RouteType::Streaming => CallKind::Streaming {
                resumable: self.route.resumable,
            },
        }
    }

    /// Whether it may run more than once.
    pub fn is_idempotent(&self) -> bool {
        self.kind().may_run_again()
    }

    /// The call that is offered to the scheduler. `seconds_at` converts to seconds of the process's clock.
    pub fn call(&self, id: CallId, seconds_at: impl Fn(Instant) -> f64) -> Call {
        let tokens = self.metadata.tokens.unwrap_or_default();
        let arrived = seconds_at(self.arrived_at);
        Call {
            id,
            route: Arc::from(self.route.name.as_str()),
            kind: self.kind(),
            services: self.clusters(),
            arrived_at: arrived,
            deadline: seconds_at(self.deadline),
            target_latency: self.route.target_latency.as_secs_f64(),
            program_deadline: self
                .metadata
                .finish
                .map(|finish| arrived + finish.as_secs_f64()),
            program: self.metadata.program.as_deref().map(identity_number),
            session: self.metadata.session.as_deref().map(identity_number),
            affinity: self
                .metadata
                .affinity
                .filter(|_| self.route.session_affinity),
            prefix: self.metadata.prefix.clone(),
            prompt_tokens: tokens.input,
            max_output_tokens: tokens.output,
            priority: self.route.priority,
            max_replicas: self.route.max_replicas.max(1),
        }
    }

    fn clusters(&self) -> Vec<WeightedService> {
        let clusters = self.route.clusters.iter();
        clusters
            .map(|cluster| WeightedService {
                service: Arc::from(cluster.service.as_str()),
                weight: cluster.weight,
            })
            .collect()
    }

    /// The request as it goes to replicas, with this body.
    pub fn outgoing(&self, body: Bytes) -> OutgoingRequest {
        OutgoingRequest {
            method: self.method.clone(),
            target: self.target.clone(),
            headers: end_to_end_headers(&self.headers),
            body,
            request_id: self.metadata.request_id.clone(),
            is_stream: self.route.route_type == RouteType::Streaming,
            used_connections: Mutex::default(),
        }
    }
}

/// When a request is given up: after the client's time-out or the route's, whichever is shorter.
pub fn request_deadline(
    arrived_at: Instant,
    client_timeout: Option<Duration>,
    route_timeout: Duration,
) -> Instant {
    arrived_at + client_timeout.map_or(route_timeout, |timeout| timeout.min(route_timeout))
}
