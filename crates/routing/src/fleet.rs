//! Replicas in the endpoint list, indexed by cell, with this co-ordinator's attempts in flight at each.

use crate::api::{AttemptId, ListedReplica, QueryTypeId, ReplicaId, Seconds, ShardId, ZoneId};
use crate::mutations::is_mutated;
use std::collections::{BTreeMap, BTreeSet};

/// An attempt in flight.
#[derive(Clone, Copy, Debug)]
pub struct SentAttempt {
    /// Time at which the attempt was sent.
    pub sent_at: Seconds,
    /// Whether this co-ordinator had nothing else in flight at the replica when the attempt was sent.
    pub sent_to_idle: bool,
    /// Query type of the attempt's search.
    pub query_type: QueryTypeId,
    /// Number of attempts that were sent to the same replica later and have been answered.
    pub overtaken_by: usize,
    /// Whether the attempt was cancelled because its replica hangs, so that its part can be sent to another one.
    pub cancelled_as_hung: bool,
}

/// A replica in the endpoint list, or one that still has attempts in flight after its removal.
#[derive(Debug, Default)]
pub struct Replica<S> {
    /// Whether the replica may be sent new work.
    pub open: bool,
    /// Zone of the replica; `None` only before its first line of the endpoint list has been applied.
    pub zone: Option<ZoneId>,
    cell: u64,
    /// Start time of the replica's process; `None` if the process has long been warm.
    pub ready_at: Option<Seconds>,
    /// Attempts of this co-ordinator in flight.
    pub in_flight: BTreeMap<AttemptId, SentAttempt>,
    /// Number of answers to this co-ordinator since the start of the process.
    pub answers: usize,
    /// Time of the last of these answers; 0 before the first.
    pub answered_at: Seconds,
    /// State that belongs to the routing decisions.
    pub state: S,
}

impl<S> Replica<S> {
    /// Records that an attempt is sent to the replica.
    pub fn attempt_sent(&mut self, now: Seconds, id: AttemptId, query_type: QueryTypeId) {
        let sent_to_idle = self.in_flight.is_empty();
        let call = SentAttempt {
            sent_at: now,
            sent_to_idle,
            query_type,
            overtaken_by: 0,
            cancelled_as_hung: false,
        };
        self.in_flight.insert(id, call);
    }

    /// Records the end of an attempt, and returns the attempt; `None` if it was not in flight.
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

    /// Age of the oldest attempt in flight; 0 if there is none.
    pub fn oldest_age(&self, now: Seconds) -> Seconds {
        self.in_flight
            .values()
            .map(|call| now - call.sent_at)
            .fold(0.0, f64::max)
    }

    /// Number of attempts that are in flight for longer than `age` and were sent after the replica's last answer.
    pub fn unanswered_count(&self, now: Seconds, age: Seconds) -> usize {
        let overdue =
            |call: &&SentAttempt| call.sent_at + age < now && self.answered_at < call.sent_at;
        self.in_flight.values().filter(overdue).count()
    }
}

/// All known replicas, with decision state `S` for each. The index by cell makes the cost of an event depend on the
/// number of replicas that hold its shards, and not on the size of the fleet.
#[derive(Debug)]
pub struct Fleet<S> {
    replicas: BTreeMap<ReplicaId, Replica<S>>,
    cells: BTreeMap<u64, BTreeSet<ReplicaId>>,
    cell_count: u64,
    span: u64,
}

impl<S: Default> Fleet<S> {
    /// An empty fleet of `cells` cells. Each shard is stored in `span` consecutive cells, starting with its own.
    pub fn new(cells: u64, span: u64) -> Self {
        Fleet {
            replicas: BTreeMap::new(),
            cells: BTreeMap::new(),
            cell_count: cells.max(1),
            span,
        }
    }

    /// Applies lines of the endpoint list. A `full` list replaces the previous one; other lines are changes.
    /// `new_state` creates the state for a new process. Returns the replicas that were removed because they are not
    /// open and have nothing in flight.
    pub fn apply_endpoint_list(
        &mut self,
        full: bool,
        lines: &[ListedReplica],
        mut new_state: impl FnMut(&ListedReplica) -> S,
    ) -> Vec<ReplicaId> {
        if full {
            self.replicas
                .values_mut()
                .for_each(|replica| replica.open = false);
        }
        for line in lines {
            let replica = self.replicas.entry(line.replica.clone()).or_default();
            if line.open && replica.ready_at != line.ready_at {
                // A new process, perhaps on a restarted machine with the same identifier.
                replica.ready_at = line.ready_at;
                replica.answers = 0;
                replica.answered_at = 0.0;
                replica.state = new_state(line);
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
            .filter(|id| self.remove_if_unused(id))
            .collect()
    }

    /// Removes a replica that is not open and has nothing in flight, so that memory does not grow with every replica
    /// that ever existed. Returns whether the replica was removed.
    pub fn remove_if_unused(&mut self, id: &ReplicaId) -> bool {
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

    /// The replica of this identifier; `None` if it is unknown.
    pub fn get(&self, id: &ReplicaId) -> Option<&Replica<S>> {
        self.replicas.get(id)
    }

    /// Mutable access to the replica of this identifier; `None` if it is unknown.
    pub fn get_mut(&mut self, id: &ReplicaId) -> Option<&mut Replica<S>> {
        self.replicas.get_mut(id)
    }

    /// All known replicas, in the order of their identifiers.
    pub fn iter(&self) -> impl Iterator<Item = (&ReplicaId, &Replica<S>)> {
        self.replicas.iter()
    }

    /// Open replicas that hold a shard.
    pub fn holders(&self, shard: ShardId) -> impl Iterator<Item = (&ReplicaId, &Replica<S>)> {
        let cells = (0..self.span.min(self.cell_count))
            .map(move |offset| (shard.0 % self.cell_count + offset) % self.cell_count);
        let ids = cells.filter_map(|cell| self.cells.get(&cell)).flatten();
        ids.filter_map(|id| self.replicas.get(id).map(|replica| (id, replica)))
            .filter(|(_, replica)| replica.open)
    }
}
