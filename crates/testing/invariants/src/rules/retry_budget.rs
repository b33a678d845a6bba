//! Checks [`Rule::Budget`]: retries and hedges stay within the retry budget.

use crate::breach::Rule;
use crate::checker::Checker;
use crate::event::{CoordinatorId, PartName};
use crate::rules::WEIGHT_TOLERANCE;
use crate::state::{AcceptedRequests, Coordinator, PartKey};
use crate::units::Seconds;

/// Tolerance for rounding errors in the number of allowed attempts.
const ROUNDING: f64 = 1e-9;

/// Removes requests that were accepted before the window.
fn remove_expired(coordinator: &mut Coordinator, window: Seconds, at: Seconds) {
    while coordinator
        .accepted
        .front()
        .is_some_and(|accepted| accepted.at + window < at)
    {
        coordinator.accepted.pop_front();
    }
}

impl Checker {
    /// Adds the requests of an accepted search to the co-ordinator's window.
    pub(crate) fn count_accepted(&mut self, at: Seconds, node: CoordinatorId, count: usize) {
        let Some(budget) = &self.terms.retry_budget else {
            return;
        };
        let window = budget.window + self.terms.max_link_latency;
        let coordinator = self.coordinators.entry(node).or_default();
        coordinator
            .accepted
            .push_back(AcceptedRequests { at, count });
        remove_expired(coordinator, window, at);
    }

    /// Adds the requests of a second step as soon as enough parts of the first step are completed for it to begin.
    pub(crate) fn count_second_step(&mut self, at: Seconds, part: &PartName) {
        let Some(search) = self
            .searches
            .get_mut(&part.search)
            .filter(|search| !search.second_step_possible)
        else {
            return;
        };
        let Some(terms) = self
            .terms
            .query_types
            .get(search.query_type)
            .filter(|terms| terms.second_step_parts > 0)
        else {
            return;
        };
        let completed = search.weight(|shard| {
            let second_step = false;
            search.values.contains_key(&PartKey { shard, second_step })
        });
        if completed >= terms.minimum_weight - WEIGHT_TOLERANCE {
            search.second_step_possible = true;
            let count = terms.second_step_parts;
            if let Some(coordinator) = self.coordinators.get_mut(&search.node) {
                coordinator
                    .accepted
                    .push_back(AcceptedRequests { at, count });
            }
        }
    }

    /// Counts a retry or hedge that arrived at time `at`. Reports a breach when the budget becomes exceeded.
    ///
    /// An attempt may arrive later than the co-ordinator counted it, by up to the latency of a link. The window is
    /// therefore shorter by the latency for attempts, and longer by it for accepted requests.
    pub(crate) fn check_retry_budget(&mut self, at: Seconds, node: CoordinatorId) {
        let Some(budget) = self.terms.retry_budget.clone() else {
            return;
        };
        let (latency, slack, now) = (self.terms.max_link_latency, self.terms.slack, self.now);
        let coordinator = self.coordinators.entry(node).or_default();
        // A suspended replica may read an attempt after the co-ordinator that sent it was restarted.
        if at < coordinator.started_at {
            return;
        }
        coordinator.retries.push_back(at);
        remove_expired(coordinator, budget.window + latency, at);
        // A suspended replica reads attempts late, so their arrival times are not in order.
        coordinator
            .retries
            .retain(|at| at + budget.window - latency > now);
        // An attempt that was read this late is only counted; the next attempt is checked with it. The state of its
        // own window is no longer complete.
        if now > at + slack {
            return;
        }
        let accepted: usize = coordinator
            .accepted
            .iter()
            .map(|accepted| accepted.count)
            .sum();
        let sent = coordinator.retries.len();
        let allowed = budget.min_retries + budget.ratio * accepted as f64;
        let exceeds_budget = sent as f64 > allowed + ROUNDING;
        let exceeded_before = std::mem::replace(&mut coordinator.exceeds_budget, exceeds_budget);
        if exceeds_budget && !exceeded_before {
            let window = budget.window;
            let why =
                format!("{sent} retries and hedges in {window} s, expected at most {allowed:.1}");
            self.report_coordinator(Rule::Budget, node, why);
        }
    }
}
