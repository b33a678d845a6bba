//! The searches in flight of one co-ordinator, beside the routing decisions.
//!
//! [`SearchTable`] owns each search from [`SearchTable::insert`] until it is over, and knows when the
//! decisions want to be asked about it next. What a plan asks for goes, in its order, to a [`PlanExecutor`].
//! The caller keeps the clock.

use crate::comparison::{ComparisonCounters, ProposedLimits};
use std::collections::{BTreeMap, VecDeque};
use woadreach_routing::api::{
    AttemptId, ListedReplica, Outcome, Part, PartId, Placement, Plan, ReplicaId, Reply, Search,
    SearchId, Settings, ShardId, SlowStartDemand, ZoneFailoverState, ZoneHealth,
};
use woadreach_routing::balancer::Balancer;
use woadreach_routing::mutations::is_mutated;

/// How much before its time a timer may fire, in seconds: hosts' timers count in microseconds.
pub const TIMER_PRECISION: f64 = 1e-5;

/// Carries out the steps of a plan. `attempt_index` numbers the attempts of a part from 0.
pub trait PlanExecutor {
    /// Logs a line.
    fn log(&mut self, line: &str);
    /// Cancels an attempt.
    fn cancel(&mut self, attempt: AttemptId);
    /// Sends an attempt.
    fn send(&mut self, search: &Search, placement: &Placement, attempt_index: usize);
    /// Replies to a search, or begins its second step where it is not finished.
    fn reply(&mut self, search: &Search, reply: Reply);
    /// Calls [`SearchTable::timer_fired`] for this search after `wait` seconds; earlier timers of it may still
    /// fire.
    fn set_timer(&mut self, search: SearchId, wait: f64);
    /// The search is over, answered or not, and is not in the table any more.
    fn search_finished(&mut self, search: &Search);
}

struct SearchInFlight {
    search: Search,
    /// When its next timer fires; infinite if none is set. Only an earlier timer replaces it.
    due: f64,
}

/// A comparison with the settings of another deployment.
struct Comparison {
    limits: ProposedLimits,
    /// Whether parts of the query type may not run twice there, by query type.
    once: Vec<bool>,
    counters: ComparisonCounters,
}

impl Comparison {
    fn count_attempt(&mut self, search: &Search, part: &Part, attempt_index: usize) {
        let once = self.once.get(search.query_type.0);
        let once = once.copied().unwrap_or(false);
        self.limits
            .count_attempt(part, attempt_index, once, &mut self.counters);
    }

    fn count_reply(&mut self, reply: Reply) {
        self.limits.count_reply(reply, &mut self.counters);
    }
}

/// How much is in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InFlightCounts {
    /// Number of searches.
    pub searches: usize,
    /// Number of their parts.
    pub parts: usize,
}

/// The searches in flight. See the module's documentation.
pub struct SearchTable {
    balancer: Balancer,
    searches: BTreeMap<SearchId, SearchInFlight>,
    /// The search of each part in flight.
    by_part: BTreeMap<PartId, SearchId>,
    comparison: Option<Comparison>,
}

impl SearchTable {
    /// A table without searches.
    pub fn new(settings: Settings) -> Self {
        SearchTable {
            balancer: Balancer::new(settings),
            searches: BTreeMap::new(),
            by_part: BTreeMap::new(),
            comparison: None,
        }
    }

    /// Counts from now on where `limits` would not have allowed a step. `query_types`: their names.
    pub fn compare_with(&mut self, limits: ProposedLimits, query_types: &[String]) {
        let once = query_types
            .iter()
            .map(|n| limits.once.contains(n))
            .collect();
        self.comparison = Some(Comparison {
            limits,
            once,
            counters: ComparisonCounters::default(),
        });
    }

    /// The counts of a comparison, if there is one.
    pub fn comparison_counters(&self) -> Option<ComparisonCounters> {
        self.comparison.as_ref().map(|c| c.counters)
    }

    /// Applies an endpoint list: a complete one, or changes.
    pub fn apply_endpoint_list(&mut self, full: bool, lines: &[ListedReplica]) {
        self.balancer.apply_endpoint_list(full, lines);
    }

    /// Applies what the tier has agreed on; `None`: this co-ordinator has no peers.
    pub fn set_zone_failover(&mut self, now: f64, state: Option<ZoneFailoverState>) {
        self.balancer.set_zone_failover(now, state);
    }

    /// What this co-ordinator's latest parts say of each zone.
    pub fn zone_health(&self, now: f64) -> Vec<ZoneHealth> {
        self.balancer.zone_health(now)
    }

    /// Demand for each warming replica.
    pub fn slow_start_demands(&self, now: f64) -> Vec<SlowStartDemand> {
        self.balancer.slow_start_demands(now)
    }

    /// Sets this co-ordinator's share of a warming replica, in even shares.
    pub fn set_quota_share(&mut self, replica: &ReplicaId, even_shares: f64) {
        self.balancer.set_quota_share(replica, even_shares);
    }

    /// Numbers of searches and parts in flight.
    pub fn in_flight(&self) -> InFlightCounts {
        InFlightCounts {
            searches: self.searches.len(),
            parts: self.by_part.len(),
        }
    }

    /// The search that a part belongs to.
    pub fn search_of(&self, part: PartId) -> Option<SearchId> {
        self.by_part.get(&part).copied()
    }

    /// Adds a search; [`SearchTable::place`] follows once its parts are added.
    pub fn insert(&mut self, search: Search) {
        let parts = search.parts.iter().map(|p| (p.id, search.id));
        self.by_part.extend(parts);
        let in_flight = SearchInFlight {
            due: f64::INFINITY,
            search,
        };
        self.searches.insert(in_flight.search.id, in_flight);
    }

