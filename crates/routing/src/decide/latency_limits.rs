//! Latency limits derived from recent answers: when a call is late, when a hedge is due, whether the fleet is
//! overloaded.

use super::{PartBudget, UnloadedLatency};
use crate::api::{Seconds, Share};
use crate::samples::{Sample, push, quantile, since};
use std::collections::VecDeque;

/// Number of recent answers whose latencies are stored.
const REMEMBERED_ANSWERS: usize = 128;
/// Number of answers below which the initial limits apply.
const MIN_ANSWERS: usize = 20;
/// Quantile of recent latencies above which a call is late.
const LATE_QUANTILE: f64 = 0.95;
/// Lower bound on the limits for late calls and hedges, as a multiple of the median latency.
const MEDIAN_MULTIPLE: f64 = 2.5;
/// Divisor of the shortest latency target for the lower bound on the limit for late calls.
const LATE_DIVISOR: f64 = 8.0;
/// Divisor of the shortest latency target for the limit for late calls before there are enough answers.
const INITIAL_LATE_DIVISOR: f64 = 3.0;
/// Share of the shortest latency target within which a hedge to an unloaded replica is to be answered.
const HEDGE_TARGET_SHARE: Share = 0.9;
/// Window over which the rate of answers is measured.
const RATE_WINDOW: Seconds = 2.0;
/// Multiple of the unloaded latency above which the fleet is overloaded.
const OVERLOAD_MULTIPLE: f64 = 1.5;
/// Divisor of the shortest latency target for the least excess over the unloaded latency in an overload.
const OVERLOAD_DIVISOR: f64 = 30.0;

/// Latency limits, in seconds, derived from the latencies of recent answers.
pub struct LatencyLimits {
    /// Latency above which a call counts as a failure of its replica.
    pub late_after: Seconds,
    /// Age from which a call in flight is due a hedge. `repeats` decides whether the hedge is sent.
    pub hedge_after: Seconds,
    /// Whether the fleet was overloaded at the last [`LatencyLimits::update_overload`].
    pub overloaded: bool,
    /// Shortest latency target of all query types.
    shortest_target: Seconds,
    recent: VecDeque<Sample>,
}

impl LatencyLimits {
    /// Initial limits, derived from the shortest latency target of all query types.
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

    /// Time that a queue is expected to take to turn over. Decisions on the present load ignore older samples.
    pub fn queue_turnover(&self) -> Seconds {
        self.shortest_target * 4.0 / 3.0
    }

    /// Answers per second, averaged over the last 2 s.
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

    /// Recomputes the limits for late calls and hedges. A call is late above the largest of the 0.95 quantile, 2.5
    /// medians and an eighth of the latency target, so that neither a slow fleet nor a short stall of this process
    /// ejects a replica. A hedge is due early enough for an unloaded replica's tail latency to fit before the target.
    pub fn update<R: Ord>(&mut self, unloaded: &UnloadedLatency<R>, budget: &PartBudget) {
        let quantile_or_zero = |samples: Vec<f64>, p| quantile(samples, p).unwrap_or(0.0);
        let all = since(&self.recent, f64::NEG_INFINITY);
        if all.len() >= MIN_ANSWERS {
            self.late_after = quantile_or_zero(all.clone(), LATE_QUANTILE)
                .max(MEDIAN_MULTIPLE * quantile_or_zero(all, 0.5))
                .max(self.shortest_target / LATE_DIVISOR);
        }
        let latest_hedge = HEDGE_TARGET_SHARE * self.shortest_target
            - quantile_or_zero(unloaded.fleet(), budget.part_quantile(usize::MAX));
        self.hedge_after = self
            .late_after
            .min(latest_hedge)
            .max(MEDIAN_MULTIPLE * quantile_or_zero(unloaded.fleet(), 0.5));
    }

    /// Updates `overloaded`, and returns whether it has changed. The fleet is overloaded when the lower quartile of
    /// recent latencies exceeds 1.5 times the unloaded one, and by more than a thirtieth of the latency target. A slow
    /// network link is no overload; hence the lower quartile and not the median.
    pub fn update_overload<R: Ord>(&mut self, now: Seconds, unloaded: &UnloadedLatency<R>) -> bool {
        let lower_quartile = |samples| quantile(samples, 0.25).unwrap_or(0.0);
        let baseline = lower_quartile(unloaded.fleet());
        let limit =
            (OVERLOAD_MULTIPLE * baseline).max(baseline + self.shortest_target / OVERLOAD_DIVISOR);
        let overloaded = lower_quartile(since(&self.recent, now - self.queue_turnover())) > limit;
        std::mem::replace(&mut self.overloaded, overloaded) != overloaded
    }
}
