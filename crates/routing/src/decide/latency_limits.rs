//! Limits derived from recent answers: when a call is late, when it gets a hedge, whether the fleet is overloaded.

use super::{PartBudget, UnloadedLatency};
use crate::samples::{Sample, push, quantile, since};
use std::collections::VecDeque;

/// Limits on latencies in seconds, derived from recent answers.
pub struct LatencyLimits {
    /// A call of longer latency counts as a failure of its replica.
    pub late_after: f64,
    /// A call that is in flight for longer gets a hedge.
    pub hedge_after: f64,
    /// Whether answers take far longer than unloaded ones.
    pub overloaded: bool,
    /// The shortest latency target.
    shortest: f64,
    recent: VecDeque<Sample>,
}

impl LatencyLimits {
    /// Limits before the first answers; `shortest` is the shortest latency target.
    pub fn new(shortest: f64) -> Self {
        let (late_after, recent) = (shortest / 3.0, VecDeque::new());
        LatencyLimits {
            late_after,
            hedge_after: late_after,
            overloaded: false,
            shortest,
            recent,
        }
    }

    /// Seconds in which a queue turns over.
    pub fn memory(&self) -> f64 {
        self.shortest * 4.0 / 3.0
    }

    /// Answers a second, over the last two seconds.
    pub fn rate(&self, now: f64) -> f64 {
        since(&self.recent, now - 2.0).len() as f64 / 2.0
    }

    /// Records the latency of an answer.
    pub fn answered(&mut self, now: f64, latency: f64) {
        push(
            &mut self.recent,
            Sample {
                at: now,
                value: latency,
            },
            128,
        );
    }

    /// Derives the limits anew. A call is late beyond the 0.95 quantile, 2.5 medians and an eighth of the latency
    /// target, so that neither a slow fleet nor a short stall of this process ejects a replica. Hedges leave
    /// while there is time left for an unloaded tail.
    pub fn update<R: Ord>(&mut self, unloaded: &UnloadedLatency<R>, budget: &PartBudget) {
        let of = |samples: Vec<f64>, p| quantile(samples, p).unwrap_or(0.0);
        let all = since(&self.recent, f64::NEG_INFINITY);
        if all.len() >= 20 {
            self.late_after = of(all.clone(), 0.95)
                .max(2.5 * of(all, 0.5))
                .max(self.shortest / 8.0);
        }
        let last_call =
            0.9 * self.shortest - of(unloaded.fleet(), budget.part_quantile(usize::MAX));
        self.hedge_after = self
            .late_after
            .min(last_call)
            .max(2.5 * of(unloaded.fleet(), 0.5));
    }

    /// Decides whether the fleet is overloaded, and returns whether that has changed. It is when the lower
    /// quartile of answers is above 1.5 times the unloaded one, and by more than a thirtieth of the latency
    /// target. The quartile and not the median, since a slow network link is no overload.
    pub fn update_overload<R: Ord>(&mut self, now: f64, unloaded: &UnloadedLatency<R>) -> bool {
        let lower = |samples| quantile(samples, 0.25).unwrap_or(0.0);
        let plain = lower(unloaded.fleet());
        let limit = (1.5 * plain).max(plain + self.shortest / 30.0);
        let overloaded = lower(since(&self.recent, now - self.memory())) > limit;
        std::mem::replace(&mut self.overloaded, overloaded) != overloaded
    }
}
