//! The budget of retries and hedges: calls beyond a part's first, in any window.

use crate::api::{RetryBudgetConfig, Settings};
use crate::mutations::is_mutated;
use crate::samples::{Sample, push};
use std::collections::VecDeque;

/// Counts work taken and retries sent against the configured limit; without a limit every retry is allowed.
pub struct RetryBudget {
    config: Option<RetryBudgetConfig>,
    /// Seconds after the decision at which a call may still leave. By then the window has less work in it than
    /// was counted.
    max_delay: f64,
    taken: VecDeque<Sample>,
    retries: VecDeque<f64>,
}

impl RetryBudget {
    /// A budget with nothing taken and nothing sent.
    pub fn new(set: &Settings) -> Self {
        let (config, max_delay) = (set.retry_budget.clone(), set.max_send_delay + set.tick);
        RetryBudget {
            config,
            max_delay,
            taken: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Counts work taken.
    pub fn taken(&mut self, at: f64, count: usize) {
        push(
            &mut self.taken,
            Sample {
                at,
                value: count as f64,
            },
            4096,
        );
    }

    /// Counts a retry that is sent.
    pub fn sent(&mut self, now: f64) {
        self.retries.extend(self.config.is_some().then_some(now));
    }

    /// Whether one more retry is allowed.
    pub fn allows_retry(&mut self, now: f64) -> bool {
        let Some(config) = self
            .config
            .as_ref()
            .filter(|_| !is_mutated("module-budget"))
        else {
            return true;
        };
        let forgotten = if is_mutated("module-budget-window") {
            0.1 * config.window
        } else {
            0.0
        };
        let (from, max_delay) = (now - config.window + forgotten, self.max_delay);
        self.retries.retain(|t| *t >= from - max_delay);
        self.taken.retain(|t| t.at > from - forgotten + max_delay);
        let taken: f64 = self.taken.iter().map(|t| t.value).sum();
        self.retries.len() as f64 + 1.0 <= config.min_retries + config.ratio * taken
    }
}
