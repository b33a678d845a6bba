//! The searches in hand of one co-ordinator, beside the module that decides about them. Owns each search from
//! `take` until it is over and knows when each wants to be asked about next; what a plan asks for goes, in
//! its order, into a sink. Must never decide, nor keep a clock: the caller tells the time.

use crate::watch::{Shape, WatchCounters};
use std::collections::{BTreeMap, VecDeque};
use woadreach_routing::api::*;
use woadreach_routing::decide::balancer::Balancer;
use woadreach_routing::mutations::is_mutated;

/// Where the steps of a plan go. `attempt_index` numbers the sub-requests of a part.
pub trait PlanExecutor {
    fn note(&mut self, line: &str);
    fn cancel(&mut self, part: PartId, attempt_index: usize);
    fn send(&mut self, search: &Search, placement: &Placement, attempt_index: usize);
    fn reply(&mut self, search: &Search, reply: Reply);
    /// Call `SearchTable::due` for this search after `wait` seconds; earlier timers of it may still come.
    fn timer(&mut self, search: SearchId, wait: f64);
    /// The search is over and let go, answered or not.
    fn finished(&mut self, search: &Search);
}

struct SearchInFlight {
    search: Search,
    /// When its next timer comes; infinite = none set.
    due: f64,
}

pub struct SearchTable {
    balancer: Balancer,
    searches: BTreeMap<SearchId, SearchInFlight>,
    by_part: BTreeMap<PartId, SearchId>,
    /// While operators watch before a move: the new shape, which query types it makes `once`, the counts.
    watch: Option<(Shape, Vec<bool>, WatchCounters)>,
}

impl SearchTable {
    pub fn new(set: Settings) -> Self {
        SearchTable {
            balancer: Balancer::new(set),
            searches: BTreeMap::new(),
            by_part: BTreeMap::new(),
            watch: None,
        }
    }

    /// Decides as before, and counts where `shape` would have decided otherwise; names: of the query types.
    pub fn watching(&mut self, shape: Shape, query_types: &[String]) {
        let once = query_types.iter().map(|n| shape.once.contains(n)).collect();
        self.watch = Some((shape, once, WatchCounters::default()));
    }

    pub fn watched(&self) -> Option<WatchCounters> {
        self.watch.as_ref().map(|w| w.2)
    }

    pub fn list(&mut self, full: bool, lines: &[Listed]) {
        self.balancer.list(full, lines);
    }

    /// What the tier has decided in common, or that this co-ordinator is alone.
    pub fn zone_failover(&mut self, now: f64, told: Option<ZoneFailoverState>) {
        self.balancer.zone_failover(now, told);
    }

    pub fn zone_health(&self, now: f64) -> Vec<ZoneHealth> {
        self.balancer.zone_health(now)
    }

    /// What was asked of each cold replica so far.
    pub fn slow_start_demands(&self, now: f64) -> Vec<SlowStartDemand> {
        self.balancer.slow_start_demands(now)
    }

    /// The tier has shared out what a cold replica bears.
    pub fn quota_share(&mut self, replica: &ReplicaId, times: f64) {
        self.balancer.quota_share(replica, times);
    }

    /// Searches in hand, and their parts.
    pub fn held(&self) -> (usize, usize) {
        (self.searches.len(), self.by_part.len())
    }

    pub fn search_of(&self, part: PartId) -> Option<SearchId> {
        self.by_part.get(&part).copied()
    }

    /// Takes a search in hand; `ask` comes once its parts are in.
    pub fn take(&mut self, search: Search) {
        self.by_part
            .extend(search.parts.iter().map(|p| (p.id, search.id)));
        self.searches.insert(
            search.id,
            SearchInFlight {
                search,
                due: f64::INFINITY,
            },
        );
    }

    /// A part of the step in hand; false if the search is no longer held.
    pub fn add_part(&mut self, search: SearchId, id: PartId, shard: ShardId, weight: f64) -> bool {
        let Some(held) = self.searches.get_mut(&search) else {
            return false;
        };
        let step = held.search.step;
        let part = Part {
            id,
            shard,
            weight,
            step,
            answered: false,
            queued_at: None,
            attempts: Vec::new(),
        };
        held.search.parts.push(part);
        self.by_part.insert(id, search);
        true
    }

