//! The replicas that the endpoint list names, by cell, with this co-ordinator's attempts in flight at each.

use crate::api::{AttemptId, ListedReplica, QueryTypeId, ReplicaId, Seconds, ShardId, ZoneId};
use crate::mutations::is_mutated;
use std::collections::{BTreeMap, BTreeSet};

/// An attempt that was sent, until it ends.
#[derive(Clone, Copy, Debug)]
pub struct SentAttempt {
    /// When it was sent.
    pub sent_at: Seconds,
    /// Whether nothing else of this co-ordinator was in flight at its replica when it was sent.
    pub alone: bool,
    /// The query type of its search.
    pub query_type: QueryTypeId,
    /// Number of attempts that were sent there later and answered before it.
    pub overtaken_by: usize,
    /// Whether it was cancelled because its replica hangs, so that its part can go elsewhere.
    pub cancelled_as_hung: bool,
}

/// A replica, and the `state` in which the decisions keep what they know of it.
#[derive(Debug, Default)]
pub struct Replica<S> {
    /// Whether it may be sent new work.
    pub open: bool,
    /// Its zone, once listed.
    pub zone: Option<ZoneId>,
    cell: u64,
    /// When its process started, if that was recent.
    pub ready_at: Option<Seconds>,
    /// Attempts in flight.
    pub in_flight: BTreeMap<AttemptId, SentAttempt>,
    /// Number of answers since the start of its process.
    pub answers: usize,
    /// When the last of them came.
    pub answered_at: Seconds,
    /// What the decisions know of it.
    pub state: S,
}

impl<S> Replica<S> {
    /// Records that an attempt leaves for it.
    pub fn attempt_sent(&mut self, now: Seconds, id: AttemptId, query_type: QueryTypeId) {
        let alone = self.in_flight.is_empty();
        let call = SentAttempt {
            sent_at: now,
            alone,
            query_type,
            overtaken_by: 0,
            cancelled_as_hung: false,
        };
        self.in_flight.insert(id, call);
    }

    /// Records the end of an attempt; `None` if it was not in flight.
    pub fn attempt_finished(
        &mut self,
        now: Seconds,
        id: AttemptId,
        answered: bool,
    ) -> Option<SentAttempt> {
        let call = self.in_flight.remove(&id)?;
        if answered {
            self.in_flight
                .values_mut()
                .filter(|other| other.sent_at < call.sent_at)
                .for_each(|other| other.overtaken_by += 1);
            self.answers += 1;
            self.answered_at = now;
        }
        Some(call)
    }

    /// The age of the oldest attempt in flight, or 0.
    pub fn oldest(&self, now: Seconds) -> Seconds {
        self.in_flight
            .values()
            .map(|call| now - call.sent_at)
            .fold(0.0, f64::max)
    }

    /// The number of attempts in flight for longer than `age` with nothing answered since they were sent.
    pub fn unanswered(&self, now: Seconds, age: Seconds) -> usize {
        let overdue =
            |call: &&SentAttempt| call.sent_at + age < now && self.answered_at < call.sent_at;
        self.in_flight.values().filter(overdue).count()
    }
}

/// All replicas. They are indexed by cell, so that the cost of an event grows with the replicas that hold its
/// shards and not with the fleet.
#[derive(Debug)]
pub struct Fleet<S> {
    replicas: BTreeMap<ReplicaId, Replica<S>>,
    cells: BTreeMap<u64, BTreeSet<ReplicaId>>,
    cell_count: u64,
    span: u64,
}

impl<S: Default> Fleet<S> {
    /// A fleet of which nothing is known; a shard is held by `span` cells of `cells` from its own on.
    pub fn new(cells: u64, span: u64) -> Self {
        Fleet {
            replicas: BTreeMap::new(),
            cells: BTreeMap::new(),
            cell_count: cells.max(1),
            span,
        }
    }

    /// Takes in lines of the endpoint list; a `full` list names all replicas. `started` makes the state of a new
    /// process. Returns the replicas that were forgotten: not open, nothing in flight.
    pub fn apply_endpoint_list(
        &mut self,
        full: bool,
        lines: &[ListedReplica],
        mut started: impl FnMut(&ListedReplica) -> S,
    ) -> Vec<ReplicaId> {
        if full {
            self.replicas
                .values_mut()
                .for_each(|replica| replica.open = false);
        }
        for line in lines {
            let replica = self.replicas.entry(line.replica.clone()).or_default();
            if line.open && replica.ready_at != line.ready_at {
                // A new process, perhaps of a machine that comes back under its identifier.
                replica.ready_at = line.ready_at;
                replica.answers = 0;
                replica.answered_at = 0.0;
                replica.state = started(line);
            }
            replica.open = line.open || is_mutated("routing-drain");
            replica.zone = Some(line.zone);
            let cell = line.cell.0 % self.cell_count;
            self.cells
                .entry(replica.cell)
                .or_default()
                .remove(&line.replica);
            self.cells
                .entry(cell)
                .or_default()
                .insert(line.replica.clone());
            replica.cell = cell;
        }
        let named = lines.iter().map(|line| line.replica.clone());
        let ids: Vec<_> = if full {
            self.replicas.keys().cloned().collect()
        } else {
            named.collect()
        };
        ids.into_iter()
            .filter(|id| self.forget_if_unused(id))
            .collect()
    }

    /// Forgets a replica that is not open and has nothing in flight, and returns whether it did. Otherwise every
    /// replica that there ever was would be remembered.
    pub fn forget_if_unused(&mut self, id: &ReplicaId) -> bool {
        let Some(unused) = self
            .replicas
            .get(id)
            .filter(|replica| !replica.open && replica.in_flight.is_empty())
        else {
            return false;
        };
        self.cells.entry(unused.cell).or_default().remove(id);
        self.replicas.remove(id);
        true
    }

    /// A replica that is known.
    pub fn get(&self, id: &ReplicaId) -> Option<&Replica<S>> {
        self.replicas.get(id)
    }

    /// A replica that is known, to be changed.
    pub fn get_mut(&mut self, id: &ReplicaId) -> Option<&mut Replica<S>> {
        self.replicas.get_mut(id)
    }

    /// All replicas, by id.
    pub fn iter(&self) -> impl Iterator<Item = (&ReplicaId, &Replica<S>)> {
        self.replicas.iter()
    }

    /// The open replicas that hold a shard.
    pub fn holders(&self, shard: ShardId) -> impl Iterator<Item = (&ReplicaId, &Replica<S>)> {
        let cells = (0..self.span.min(self.cell_count))
            .map(move |offset| (shard.0 % self.cell_count + offset) % self.cell_count);
        let ids = cells.filter_map(|cell| self.cells.get(&cell)).flatten();
        ids.filter_map(|id| self.replicas.get(id).map(|replica| (id, replica)))
            .filter(|(_, replica)| replica.open)
    }
}
