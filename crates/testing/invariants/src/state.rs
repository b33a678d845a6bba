//! State of each search, replica and co-ordinator in a checker.

use crate::event::{CoordinatorId, Event, PartName, ReplicaName, ShardWeight};
use crate::units::{CoreSeconds, Seconds, Share};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Time after a stall in which the process may still be handling events that were queued during the stall.
const STALL_RECOVERY: Seconds = 0.5;
/// Time after the end of a link fault in which delayed frames may still arrive.
const RETRANSMIT_TIMEOUT: Seconds = 0.1;
/// Maximum number of events of one search in a proof.
const MAX_PROOF_EVENTS: usize = 64;

/// One attempt to run a part at a replica.
pub(crate) struct Attempt {
    pub(crate) replica: ReplicaName,
    /// Time at which its last byte arrived at the replica's machine.
    pub(crate) at: Seconds,
    pub(crate) rejected: bool,
}

/// Identifies a part within its search.
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

/// The first step's result, as stated in the latest part of the second step.
pub(crate) struct FirstStep {
    pub(crate) shards: Vec<u64>,
    pub(crate) complete: bool,
}

/// A search that is open or ended recently.
pub(crate) struct Search {
    pub(crate) node: CoordinatorId,
    pub(crate) query_type: usize,
    pub(crate) parts: Arc<[ShardWeight]>,
    pub(crate) deadline: Seconds,
    /// Time at which the client read the first final answer.
    pub(crate) answered_at: Option<Seconds>,
    /// Whether the search no longer awaits an answer.
    pub(crate) ended: bool,
    /// Time at which the client disconnected before the final answer.
    pub(crate) disconnected_at: Option<Seconds>,
    pub(crate) attempts: BTreeMap<PartKey, Vec<Attempt>>,
    /// Values that replicas computed, by part.
    pub(crate) values: BTreeMap<PartKey, Vec<Arc<str>>>,
    /// Whether enough parts of the first step are completed for the second step to begin.
    pub(crate) second_step_possible: bool,
    pub(crate) first_step: Option<FirstStep>,
    pub(crate) events: Vec<Event>,
}

impl Search {
    /// Whether the search still awaits its final answer.
    pub(crate) fn is_open(&self) -> bool {
        self.answered_at.is_none() && !self.ended
    }

    /// Adds the event to the proof, up to [`MAX_PROOF_EVENTS`].
    pub(crate) fn add_to_proof(&mut self, event: &Event) {
        if self.events.len() < MAX_PROOF_EVENTS {
            self.events.push(event.clone());
        }
    }

    /// Sum of the weights of the shards that `included` accepts.
    pub(crate) fn weight(&self, included: impl Fn(u64) -> bool) -> Share {
        self.parts
            .iter()
            .filter(|part| included(part.shard))
            .map(|part| part.weight)
            .sum()
    }
}

/// Work of one part that a replica received during its warm-up.
pub(crate) struct ReceivedWork {
    pub(crate) at: Seconds,
    pub(crate) work: CoreSeconds,
    /// Whether the sender's agent had listed the replica as ready since its start.
    pub(crate) sender_notified: bool,
}

/// Start of a replica's process, and its number of cores.
#[derive(Clone, Copy)]
pub(crate) struct ReplicaStart {
    pub(crate) at: Seconds,
    pub(crate) cores: f64,
}

/// Period of a link fault or of a suspension.
#[derive(Clone, Copy)]
pub(crate) struct Period {
    pub(crate) since: Seconds,
    pub(crate) until: Seconds,
}

#[derive(Default)]
pub(crate) struct Replica {
    /// Co-ordinators whose agents list the replica as draining or departed, with the time of the first such listing.
    pub(crate) not_ready_since: BTreeMap<CoordinatorId, Seconds>,
    pub(crate) start: Option<ReplicaStart>,
    /// Work that it received in the last overload window during its warm-up.
    pub(crate) work: VecDeque<ReceivedWork>,
    /// Co-ordinators whose agents have listed the replica as ready since its start.
    pub(crate) notified: BTreeSet<CoordinatorId>,
    pub(crate) overloaded: bool,
    /// Number of faults that currently delay frames to the replica.
    pub(crate) active_delays: usize,
    /// Latest period in which frames to the replica were delayed; infinite end while it lasts.
    pub(crate) delay_period: Option<Period>,
}

impl Replica {
    /// Whether a frame that arrived at time `at` may have been delayed by a fault, and written before `since`.
    pub(crate) fn was_delayed(&self, since: Seconds, at: Seconds) -> bool {
        self.delay_period.is_some_and(|period| {
            period.until >= since && period.since <= at && at <= period.until + RETRANSMIT_TIMEOUT
        })
    }
}

/// Requests that a co-ordinator accepted at one time, for the retry budget.
pub(crate) struct AcceptedRequests {
    pub(crate) at: Seconds,
    pub(crate) count: usize,
}

#[derive(Default)]
pub(crate) struct Coordinator {
    /// Start of the current process. Attempts that arrived before are not counted in its retry budget.
    pub(crate) started_at: Seconds,
    pub(crate) accepted: VecDeque<AcceptedRequests>,
    pub(crate) retries: VecDeque<Seconds>,
    /// Whether the retry budget was exceeded at the latest check.
    pub(crate) exceeds_budget: bool,
    /// Latest period in which the process was suspended.
    pub(crate) stall_period: Option<Period>,
}

impl Coordinator {
    /// Whether the process was suspended, or recovering from a suspension, at some time from `from` to `to`.
    pub(crate) fn is_excused(&self, from: Seconds, to: Seconds) -> bool {
        self.stall_period
            .is_some_and(|stall| stall.since <= to && stall.until + STALL_RECOVERY >= from)
    }
}
