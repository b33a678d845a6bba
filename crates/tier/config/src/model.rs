//! A validated configuration.

use crate::error::{ConfigurationError, StaleGenerationSnafu};
use snafu::ensure;
use std::time::Duration;

/// A complete configuration of the operator.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    /// Version of the configuration. Versions rise in uneven steps.
    pub generation: u64,
    /// Routes of requests to services.
    pub routes: Vec<Route>,
    /// Services that the routes lead to.
    pub services: Vec<Service>,
    /// Limits on what a client sends and on how long it takes.
    pub limits: ClientLimits,
}

impl Configuration {
    /// Checks that this configuration may replace the one of generation `current`.
    ///
    /// # Errors
    /// [`ConfigurationError::StaleGeneration`] if its generation is not above `current`.
    pub fn check_follows(&self, current: u64) -> Result<(), ConfigurationError> {
        ensure!(
            self.generation > current,
            StaleGenerationSnafu {
                generation: self.generation,
                current
            }
        );
        Ok(())
    }

    /// The service of this name, if it is defined.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}

/// Which retries are safe for the requests of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteType {
    /// Requests are idempotent: they may run more than once.
    Safe,
    /// A request runs at most once.
    Unsafe,
    /// The answer is a stream of events. A request runs at most once unless the route is resumable.
    Streaming,
}

/// Where the requests of one host and path prefix go.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host, as in the `Host` header.
    pub domain: String,
    /// Prefix of the path; begins and ends with a slash.
    pub path_prefix: String,
    /// Which retries are safe.
    pub route_type: RouteType,
    /// Upper bound of the time that a request spends in the tier.
    pub timeout: Duration,
    /// Latency target: an answer, or its first event, within this time counts at its full value.
    pub target_latency: Duration,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Services with their weights. The weights sum to more than 0.
    pub clusters: Vec<WeightedCluster>,
    /// Upper bound of the replicas to which one request may be sent (`max_retries`).
    pub max_replicas: u32,
    /// Whether the tier stores the turns of conversations, so that a turn brings only its new input.
    pub kept: bool,
    /// How long a turn is stored.
    pub retention: Duration,
    /// Whether requests with the same `Affinity-Key` prefer one replica.
    pub session_affinity: bool,
    /// Whether a stream may be resumed at another replica.
    pub resumable: bool,
    /// Upper bound of the time between two events for an answer to count as in time.
    pub gap_target: Option<Duration>,
}

/// A service and its weight among those of a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedCluster {
    /// Name of the service.
    pub service: String,
    /// Weight relative to the other services of the route.
    pub weight: u32,
}

/// A service: replicas that answer the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Path of the health check.
    pub health_check: String,
    /// Upper bound of the connections that one replica accepts from all callers together.
    pub max_conns: u32,
    /// Inference engine, for services of language models.
    pub engine: Option<Engine>,
}

/// Inference engine of a service of language models.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Upper bound of the requests in one batch.
    pub capacity: u32,
    /// Capacity of a replica's KV cache, in tokens.
    pub kv_tokens: u64,
    /// Tokens in each event of a stream.
    pub stride: u32,
    /// Names of the models.
    pub models: Vec<String>,
}

/// Limits on what a client sends, and on how long it takes or stays idle.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Upper bound of a request's head, in bytes.
    pub max_header_bytes: usize,
    /// Upper bound of a request's body, in bytes.
    pub max_body_bytes: usize,
    /// Time within which a request's head must arrive.
    pub header_timeout: Duration,
    /// Time after which a connection without a request is closed.
    pub idle_timeout: Duration,
}

impl Default for ClientLimits {
    fn default() -> Self {
        ClientLimits {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
