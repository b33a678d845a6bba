//! The tables of a script but its query types and faults. `check` has the limits of their values.

use serde::{Deserialize, Serialize};

/// Co-ordinators, replicas and their machines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Number of co-ordinators.
    pub co_ordinators: usize,
    /// Number of zones.
    pub zones: usize,
    /// Number of shard groups.
    pub cells: u64,
    /// Shard groups that hold each shard; no more than there are.
    pub span: u64,
    /// Number of shards.
    pub shards: u64,
    /// Replicas of each shard group, dealt out among the zones.
    pub replicas: usize,
    /// Cores of each replica.
    pub cores: usize,
    /// Parts that wait at a replica before it rejects further ones.
    #[serde(rename = "room")]
    pub queue_capacity: usize,
    /// Largest offset of a co-ordinator's clock, ahead or behind, in seconds.
    #[serde(rename = "clocks_apart")]
    pub max_clock_offset: f64,
    /// Longest one-way latency between two zones, in seconds.
    #[serde(rename = "way")]
    pub max_latency: f64,
    /// Size of a connection's receive buffer at one end and of its send buffer at the other, in bytes.
    pub buffers: usize,
    /// What becomes of calls to discovery while it is unresponsive.
    #[serde(rename = "calls_while_silent", default)]
    pub calls_while_unresponsive: CallsWhileUnresponsive,
}

/// What becomes of calls to discovery while it is unresponsive. Corresponds to
/// [`woadreach_fakes::CallsWhileUnresponsive`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallsWhileUnresponsive {
    /// All are answered when it responds again.
    #[default]
    #[serde(rename = "kept")]
    Delayed,
    /// Watches are answered then, calls for the complete list never.
    ListsLost,
    /// None is ever answered.
    Lost,
}

/// The settings of the co-ordinators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Most parts that one call to a replica carries.
    pub per_call: usize,
    /// Whether replicas understand cancellations.
    pub cancelling: bool,
    /// Whether parts may be hedged.
    #[serde(rename = "copies")]
    pub hedging: bool,
    /// Most attempts of a part, the first included.
    pub attempts: usize,
    /// Most calls in flight on one connection.
    pub streams: usize,
    /// Most open sockets of a co-ordinator.
    pub descriptors: usize,
    /// Whether rejections say when to retry.
    pub retry_after: bool,
    /// Whether clients mark their retries.
    pub marks_repeats: bool,
    /// How long a draining replica may still be sent parts, in seconds.
    #[serde(rename = "drain_grace")]
    pub drain_grace_s: f64,
    /// Time-out of a connect, in seconds.
    #[serde(rename = "connect_timeout")]
    pub connect_timeout_s: f64,
    /// Time after which an idle connection isn't used again, in seconds; no shorter than the connect time-out.
    #[serde(rename = "idle_close")]
    pub idle_timeout_s: f64,
    /// The retry budget, if there is one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub budget: Option<Budget>,
    /// How replicas warm up, if they do.
    #[serde(rename = "cold", skip_serializing_if = "Option::is_none")]
    pub slow_start: Option<SlowStart>,
}

/// The retry budget: attempts beyond each part's first that may be sent in any window.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// Number of attempts that are always allowed.
    pub free: f64,
    /// Further attempts, as a share of the accepted requests.
    pub share: f64,
    /// The window, in seconds.
    #[serde(rename = "window")]
    pub window_s: f64,
}

/// How a replica warms up (slow start).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SlowStart {
    /// Share of its capacity that a replica has when it starts, from 0 to 1.
    #[serde(rename = "from")]
    pub initial_share: f64,
    /// Time from its start until it has its full capacity, in seconds.
    #[serde(rename = "time")]
    pub duration_s: f64,
    /// Overload threshold as a multiple of the capacity that the replica has at that time.
    #[serde(rename = "multiple")]
    pub overload_multiple: f64,
    /// Window over which requests are counted against the threshold, in seconds.
    #[serde(rename = "window")]
    pub overload_window_s: f64,
}

/// What clients send.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Searches per second at a co-ordinator, as a mean over all.
    pub rate: f64,
    /// Standard deviation of the logarithm of a co-ordinator's rate. At 0 all get the same; at 3 one of
    /// thirty may get half of all searches.
    #[serde(rename = "uneven", default, skip_serializing_if = "is_zero")]
    pub skew: f64,
    /// Most retries of a client.
    pub retries: usize,
    /// Time between two attempts of a client, in seconds.
    #[serde(rename = "pause")]
    pub retry_delay_s: f64,
    /// Whether clients wait as long as `Retry-After` says.
    #[serde(rename = "heeds")]
    pub honors_retry_after: bool,
    /// Share of the searches whose client disconnects before its time-out, from 0 to 1.
    #[serde(rename = "leaves")]
    pub disconnect_share: f64,
}

fn is_zero(n: &f64) -> bool {
    *n == 0.0
}

/// The network of datagrams between co-ordinators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peers {
    /// Share of the datagrams that are lost, from 0 to 1.
    #[serde(rename = "lost")]
    pub loss: f64,
    /// Share of the datagrams that arrive twice, from 0 to 1.
    #[serde(rename = "doubled")]
    pub duplication: f64,
    /// Longest additional delay, in seconds.
    #[serde(rename = "late")]
    pub max_delay_s: f64,
}
