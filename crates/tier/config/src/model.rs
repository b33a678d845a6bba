//! Data types of a validated configuration.

use crate::error::{ConfigurationError, StaleGenerationSnafu};
use snafu::ensure;
use std::time::Duration;

/// Complete configuration as submitted by the operator.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    /// Version of the configuration. It increases with every update, not always by one.
    pub generation: u64,
    /// Routes, each for one host and path prefix.
    pub routes: Vec<Route>,
    /// Services to which the routes refer.
    pub services: Vec<Service>,
    /// Size limits and time-outs for clients' connections and requests.
    pub limits: ClientLimits,
}

impl Configuration {
    /// Checks that this configuration may replace the active one, whose generation is `current`.
    ///
    /// # Errors
    /// [`ConfigurationError::StaleGeneration`] if the generation of this configuration is not above `current`.
    pub fn check_newer_than(&self, current: u64) -> Result<(), ConfigurationError> {
        ensure!(
            self.generation > current,
            StaleGenerationSnafu {
                generation: self.generation,
                current
            }
        );
        Ok(())
    }

    /// Returns the service with the given name; `None` if it is not defined.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}

/// Determines whether the requests of a route may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteType {
    /// Requests are idempotent and may be executed more than once.
    Safe,
    /// A request is executed at most once.
    Unsafe,
    /// The response is a stream of events. A request is executed at most once unless the route is resumable.
    Streaming,
}

/// Destination and rules of the requests with one host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host name, compared with the `Host` header without regard to case.
    pub domain: String,
    /// Prefix of the path; begins and ends with a slash, because [`RouteTable`](crate::RouteTable) matches whole
    /// segments.
    pub path_prefix: String,
    /// Determines whether requests may be retried.
    pub route_type: RouteType,
    /// Upper bound of the time that a request spends in the tier; above 0.
    pub timeout: Duration,
    /// Latency target: a response (of a stream: its first event) within this time counts at its full value. Equals
    /// `timeout` if not configured.
    pub target_latency: Duration,
    /// Priority, 0 to 255; 0 is the highest and the default.
    pub priority: u8,
    /// Services with their weights. The sum of the weights is above 0.
    pub clusters: Vec<WeightedCluster>,
    /// Upper bound of the number of replicas to which one request may be sent (`max_retries`); 1 by default.
    pub max_replicas: u32,
    /// Whether the tier stores the turns of conversations (`kept`), so that the request of a turn contains only its new
    /// input.
    pub stores_turns: bool,
    /// Time for which a turn is stored; 60 s by default.
    pub retention: Duration,
    /// Whether requests with the same `Affinity-Key` header are preferably sent to the same replica.
    pub session_affinity: bool,
    /// Whether another replica may resume an interrupted stream.
    pub resumable: bool,
    /// Longest time between two events of a response that counts as in time (`gap_aim_ms`); `None` if not configured.
    pub event_gap_target: Option<Duration>,
}

/// Service of a route, with its weight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedCluster {
    /// Name of the service.
    pub service: String,
    /// Weight relative to the other services of the route; may be 0.
    pub weight: u32,
}

/// Group of replicas that serve the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Path of the health check; `/healthz` by default.
    pub health_check: String,
    /// Upper bound of the connections that one replica accepts from all callers together; `u32::MAX` if not configured.
    pub max_conns: u32,
    /// Inference engine; `None` for a service that does not serve language models.
    pub engine: Option<Engine>,
}

/// Inference engine of a service that serves language models.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Upper bound of the number of requests in one batch.
    pub capacity: u32,
    /// Capacity of a replica's KV cache, in tokens; 0 if not configured.
    pub kv_tokens: u64,
    /// Number of tokens in each event of a stream; at least 1.
    pub stride: u32,
    /// Names of the models that the service offers.
    pub models: Vec<String>,
}

/// Size limits and time-outs for clients' connections and requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Upper bound of the size of a request's head, in bytes.
    pub max_header_bytes: usize,
    /// Upper bound of the size of a request's body, in bytes.
    pub max_body_bytes: usize,
    /// Time within which the head of a request must be received.
    pub header_timeout: Duration,
    /// Time after which an idle connection is closed.
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
