//! Limits of the rules, taken from the settings of a deployment. None has a default.
//!
//! Some types duplicate those of `woadreach_routing::api` on purpose: the checker must not share code with the router,
//! or a mistake in shared code would go undetected.

use crate::units::{CoreSeconds, Seconds, Share};

/// Whether a part may run again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Repeats {
    /// The part may run any number of times.
    Idempotent,
    /// Replicas recognize a repeat by its token.
    Tokened {
        /// Time after the first attempt that may have run in which the token is recognized.
        window: Seconds,
        /// Whether all replicas of the shard recognize the token, or only the one that received the first attempt.
        any_holder: bool,
    },
    /// The part may run at most once.
    NonIdempotent,
}

/// Limits of one query type.
#[derive(Clone, Debug)]
pub struct QueryTerms {
    /// Name of the query type.
    pub name: String,
    /// Whether a part may run again.
    pub repeats: Repeats,
    /// Least share of the weight of an answer that is marked complete.
    pub complete_weight: Share,
    /// Least share of the weight of any answer with results.
    pub minimum_weight: Share,
    /// Maximum number of parts of the second step; 0 without a second step.
    pub second_step_parts: usize,
}

/// Warm-up of a replica, and its load limit meanwhile. All co-ordinators together may send it a budget of N requests
/// of mean work in a window; up to 2 √N + 2 more are tolerated as random variation.
#[derive(Clone, Debug)]
pub struct SlowStart {
    /// Share of its capacity that a replica has when it starts.
    pub initial_capacity: Share,
    /// Time from the start until the replica has its full capacity.
    pub duration: Seconds,
    /// Overload threshold as a multiple of the replica's current capacity.
    pub overload_multiple: f64,
    /// Window over which received work is counted.
    pub overload_window: Seconds,
    /// Mean work of a request.
    pub mean_work: CoreSeconds,
    /// Whether every overload violates the rule. If `false`, only an overload does of which more than two thirds was
    /// sent by co-ordinators whose agents had listed the replica.
    pub counts_unlisted_senders: bool,
}

/// The retry budget: the number of retries and hedges that a co-ordinator may send in any window.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Number of attempts that are always allowed.
    pub min_retries: f64,
    /// Further allowed attempts, as a multiple of the requests that were accepted in the window.
    pub ratio: f64,
    /// Length of the window.
    pub window: Seconds,
}

/// Limits of all rules.
#[derive(Clone, Debug)]
pub struct Terms {
    /// The query types, in the order of the settings.
    pub query_types: Vec<QueryTerms>,
    /// Time after its deadline in which a search may still be answered.
    pub answer_grace: Seconds,
    /// Time after a replica was listed as draining in which it may be sent new parts.
    pub drain_grace: Seconds,
    /// Slow start; `None` if replicas need no warm-up.
    pub slow_start: Option<SlowStart>,
    /// The retry budget; `None` if retries are unlimited.
    pub retry_budget: Option<RetryBudget>,
    /// Tolerance of the time limits for delays of the recorders themselves.
    pub slack: Seconds,
    /// Longest latency of a link without faults.
    pub max_link_latency: Seconds,
}
