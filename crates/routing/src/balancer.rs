//! State of one co-ordinator that the decisions on searches (the modules of `decide`) read and update.
//!
//! The caller owns the clock, the timers and the searches in flight. It reports events with [`Balancer::place`] and
//! [`Balancer::attempt_finished`], and carries out the [`Plan`] that they return. [`Balancer::wait`] returns when to
//! call `place` again without an event.

use crate::api::{
    ListedReplica, Part, PartId, Plan, QueryTypeId, ReplicaId, Search, SearchId, Seconds, Settings,
    SlowStartDemand, TenantId, ZoneFailoverState, ZoneId,
};
use crate::deadline_queue::DeadlineQueue;
use crate::decide::part_budget::INITIAL_LATENCY_DIVISOR;
use crate::decide::slow_start::Warming;
use crate::decide::{Backpressure, LatencyLimits, OutlierDetector, PartBudget, RetryBudget};
use crate::fleet::{Fleet, Replica};
use crate::samples::Sample;
use crate::unloaded_latency::UnloadedLatency;
use std::collections::{BTreeMap, VecDeque};

/// Decision state of one replica.
#[derive(Default)]
pub(crate) struct ReplicaState {
    /// Limit on calls in flight after one was rejected or timed out.
    pub(crate) backpressure: Backpressure,
    /// Latest latencies, queuing included.
    pub(crate) loaded: VecDeque<Sample>,
    /// Outlier ejection.
    pub(crate) health: OutlierDetector<QueryTypeId>,
    /// Slow start after the replica's last start.
    pub(crate) warming: Warming,
}

/// A part in the queue of a replica.
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

/// Outcome of a part that was sent to a zone.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ZoneOutcome {
    /// Time at which the attempt ended.
    pub(crate) at: Seconds,
    /// Whether the part was lost: it was not answered, or far too late.
    pub(crate) is_lost: bool,
}

/// Record of a search that has arrived, for the admission of later ones.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ArrivalRecord {
    /// Value of the search, divided by the number of its parts.
    pub(crate) value_per_part: f64,
    pub(crate) tenant: TenantId,
}

/// Routing state and settings of one co-ordinator.
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) rng: oorandom::Rand64,
    pub(crate) fleet: Fleet<ReplicaState>,
    /// Recent samples of the total capacity of all open replicas, in warm replicas.
    pub(crate) capacity: VecDeque<Sample>,
    /// Outlier ejection of each zone.
    pub(crate) zones: BTreeMap<ZoneId, OutlierDetector<()>>,
    /// Zone failover state that the tier has agreed on; `None` while this co-ordinator is not connected to the tier.
    pub(crate) zone_failover: Option<ZoneFailoverState>,
    /// Latest outcomes of each zone, oldest first.
    pub(crate) zone_outcomes: BTreeMap<ZoneId, VecDeque<ZoneOutcome>>,
    /// Parts whose replica is under backpressure, or has parts with earlier deadlines queued.
    pub(crate) queue: DeadlineQueue<ReplicaId, QueuedPart>,
    pub(crate) unloaded: UnloadedLatency<ReplicaId>,
    pub(crate) budget: PartBudget,
    /// Shortest latency target of all query types.
    pub(crate) shortest_target: Seconds,
    pub(crate) limits: LatencyLimits,
    pub(crate) retries: RetryBudget,
    /// Latest searches, oldest first.
    pub(crate) arrivals: VecDeque<ArrivalRecord>,
    /// Plan under construction. The public method that fills it returns it, and leaves an empty one.
    pub(crate) plan: Plan,
    /// Time left to the client at the arrival of the latest searches, for each query type.
    pub(crate) times_remaining: Vec<VecDeque<Seconds>>,
}

impl Balancer {
    /// State of a co-ordinator without replicas. [`Balancer::apply_endpoint_list`] adds them.
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
            unloaded: UnloadedLatency::new(shortest_target / INITIAL_LATENCY_DIVISOR),
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

    /// Applies the endpoint list if `full`, and otherwise changes of it. A replica that is not open is sent no new work
    /// from now on. A replica with a new process starts to warm up, and the state of the old process is dropped.
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

    /// Removes a replica that is not open and has nothing in flight, with its state.
    pub(crate) fn remove_if_unused(&mut self, id: &ReplicaId) {
        if self.fleet.remove_if_unused(id) {
            self.forget(id);
        }
    }

    /// Drops the queue and latencies of a removed replica, so that they do not count if it is listed again.
    fn forget(&mut self, unused: &ReplicaId) {
        self.queue.forget(unused);
        self.unloaded.forget(unused);
    }

    /// Decides on a search. To be called when the search arrives, when the parts of its second step have been added,
    /// when the time returned by [`Balancer::wait`] has passed, and when a plan names the search in `reconsider`.
    pub fn place(&mut self, now: Seconds, search: &mut Search) -> Plan {
        self.decide(now, search);
        std::mem::take(&mut self.plan)
    }

    /// Ends a search without a reply, since its client has disconnected.
    pub fn client_disconnected(&mut self, search: &mut Search) -> Plan {
        self.close(search, None);
        std::mem::take(&mut self.plan)
    }

    /// This co-ordinator's demand on each open replica that is warming up.
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

    /// Sets the share of a warming replica that the tier has allocated to this co-ordinator, as a multiple of the even
    /// share.
    pub fn set_quota_share(&mut self, replica: &ReplicaId, even_shares: f64) {
        if let Some(replica) = self.fleet.get_mut(replica) {
            replica.state.warming.quota_share = Some(even_shares);
        }
    }
}
