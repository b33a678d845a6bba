//! The budget of retries and hedges: calls beyond a part's first, in any window.

use crate::api::{RetryBudgetConfig, Settings};
use crate::mutations::is_mutated;
use crate::samples::{Sample, push};
use std::collections::VecDeque;

/// Counts work taken and retries calls sent against the settings' rule; without one there is always room.
pub struct RetryBudget {
    rule: Option<RetryBudgetConfig>,
    late: f64, // how late a decided call may leave: the window holds less by then than was counted
    taken: VecDeque<Sample>,
    retries: VecDeque<f64>,
}

impl RetryBudget {
    /// Nothing taken, nothing sent.
    pub fn new(set: &Settings) -> Self {
        let (rule, late) = (set.retry_budget.clone(), set.max_send_delay + set.tick);
        RetryBudget {
            rule,
            late,
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
        ); // more than a window; fewer is safe
    }

    /// Counts a retries call.
    pub fn sent(&mut self, now: f64) {
        self.retries.extend(self.rule.is_some().then_some(now));
    }

    /// Whether there is room for one more.
    pub fn has_room(&mut self, now: f64) -> bool {
        let Some(rule) = self.rule.as_ref().filter(|_| !is_mutated("module-budget")) else {
            return true;
        };
        let forgotten = if is_mutated("module-budget-window") {
            0.1 * rule.window
        } else {
            0.0
        };
        let (from, late) = (now - rule.window + forgotten, self.late);
        self.retries.retain(|t| *t >= from - late);
        self.taken.retain(|t| t.at > from - forgotten + late);
        let taken: f64 = self.taken.iter().map(|t| t.value).sum();
        self.retries.len() as f64 + 1.0 <= rule.min_retries + rule.ratio * taken
    }
}
