//! Parameters of the core task.

/// Limits of what the core task takes in, and the names that it needs from the settings.
pub(crate) struct CoreConfig {
    /// Most searches and parts in flight, taken together.
    pub(crate) max_open: usize,
    /// Most bytes of requests in memory.
    pub(crate) max_bytes: usize,
    /// Names of the zones, in the settings' order.
    pub(crate) zones: Vec<String>,
    /// Number of parts in a second step, by query type.
    pub(crate) second_step_parts: Vec<usize>,
    /// Longest client time-out of any query type, in seconds.
    pub(crate) max_client_timeout: f64,
    /// Longest latency target of any query type, in seconds.
    pub(crate) max_latency_target: f64,
}