    pub fn ask(&mut self, now: f64, search: SearchId, sink: &mut impl PlanExecutor) {
        if let Some(held) = self.searches.get_mut(&search) {
            let plan = self.balancer.place(now, &mut held.search);
            self.carry_out(now, Some(search), plan, sink);
        }
    }

    pub fn outcome(&mut self, now: f64, outcome: &Outcome, sink: &mut impl PlanExecutor) {
        let search = self.by_part.get(&outcome.part).copied();
        let held = search
            .and_then(|s| self.searches.get_mut(&s))
            .map(|h| &mut h.search);
        let plan = self.balancer.after(now, held, outcome);
        self.carry_out(now, search, plan, sink);
    }

    /// A timer of this search has come. One that an earlier one replaced is ignored; clocks that count in
    /// microseconds may bring one a moment early.
    pub fn due(&mut self, now: f64, search: SearchId, sink: &mut impl PlanExecutor) {
        let Some(held) = self
            .searches
            .get_mut(&search)
            .filter(|h| h.due <= now + 1e-5)
        else {
            return;
        };
        held.due = f64::INFINITY;
        self.ask(now, search, sink);
    }

    /// The client has left.
    pub fn left(&mut self, now: f64, search: SearchId, sink: &mut impl PlanExecutor) {
        if let Some(held) = self.searches.get_mut(&search) {
            let plan = self.balancer.client_left(&mut held.search);
            self.carry_out(now, Some(search), plan, sink);
        }
    }

    fn carry_out(
        &mut self,
        now: f64,
        search: Option<SearchId>,
        plan: Plan,
        sink: &mut impl PlanExecutor,
    ) {
        // A search to be asked about again is asked when its turn comes, not when it is queued: a plan made
        // earlier could be carried out after its search was over, and its sends would be lost unsent.
        let mut plans = VecDeque::from([(search, Some(plan))]);
        while let Some((search, plan)) = plans.pop_front() {
            let plan = match (plan, search.and_then(|id| self.searches.get_mut(&id))) {
                (Some(plan), _) => plan,
                (None, Some(held)) => self.balancer.place(now, &mut held.search),
                (None, None) => continue,
            };
            self.steps(search, &plan, sink);
            if let Some(id) = search {
                self.settle(now, id, sink);
            }
            plans.extend(plan.reconsider.into_iter().map(|next| (Some(next), None)));
        }
    }

    fn steps(&mut self, search: Option<SearchId>, plan: &Plan, sink: &mut impl PlanExecutor) {
        plan.notes.iter().for_each(|n| sink.note(n));
        plan.cancel
            .iter()
            .for_each(|(part, attempt_index)| sink.cancel(*part, *attempt_index));
        let Some(search) = search
            .and_then(|id| self.searches.get(&id))
            .map(|h| &h.search)
        else {
            return;
        };
        for (i, s) in plan.send.iter().enumerate() {
            // The module has noted them all by now: this one stands before those that follow it.
            let attempts = search
                .parts
                .iter()
                .find(|p| p.id == s.part)
                .map_or(0, |p| p.attempts.len());
            let later = plan.send[i..].iter().filter(|x| x.part == s.part).count();
            sink.send(search, s, attempts.saturating_sub(later));
            if let (Some((shape, once, counts)), Some(part)) = (
                &mut self.watch,
                search.parts.iter().find(|p| p.id == s.part),
            ) {
                let once = once.get(search.query_type.0).copied().unwrap_or(false);
                shape.sent(part, attempts.saturating_sub(later), once, counts);
            }
        }
        if let Some(reply) = plan.reply {
            sink.reply(search, reply);
            if let Some((shape, _, counts)) = &mut self.watch {
                shape.replied(reply, counts);
            }
        }
    }

    /// Lets go of a search that is over, or sees to it that its next timer comes in time.
    fn settle(&mut self, now: f64, id: SearchId, sink: &mut impl PlanExecutor) {
        let Some(held) = self.searches.get_mut(&id) else {
            return;
        };
        if held.search.finished {
            held.search
                .parts
                .iter()
                .filter(|_| !is_mutated("hand-keeps-parts"))
                .for_each(|p| {
                    self.by_part.remove(&p.id);
                });
            sink.finished(&held.search);
            self.searches.remove(&id);
            return;
        }
        let wait = self.balancer.wait(now, &held.search);
        if now + wait < held.due {
            held.due = now + wait;
            if !is_mutated("hand-no-timer") {
                sink.timer(id, wait);
            }
        }
    }
}
