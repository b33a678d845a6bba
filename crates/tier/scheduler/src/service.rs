//! What is configured and learned of one service.

use crate::retry_budget::RetryBudget;
use crate::spec::ServiceSpec;

/// Weight of the latest call in the mean of the tokens to read.
const LEARNING_RATE: f64 = 0.05;
/// Before any call, as many tokens as this are taken to be read for one.
const INITIAL_MEAN_READ: f64 = 512.0;
/// Never less: each call costs an engine something, even one whose prompt it holds whole.
const MIN_MEAN_READ: f64 = 64.0;
/// Own calls in flight at a replica where the configuration sets no bound.
const MAX_CONNECTIONS: usize = 1_024;

/// One service, and what its calls have needed.
pub(crate) struct Service {
    pub spec: ServiceSpec,
    /// Own share of the connections that each replica accepts.
    pub connections: usize,
    pub budget: RetryBudget,
    mean_read: f64,
    /// The most urgent rank of its calls of late, and when it was seen.
    most_urgent: (u8, f64),
}

/// Seconds for which a more urgent call makes others less urgent ones.
const URGENCY_WINDOW: f64 = 2.0;

impl Service {
    pub fn new(spec: &ServiceSpec, edges: usize) -> Self {
        let mut service = Service {
            spec: spec.clone(),
            connections: 1,
            budget: RetryBudget::default(),
            mean_read: INITIAL_MEAN_READ,
            most_urgent: (u8::MAX, f64::NEG_INFINITY),
        };
        service.configure(spec, edges);
        service
    }

    /// Takes in its configuration; `edges` processes share the connections.
    pub fn configure(&mut self, spec: &ServiceSpec, edges: usize) {
        let most = if spec.max_conns == 0 {
            MAX_CONNECTIONS
        } else {
            spec.max_conns as usize
        };
        self.connections = (most / edges.max(1)).max(1);
        self.spec = spec.clone();
    }

    /// A call of this rank arrived.
    pub fn arrived(&mut self, now: f64, priority: u8) {
        let (rank, at) = self.most_urgent;
        if priority <= rank || now > at + URGENCY_WINDOW {
            self.most_urgent = (priority, now);
        }
    }

    /// Whether no more urgent call arrived of late.
    pub fn is_most_urgent(&self, now: f64, priority: u8) -> bool {
        let (rank, at) = self.most_urgent;
        priority <= rank || now > at + URGENCY_WINDOW
    }

    /// A call was sent whose replica has to read so many prompt tokens.
    pub fn sent(&mut self, tokens_to_read: u32) {
        self.mean_read += LEARNING_RATE * (f64::from(tokens_to_read) - self.mean_read);
    }

    /// Prompt tokens that a call has to have read, on average; 0 if the service is no engine.
    pub fn mean_read(&self) -> usize {
        if self.spec.engine.is_some() {
            self.mean_read.max(MIN_MEAN_READ) as usize
        } else {
            0
        }
    }

    /// Tokens of a replica's memory that this process counts on, as the others fill theirs.
    pub fn cache_share(&self, edges: usize) -> u64 {
        self.spec
            .engine
            .map_or(0, |engine| engine.kv_tokens / edges.max(1) as u64)
    }

    /// Whether a prompt and its answer are larger than a replica's memory, so that all will refuse it as
    /// full.
    pub fn is_too_large(&self, tokens: u64) -> bool {
        self.spec
            .engine
            .is_some_and(|engine| engine.kv_tokens > 0 && tokens > engine.kv_tokens)
    }
}
