//! The numbers of the rules, as a deployment's settings give them. None has a default.
//!
//! Some types resemble those of `woadreach_routing::api`. They are declared anew on purpose: the checker must not
//! share code with what it checks, or one mistake could be on both sides and go unnoticed.

use crate::units::{CoreSeconds, Seconds, Share};

/// Whether a part may run again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Repeats {
    /// Any number of times.
    Idempotent,
    /// Replicas recognise a repeat by its token.
    Tokened {
        /// For how long after the first attempt that may have run.
        window: Seconds,
        /// Whether every replica of the shard recognises it, or only the one that had the first attempt.
        any_holder: bool,
    },
    /// At most once.
    NonIdempotent,
}

/// The numbers of one query type.
#[derive(Clone, Debug)]
pub struct QueryTerms {
    /// Its name.
    pub name: String,
    /// Whether its parts may run again.
    pub repeats: Repeats,
    /// Share of the weight from which an answer is complete.
    pub complete_weight: Share,
    /// Least share of the weight that an answer may have.
    pub minimum_weight: Share,
    /// Number of parts of the second step; 0 without one.
    pub second_step_parts: usize,
}

/// How a replica warms up, and how much load it takes meanwhile. What all co-ordinators together may send it
/// in a window is a budget of N requests of mean work; up to 2 √N + 2 more are put down to chance.
#[derive(Clone, Debug)]
pub struct SlowStart {
    /// Share of its capacity that a replica has when it starts.
    pub initial_capacity: Share,
    /// Time from the start until it has all of it.
    pub duration: Seconds,
    /// Overload threshold as a multiple of the replica's current capacity.
    pub overload_multiple: f64,
    /// Window over which received work is counted.
    pub overload_window: Seconds,
    /// Mean work of a request.
    pub mean_work: CoreSeconds,
    /// Whether every overload breaks the rule; otherwise only one of which over two thirds came from
    /// co-ordinators whose agents listed the replica.
    pub counts_unlisted_senders: bool,
}

/// The retry budget: how many attempts beyond each part's first may be sent in any window.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Number of attempts that are always allowed.
    pub min_retries: f64,
    /// Attempts beyond those, as a multiple of the requests that were accepted in the window.
    pub ratio: f64,
    /// Length of the window.
    pub window: Seconds,
}

/// The numbers of all rules.
#[derive(Clone, Debug)]
pub struct Terms {
    /// The query types, in the order of the settings.
    pub query_types: Vec<QueryTerms>,
    /// How long after its deadline a search's answer still counts.
    pub answer_grace: Seconds,
    /// How long after it was listed as draining a replica may be sent new parts.
    pub drain_grace: Seconds,
    /// Slow start; none where replicas don't warm up.
    pub slow_start: Option<SlowStart>,
    /// The retry budget; none where retries are unlimited.
    pub retry_budget: Option<RetryBudget>,
    /// Tolerance of every time limit for the recorders' own delays.
    pub slack: Seconds,
    /// The longest ordinary latency of a link.
    pub max_link_latency: Seconds,
}
