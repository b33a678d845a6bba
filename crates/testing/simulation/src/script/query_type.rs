//! Query types, and how the work of their searches varies.

use serde::{Deserialize, Serialize};

/// Share of the searches whose parts are heavy.
pub(crate) const HEAVY_SHARE: f64 = 0.03;
/// How many times as much a heavy search's parts cost.
pub(crate) const HEAVY_WORK_FACTOR: f64 = 4.0;
/// Mean cost of a part as a multiple of its query type's work.
pub(super) const MEAN_WORK_FACTOR: f64 = 1.0 + HEAVY_SHARE * (HEAVY_WORK_FACTOR - 1.0);

/// Whether a part may run again.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeats {
    /// Any number of times.
    Idempotent,
    /// Replicas recognise a repeat by its token, for a time.
    Tokened,
    /// At most once.
    NonIdempotent,
}

/// A kind of search.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueryType {
    /// The path of its requests: lower-case letters and dashes.
    pub name: String,
    /// Share of all searches, relative to the other query types.
    pub share: f64,
    /// Time within which an answer counts in full, in seconds; no longer than the client's time-out.
    #[serde(rename = "latency_target")]
    pub latency_target_s: f64,
    /// Time after which clients give up, in seconds.
    #[serde(rename = "client_timeout")]
    pub client_timeout_s: f64,
    /// Whether its parts may run again.
    pub repeats: Repeats,
    /// Time in which repeats of a tokened part are recognised, in seconds.
    #[serde(rename = "window")]
    pub token_window_s: f64,
    /// Whether every replica of the shard recognises them, or only the one that ran the part.
    pub any_holder: bool,
    /// Share of the weight from which an answer is complete.
    #[serde(rename = "need")]
    pub complete_weight: f64,
    /// Least share of the weight that an answer may have; no larger than `complete_weight`.
    #[serde(rename = "floor")]
    pub minimum_weight: f64,
    /// Parts of a search's second step; 0 without one.
    #[serde(rename = "fetch")]
    pub second_step_parts: usize,
    /// Fewest parts of a search's first step; at least 1.
    #[serde(rename = "least_parts")]
    pub min_parts: usize,
    /// Most parts of a search's first step; no more than there are shards.
    #[serde(rename = "most_parts")]
    pub max_parts: usize,
    /// Work of a part that isn't heavy, as a mean, in seconds of one core.
    #[serde(rename = "work")]
    pub work_s: f64,
}

impl QueryType {
    /// Mean number of parts of a search, in both steps.
    pub(super) fn mean_parts(&self) -> f64 {
        (self.min_parts + self.max_parts) as f64 / 2.0 + self.second_step_parts as f64
    }
}
