//! What a checker remembers of each search, replica and co-ordinator.

use crate::event::{CoordinatorId, Event, PartName, ReplicaName, ShardWeight};
use crate::units::{CoreSeconds, Seconds, Share};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// How long after a stall a process may still work off what waited for it.
const STALL_RECOVERY: Seconds = 0.5;
/// How long after the end of a delay the delayed frames may still arrive.
const RETRANSMIT_TIMEOUT: Seconds = 0.1;
/// Most events of one search that are kept as proof.
const MAX_PROOF_EVENTS: usize = 64;

/// One send of a part.
pub(crate) struct Attempt {
    pub(crate) replica: ReplicaName,
    /// When it arrived there.
    pub(crate) at: Seconds,
    pub(crate) rejected: bool,
}

/// A part within its search.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PartKey {
    pub(crate) shard: u64,
    pub(crate) second_step: bool,
}

impl From<&PartName> for PartKey {
    fn from(part: &PartName) -> Self {
        PartKey {
            shard: part.shard,
            second_step: part.second_step,
        }
    }
}

/// What the second step's parts say of the first step's result.
pub(crate) struct FirstStep {
    pub(crate) shards: Vec<u64>,
    pub(crate) complete: bool,
}

/// A search, until well after it has ended.
pub(crate) struct Search {
    pub(crate) node: CoordinatorId,
    pub(crate) query_type: usize,
    pub(crate) parts: Arc<[ShardWeight]>,
    pub(crate) deadline: Seconds,
    /// When its one final answer was read.
    pub(crate) answered: Option<Seconds>,
    /// No answer is owed any more.
    pub(crate) ended: bool,
    /// When its client disconnected before it had its answer.
    pub(crate) disconnected: Option<Seconds>,
    pub(crate) attempts: BTreeMap<PartKey, Vec<Attempt>>,
    /// The values that replicas computed.
    pub(crate) values: BTreeMap<PartKey, Vec<Arc<str>>>,
    /// The first step's answers suffice for a second step.
    pub(crate) second_step_possible: bool,
    pub(crate) first_step: Option<FirstStep>,
    pub(crate) events: Vec<Event>,
}

impl Search {
    /// Whether its final answer is still owed.
    pub(crate) fn is_open(&self) -> bool {
        self.answered.is_none() && !self.ended
    }

    /// Keeps the event as proof, up to a limit.
    pub(crate) fn remember(&mut self, event: &Event) {
        if self.events.len() < MAX_PROOF_EVENTS {
            self.events.push(event.clone());
        }
    }

    /// The share of the weight that the given shards have.
    pub(crate) fn weight(&self, included: impl Fn(u64) -> bool) -> Share {
        self.parts
            .iter()
            .filter(|part| included(part.shard))
            .map(|part| part.weight)
            .sum()
    }
}

/// Work that a warming replica received.
pub(crate) struct ReceivedWork {
    pub(crate) at: Seconds,
    pub(crate) work: CoreSeconds,
    /// Its sender's agent had listed the replica.
    pub(crate) sender_notified: bool,
}

/// When a replica's process started, and with how many cores.
#[derive(Clone, Copy)]
pub(crate) struct ReplicaStart {
    pub(crate) at: Seconds,
    pub(crate) cores: f64,
}

/// A time in which something was delayed or suspended.
#[derive(Clone, Copy)]
pub(crate) struct Period {
    pub(crate) since: Seconds,
    pub(crate) until: Seconds,
}

/// A replica by its name.
#[derive(Default)]
pub(crate) struct Replica {
    /// Whose agents list it as draining or departed, and since when.
    pub(crate) leaving: BTreeMap<CoordinatorId, Seconds>,
    pub(crate) start: Option<ReplicaStart>,
    /// What it received in the last window while warming up.
    pub(crate) work: VecDeque<ReceivedWork>,
    /// Whose agents have listed its start.
    pub(crate) notified: BTreeSet<CoordinatorId>,
    pub(crate) overloaded: bool,
    /// How many causes delay what is sent to it now.
    pub(crate) delays: usize,
    /// The last time in which what was sent to it was delayed.
    pub(crate) delayed: Option<Period>,
}

impl Replica {
    /// Whether a frame that arrived `at` may have been written before `since` and delayed.
    pub(crate) fn was_delayed(&self, since: Seconds, at: Seconds) -> bool {
        self.delayed.is_some_and(|period| {
            period.until >= since && period.since <= at && at <= period.until + RETRANSMIT_TIMEOUT
        })
    }
}

/// Requests that a co-ordinator accepted, for the retry budget.
pub(crate) struct AcceptedRequests {
    pub(crate) at: Seconds,
    pub(crate) count: usize,
}

/// A co-ordinator.
#[derive(Default)]
pub(crate) struct Coordinator {
    /// What arrived before was sent by the previous process, and counts in no budget.
    pub(crate) started: Seconds,
    pub(crate) accepted: VecDeque<AcceptedRequests>,
    pub(crate) retries: VecDeque<Seconds>,
    /// Whether its retries exceeded the budget when the last one arrived.
    pub(crate) exceeds_budget: bool,
    /// The last time in which it was suspended.
    pub(crate) stalled: Option<Period>,
}

impl Coordinator {
    /// Whether the process was suspended at some time between these, or recovered from it.
    pub(crate) fn is_excused(&self, from: Seconds, to: Seconds) -> bool {
        self.stalled
            .is_some_and(|stall| stall.since <= to && stall.until + STALL_RECOVERY >= from)
    }
}
