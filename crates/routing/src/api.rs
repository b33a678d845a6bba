//! Plain types between callers and the decision module. Nothing here decides; times are seconds.

use std::collections::{BTreeMap, BTreeSet};

/// A search, unique within a co-ordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SearchId(pub u64);
/// A part of a search, unique within a co-ordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PartId(pub u64);
/// A row of `Settings::query_types`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueryTypeId(pub usize);
/// A row of `Settings::tenants`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TenantId(pub usize);
/// A shard of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ShardId(pub u64);
/// A group of replicas that hold the same shards.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CellId(pub u64);
/// A place whose replicas fail together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ZoneId(pub u64);
/// A replica, by the name in the list.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReplicaId(pub std::rc::Rc<str>);

/// Whether a part may run again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Repeat {
    /// It may run any number of times.
    Idempotent,
    /// Repeats are dropped for `window` seconds from the first send that may have run; by any holder of
    /// the shard if `any_holder`, else only by the replica that had it.
    Tokened {
        /// Seconds.
        window: f64,
        /// Whether all holders of the shard know the token.
        any_holder: bool,
    },
    /// It may run once only.
    NonIdempotent,
}

/// One row for each query type: what the module reads of it.
#[derive(Clone, Debug)]
pub struct QueryType {
    /// An answer later than this is late (seconds).
    pub latency_target: f64,
    /// How long a client waits in all (seconds).
    pub client_timeout: f64,
    /// What an answer in time is worth.
    pub value: f64,
    /// The share of its value that a late answer keeps.
    pub late_value: f64,
    /// Whether its parts may run again.
    pub repeat: Repeat,
    /// The share of the weights that makes an answer whole.
    pub complete_weight: f64,
    /// The least share of the weights with which it may be answered.
    pub minimum_weight: f64,
    /// Parts of the second step; 0 = one step only.
    pub second_step: usize,
}

/// What a replica can do after its start, and what pushes it over.
#[derive(Clone, Debug)]
pub struct SlowStartConfig {
    /// Its capacity at the start, of a warm one.
    pub initial_capacity: f64,
    /// Seconds until it is warm.
    pub duration: f64,
    /// It falls over beyond so many times its capacity
    pub overload_multiple: f64,
    /// in a window of so many seconds.
    pub overload_window: f64,
}

/// How many sub-requests beyond the first of each part may be sent.
#[derive(Clone, Debug)]
pub struct RetryBudgetConfig {
    /// So many in any case,
    pub min_retries: f64,
    /// and such a share of the searches and parts taken,
    pub ratio: f64,
    /// in any window of so many seconds.
    pub window: f64,
}

/// Start-up settings. An absent option means that the feature or rule is off.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Of the random choices.
    pub seed: u64,
    /// Its number among the co-ordinators of its tier.
    pub coordinator_index: Option<u64>,
    /// How many co-ordinators the tier has.
    pub coordinators: usize,
    /// How soon events are handled (seconds).
    pub tick: f64,
    /// What the module reads of each query type.
    pub query_types: Vec<QueryType>,
    /// Share of the service, a row each tenant.
    pub tenants: Vec<f64>,
    /// What a search of a tenant beyond its share is worth, of its value.
    pub over_share_value: f64,
    /// Into how many cells replicas are grouped.
    pub cells: u64,
    /// How many cells hold a shard.
    pub span: u64,
    /// How many parts share a call.
    pub parts_per_call: usize,
    /// The most sub-requests of one part.
    pub max_attempts: usize,
    /// The longest from a send that is decided until it leaves or is told as never sent, seconds.
    pub max_send_delay: f64,
    /// Sub-requests can be cancelled.
    pub cancellation_allowed: bool,
    /// A part may have two sub-requests in flight.
    pub hedging_allowed: bool,
    /// The longest advised wait before a retry (seconds); absent without advice.
    pub max_retry_after: Option<f64>,
    /// The rule on cold replicas.
    pub slow_start: Option<SlowStartConfig>,
    /// The rule on further sub-requests.
    pub retry_budget: Option<RetryBudgetConfig>,
}

impl Settings {
    /// The shortest latency target of all query types (seconds).
    pub fn shortest_target(&self) -> f64 {
        self.query_types
            .iter()
            .map(|t| t.latency_target)
            .fold(f64::INFINITY, f64::min)
    }
}

