//! The state of all decisions on searches, which the files of `decide` read and update; it decides nothing.
//!
//! A caller keeps the clock, the timers and the searches in flight. It reports events, and asks [`Balancer::place`],
//! [`Balancer::attempt_finished`] and [`Balancer::wait`] (`decide::search_steps`) what to do. A [`Plan`] says what to
//! cancel, send and reply, and which queued searches to ask about next, in that order.

use crate::api::{
    ListedReplica, Part, PartId, Plan, QueryTypeId, ReplicaId, Search, SearchId, Seconds, Settings,
    SlowStartDemand, TenantId, ZoneFailoverState, ZoneId,
};
use crate::deadline_queue::DeadlineQueue;
use crate::decide::part_budget::START_DIVISOR;
use crate::decide::slow_start::Warming;
use crate::decide::{Backpressure, LatencyLimits, OutlierDetector, PartBudget, RetryBudget};
use crate::fleet::{Fleet, Replica};
use crate::samples::Sample;
use crate::unloaded_latency::UnloadedLatency;
use std::collections::{BTreeMap, VecDeque};

/// What is known of one replica.
#[derive(Default)]
pub(crate) struct ReplicaState {
    /// Backpressure after full or timed-out answers.
    pub(crate) backpressure: Backpressure,
    /// Latest latencies, with queues.
    pub(crate) loaded: VecDeque<Sample>,
    /// Outlier ejection.
    pub(crate) health: OutlierDetector<QueryTypeId>,
    /// Slow start.
    pub(crate) warming: Warming,
}

/// A part that waits for its replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueuedPart {
    pub(crate) search: SearchId,
    pub(crate) part: PartId,
}

impl QueuedPart {
    pub(crate) fn of(search: &Search, part: &Part) -> Self {
        QueuedPart {
            search: search.id,
            part: part.id,
        }
    }
}

/// How a part at a zone ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ZoneOutcome {
    /// When it ended.
    pub(crate) at: Seconds,
    /// Whether it was lost: without an answer, or far too late.
    pub(crate) is_lost: bool,
}

/// What is remembered of a search that has arrived.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ArrivalRecord {
    /// Its value, divided by the number of its parts.
    pub(crate) value_per_part: f64,
    /// Its tenant.
    pub(crate) tenant: TenantId,
}

/// What one co-ordinator has to decide by.
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) rng: oorandom::Rand64,
    pub(crate) fleet: Fleet<ReplicaState>,
    /// Recent capacity of all open replicas, in warm replicas.
    pub(crate) capacity: VecDeque<Sample>,
    /// Health of each zone.
    pub(crate) zones: BTreeMap<ZoneId, OutlierDetector<()>>,
    /// What the tier has agreed on about zones, while this co-ordinator is connected to it.
    pub(crate) zone_failover: Option<ZoneFailoverState>,
    /// The latest outcomes of each zone, oldest first.
    pub(crate) zone_outcomes: BTreeMap<ZoneId, VecDeque<ZoneOutcome>>,
    /// Parts that wait for their replica.
    pub(crate) queue: DeadlineQueue<ReplicaId, QueuedPart>,
    pub(crate) unloaded: UnloadedLatency<ReplicaId>,
    pub(crate) budget: PartBudget,
    /// The shortest latency target of all query types.
    pub(crate) shortest_target: Seconds,
    pub(crate) limits: LatencyLimits,
    pub(crate) retries: RetryBudget,
    /// The latest searches.
    pub(crate) arrivals: VecDeque<ArrivalRecord>,
    /// The plan that is being made.
    pub(crate) plan: Plan,
    /// Time that remained to the clients of the latest searches of each query type at their arrival.
    pub(crate) times_remaining: Vec<VecDeque<Seconds>>,
}

impl Balancer {
    /// A co-ordinator that knows no replica yet.
    pub fn new(settings: Settings) -> Self {
        let shortest_target = settings.shortest_target();
        Balancer {
            rng: oorandom::Rand64::new(u128::from(settings.seed)),
            fleet: Fleet::new(settings.cells, settings.span),
            capacity: VecDeque::new(),
            zones: BTreeMap::new(),
            zone_failover: None,
            zone_outcomes: BTreeMap::new(),
            queue: DeadlineQueue::default(),
            unloaded: UnloadedLatency::new(shortest_target / START_DIVISOR),
            budget: PartBudget::default(),
            shortest_target,
            limits: LatencyLimits::new(shortest_target),
            retries: RetryBudget::new(&settings),
            arrivals: VecDeque::new(),
            times_remaining: vec![VecDeque::new(); settings.query_types.len()],
            plan: Plan::default(),
            settings,
        }
    }

    /// Takes in the endpoint list, or changes of it. A `full` list names all replicas. A replica that isn't
    /// open gets nothing new from this call on. A new process is warming up, and nothing that was known of the
    /// old one counts for it.
    pub fn apply_endpoint_list(&mut self, full: bool, lines: &[ListedReplica]) {
        let unused = self.fleet.apply_endpoint_list(full, lines, |line| {
            self.unloaded.forget(&line.replica);
            let warming = Warming::new(
                &line.replica,
                self.settings.coordinator_index,
                self.rng.rand_float(),
            );
            ReplicaState {
                warming,
                ..ReplicaState::default()
            }
        });
        unused.iter().for_each(|id| self.forget(id));
    }

    /// Forgets a replica that is not open and has nothing in flight any more.
    pub(crate) fn forget_if_unused(&mut self, id: &ReplicaId) {
        if self.fleet.forget_if_unused(id) {
            self.forget(id);
        }
    }

    /// Nothing of an unused replica counts if it comes back.
    fn forget(&mut self, unused: &ReplicaId) {
        self.queue.forget(unused);
        self.unloaded.forget(unused);
    }

    /// Where to send this search. Called when it or its second step arrives, and whenever `wait` is over.
    pub fn place(&mut self, now: Seconds, search: &mut Search) -> Plan {
        self.decide(now, search);
        std::mem::take(&mut self.plan)
    }

    /// The client has disconnected: nothing more is owed to it.
    pub fn client_disconnected(&mut self, search: &mut Search) -> Plan {
        self.close(search, None);
        std::mem::take(&mut self.plan)
    }

    /// The demand on each replica that is warming up.
    pub fn slow_start_demands(&self, now: Seconds) -> Vec<SlowStartDemand> {
        let Some(config) = &self.settings.slow_start else {
            return Vec::new();
        };
        let demand = |(id, replica): (&ReplicaId, &Replica<ReplicaState>)| {
            let warming = &replica.state.warming;
            let is_warming = replica.open
                && replica
                    .ready_at
                    .is_some_and(|at| now < at + config.duration);
            is_warming.then(|| SlowStartDemand {
                replica: id.clone(),
                suppressed: warming.suppressed.get(),
                sent: warming
                    .sends
                    .back()
                    .is_some_and(|at| *at > now - config.overload_window),
            })
        };
        self.fleet.iter().filter_map(demand).collect()
    }

    /// Sets what the tier has allocated to this co-ordinator of a warming replica, in even shares.
    pub fn set_quota_share(&mut self, replica: &ReplicaId, even_shares: f64) {
        if let Some(replica) = self.fleet.get_mut(replica) {
            replica.state.warming.quota_share = Some(even_shares);
        }
    }
}
