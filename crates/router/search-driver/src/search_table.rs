//! Table of the searches in flight at one co-ordinator, with its routing decisions.
//!
//! [`SearchTable`] owns each search from [`SearchTable::insert`] until its end, and tracks when the decisions have to
//! reconsider it. A [`PlanExecutor`] carries out the actions of each plan in their order. The caller owns the clock.

use crate::comparison::{ComparisonCounters, ProposedLimits};
use std::collections::{BTreeMap, VecDeque};
use woadreach_routing::api::{
    AttemptId, ListedReplica, Outcome, Part, PartId, Placement, Plan, ReplicaId, Reply, Search,
    SearchId, Settings, ShardId, SlowStartDemand, ZoneFailoverState, ZoneHealth,
};
use woadreach_routing::balancer::Balancer;
use woadreach_routing::mutations::is_mutated;

/// Time by which a timer may fire early, in seconds. Hosts have timers with a resolution of microseconds.
pub const TIMER_PRECISION: f64 = 1e-5;

/// Carries out the actions of a plan. `attempt_index` is the index of an attempt among those of its part, from 0.
pub trait PlanExecutor {
    /// Writes a line to the log.
    fn log(&mut self, line: &str);
    /// Cancels an attempt in flight. Its end is reported with [`SearchTable::attempt_finished`].
    fn cancel(&mut self, attempt: AttemptId);
    /// Sends an attempt. Its end is reported with [`SearchTable::attempt_finished`].
    fn send(&mut self, search: &Search, placement: &Placement, attempt_index: usize);
    /// Replies to a search, or begins its second step if the search is not finished.
    fn reply(&mut self, search: &Search, reply: Reply);
    /// Sets a timer that calls [`SearchTable::timer_fired`] for this search after `wait` seconds. Earlier timers of the
    /// search need not be removed.
    fn set_timer(&mut self, search: SearchId, wait: f64);
    /// Reports that a search has ended, with or without an answer, and is being removed from the table.
    fn search_finished(&mut self, search: &Search);
}

struct SearchInFlight {
    search: Search,
    /// Time of the search's next timer; infinite if no timer is set. Only an earlier timer replaces it.
    due: f64,
}

/// Comparison with the limits of another deployment.
struct Comparison {
    limits: ProposedLimits,
    /// For each query type, whether its parts may run only once in the other deployment.
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

/// Numbers of searches and parts in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InFlightCounts {
    /// Number of searches.
    pub searches: usize,
    /// Number of parts of these searches, answered ones included.
    pub parts: usize,
}

/// Searches in flight at one co-ordinator, with its routing decisions.
pub struct SearchTable {
    balancer: Balancer,
    searches: BTreeMap<SearchId, SearchInFlight>,
    /// Search of each part, for all searches in the table.
    by_part: BTreeMap<PartId, SearchId>,
    comparison: Option<Comparison>,
}

impl SearchTable {
    /// An empty table of a co-ordinator with these settings.
    pub fn new(settings: Settings) -> Self {
        SearchTable {
            balancer: Balancer::new(settings),
            searches: BTreeMap::new(),
            by_part: BTreeMap::new(),
            comparison: None,
        }
    }

    /// Starts to count the steps that `limits` would not have allowed. `query_types`: the names of the query types,
    /// in the order of the settings.
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

    /// Counters of the comparison; `None` if [`SearchTable::compare_with`] was not called.
    pub fn comparison_counters(&self) -> Option<ComparisonCounters> {
        self.comparison.as_ref().map(|c| c.counters)
    }

    /// Applies a complete endpoint list if `full`, and otherwise changes of the list.
    pub fn apply_endpoint_list(&mut self, full: bool, lines: &[ListedReplica]) {
        self.balancer.apply_endpoint_list(full, lines);
    }

    /// Applies the zone failover state that the tier has agreed on; `None` if this co-ordinator is not connected to
    /// peers.
    pub fn set_zone_failover(&mut self, now: f64, state: Option<ZoneFailoverState>) {
        self.balancer.set_zone_failover(now, state);
    }

    /// Health of each zone, from this co-ordinator's latest parts.
    pub fn zone_health(&self, now: f64) -> Vec<ZoneHealth> {
        self.balancer.zone_health(now)
    }

    /// This co-ordinator's demand on each replica that is warming up.
    pub fn slow_start_demands(&self, now: f64) -> Vec<SlowStartDemand> {
        self.balancer.slow_start_demands(now)
    }

    /// Sets this co-ordinator's share of a warming replica, as a multiple of the even share.
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

    /// Search that a part belongs to; `None` if the search has ended or the part is unknown.
    pub fn search_of(&self, part: PartId) -> Option<SearchId> {
        self.by_part.get(&part).copied()
    }

    /// Adds a search with its parts. Call [`SearchTable::place`] once all parts have been added.
    pub fn insert(&mut self, search: Search) {
        let parts = search.parts.iter().map(|p| (p.id, search.id));
        self.by_part.extend(parts);
        let in_flight = SearchInFlight {
            due: f64::INFINITY,
            search,
        };
        self.searches.insert(in_flight.search.id, in_flight);
    }

    /// Adds a part to the step in progress of a search. Returns false if the search is no longer in flight.
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

    /// Makes the decisions on a search, and carries out the resulting plan.
    pub fn place(&mut self, now: f64, search: SearchId, executor: &mut impl PlanExecutor) {
        if let Some(in_flight) = self.searches.get_mut(&search) {
            let plan = self.balancer.place(now, &mut in_flight.search);
            self.execute(now, Some(search), plan, executor);
        }
    }

    /// Handles the end of an attempt.
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

    /// Handles a timer of a search. A timer that was replaced by an earlier one is ignored.
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

    /// Handles the disconnection of a client before the reply to its search.
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

    /// Carries out a plan, and then the plans of the searches to be reconsidered.
    fn execute(
        &mut self,
        now: f64,
        search: Option<SearchId>,
        plan: Plan,
        executor: &mut impl PlanExecutor,
    ) {
        self.execute_one(now, search, &plan, executor);
        // The plan of a reconsidered search is made immediately before it is carried out. If it were made earlier, its
        // search could end in between, and its attempts would never be sent.
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

    /// Removes a search that has ended; otherwise sets its next timer.
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

/// Sends the attempts of a plan, and counts them in the comparison.
fn execute_sends(
    search: &Search,
    plan: &Plan,
    comparison: &mut Option<Comparison>,
    executor: &mut impl PlanExecutor,
) {
    for (position, placement) in plan.send.iter().enumerate() {
        let part = search.parts.iter().find(|p| p.id == placement.part);
        // The decisions have already recorded all attempts of the plan in the part. The index of this one is the
        // number of recorded attempts, less this one and those that follow it in the plan.
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
