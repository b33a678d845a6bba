//! Plain types between callers and the decision module. Nothing here decides; times are seconds.

use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SearchId(pub u64);
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PartId(pub u64);
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueryTypeId(pub usize);
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TenantId(pub usize);
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ShardId(pub u64);
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CellId(pub u64);
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ZoneId(pub u64);
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReplicaId(pub std::rc::Rc<str>);

/// Whether a part may run again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Repeat {
    Idempotent,
    /// Repeats are dropped for `window` seconds from the first send that may have run; by any holder of
    /// the shard if `any_holder`, else only by the replica that had it.
    Tokened {
        window: f64,
        any_holder: bool,
    },
    NonIdempotent,
}

/// One row for each query type: what the module reads of it.
#[derive(Clone, Debug)]
pub struct QueryType {
    pub latency_target: f64,
    pub client_timeout: f64,
    pub value: f64,
    pub late_value: f64,
    pub repeat: Repeat,
    pub need: f64,
    pub floor: f64,
    /// Parts of the second step; 0 = one step only.
    pub second_step: usize,
}

#[derive(Clone, Debug)]
pub struct ColdRule {
    pub from: f64,
    pub time: f64,
    pub tip_multiple: f64,
    pub tip_time: f64,
}

#[derive(Clone, Debug)]
pub struct BudgetRule {
    pub free: f64,
    pub share: f64,
    pub window: f64,
}

/// Start-up settings. An absent option means that the feature or rule is off.
#[derive(Clone, Debug)]
pub struct Settings {
    pub seed: u64,
    /// Its number among the co-ordinators of its tier, and how many these are.
    pub me: Option<u64>,
    pub siblings: usize,
    pub tick: f64,
    pub query_types: Vec<QueryType>,
    /// Share of the service, a row each tenant.
    pub tenants: Vec<f64>,
    pub over_share_value: f64,
    pub cells: u64,
    pub span: u64,
    pub per_call: usize,
    pub sub_requests_cap: usize,
    /// The longest from a send that is decided until it leaves or is told as never sent, seconds.
    pub late_send: f64,
    pub may_cancel: bool,
    pub may_copy: bool,
    pub longest_retry_advice: Option<f64>,
    pub cold: Option<ColdRule>,
    pub budget: Option<BudgetRule>,
}

impl Settings {
    /// The shortest latency target of all query types (seconds).
    pub fn shortest_target(&self) -> f64 {
        self.query_types.iter().map(|t| t.latency_target).fold(f64::INFINITY, f64::min)
    }
}

/// A line of the list. `ready_at`: the most recent start, if it was not long ago.
#[derive(Clone, Debug)]
pub struct Listed {
    pub replica: ReplicaId,
    pub open: bool,
    pub zone: ZoneId,
    pub cell: CellId,
    pub ready_at: Option<f64>,
}

/// What the co-ordinators of the tier have decided in common about zones.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Zoning {
    /// The share of its traffic that each zone may have: 0 out, 1 serving, between on its way back; 1 if not
    /// named.
    pub shares: BTreeMap<ZoneId, f64>,
    /// Zones to be preferred, nearest group first, and for what share of all parts one of them or of a nearer
    /// group is.
    pub near: Vec<(BTreeSet<ZoneId>, f64)>,
}

/// What this co-ordinator's latest parts say of a zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneSight {
    pub zone: ZoneId,
    /// Outcomes and overdue parts, and those of them that were bad.
    pub seen: usize,
    pub bad: usize,
    /// Of its open replicas, in warm ones.
    pub capacity: f64,
}

/// What this co-ordinator asks of a cold replica.
#[derive(Clone, Debug, PartialEq)]
pub struct ColdSight {
    pub replica: ReplicaId,
    /// Parts that it would have been sent but for the guard of the cold rule, so far.
    pub wants: u64,
    /// It has been sent some within the rule's window.
    pub sent: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    Answered,
    Errored,
    Full,
    TimedOut,
    Unreachable,
    Broken,
    Cancelled,
    NeverSent,
}

/// How many calls are looked at, and the least failures among them that eject.
#[derive(Clone, Copy, Debug)]
pub struct EjectionRule {
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
    pub part: PartId,
    pub nth: usize,
    pub replica: ReplicaId,
    pub ending: Ending,
    pub latency: f64,
}

