//! Budget of retries and hedges: a limit on the attempts beyond the first of each part, over a sliding window.

use crate::api::{RetryBudgetConfig, Seconds, Settings};
use crate::mutations::is_mutated;
use crate::samples::{Sample, push};
use std::collections::VecDeque;

/// Number of recent entries of accepted work that are stored.
const REMEMBERED_ENTRIES: usize = 4096;

/// Compares the retries and hedges sent with the accepted work. Without a configured limit every retry is allowed.
pub struct RetryBudget {
    config: Option<RetryBudgetConfig>,
    /// Longest time between the decision on a retry and its sending. Meanwhile work that was counted may pass out of
    /// the window, so such work is left out.
    max_delay: Seconds,
    /// Accepted work; each value is a number of searches or parts.
    work: VecDeque<Sample>,
    /// Times at which retries and hedges were sent.
    retries: VecDeque<Seconds>,
}

impl RetryBudget {
    /// A budget without any work or retries yet.
    pub fn new(settings: &Settings) -> Self {
        RetryBudget {
            config: settings.retry_budget.clone(),
            max_delay: settings.max_send_delay + settings.tick,
            work: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Records accepted work, which the configured ratio refers to: one for each search, and one for each part of a
    /// step.
    pub fn record_work(&mut self, at: Seconds, count: usize) {
        push(
            &mut self.work,
            Sample {
                at,
                value: count as f64,
            },
            REMEMBERED_ENTRIES,
        );
    }

    /// Records that a retry or hedge was sent.
    pub fn record_retry_sent(&mut self, now: Seconds) {
        self.retries.extend(self.config.is_some().then_some(now));
    }

    /// Whether the budget allows another retry or hedge.
    pub fn allows_retry(&mut self, now: Seconds) -> bool {
        let Some(config) = self
            .config
            .as_ref()
            .filter(|_| !is_mutated("routing-budget"))
        else {
            return true;
        };
        let forgotten = if is_mutated("routing-budget-window") {
            0.1 * config.window
        } else {
            0.0
        };
        let (from, max_delay) = (now - config.window + forgotten, self.max_delay);
        self.retries.retain(|at| *at >= from - max_delay);
        self.work
            .retain(|entry| entry.at > from - forgotten + max_delay);
        let work: f64 = self.work.iter().map(|entry| entry.value).sum();
        self.retries.len() as f64 + 1.0 <= config.min_retries + config.ratio * work
    }
}
