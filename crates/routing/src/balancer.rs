//! The state of all decisions on searches, which the files of `decide` read and update; it decides nothing.
//!
//! Callers keep the clock, the timers and the searches in hand and ask `place`, `after` and `wait`
//! (`decide::search_steps`); the rest hands in facts. A `Plan` says what to cancel, send and reply, and which
//! held searches to ask about next, in that order.

use crate::api::*;
use crate::decide::part_budget::START_DIVISOR;
use crate::decide::slow_start::Warming;
use crate::decide::{Hold, LatencyLimits, OutlierDetector, PartBudget, RetryBudget};
use crate::fleet::{Fleet, Replica};
use crate::held_queue::HeldQueue;
use crate::samples::Sample;
use crate::unloaded_latency::UnloadedLatency;
use std::collections::{BTreeMap, VecDeque};

/// What is known of one replica.
#[derive(Default)]
pub(crate) struct Known {
    pub hold: Hold,
    pub loaded: VecDeque<Sample>,
    pub health: OutlierDetector<QueryTypeId>,
    pub warming: Warming,
}

/// What one co-ordinator has to decide by.
pub struct Balancer {
    pub(crate) set: Settings,
    pub(crate) rng: oorandom::Rand64,
    pub(crate) fleet: Fleet<Known>,
    pub(crate) capacity: VecDeque<Sample>, // of all open replicas of late, in warm ones
    pub(crate) zones: BTreeMap<ZoneId, OutlierDetector<()>>,
    pub(crate) zone_failover: Option<ZoneFailoverState>,
    pub(crate) zone_outcomes: BTreeMap<ZoneId, VecDeque<(f64, bool)>>, // of the latest parts, and whether lost
    pub(crate) held: HeldQueue<ReplicaId, (SearchId, PartId)>,
    pub(crate) unloaded: UnloadedLatency<ReplicaId>,
    pub(crate) budget: PartBudget,
    pub(crate) shortest: f64, // latency target
    pub(crate) limits: LatencyLimits,
    pub(crate) retries: RetryBudget,
    pub(crate) arrivals: VecDeque<(f64, TenantId)>, // value a part of the latest searches, and their tenants
    /// The plan in hand.
    pub(crate) plan: Plan,
    pub(crate) times_left: Vec<VecDeque<f64>>, // that the latest searches of each query type came with
}

impl Balancer {
    /// A co-ordinator that knows no replica yet.
    pub fn new(set: Settings) -> Self {
        let shortest = set.shortest_target();
        Balancer {
            rng: oorandom::Rand64::new(u128::from(set.seed)),
            fleet: Fleet::new(set.cells, set.span),
            capacity: VecDeque::new(),
            zones: BTreeMap::new(),
            zone_failover: None,
            zone_outcomes: BTreeMap::new(),
            held: HeldQueue::default(),
            unloaded: UnloadedLatency::new(shortest / START_DIVISOR),
            budget: PartBudget::default(),
            shortest,
            limits: LatencyLimits::new(shortest),
            retries: RetryBudget::new(&set),
            arrivals: VecDeque::new(),
            times_left: vec![VecDeque::new(); set.query_types.len()],
            plan: Plan::default(),
            set,
        }
    }

    /// The list names these; a full one names all there are. A replica that is not open gets nothing new from
    /// this call on; a new process is cold, and nothing known of the old one holds for it.
    pub fn list(&mut self, full: bool, lines: &[Listed]) {
        let gone = self.fleet.list(full, lines, |line| {
            self.unloaded.forget(&line.replica);
            let warming = Warming::new(
                &line.replica,
                self.set.coordinator_index,
                self.rng.rand_float(),
            );
            Known {
                warming,
                ..Known::default()
            }
        });
        gone.iter().for_each(|id| self.forget(id));
    }

    /// Forgets a replica that is not open and has nothing in flight any more.
    pub(crate) fn forget_if_gone(&mut self, id: &ReplicaId) {
        if self.fleet.forget(id) {
            self.forget(id);
        }
    }

    /// One that comes back is met as a stranger.
    fn forget(&mut self, gone: &ReplicaId) {
        self.held.forget(gone);
        self.unloaded.forget(gone);
    }

    /// Where to send this search: called when it or its second step arrives, and whenever `wait` is over.
    pub fn place(&mut self, now: f64, search: &mut Search) -> Plan {
        self.decide(now, search);
        std::mem::take(&mut self.plan)
    }

    /// The client has left: nothing is owed any more.
    pub fn client_left(&mut self, search: &mut Search) -> Plan {
        self.close(search, None);
        std::mem::take(&mut self.plan)
    }

    /// What was asked of each cold replica so far, and whether it was sent any within the rule's window.
    pub fn slow_start_demands(&self, now: f64) -> Vec<SlowStartDemand> {
        let Some(rule) = &self.set.slow_start else {
            return Vec::new();
        };
        let sight = |(id, r): (&ReplicaId, &Replica<Known>)| {
            let sent = r
                .state
                .warming
                .sends
                .back()
                .is_some_and(|t| *t > now - rule.overload_window);
            let cold = r.open && r.ready_at.is_some_and(|at| now < at + rule.duration);
            cold.then(|| SlowStartDemand {
                replica: id.clone(),
                suppressed: r.state.warming.suppressed.get(),
                sent,
            })
        };
        self.fleet.iter().filter_map(sight).collect()
    }

    /// The tier has shared out what a cold replica bears: so many times its even share is this one's.
    pub fn quota_share(&mut self, replica: &ReplicaId, times: f64) {
        self.fleet
            .get_mut(replica)
            .into_iter()
            .for_each(|r| r.state.warming.quota_share = Some(times));
    }
}
