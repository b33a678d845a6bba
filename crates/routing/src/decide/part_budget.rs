//! The latency budget of one part of a request, and the queuing deadline of the whole (docs/design.md, Kept).

use super::UnloadedLatency as Latencies;

pub(crate) const SAMPLE_AGE: f64 = 20.0; // seconds for which an unloaded latency counts
pub(crate) const OWN_SAMPLES: usize = 32; // of one replica: turn over in seconds, have a 0.97 quantile
pub(crate) const FLEET_SAMPLES: usize = 256;
pub(crate) const START_DIVISOR: f64 = 10.0; // of the shortest target, before any sample: binds nothing
/// With fewer of its own a replica counts as average: a quantile says nothing of so few, and swollen samples
/// push queuing deadlines below zero, so that such calls jump every queue.
pub(crate) const LEAST_SAMPLES: usize = 8;

/// Splits a target over `k` parts side by side: in time with probability `p` asks for p^(1/k) of each part.
pub struct PartBudget {
    p: f64,
    finest: f64,
}

impl Default for PartBudget {
    /// p = 0.7, from 0.5, 0.7 and 0.95: samples hold other co-ordinators' queues, so that at 0.95 a replica's
    /// tail is the worst of them and sound replicas are skipped; at 0.5 hopeless parts still leave. No finer
    /// than 32 samples can tell: beyond 1 - 1/16 one stray answer has parts of wide requests skipped.
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