/// A line of the list. `ready_at`: the most recent start, if it was not long ago.
#[derive(Clone, Debug)]
pub struct Listed {
    /// Its name.
    pub replica: ReplicaId,
    /// May be sent new work.
    pub open: bool,
    /// Where it is.
    pub zone: ZoneId,
    /// Whose shards it holds.
    pub cell: CellId,
    /// When its process started (seconds).
    pub ready_at: Option<f64>,
}

/// What the co-ordinators of the tier have decided in common about zones.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ZoneFailoverState {
    /// The share of its traffic that each zone may have: 0 out, 1 serving, between on its way back; 1 if not
    /// named.
    pub shares: BTreeMap<ZoneId, f64>,
    /// Zones to be preferred, nearest group first, and for what share of all parts one of them or of a nearer
    /// group is.
    pub near: Vec<(BTreeSet<ZoneId>, f64)>,
}

/// What this co-ordinator's latest parts say of a zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneHealth {
    /// The zone.
    pub zone: ZoneId,
    /// Outcomes and overdue parts, and those of them that were bad.
    pub seen: usize,
    /// Those of them that were bad.
    pub bad: usize,
    /// Of its open replicas, in warm ones.
    pub capacity: f64,
}

/// What this co-ordinator asks of a cold replica.
#[derive(Clone, Debug, PartialEq)]
pub struct SlowStartDemand {
    /// The replica.
    pub replica: ReplicaId,
    /// Parts that it would have been sent but for the guard of the cold rule, so far.
    pub suppressed: u64,
    /// It has been sent some within the rule's window.
    pub sent: bool,
}

/// How a sub-request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// With an answer.
    Answered,
    /// With an error of the replica.
    Errored,
    /// Refused unseen.
    Full,
    /// Without an answer in its time.
    TimedOut,
    /// No connection came up.
    Unreachable,
    /// The connection ended under it.
    Broken,
    /// Given up by this co-ordinator.
    Cancelled,
    /// It never left.
    NeverSent,
}

/// How many calls are looked at, and the least failures among them that eject.
#[derive(Clone, Copy, Debug)]
pub struct EjectionConfig {
    /// Latest calls that count.
    pub window: usize,
    /// Least failures; they must also be half of the calls.
    pub least: usize,
}

/// The end of a call, as far as it tells of health. `C` is a class of calls, such as the query type.
#[derive(Clone, Copy, Debug)]
pub struct Observation<C> {
    /// When it ended (seconds).
    pub at: f64,
    /// When it was sent.
    pub sent_at: f64,
    /// Its class.
    pub class: C,
    /// Failed, or far later than usual.
    pub failed: bool,
}

/// A change in the health of a replica or zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Out of use, but for trials.
    Ejected,
    /// Back in use.
    Restored,
}

/// How one sub-request ended.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Its part.
    pub part: PartId,
    /// Its number within the part.
    pub attempt_index: usize,
    /// Where it went.
    pub replica: ReplicaId,
    /// How it ended.
    pub ending: Ending,
    /// Seconds from its send.
    pub latency: f64,
}

/// One try of a part at a replica.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Where it went.
    pub replica: ReplicaId,
    /// When it was sent (seconds).
    pub sent_at: f64,
    /// How it ended; absent while it is in flight.
    pub ending: Option<Ending>,
}

impl Attempt {
    /// Proven never to have run: refused unseen, no connection, or never sent.
    pub fn proven_unrun(&self) -> bool {
        matches!(
            self.ending,
            Some(Ending::Full | Ending::Unreachable | Ending::NeverSent)
        )
    }
}

/// What a search asks of one shard.
#[derive(Clone, Debug)]
pub struct Part {
    /// Its number.
    pub id: PartId,
    /// The shard that it asks.
    pub shard: ShardId,
    /// Its share of the whole answer.
    pub weight: f64,
    /// The step of its search, 1 or 2.
    pub step: usize,
    /// An answer has come.
    pub answered: bool,
    /// The replica it waits for, while held.
    pub held: Option<ReplicaId>,
    /// Its tries, in the order of their sends.
    pub attempts: Vec<Attempt>,
}

impl Part {
    /// Whether one of its sub-requests is in flight.
    pub fn in_flight(&self) -> bool {
        self.attempts.iter().any(|s| s.ending.is_none())
    }

