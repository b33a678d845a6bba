//! Limits derived from recent answers: when a call is late, when it gets a hedge, whether the fleet is overloaded.

use super::{PartBudget, UnloadedLatency};
use crate::api::{Seconds, Share};
use crate::samples::{Sample, push, quantile, since};
use std::collections::VecDeque;

/// Number of answers that are remembered, the latest.
const REMEMBERED_ANSWERS: usize = 128;
/// Number of answers from which on the limits are derived from them.
const MIN_ANSWERS: usize = 20;
/// The quantile of latencies beyond which a call is late.
const LATE_QUANTILE: f64 = 0.95;
/// A call is late, or gets a hedge, only beyond this multiple of the median latency.
const MEDIAN_MULTIPLE: f64 = 2.5;
/// A call is late only beyond the shortest latency target divided by this.
const LATE_DIVISOR: f64 = 8.0;
/// Before there are enough answers, a call is late after the shortest latency target divided by this.
const INITIAL_LATE_DIVISOR: f64 = 3.0;
/// Hedges leave so that an unloaded one is answered by this share of the shortest latency target.
const HEDGE_TARGET_SHARE: Share = 0.9;
/// How long an answer counts for the rate of answers.
const RATE_WINDOW: Seconds = 2.0;
/// The fleet is overloaded beyond this multiple of the unloaded latency.
const OVERLOAD_MULTIPLE: f64 = 1.5;
/// The fleet is overloaded only beyond the unloaded latency and the shortest latency target divided by this.
const OVERLOAD_DIVISOR: f64 = 30.0;

/// Limits on latencies, derived from recent answers.
pub struct LatencyLimits {
    /// A call of longer latency counts as a failure of its replica.
    pub late_after: Seconds,
    /// A call that is in flight for longer is due a hedge, which it gets if `repeats` finds its part lost.
    pub hedge_after: Seconds,
    /// Whether answers take far longer than unloaded ones.
    pub overloaded: bool,
    /// The shortest latency target.
    shortest_target: Seconds,
    recent: VecDeque<Sample>,
}

impl LatencyLimits {
    /// Limits before the first answers, with the shortest latency target.
    pub fn new(shortest_target: Seconds) -> Self {
        let late_after = shortest_target / INITIAL_LATE_DIVISOR;
        LatencyLimits {
            late_after,
            hedge_after: late_after,
            overloaded: false,
            shortest_target,
            recent: VecDeque::new(),
        }
    }

    /// How long a queue takes to turn over.
    pub fn memory(&self) -> Seconds {
        self.shortest_target * 4.0 / 3.0
    }

    /// The present rate of answers.
    pub fn answers_per_second(&self, now: Seconds) -> f64 {
        since(&self.recent, now - RATE_WINDOW).len() as f64 / RATE_WINDOW
    }

    /// Records the latency of an answer.
    pub fn record_answer(&mut self, now: Seconds, latency: Seconds) {
        push(
            &mut self.recent,
            Sample {
                at: now,
                value: latency,
            },
            REMEMBERED_ANSWERS,
        );
    }

    /// Derives the limits anew. A call is late beyond the 0.95 quantile, 2.5 medians and an eighth of the latency
    /// target, so that neither a slow fleet nor a short stall of this process ejects a replica. Hedges leave
    /// while there is time left for an unloaded tail.
    pub fn update<R: Ord>(&mut self, unloaded: &UnloadedLatency<R>, budget: &PartBudget) {
        let of = |samples: Vec<f64>, p| quantile(samples, p).unwrap_or(0.0);
        let all = since(&self.recent, f64::NEG_INFINITY);
        if all.len() >= MIN_ANSWERS {
            self.late_after = of(all.clone(), LATE_QUANTILE)
                .max(MEDIAN_MULTIPLE * of(all, 0.5))
                .max(self.shortest_target / LATE_DIVISOR);
        }
        let last_call = HEDGE_TARGET_SHARE * self.shortest_target
            - of(unloaded.fleet(), budget.part_quantile(usize::MAX));
        self.hedge_after = self
            .late_after
            .min(last_call)
            .max(MEDIAN_MULTIPLE * of(unloaded.fleet(), 0.5));
    }

    /// Decides whether the fleet is overloaded, and returns whether that has changed. It is when the lower
    /// quartile of answers is above 1.5 times the unloaded one, and by more than a thirtieth of the latency
    /// target. The quartile and not the median, since a slow network link is no overload.
    pub fn update_overload<R: Ord>(&mut self, now: Seconds, unloaded: &UnloadedLatency<R>) -> bool {
        let lower = |samples| quantile(samples, 0.25).unwrap_or(0.0);
        let plain = lower(unloaded.fleet());
        let limit =
            (OVERLOAD_MULTIPLE * plain).max(plain + self.shortest_target / OVERLOAD_DIVISOR);
        let overloaded = lower(since(&self.recent, now - self.memory())) > limit;
        std::mem::replace(&mut self.overloaded, overloaded) != overloaded
    }
}
