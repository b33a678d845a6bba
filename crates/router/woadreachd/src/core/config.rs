//! Parameters of the core task.

/// Limits of what the core task takes in, and the names that it needs from the settings.
pub struct CoreConfig {
    /// Most searches and parts in flight, taken together.
    pub max_in_flight: usize,
    /// Most bytes of requests in memory.
    pub max_request_bytes: usize,
    /// Names of the zones, in the settings' order.
    pub zones: Vec<String>,
    /// Number of parts in a second step, by query type.
    pub second_step_parts: Vec<usize>,
    /// Longest client time-out of any query type, in seconds.
    pub max_client_timeout_s: f64,
    /// Longest latency target of any query type, in seconds.
    pub max_latency_target_s: f64,
}
