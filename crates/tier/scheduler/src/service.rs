//! Configuration of one service, and estimates from its calls.

use crate::retry_tokens::RetryTokens;
use crate::spec::ServiceSpec;

/// Weight of the latest call in the moving average of the prefill tokens.
const LEARNING_RATE: f64 = 0.05;
/// Assumed mean number of prefill tokens before the first call.
const INITIAL_MEAN_PREFILL: f64 = 512.0;
/// Lower bound of the mean number of prefill tokens: an engine does some work even for a completely cached prompt.
const MIN_MEAN_PREFILL: f64 = 64.0;
/// Number of connections that a replica accepts from all processes together if the configured limit is 0.
const DEFAULT_MAX_CONNECTIONS: usize = 1_024;

/// Number of connections that one of `processes` may open to a replica that accepts `max_conns` from all of them; at
/// least one. 0 for `max_conns` stands for 1,024. The result also limits the process's calls in flight at the replica,
/// since a connection carries one call at a time.
pub fn connections_per_process(max_conns: u32, processes: usize) -> usize {
    let max_connections = match max_conns {
        0 => DEFAULT_MAX_CONNECTIONS,
        configured => configured as usize,
    };
    (max_connections / processes.max(1)).max(1)
}

/// One service, with estimates from its calls.
pub(crate) struct Service {
    pub spec: ServiceSpec,
    /// This process's share of the connections that each replica accepts.
    pub connections: usize,
    pub retry_tokens: RetryTokens,
    mean_prefill: f64,
    highest_priority: RecentPriority,
}

/// Highest priority among recent calls.
struct RecentPriority {
    /// Priority as configured; 0 is the highest.
    rank: u8,
    /// Time at which a call of this priority last arrived, in seconds.
    seen_at: f64,
}

/// Seconds after the arrival of a call of the highest priority during which calls of lower priorities rank below it.
const PRIORITY_WINDOW: f64 = 2.0;

impl Service {
    pub(crate) fn new(spec: &ServiceSpec, edges: usize) -> Self {
        let mut service = Service {
            spec: spec.clone(),
            connections: 1,
            retry_tokens: RetryTokens::default(),
            mean_prefill: INITIAL_MEAN_PREFILL,
            highest_priority: RecentPriority {
                rank: u8::MAX,
                seen_at: f64::NEG_INFINITY,
            },
        };
        service.configure(spec, edges);
        service
    }

    /// Applies the configuration of the service. `edges` processes share the connections of its replicas.
    pub(crate) fn configure(&mut self, spec: &ServiceSpec, edges: usize) {
        self.connections = connections_per_process(spec.max_conns, edges);
        self.spec = spec.clone();
    }

    /// Records the arrival of a call of this priority.
    pub(crate) fn record_arrival(&mut self, now: f64, priority: u8) {
        if self.is_highest_priority(now, priority) {
            self.highest_priority = RecentPriority {
                rank: priority,
                seen_at: now,
            };
        }
    }

    /// Whether no call of a higher priority has arrived within [`PRIORITY_WINDOW`].
    pub(crate) fn is_highest_priority(&self, now: f64, priority: u8) -> bool {
        let highest = &self.highest_priority;
        priority <= highest.rank || now > highest.seen_at + PRIORITY_WINDOW
    }

    /// Records that a call was sent for which the replica has to prefill `prefill_tokens` tokens.
    pub(crate) fn record_sent(&mut self, prefill_tokens: u32) {
        self.mean_prefill += LEARNING_RATE * (f64::from(prefill_tokens) - self.mean_prefill);
    }

    /// Mean number of prefill tokens of a call; 0 if the service has no engine.
    pub(crate) fn mean_prefill(&self) -> usize {
        if self.spec.engine.is_some() {
            self.mean_prefill.max(MIN_MEAN_PREFILL) as usize
        } else {
            0
        }
    }

    /// Share of one of `edges` processes in a replica's KV cache, in tokens; 0 if the service has no engine.
    pub(crate) fn cache_share(&self, edges: usize) -> u64 {
        self.spec
            .engine
            .map_or(0, |engine| engine.kv_tokens / edges.max(1) as u64)
    }

    /// Whether the `tokens` of a prompt and its response exceed a replica's KV cache, so that all replicas reject the
    /// call. False if the capacity is 0.
    pub(crate) fn is_too_large(&self, tokens: u64) -> bool {
        self.spec
            .engine
            .is_some_and(|engine| engine.kv_tokens > 0 && tokens > engine.kv_tokens)
    }
}
