//! The target's size and budget, as the users state them.

/// Edges.
pub const EDGES: f64 = 620.0;
/// Replicas.
pub const REPLICAS: f64 = 11_000.0;
/// Core machines.
pub const CORE: f64 = 19.0;
/// Core machines that an edge polls.
pub const POLLED: f64 = 3.0;
/// Changes of the configuration a minute: 17,000 a day.
pub const CHANGES_PER_MINUTE: f64 = 17_000.0 / 1440.0;
/// Budget of an edge's control: hundredths of a core.
pub const EDGE_CPU_PERCENT: f64 = 2.2;
/// Budget of an edge's control: memory in MB.
pub const EDGE_MEMORY_MB: f64 = 128.0;
/// Budget of an edge's control: bytes a second.
pub const EDGE_BYTES_PER_SECOND: f64 = 6_000.0;
/// Intervals between two heartbeats that are worked out, in seconds.
pub const HEARTBEATS: [f64; 3] = [0.3, 1.0, 3.0];