    /// Adds a part to a search's step in progress; false if the search is not in flight any more.
    pub fn add_part(&mut self, search: SearchId, id: PartId, shard: ShardId, weight: f64) -> bool {
        let Some(in_flight) = self.searches.get_mut(&search) else {
            return false;
        };
        let step = in_flight.search.step;
        in_flight.search.parts.push(Part {
            id,
            shard,
            weight,
            step,
            answered: false,
            queued_for: None,
            attempts: Vec::new(),
        });
        self.by_part.insert(id, search);
        true
    }

    /// Asks the decisions about a search, and carries out their plan.
    pub fn place(&mut self, now: f64, search: SearchId, executor: &mut impl PlanExecutor) {
        if let Some(in_flight) = self.searches.get_mut(&search) {
            let plan = self.balancer.place(now, &mut in_flight.search);
            self.execute(now, Some(search), plan, executor);
        }
    }

    /// An attempt has ended.
    pub fn attempt_finished(
        &mut self,
        now: f64,
        outcome: &Outcome,
        executor: &mut impl PlanExecutor,
    ) {
        let id = self.search_of(outcome.part);
        let search = id
            .and_then(|id| self.searches.get_mut(&id))
            .map(|in_flight| &mut in_flight.search);
        let plan = self.balancer.attempt_finished(now, search, outcome);
        self.execute(now, id, plan, executor);
    }

    /// A timer of this search has fired. One that an earlier one replaced is ignored.
    pub fn timer_fired(&mut self, now: f64, search: SearchId, executor: &mut impl PlanExecutor) {
        let Some(in_flight) = self
            .searches
            .get_mut(&search)
            .filter(|s| s.due <= now + TIMER_PRECISION)
        else {
            return;
        };
        in_flight.due = f64::INFINITY;
        self.place(now, search, executor);
    }

    /// The client has disconnected before its answer.
    pub fn client_disconnected(
        &mut self,
        now: f64,
        search: SearchId,
        executor: &mut impl PlanExecutor,
    ) {
        if let Some(in_flight) = self.searches.get_mut(&search) {
            let plan = self.balancer.client_disconnected(&mut in_flight.search);
            self.execute(now, Some(search), plan, executor);
        }
    }

    /// Carries out a plan, and the plans of the searches that it has reconsidered.
    fn execute(
        &mut self,
        now: f64,
        search: Option<SearchId>,
        plan: Plan,
        executor: &mut impl PlanExecutor,
    ) {
        self.execute_one(now, search, &plan, executor);
        // A search is asked about when its turn comes, not when it is queued: a plan made earlier could be
        // carried out after its search was over, and its sends would be lost.
        let mut queue = VecDeque::from(plan.reconsider);
        while let Some(id) = queue.pop_front() {
            let Some(in_flight) = self.searches.get_mut(&id) else {
                continue;
            };
            let plan = self.balancer.place(now, &mut in_flight.search);
            self.execute_one(now, Some(id), &plan, executor);
            queue.extend(plan.reconsider);
        }
    }

    fn execute_one(
        &mut self,
        now: f64,
        search: Option<SearchId>,
        plan: &Plan,
        executor: &mut impl PlanExecutor,
    ) {
        for event in &plan.log_events {
            executor.log(&event.to_string());
        }
        for attempt in &plan.cancel {
            executor.cancel(*attempt);
        }
        let Some(id) = search else {
            return;
        };
        if let Some(in_flight) = self.searches.get(&id) {
            let comparison = &mut self.comparison;
            execute_sends(&in_flight.search, plan, comparison, executor);
            if let Some(reply) = plan.reply {
                executor.reply(&in_flight.search, reply);
                if let Some(comparison) = comparison {
                    comparison.count_reply(reply);
                }
            }
        }
        self.finish_or_set_timer(now, id, executor);
    }

    /// Removes a search that is over, or has its next timer set.
    fn finish_or_set_timer(&mut self, now: f64, id: SearchId, executor: &mut impl PlanExecutor) {
        let Some(in_flight) = self.searches.get_mut(&id) else {
            return;
        };
        if in_flight.search.finished {
            let parts = in_flight.search.parts.iter();
            for part in parts.filter(|_| !is_mutated("search-table-keeps-parts")) {
                self.by_part.remove(&part.id);
            }
            executor.search_finished(&in_flight.search);
            self.searches.remove(&id);
            return;
        }
        let wait = self.balancer.wait(now, &in_flight.search);
        if now + wait < in_flight.due {
            in_flight.due = now + wait;
            if !is_mutated("search-table-no-timer") {
                executor.set_timer(id, wait);
            }
        }
    }
}

/// Sends a plan's attempts, and counts them in a comparison.
fn execute_sends(
    search: &Search,
    plan: &Plan,
    comparison: &mut Option<Comparison>,
    executor: &mut impl PlanExecutor,
) {
    for (position, placement) in plan.send.iter().enumerate() {
        let part = search.parts.iter().find(|p| p.id == placement.part);
        // The decisions have recorded all attempts by now: this one stands before those that follow it.
        let recorded = part.map_or(0, |p| p.attempts.len());
        let this_and_later = plan.send[position..]
            .iter()
            .filter(|later| later.part == placement.part)
            .count();
        let attempt_index = recorded.saturating_sub(this_and_later);
        executor.send(search, placement, attempt_index);
        if let (Some(comparison), Some(part)) = (&mut *comparison, part) {
            comparison.count_attempt(search, part, attempt_index);
        }
    }
}
