//! A configuration that has been checked.

use crate::error::{ConfigurationError, OldGenerationSnafu};
use snafu::ensure;
use std::time::Duration;

/// A whole configuration of the operator.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    /// Its version; versions rise in uneven steps.
    pub generation: u64,
    /// Where requests go.
    pub routes: Vec<Route>,
    /// What serves them.
    pub services: Vec<Service>,
    /// What a client may send and how long it may take.
    pub limits: ClientLimits,
}

impl Configuration {
    /// Whether this configuration may follow `current`.
    pub fn check_follows(&self, current: u64) -> Result<(), ConfigurationError> {
        ensure!(
            self.generation > current,
            OldGenerationSnafu {
                generation: self.generation,
                current
            }
        );
        Ok(())
    }

    /// The service of this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}

/// What may be done with a request that has perhaps run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteType {
    /// It may run more than once.
    Safe,
    /// It runs at most once per try.
    Unsafe,
    /// Its answer is a series of events; it runs at most once unless the route is resumable.
    Streaming,
}

/// Where the requests of one host and path prefix go.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The operator's name for it.
    pub name: String,
    /// The host, as in the `Host` header.
    pub domain: String,
    /// Beginning of the path; begins and ends with a slash.
    pub path_prefix: String,
    /// What may be repeated.
    pub route_type: RouteType,
    /// The longest time for which a request is held.
    pub timeout: Duration,
    /// The time within which an answer, or its first event, earns its full worth.
    pub target_latency: Duration,
    /// Its rank; 0 is the highest.
    pub priority: u8,
    /// Services with their weights, which sum to more than 0.
    pub clusters: Vec<WeightedCluster>,
    /// The largest number of replicas to which one try may be sent.
    pub max_retries: u32,
    /// Whether turns bring their new input only and the tier keeps what was said.
    pub kept: bool,
    /// For how long a turn is kept.
    pub retention: Duration,
    /// Whether requests of a session are better sent to one replica.
    pub session_affinity: bool,
    /// Whether a stream may be taken up at another replica.
    pub resumable: bool,
    /// The longest pause between events that keeps an answer in time.
    pub gap_target: Option<Duration>,
}

/// A service and its share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedCluster {
    /// Name of the service.
    pub service: String,
    /// Its weight against the others of the route.
    pub weight: u32,
}

/// A set of replicas.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Path of the health check.
    pub health_check: String,
    /// Connections that one replica takes from all callers together.
    pub max_conns: u32,
    /// For services of language models.
    pub engine: Option<Engine>,
}

/// What the operator says of a service of language models.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Requests that run in one batch.
    pub capacity: u32,
    /// Tokens for which a replica has memory.
    pub kv_tokens: u64,
    /// Tokens in each event.
    pub stride: u32,
    /// Names of the models.
    pub models: Vec<String>,
}

/// What a client may send, and how long it may take or remain idle.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Bytes of a request's head.
    pub max_header_bytes: usize,
    /// Bytes of a request's body.
    pub max_body_bytes: usize,
    /// Time for a request's head to arrive.
    pub header_timeout: Duration,
    /// Time for which a connection may be without a request.
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
