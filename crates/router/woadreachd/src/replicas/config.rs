//! Parameters of connections to replicas.

/// Limits of connections to replicas, from the settings.
pub struct ConnectionConfig {
    /// Most attempts in flight on one connection.
    pub max_attempts_in_flight: usize,
    /// Most parts in one call.
    pub max_parts_per_call: usize,
    /// Seconds after which a replica closes a connection without traffic.
    pub idle_timeout_s: f64,
    /// Seconds that a connection may take to come up; also the longest that a message may be on its way.
    pub connect_timeout_s: f64,
    /// Whether attempts in flight may be cancelled.
    pub cancellation_allowed: bool,
}

impl ConnectionConfig {
    /// Seconds after which a connection without traffic is not written to any more.
    ///
    /// PROTOCOL: what is written after the replica's idle time-out is lost. One connect time-out, the longest
    /// that a message may be on its way, keeps clear of it.
    pub(super) fn max_idle_s(&self) -> f64 {
        self.idle_timeout_s - self.connect_timeout_s
    }
}
