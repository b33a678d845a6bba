//! The pool of connections to replicas, and the attempts on each.
//!
//! [`Replicas`] owns every attempt from the send that the routing decisions asked for until its outcome is in
//! [`Replicas::outcomes`], from where the core takes it, exactly once. It never chooses a replica, nor sends an
//! attempt again. An attempt passes through it thus:
//!
//! 1. [`Replicas::send`] adds it to the batch of the pass, and [`Replicas::flush`] puts the batch on
//!    connections, which it opens where needed.
//! 2. It waits in the connection's write queue, and can be taken back, until the connection's task writes it.
//! 3. [`Replicas::handle_event`] pairs an answer with it by the wire id, or it ends without one:
//!    [`Replicas::time_out`], [`Replicas::cancel`], [`Replicas::withdraw`], or with its connection.
//!
//! - This file: the endpoints, and which connection an attempt goes to.
//! - [`attempts`]: how attempts end.
//! - [`pooled_connection`]: what the pool knows of one connection.
//! - [`connection`]: the task of one connection.
//! - [`write_queue`]: what waits to be written on a connection.

mod attempts;
mod config;
mod connection;
mod pooled_connection;
mod write_queue;

pub use config::ConnectionConfig;
pub(crate) use write_queue::{LastWrite, QueuedAttempt};

use crate::events::{ConnectionId, Endpoint, EndpointList, Events, Lifecycle};
use crate::sockets::{Side, Sockets};
use attempts::AttemptInFlight;
use connection::ConnectionTask;
use pooled_connection::PooledConnection;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use tracing::{debug, warn};
use woadreach_routing::api::{AttemptId, Ending, Outcome, ReplicaId};
use woadreach_routing::mutations::is_mutated;
use woadreach_runtime::Net;
use write_queue::{Closing, QueuedMessage, WriteQueue};

/// A replica that the endpoint list names, with the connections to it.
struct ReplicaEndpoint {
    address: SocketAddr,
    /// Unix seconds; another value means another incarnation.
    started_at: f64,
    connections: BTreeSet<ConnectionId>,
}

/// The pool. See the module's documentation.
pub(crate) struct Replicas<N: Net> {
    config: ConnectionConfig,
    net: N,
    sockets: Sockets,
    events: Events,
    endpoints: BTreeMap<ReplicaId, ReplicaEndpoint>,
    connections: BTreeMap<ConnectionId, PooledConnection>,
    next_connection: u64,
    attempts: BTreeMap<AttemptId, AttemptInFlight>,
    /// Attempts of this pass that are not on a connection yet.
    batch: BTreeMap<ReplicaId, Vec<QueuedAttempt>>,
    /// Outcomes that the core has not taken yet.
    pub(crate) outcomes: VecDeque<Outcome>,
}

impl<N: Net> Replicas<N> {
    /// A pool without endpoints, which opens connections under the permits of `sockets`.
    pub(crate) fn new(config: ConnectionConfig, net: N, sockets: Sockets, events: Events) -> Self {
        Replicas {
            config,
            net,
            sockets,
            events,
            endpoints: BTreeMap::new(),
            connections: BTreeMap::new(),
            next_connection: 0,
            attempts: BTreeMap::new(),
            batch: BTreeMap::new(),
            outcomes: VecDeque::new(),
        }
    }

    /// Number of attempts without an outcome.
    pub(crate) fn attempts_in_flight(&self) -> usize {
        self.attempts.len()
    }

    /// Number of connections.
    pub(crate) fn connections(&self) -> usize {
        self.connections.len()
    }

    /// Number of replicas that the endpoint list names.
    pub(crate) fn known(&self) -> usize {
        self.endpoints.len()
    }

    /// Takes over addresses, and closes connections to replicas that must not be used any more.
    pub(crate) fn apply_endpoint_list(&mut self, now: f64, list: &EndpointList) {
        if list.full {
            let named: BTreeSet<&str> = list.entries.iter().map(|e| e.id.as_str()).collect();
            let departed: Vec<ReplicaId> = self
                .endpoints
                .keys()
                .filter(|r| !named.contains(&*r.0))
                .cloned()
                .collect();
            for replica in departed {
                self.drain(now, &replica);
                // Its connections end with the last attempt on them, without it.
                self.endpoints.remove(&replica);
            }
        }
        for endpoint in &list.entries {
            self.apply_endpoint(now, endpoint);
        }
    }

    fn apply_endpoint(&mut self, now: f64, entry: &Endpoint) {
        let id = ReplicaId(entry.id.as_str().into());
        if entry.lifecycle != Lifecycle::Ready {
            self.drain(now, &id);
        }
        if entry.lifecycle == Lifecycle::Departed {
            self.endpoints.remove(&id);
            return;
        }
        let (address, started_at) = (entry.address, entry.started_at);
        let endpoint = self.endpoints.entry(id).or_insert(ReplicaEndpoint {
            address,
            started_at,
            connections: BTreeSet::new(),
        });
        // A machine that was unreachable leaves the connections of a former incarnation open, and what is
        // written to them is lost.
        let stale = (endpoint.address, endpoint.started_at) != (address, started_at);
        (endpoint.address, endpoint.started_at) = (address, started_at);
        if stale {
            let connections = endpoint.connections.clone();
            connections.iter().for_each(|c| self.retire(*c));
        }
    }

