//! A client's request that has been read whole.

use crate::attempt::OutgoingRequest;
use crate::request_headers::{RequestFacts, end_to_end_headers, identity_number};
use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use parking_lot::Mutex;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use woadreach_config::{Route, RouteType};
use woadreach_scheduler::{Call, CallId, CallKind};

/// The request with its route.
pub struct ClientRequest {
    /// What its headers say.
    pub facts: RequestFacts,
    /// The route it came by.
    pub route: Arc<Route>,
    /// Tokens in each event of the route's service.
    pub stride: u32,
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub target: Uri,
    /// Its headers as they came.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// When its head had been read.
    pub arrived: Instant,
    /// When it is given up: the client's deadline or the route's timeout, whichever is first.
    pub give_up: Instant,
}

impl ClientRequest {
    /// What may be repeated.
    pub fn kind(&self) -> CallKind {
        match self.route.route_type {
            RouteType::Safe => CallKind::Safe,
            RouteType::Unsafe => CallKind::Unsafe,
            RouteType::Streaming => CallKind::Streaming {
                resumable: self.route.resumable,
            },
        }
    }

    /// Whether it may run more than once.
    pub fn is_repeatable(&self) -> bool {
        self.kind().may_run_again()
    }

    /// What the decisions want to know of it.
    pub fn call(&self, id: CallId, seconds_at: impl Fn(Instant) -> f64) -> Call {
        let tokens = self.facts.tokens.unwrap_or_default();
        let arrived = seconds_at(self.arrived);
        Call {
            id,
            route: Arc::from(self.route.name.as_str()),
            kind: self.kind(),
            clusters: self.clusters(),
            arrived,
            give_up_at: seconds_at(self.give_up),
            target_latency: self.route.target_latency.as_secs_f64(),
            finish_at: self
                .facts
                .finish
                .map(|finish| arrived + finish.as_secs_f64()),
            program: self.facts.program.as_deref().map(identity_number),
            session: self.facts.session.as_deref().map(identity_number),
            affinity: self.facts.affinity.filter(|_| self.route.session_affinity),
            prefix: self.facts.prefix.clone(),
            tokens_in: tokens.input,
            tokens_out: tokens.output,
            priority: self.route.priority,
            max_replicas: self.route.max_retries.max(1),
        }
    }

    fn clusters(&self) -> Vec<(Arc<str>, u32)> {
        let clusters = self.route.clusters.iter();
        clusters
            .map(|cluster| (Arc::from(cluster.service.as_str()), cluster.weight))
            .collect()
    }

    /// The request as it goes to replicas, with this body.
    pub fn outgoing(&self, body: Bytes) -> OutgoingRequest {
        OutgoingRequest {
            method: self.method.clone(),
            target: self.target.clone(),
            headers: end_to_end_headers(&self.headers),
            body,
            request_id: self.facts.request_id.clone(),
            is_stream: self.route.route_type == RouteType::Streaming,
            carried_by: Mutex::default(),
        }
    }
}

/// When a request is given up.
pub fn give_up_at(arrived: Instant, client: Option<Duration>, route: Duration) -> Instant {
    arrived + client.map_or(route, |client| client.min(route))
}
