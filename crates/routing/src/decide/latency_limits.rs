//! What recent answers say: when a call in flight is late, when it gets a hedge, whether all is overloaded.

use super::{PartBudget, UnloadedLatency};
use crate::samples::{Sample, push, quantile, since};
use std::collections::VecDeque;

/// Limits on latencies (seconds), from those of the recent answers.
pub struct LatencyLimits {
    /// A longer one counts against its replica.
    pub late_after: f64,
    /// After so long a call gets a hedge.
    pub hedge_after: f64,
    /// Answers take far longer than unloaded ones.
    pub overloaded: bool,
    shortest: f64, // latency target
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

    /// The time in which a queue turns over.
    pub fn memory(&self) -> f64 {
        self.shortest * 4.0 / 3.0
    }

    /// Answers a second, of the last two.
    pub fn rate(&self, now: f64) -> f64 {
        since(&self.recent, now - 2.0).len() as f64 / 2.0
    }

    /// Takes in an answer.
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

    /// Late: beyond the 0.95 quantile, 2.5 medians and an eighth of the target, so that neither a slow fleet
    /// nor a moment's standstill here condemns any. Hedges leave while the unloaded tail is left.
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

    /// Overloaded: answers take, at the lower quartile, over 1.5 times the unloaded one and a thirtieth of
    /// the target more. Not the median: a slow way is no overload. Returns whether that has changed.
    pub fn update_overload<R: Ord>(&mut self, now: f64, unloaded: &UnloadedLatency<R>) -> bool {
        let lower = |samples| quantile(samples, 0.25).unwrap_or(0.0);
        let plain = lower(unloaded.fleet());
        let limit = (1.5 * plain).max(plain + self.shortest / 30.0);
        let overloaded = lower(since(&self.recent, now - self.memory())) > limit;
        std::mem::replace(&mut self.overloaded, overloaded) != overloaded
    }
}
