//! What a co-ordinator is configured with at its start.

use super::{Seconds, Share};

/// Whether a part may run again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Repeat {
    /// It may run any number of times.
    Idempotent,
    /// The store recognizes a repeated attempt by its token and doesn't run it again.
    Tokened {
        /// For how long a token is remembered, from the first attempt that may have run.
        window: Seconds,
        /// Whether all replicas that hold the shard share the tokens; otherwise only the replica that had the
        /// first attempt remembers it.
        any_holder: bool,
    },
    /// It may run once only.
    NonIdempotent,
}

/// What the decisions read of a query type.
#[derive(Clone, Debug)]
pub struct QueryType {
    /// Latency target from the client's first attempt; a later answer is late.
    pub latency_target: Seconds,
    /// How long a client waits for its answer.
    pub client_timeout: Seconds,
    /// Value of an answer that meets the target.
    pub value: f64,
    /// Share of the value that a late answer keeps.
    pub late_value: Share,
    /// Whether its parts may run again.
    pub repeat: Repeat,
    /// Share of the parts' weights that makes an answer complete.
    pub complete_weight: Share,
    /// Least share of the parts' weights with which a search may be answered.
    pub minimum_weight: Share,
    /// Number of parts of the second step; 0 if there is one step only.
    pub second_step: usize,
}

/// What a replica can take after its start, and what overloads it.
#[derive(Clone, Debug)]
pub struct SlowStartConfig {
    /// Capacity at the start, as a share of a warm replica's.
    pub initial_capacity: Share,
    /// Time from the start until the replica is warm; capacity grows linearly meanwhile.
    pub duration: Seconds,
    /// Overload threshold as a multiple of the replica's current capacity.
    pub overload_multiple: f64,
    /// Window over which requests are counted against the threshold.
    pub overload_window: Seconds,
}

/// Limit on retries and hedges: attempts beyond the first of each part.
#[derive(Clone, Debug)]
pub struct RetryBudgetConfig {
    /// Number of retries that are allowed in any window, whatever the traffic.
    pub min_retries: f64,
    /// Retries beyond those, as a multiple of the searches and parts taken in the window.
    pub ratio: f64,
    /// Length of the window.
    pub window: Seconds,
}

/// Start-up settings. An absent option means that the feature or limit is off.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Seed of all random choices.
    pub seed: u64,
    /// Index of this co-ordinator among those of its tier.
    pub coordinator_index: Option<u64>,
    /// Number of co-ordinators of the tier.
    pub coordinators: usize,
    /// Longest time from an event until it is handled.
    pub tick: Seconds,
    /// Query types; a [`super::QueryTypeId`] is an index into them.
    pub query_types: Vec<QueryType>,
    /// Each tenant's share of the service; a [`super::TenantId`] is an index into them.
    pub tenants: Vec<Share>,
    /// Value of a search of a tenant beyond its share, as a multiple of its query type's value.
    pub over_share_value: f64,
    /// Number of cells into which replicas are grouped.
    pub cells: u64,
    /// Number of cells that hold each shard.
    pub span: u64,
    /// Number of parts that share a call to a replica.
    pub parts_per_call: usize,
    /// Maximum number of attempts of one part.
    pub max_attempts: usize,
    /// Longest time from the decision to send until the attempt leaves, or is reported as never sent.
    pub max_send_delay: Seconds,
    /// Whether an attempt in flight can be cancelled.
    pub cancellation_allowed: bool,
    /// Whether a part may have two attempts in flight.
    pub hedging_allowed: bool,
    /// Longest `retry_after` of a rejected search; without it none is advised.
    pub max_retry_after: Option<Seconds>,
    /// Slow start of replicas.
    pub slow_start: Option<SlowStartConfig>,
    /// Limit on retries.
    pub retry_budget: Option<RetryBudgetConfig>,
}

impl Settings {
    /// The shortest latency target of all query types.
    pub fn shortest_target(&self) -> Seconds {
        self.query_types
            .iter()
            .map(|query_type| query_type.latency_target)
            .fold(f64::INFINITY, f64::min)
    }
}
