//! The latency budget of one part of a request, and the queuing deadline of the whole (docs/design.md, Kept).

use super::unloaded_latency::UnloadedLatency;

/// Splits a latency target over `k` parts that run side by side: an answer in time with probability `p` asks
/// for p^(1/k) of each part.
pub struct PartBudget {
    p: f64,
    finest: f64,
}

impl Default for PartBudget {
    /// p = 0.7, from 0.5, 0.7 and 0.95: samples hold other co-ordinators' queues, so that at 0.95 a replica's
    /// tail is the worst of them and sound replicas are skipped; at 0.5 hopeless parts still leave. No finer
    /// than 32 samples can tell: beyond 1 - 1/16 one stray answer has parts of wide requests skipped.
    fn default() -> Self {
        PartBudget { p: 0.7, finest: 1.0 - 1.0 / 16.0 }
    }
}

impl PartBudget {
    /// The quantile of a replica's unloaded latencies that a part of `k` must make: p^(1/k).
    pub fn part_quantile(&self, k: usize) -> f64 {
        self.p.powf(1.0 / k.max(1) as f64).min(self.finest)
    }

    /// When the parts sent to these replicas must have begun, at the latest, for the whole to make the time
    /// `target`. Replicas that count as average are `None`.
    pub fn queuing_deadline<R: Ord + Clone>(
        &self,
        now: f64,
        target: f64,
        latencies: &UnloadedLatency<R>,
        replicas: &[Option<&R>],
    ) -> f64 {
        target - latencies.product_quantile(now, replicas, self.p)
    }

    /// The unloaded tail of a replica for one of `k` parts.
    pub fn tail<R: Ord + Clone>(
        &self,
        now: f64,
        latencies: &UnloadedLatency<R>,
        replica: Option<&R>,
        k: usize,
    ) -> f64 {
        latencies.quantile(now, replica, self.part_quantile(k))
    }

    /// Whether a part is hopeless, and to be left unsent: its time left is under the unloaded tail.
    pub fn hopeless(time_left: f64, tail: f64) -> bool {
        time_left < tail
    }
}
