//! The latency budget of one part of a request, and the queuing deadline of the whole (docs/design.md, Kept).

use super::UnloadedLatency;
use crate::api::{Seconds, Share};

/// How long an unloaded latency counts.
pub(crate) const SAMPLE_AGE: Seconds = 20.0;
/// Number of samples of one replica: they are replaced in seconds, and have a 0.97 quantile.
pub(crate) const OWN_SAMPLES: usize = 32;
/// Number of samples of the fleet.
pub(crate) const FLEET_SAMPLES: usize = 256;
/// Before any sample, the unloaded latency is taken for the shortest latency target divided by this, which
/// restricts nothing.
pub(crate) const START_DIVISOR: f64 = 10.0;
/// A replica with fewer samples of its own counts as average. A quantile of so few says nothing, and inflated
/// samples push queuing deadlines below zero, so that such calls overtake every queue.
pub(crate) const LEAST_SAMPLES: usize = 8;

/// The probability with which all parts of a request are to be in time. Samples contain other co-ordinators' queues,
/// so that with 0.95 a replica's tail is the worst of them and healthy replicas are skipped; with 0.5 hopeless parts
/// still leave.
const IN_TIME_PROBABILITY: Share = 0.7;
/// The highest quantile of a replica's latencies that is used: 32 samples allow no finer one. Beyond 1 - 1/16 one
/// outlier has parts of wide requests skipped.
const MAX_QUANTILE: Share = 1.0 - 1.0 / 16.0;

/// Splits a target over `k` parts side by side: in time with probability p asks for p^(1/k) of each part.
pub struct PartBudget {
    probability: Share,
    max_quantile: Share,
}

impl Default for PartBudget {
    fn default() -> Self {
        PartBudget {
            probability: IN_TIME_PROBABILITY,
            max_quantile: MAX_QUANTILE,
        }
    }
}

impl PartBudget {
    /// The quantile of a replica's unloaded latencies that a part of `k` must make: p^(1/k).
    pub fn part_quantile(&self, k: usize) -> Share {
        self.probability
            .powf(1.0 / k.max(1) as f64)
            .min(self.max_quantile)
    }

    /// When parts at these replicas must begin for the whole to end by `end`; `None` counts as average.
    pub fn queuing_deadline<R: Ord>(
        &self,
        now: Seconds,
        end: Seconds,
        latencies: &UnloadedLatency<R>,
        replicas: &[Option<&R>],
    ) -> Seconds {
        end - latencies.product_quantile(now, replicas, self.probability)
    }

    /// The unloaded tail of a replica for one of `k` parts.
    pub fn tail<R: Ord>(
        &self,
        now: Seconds,
        latencies: &UnloadedLatency<R>,
        replica: Option<&R>,
        k: usize,
    ) -> Seconds {
        latencies.quantile(now, replica, self.part_quantile(k))
    }

    /// Whether a part is not worth sending: the time that remains is shorter than the unloaded tail.
    pub fn cannot_finish_in_time(remaining: Seconds, tail: Seconds) -> bool {
        remaining < tail
    }
}