    /// Takes back all attempts to a replica that have not begun to leave, and retires its connections.
    ///
    /// An attempt that waits for a connection could otherwise leave after the grace of a drain. Those taken
    /// back are placed anew.
    fn drain(&mut self, now: f64, replica: &ReplicaId) {
        let connections = self
            .endpoints
            .get(replica)
            .map_or(BTreeSet::new(), |e| e.connections.clone());
        for id in connections {
            let Some(connection) = self.connections.get(&id) else {
                continue;
            };
            let taken_back: Vec<AttemptId> = connection
                .in_flight
                .values()
                .copied()
                .filter(|_| !is_mutated("replicas-no-take-back"))
                .filter(|a| connection.queue.take_back(*a))
                .collect();
            for attempt in taken_back {
                self.finish(attempt, Ending::NeverSent, now);
            }
            self.retire(id);
        }
        for queued in self.batch.remove(replica).unwrap_or_default() {
            self.finish(queued.attempt, Ending::NeverSent, now);
        }
    }

    /// Gives a connection nothing new, and closes it once nothing is in flight on it.
    fn retire(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.retired = true;
            connection.close_if_retired();
        }
    }

    /// Adds an attempt to those of this pass, which [`Replicas::flush`] sends.
    pub(crate) fn send(&mut self, now: f64, replica: &ReplicaId, queued: QueuedAttempt) {
        let attempt = AttemptInFlight {
            replica: replica.clone(),
            connection: None,
            wire_id: queued.wire_id.clone(),
            sent_at: now,
        };
        self.attempts.insert(queued.attempt, attempt);
        self.batch.entry(replica.clone()).or_default().push(queued);
    }

    /// Hands the attempts of this pass to connections; those to one replica share calls.
    ///
    /// Attempts that were given up in the same pass are dropped, so that those of a search which has ended in
    /// it do not leave after its answer.
    pub(crate) fn flush(&mut self, now: f64) {
        for (replica, mut attempts) in std::mem::take(&mut self.batch) {
            attempts.retain(|a| self.attempts.contains_key(&a.attempt));
            while !attempts.is_empty() {
                let size = attempts.len().min(self.config.max_parts_per_call);
                let rest = attempts.split_off(size);
                self.call(now, &replica, std::mem::replace(&mut attempts, rest));
            }
        }
    }

    fn call(&mut self, now: f64, replica: &ReplicaId, attempts: Vec<QueuedAttempt>) {
        let best = self.best_connection(now, replica, &attempts);
        let busy = best.is_some_and(|id| !self.connections[&id].in_flight.is_empty());
        if busy && self.may_spread(replica) {
            self.open(now, replica);
        }
        let Some(id) = best.or_else(|| self.open(now, replica)) else {
            let ending = if self.endpoints.contains_key(replica) {
                Ending::Unreachable
            } else {
                Ending::NeverSent
            };
            for queued in &attempts {
                self.finish(queued.attempt, ending, now);
            }
            return;
        };
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.last_used = now;
        for queued in &attempts {
            connection
                .in_flight
                .insert(queued.wire_id.clone(), queued.attempt);
            if let Some(attempt) = self.attempts.get_mut(&queued.attempt) {
                attempt.connection = Some(id);
            }
        }
        connection.queue.push(QueuedMessage::Call(attempts));
    }

    /// Whether a replica may have another connection while one is free for its attempts.
    ///
    /// Attempts to one replica are spread over as many connections as its share of the descriptors reserved
    /// for replicas allows, so that a connection which breaks does not take all of them with it. The attempt
    /// at hand does not wait for the new connection.
    fn may_spread(&self, replica: &ReplicaId) -> bool {
        let connections = self
            .endpoints
            .get(replica)
            .map_or(0, |e| e.connections.len());
        connections < self.sockets.reserved_for_replicas() / self.endpoints.len().max(1)
    }

    /// The connection with the fewest attempts in flight that can take these: one that is connected, else one
    /// that is connecting.
    ///
    /// A later attempt of a part goes to a connection on which the replica has answered before, if it can. On
    /// another it could lie unread at a machine that accepts late, while the answer to the first overtakes it.
    fn best_connection(
        &self,
        now: f64,
        replica: &ReplicaId,
        attempts: &[QueuedAttempt],
    ) -> Option<ConnectionId> {
        let repeated = attempts.iter().any(|a| a.attempt.index > 0);
        self.endpoints
            .get(replica)?
            .connections
            .iter()
            .filter_map(|id| Some((*id, self.connections.get(id)?)))
            .filter(|(_, connection)| connection.can_take(attempts, now, &self.config))
            .min_by_key(|(_, connection)| {
                let unheard = repeated && connection.last_heard.is_none();
                (!connection.connected, unheard, connection.in_flight.len())
            })
            .map(|(id, _)| id)
    }

    fn open(&mut self, now: f64, replica: &ReplicaId) -> Option<ConnectionId> {
        let endpoint = self.endpoints.get_mut(replica)?;
        let Some(permit) = self.sockets.permit(Side::Replicas) else {
            warn!(replica = %replica.0, "connection refused, no descriptor left");
            return None;
        };
        let id = ConnectionId(self.next_connection);
        self.next_connection += 1;
        let address = endpoint.address;
        debug!(connection = id.0, replica = %replica.0, %address, "connection opened");
        let queue = Rc::new(WriteQueue::default());
        let task = ConnectionTask {
            net: self.net.clone(),
            id,
            address,
            timeout_s: self.config.connect_timeout_s,
            queue: queue.clone(),
            events: self.events.clone(),
            permit,
        };
        drop(self.net.spawn(task.run()));
        endpoint.connections.insert(id);
        let connection = PooledConnection::new(replica.clone(), queue, now);
        self.connections.insert(id, connection);
        Some(id)
    }

    /// Closes connections that have been idle for nearly as long as a replica keeps them open.
    pub(crate) fn close_idle(&mut self, now: f64) {
        let max_idle_s = self.config.max_idle_s();
        for connection in self.connections.values() {
            if connection.in_flight.is_empty() && now - connection.last_used >= max_idle_s {
                connection.queue.close(Closing::AfterQueue);
            }
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/replicas.rs"]
mod tests;
