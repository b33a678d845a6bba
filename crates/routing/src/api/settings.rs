//! Start-up settings of a co-ordinator.

use super::{Seconds, Share};

/// Whether the parts of a query type may run more than once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Repeat {
    /// A part may run any number of times.
    Idempotent,
    /// The store recognizes a repeated attempt by its token and does not run it again.
    Tokened {
        /// Time for which a token is stored, from the first attempt that may have run.
        window: Seconds,
        /// Whether all replicas that hold the shard share the tokens; otherwise only the replica of the first attempt
        /// has the token.
        any_holder: bool,
    },
    /// A part may run only once.
    NonIdempotent,
}

/// Settings of a query type.
#[derive(Clone, Debug)]
pub struct QueryType {
    /// Latency target, measured from the client's first attempt; an answer after it is late.
    pub latency_target: Seconds,
    /// Time for which a client waits for an answer.
    pub client_timeout: Seconds,
    /// Value of an answer that meets the target, relative to other query types.
    pub value: f64,
    /// Value of a late answer, as a share of `value`.
    pub late_value: Share,
    /// Whether parts of this query type may run more than once.
    pub repeat: Repeat,
    /// Total weight of answered parts from which an answer is complete.
    pub complete_weight: Share,
    /// Total weight of answered parts from which a partial answer may be returned.
    pub minimum_weight: Share,
    /// Number of parts of the second step; 0 if there is only one step.
    pub second_step: usize,
}

/// Capacity of a replica after its start, and load that counts as an overload.
#[derive(Clone, Debug)]
pub struct SlowStartConfig {
    /// Capacity at the start, as a share of the capacity of a warm replica.
    pub initial_capacity: Share,
    /// Time from the start until the replica is warm; its capacity grows linearly over this time.
    pub duration: Seconds,
    /// Overload threshold as a multiple of the replica's current capacity.
    pub overload_multiple: f64,
    /// Window over which the load is compared with the threshold.
    pub overload_window: Seconds,
}

/// Limit on retries and hedges, which are the attempts beyond the first of each part.
#[derive(Clone, Debug)]
pub struct RetryBudgetConfig {
    /// Number of retries and hedges that are allowed in any window, regardless of traffic.
    pub min_retries: f64,
    /// Number of further retries and hedges per search or part accepted in the window.
    pub ratio: f64,
    /// Length of the sliding window.
    pub window: Seconds,
}

/// Start-up settings of a co-ordinator. An option that is `None` switches the feature or limit off.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Seed of all random choices.
    pub seed: u64,
    /// Index of this co-ordinator among those of its tier; `None` if it is unknown.
    pub coordinator_index: Option<u64>,
    /// Number of co-ordinators of the tier, this one included.
    pub coordinators: usize,
    /// Longest time from an event until it is handled.
    pub tick: Seconds,
    /// Query types; a [`super::QueryTypeId`] is an index into them.
    pub query_types: Vec<QueryType>,
    /// Share of the service for each tenant; a [`super::TenantId`] is an index into them.
    pub tenants: Vec<Share>,
    /// Value of a search whose tenant exceeds its share, as a multiple of the query type's value.
    pub over_share_value: f64,
    /// Number of cells into which replicas are grouped.
    pub cells: u64,
    /// Number of consecutive cells that hold each shard.
    pub span: u64,
    /// Maximum number of parts that share a call to a replica.
    pub parts_per_call: usize,
    /// Maximum number of attempts of one part.
    pub max_attempts: usize,
    /// Longest time from the decision to send an attempt until it is sent, or is reported as never sent.
    pub max_send_delay: Seconds,
    /// Whether an attempt in flight can be cancelled.
    pub cancellation_allowed: bool,
    /// Whether a part may have two attempts in flight.
    pub hedging_allowed: bool,
    /// Longest `retry_after` of a shed search; `None` if none may be advised.
    pub max_retry_after: Option<Seconds>,
    /// Slow start of replicas.
    pub slow_start: Option<SlowStartConfig>,
    /// Limit on retries and hedges.
    pub retry_budget: Option<RetryBudgetConfig>,
}

impl Settings {
    /// Shortest latency target of all query types; infinite if there are none.
    pub fn shortest_target(&self) -> Seconds {
        self.query_types
            .iter()
            .map(|query_type| query_type.latency_target)
            .fold(f64::INFINITY, f64::min)
    }
}