#[derive(Clone, Debug)]
pub struct SubRequest {
    pub replica: ReplicaId,
    pub sent_at: f64,
    pub ending: Option<Ending>,
}

impl SubRequest {
    /// Proven never to have run: refused unseen, no connection, or never sent.
    pub fn proven_unrun(&self) -> bool {
        matches!(self.ending, Some(Ending::Full | Ending::Unreachable | Ending::NeverSent))
    }
}

#[derive(Clone, Debug)]
pub struct Part {
    pub id: PartId,
    pub shard: ShardId,
    pub weight: f64,
    pub step: usize,
    pub answered: bool,
    /// The replica it waits for, while held.
    pub held: Option<ReplicaId>,
    pub subs: Vec<SubRequest>,
}

impl Part {
    /// Whether one of its sub-requests is in flight.
    pub fn in_flight(&self) -> bool {
        self.subs.iter().any(|s| s.ending.is_none())
    }

    /// Its sub-requests in flight, with their numbers.
    pub fn waiting(&self) -> impl Iterator<Item = (usize, &SubRequest)> {
        self.subs.iter().enumerate().filter(|(_, s)| s.ending.is_none())
    }

    /// Whether it was ever sent to this replica.
    pub fn tried(&self, replica: &ReplicaId) -> bool {
        self.subs.iter().any(|s| s.replica == *replica)
    }
}

/// A search in hand: the caller keeps it, the module reads and updates it.
#[derive(Clone, Debug)]
pub struct Search {
    pub id: SearchId,
    pub query_type: QueryTypeId,
    pub tenant: TenantId,
    pub arrived: f64,
    /// When this try's client stops waiting.
    pub ends: f64,
    pub parts: Vec<Part>,
    pub step: usize,
    pub first_whole: bool,
    /// Whether the client says that it repeats itself; absent where clients do not mark that.
    pub repeated: Option<bool>,
    /// When the client first asked, as far as can be told; set by the module.
    pub asked: Option<f64>,
    /// Queuing deadline of the step in hand; set by the module.
    pub queue_by: Option<f64>,
    /// The final answer has been given.
    pub over: bool,
}

impl Search {
    pub fn new(id: SearchId, query_type: QueryTypeId, tenant: TenantId, arrived: f64, ends: f64) -> Self {
        Search {
            id,
            query_type,
            tenant,
            arrived,
            ends,
            parts: Vec::new(),
            step: 1,
            first_whole: false,
            repeated: None,
            asked: None,
            queue_by: None,
            over: false,
        }
    }
}

impl Search {
    /// The parts of the step in hand, with their places in `parts`.
    pub fn step_parts(&self) -> impl Iterator<Item = (usize, &Part)> {
        self.parts.iter().enumerate().filter(|(_, p)| p.step == self.step)
    }

    /// The weight of those that are answered.
    pub fn answered_weight(&self) -> f64 {
        self.step_parts().filter(|(_, p)| p.answered).map(|(_, p)| p.weight).sum()
    }

    /// Notes how a sub-request of one of its parts ended.
    pub fn ended(&mut self, outcome: &Outcome) {
        let part = self.parts.iter_mut().find(|p| p.id == outcome.part);
        if let Some((part, i)) = part.map(|p| (p, outcome.nth)).filter(|(p, i)| *i < p.subs.len()) {
            part.subs[i].ending = Some(outcome.ending);
            part.answered |= outcome.ending == Ending::Answered;
        }
    }

    /// Its queuing deadline; an early one before it is set.
    pub fn queuing_deadline(&self) -> f64 {
        self.queue_by.unwrap_or(self.arrived)
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reply {
    /// From the parts that came; `whole` if none that counts is missing.
    Answered {
        whole: bool,
    },
    /// Asking again is harmless, best after `retry_after` seconds (0: no advice).
    Shed {
        retry_after: f64,
    },
    Errored,
}

/// Where a part goes, and for how long it may run.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    pub part: PartId,
    pub replica: ReplicaId,
    pub timeout: f64,
    /// It may begin to leave before this time only; infinite without such a bound.
    pub begin_by: f64,
}

/// What to do now, in this order: cancel, send, reply, then ask again about the searches named.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    pub cancel: Vec<(PartId, usize)>,
    pub send: Vec<Placement>,
    pub reply: Option<Reply>,
    pub ask_again: Vec<SearchId>,
    /// Lines for on-call staff.
    pub notes: Vec<String>,
}