    /// Its sub-requests in flight, with their numbers.
    pub fn waiting(&self) -> impl Iterator<Item = (usize, &Attempt)> {
        self.attempts
            .iter()
            .enumerate()
            .filter(|(_, s)| s.ending.is_none())
    }

    /// Whether it was ever sent to this replica.
    pub fn tried(&self, replica: &ReplicaId) -> bool {
        self.attempts.iter().any(|s| s.replica == *replica)
    }
}

/// A search in hand: the caller keeps it, the module reads and updates it.
#[derive(Clone, Debug)]
pub struct Search {
    /// Its number.
    pub id: SearchId,
    /// Its query type.
    pub query_type: QueryTypeId,
    /// Who asks.
    pub tenant: TenantId,
    /// When it came (seconds).
    pub arrived: f64,
    /// When this try's client stops waiting.
    pub client_deadline: f64,
    /// Its parts, those of a second step last.
    pub parts: Vec<Part>,
    /// The step in hand, 1 or 2.
    pub step: usize,
    /// Whether the first step was whole.
    pub first_step_complete: bool,
    /// Whether the client says that it repeats itself; absent where clients do not mark that.
    pub repeated: Option<bool>,
    /// When the client first asked, as far as can be told; set by the module.
    pub first_asked_at: Option<f64>,
    /// Queuing deadline of the step in hand; set by the module.
    pub queuing_deadline: Option<f64>,
    /// The final answer has been given.
    pub finished: bool,
}

impl Search {
    /// A search that has just come, without parts yet.
    pub fn new(
        id: SearchId,
        query_type: QueryTypeId,
        tenant: TenantId,
        arrived: f64,
        client_deadline: f64,
    ) -> Self {
        Search {
            id,
            query_type,
            tenant,
            arrived,
            client_deadline,
            parts: Vec::new(),
            step: 1,
            first_step_complete: false,
            repeated: None,
            first_asked_at: None,
            queuing_deadline: None,
            finished: false,
        }
    }
}

impl Search {
    /// The parts of the step in hand, with their places in `parts`.
    pub fn step_parts(&self) -> impl Iterator<Item = (usize, &Part)> {
        self.parts
            .iter()
            .enumerate()
            .filter(|(_, p)| p.step == self.step)
    }

    /// The weight of those that are answered.
    pub fn answered_weight(&self) -> f64 {
        self.step_parts()
            .filter(|(_, p)| p.answered)
            .map(|(_, p)| p.weight)
            .sum()
    }

    /// Notes how a sub-request of one of its parts ended.
    pub fn ended(&mut self, outcome: &Outcome) {
        let part = self.parts.iter_mut().find(|p| p.id == outcome.part);
        if let Some((part, i)) = part
            .map(|p| (p, outcome.attempt_index))
            .filter(|(p, i)| *i < p.attempts.len())
        {
            part.attempts[i].ending = Some(outcome.ending);
            part.answered |= outcome.ending == Ending::Answered;
        }
    }

    /// Its queuing deadline; an early one before it is set.
    pub fn queuing_deadline(&self) -> f64 {
        self.queuing_deadline.unwrap_or(self.arrived)
    }
}

/// The reply to a search, or to its first step.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reply {
    /// From the parts that came; `complete` if none that counts is missing.
    Answered {
        /// Nothing is missing.
        complete: bool,
    },
    /// Asking again is harmless, best after `retry_after` seconds (0: no advice).
    Shed {
        /// Seconds.
        retry_after: f64,
    },
    /// Neither an answer nor proof that asking again is harmless.
    Errored,
}

/// Where a part goes, and for how long it may run.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// The part.
    pub part: PartId,
    /// Where it goes.
    pub replica: ReplicaId,
    /// How long it may run (seconds).
    pub timeout: f64,
    /// It may begin to leave before this time only; infinite without such a bound.
    pub begin_by: f64,
}

/// What to do now, in this order: cancel, send, reply, then ask again about the searches named.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Sub-requests to be cancelled, by part and number.
    pub cancel: Vec<(PartId, usize)>,
    /// Parts to be sent.
    pub send: Vec<Placement>,
    /// The reply, if it is due.
    pub reply: Option<Reply>,
    /// Searches that may have become able to send.
    pub reconsider: Vec<SearchId>,
    /// Lines for on-call staff.
    pub notes: Vec<String>,
}
