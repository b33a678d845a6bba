//! The latency budget of one part of a request, and the queuing deadline of the whole (docs/design.md, Kept).

use super::UnloadedLatency as Latencies;

/// Seconds for which an unloaded latency counts.
pub(crate) const SAMPLE_AGE: f64 = 20.0;
/// Samples of one replica: they are replaced in seconds, and have a 0.97 quantile.
pub(crate) const OWN_SAMPLES: usize = 32;
/// Samples of the fleet.
pub(crate) const FLEET_SAMPLES: usize = 256;
/// Before any sample, the unloaded latency is taken for the shortest latency target divided by this, which
/// restricts nothing.
pub(crate) const START_DIVISOR: f64 = 10.0;
/// A replica with fewer samples of its own counts as average. A quantile of so few says nothing, and inflated
/// samples push queuing deadlines below zero, so that such calls overtake every queue.
pub(crate) const LEAST_SAMPLES: usize = 8;

/// Splits a target over `k` parts side by side: in time with probability `p` asks for p^(1/k) of each part.
pub struct PartBudget {
    p: f64,
    finest: f64,
}

impl Default for PartBudget {
    /// `p` is 0.7. Samples contain other co-ordinators' queues, so that with 0.95 a replica's tail is the worst of
    /// them and healthy replicas are skipped; with 0.5 hopeless parts still leave. The quantile is no finer than
    /// 32 samples allow: beyond 1 - 1/16 one outlier has parts of wide requests skipped.
    fn default() -> Self {
        PartBudget {
            p: 0.7,
            finest: 1.0 - 1.0 / 16.0,
        }
    }
}

impl PartBudget {
    /// The quantile of a replica's unloaded latencies that a part of `k` must make: p^(1/k).
    pub fn part_quantile(&self, k: usize) -> f64 {
        self.p.powf(1.0 / k.max(1) as f64).min(self.finest)
    }

    /// When parts at these replicas must begin for the whole to end by `end`; `None` counts as average.
    pub fn queuing_deadline<R: Ord>(
        &self,
        now: f64,
        end: f64,
        of: &Latencies<R>,
        at: &[Option<&R>],
    ) -> f64 {
        end - of.product_quantile(now, at, self.p)
    }

    /// The unloaded tail of a replica for one of `k` parts.
    pub fn tail<R: Ord>(&self, now: f64, of: &Latencies<R>, at: Option<&R>, k: usize) -> f64 {
        of.quantile(now, at, self.part_quantile(k))
    }

    /// Whether a part is left unsent: its time left is under the unloaded tail.
    pub fn hopeless(time_left: f64, tail: f64) -> bool {
        time_left < tail
    }
}
