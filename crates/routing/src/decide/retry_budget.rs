//! The budget of retries and hedges: calls beyond a part's first, in any window.

use crate::api::{RetryBudgetConfig, Seconds, Settings};
use crate::mutations::is_mutated;
use crate::samples::{Sample, push};
use std::collections::VecDeque;

/// Number of entries of work taken that are remembered, the latest.
const REMEMBERED_ENTRIES: usize = 4096;

/// Counts work taken, and retries and hedges sent, against the configured limit; without a limit every retry is allowed.
pub struct RetryBudget {
    config: Option<RetryBudgetConfig>,
    /// How long after the decision a call may still leave. By then the window has less work in it than was
    /// counted.
    max_delay: Seconds,
    taken: VecDeque<Sample>,
    retries: VecDeque<Seconds>,
}

impl RetryBudget {
    /// A budget with nothing taken and nothing sent.
    pub fn new(settings: &Settings) -> Self {
        RetryBudget {
            config: settings.retry_budget.clone(),
            max_delay: settings.max_send_delay + settings.tick,
            taken: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Counts what the ratio is of: for searches one, and one for each part of a step.
    pub fn record_taken(&mut self, at: Seconds, count: usize) {
        push(
            &mut self.taken,
            Sample {
                at,
                value: count as f64,
            },
            REMEMBERED_ENTRIES,
        );
    }

    /// Counts a retry or hedge that is sent.
    pub fn record_repeat_sent(&mut self, now: Seconds) {
        self.retries.extend(self.config.is_some().then_some(now));
    }

    /// Whether one more retry is allowed.
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
        self.taken
            .retain(|taken| taken.at > from - forgotten + max_delay);
        let taken: f64 = self.taken.iter().map(|taken| taken.value).sum();
        self.retries.len() as f64 + 1.0 <= config.min_retries + config.ratio * taken
    }
}
