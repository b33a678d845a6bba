//! Latency budget of one part of a request, and queuing deadline of the whole request (docs/design.md, Kept).

use super::UnloadedLatency;
use crate::api::{Seconds, Share};

/// Age up to which a replica's unloaded latencies are used.
pub(crate) const SAMPLE_AGE: Seconds = 20.0;
/// Number of samples that are stored for each replica. So many are replaced within seconds, and allow a 0.97 quantile.
pub(crate) const OWN_SAMPLES: usize = 32;
/// Number of samples that are stored for the fleet.
pub(crate) const FLEET_SAMPLES: usize = 256;
/// Divisor of the shortest latency target for the unloaded latency before any sample. The result is small enough
/// to restrict nothing.
pub(crate) const INITIAL_LATENCY_DIVISOR: f64 = 10.0;
/// Number of own samples below which a replica counts as average. A quantile of fewer samples is unreliable, and
/// inflated samples make queuing deadlines negative, so that such calls overtake all others in every queue.
pub(crate) const MIN_OWN_SAMPLES: usize = 8;

/// Probability with which all parts of a request are to be in time. Samples include queuing behind other
/// co-ordinators' calls: with 0.95, a replica's tail is the worst of these samples, and healthy replicas are skipped.
/// With 0.5, parts are sent that cannot be answered in time.
const IN_TIME_PROBABILITY: Share = 0.7;
/// Highest quantile of a replica's latencies that is used. 32 samples allow no finer one: above 1 - 1/16, a single
/// outlier causes parts of requests with many parts to be skipped.
const MAX_QUANTILE: Share = 1.0 - 1.0 / 16.0;

/// Splits a latency target over `k` concurrent parts: for all to be in time with probability p, each has to be in time
/// with probability p^(1/k).
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
    /// Probability with which each of `k` parts has to be in time, p^(1/k), as a quantile of its replica's unloaded
    /// latencies. 0 parts count as 1.
    pub fn part_quantile(&self, k: usize) -> Share {
        self.probability
            .powf(1.0 / k.max(1) as f64)
            .min(self.max_quantile)
    }

    /// Latest time at which parts can start at these replicas so that the whole request finishes by `end`. A `None`
    /// stands for a replica with the fleet's average latencies.
    pub fn queuing_deadline<R: Ord>(
        &self,
        now: Seconds,
        end: Seconds,
        latencies: &UnloadedLatency<R>,
        replicas: &[Option<&R>],
    ) -> Seconds {
        end - latencies.product_quantile(now, replicas, self.probability)
    }

    /// Tail of a replica's unloaded latencies, at the quantile that one of `k` parts has to reach; of the fleet's for
    /// `None`.
    pub fn tail<R: Ord>(
        &self,
        now: Seconds,
        latencies: &UnloadedLatency<R>,
        replica: Option<&R>,
        k: usize,
    ) -> Seconds {
        latencies.quantile(now, replica, self.part_quantile(k))
    }

    /// Whether a part is not worth sending because the remaining time is shorter than the unloaded tail latency.
    pub fn cannot_finish_in_time(remaining: Seconds, tail: Seconds) -> bool {
        remaining < tail
    }
}
