//! The parameters of the simulated network.

use crate::clock::Nanos;

/// The latencies that a transmission may have: from `min` to `min + jitter`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LatencyRange {
    /// The lowest, in nanoseconds.
    pub min: Nanos,
    /// How much higher it may be, in nanoseconds; each transmission draws its own.
    pub jitter: Nanos,
}

/// What holds for every connection of a simulated world.
#[derive(Clone, Debug)]
pub(crate) struct NetworkConfig {
    /// One-way latency within a zone.
    pub within_zone: LatencyRange,
    /// One-way latency between two zones.
    pub between_zones: LatencyRange,
    /// Bytes per second of one connection.
    pub bandwidth: f64,
    /// Bytes that a receiver holds unread.
    pub receive_buffer: usize,
    /// Bytes that a sender holds unsent.
    pub send_buffer: usize,
    /// Connections that wait to be accepted.
    pub backlog: usize,
    /// Share of the chunks that are split in two on the way.
    pub split_ratio: f64,
    /// Share of the datagrams that are lost.
    pub datagram_loss: f64,
    /// Share of the datagrams that arrive twice.
    pub datagram_duplication: f64,
    /// Longest additional delay of a datagram, in nanoseconds.
    pub max_datagram_delay: Nanos,
}

impl Default for NetworkConfig {
    fn default() -> Self {
        NetworkConfig {
            within_zone: LatencyRange {
                min: 50_000,
                jitter: 100_000,
            },
            between_zones: LatencyRange {
                min: 400_000,
                jitter: 600_000,
            },
            bandwidth: 125e6,
            receive_buffer: 128 * 1024,
            send_buffer: 64 * 1024,
            backlog: 256,
            split_ratio: 0.02,
            datagram_loss: 0.0,
            datagram_duplication: 0.0,
            max_datagram_delay: 0,
        }
    }
}
