//! State machine of discovery on a core machine, without I/O: its registry of replicas, the batches that it sends to
//! the other core machines, and the registries that it requests from them. Driven by
//! [`CoreDiscovery`](crate::CoreDiscovery).

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use crate::committed::{CommittedState, ViewSummary};
use crate::departure::DepartureNotification;
use crate::exchange::{Inbox, Outbox, Urgency};
use crate::failure_detector::{FailureDetector, TickOutcome};
use crate::messages::{Batch, PollRequest, PollResponse, RegistryResponse};
use crate::poll_response::{MAX_STATUSES, respond};
use crate::registry::{
    HeartbeatError, HeartbeatOutcome, Registry, RegistryDepartures, RegistryVersion,
};
use crate::replica::Heartbeat;
use crate::status::IdentifiedStatus;

/// Maximum number of unchanged heartbeats per second that a machine out of quorum leaves unacknowledged. A replica
/// whose heartbeat is not acknowledged calls another machine. Without the limit, each replica would call every core
/// machine at each heartbeat while no machine is in quorum.
const MAX_REFUSALS_PER_SECOND: u32 = 200;

/// Identity and parameters of a core machine.
#[derive(Clone, Debug)]
pub struct CoreIdentity {
    /// Incarnation of the process: differs between starts and is not 0.
    pub incarnation: u64,
    /// Internal address of the machine.
    pub address: SocketAddr,
    /// Internal addresses of the seeds.
    pub seeds: Vec<SocketAddr>,
    /// Interval at which replicas send heartbeats.
    pub heartbeat_interval: Duration,
    /// Time after the end of a replica before another replica may use its address.
    pub reuse_after: Duration,
}

/// Discovery's state on a core machine.
pub struct CoreState {
    identity: CoreIdentity,
    registry: Registry,
    failure_detector: FailureDetector,
    /// Heartbeats and changes to send to the other core machines.
    outbox: Outbox,
    /// State of the exchange with each of the other core machines.
    inbox: Inbox,
    /// Peers whose registries have to be requested.
    incomplete_peers: BTreeSet<SocketAddr>,
    /// Whether any heartbeat was received, directly or from a peer, since this machine began to warm up.
    has_received_heartbeats: bool,
    refusal_limiter: RefusalLimiter,
}

/// Limits the rate of unacknowledged heartbeats to [`MAX_REFUSALS_PER_SECOND`].
#[derive(Default)]
struct RefusalLimiter {
    /// Start of the current window of one second.
    since: Duration,
    /// Requests for a permit in the current window, granted or not.
    count: u32,
}

impl RefusalLimiter {
    /// Returns whether one more heartbeat may be left unacknowledged at `now`, and counts it.
    fn try_acquire(&mut self, now: Duration) -> bool {
        if now.saturating_sub(self.since) >= Duration::from_secs(1) {
            *self = Self {
                since: now,
                count: 0,
            };
        }
        self.count += 1;
        self.count <= MAX_REFUSALS_PER_SECOND
    }
}

impl CoreState {
    /// Creates the state of a process that starts at `now`.
    pub fn new(now: Duration, identity: CoreIdentity) -> Self {
        let mut incomplete_peers: BTreeSet<SocketAddr> = identity.seeds.iter().copied().collect();
        incomplete_peers.remove(&identity.address);
        Self {
            registry: Registry::new(identity.incarnation, identity.reuse_after),
            failure_detector: FailureDetector::new(now, identity.heartbeat_interval),
            outbox: Outbox::new(identity.incarnation, identity.address),
            inbox: Inbox::default(),
            incomplete_peers,
            has_received_heartbeats: false,
            refusal_limiter: RefusalLimiter::default(),
            identity,
        }
    }

    /// The registry of replicas.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Internal address of this machine.
    pub fn address(&self) -> SocketAddr {
        self.identity.address
    }

    /// Merges the departures that this machine's disk had at the start of the process. Must be called before any other
    /// change.
    pub fn restore_departures(&mut self, now: Duration, departures: Vec<IdentifiedStatus>) {
        self.registry.restore_departures(now, departures);
    }

    /// Takes the departures that have to be written to disk next; `None` if there are none.
    pub fn next_departures(&mut self) -> Option<RegistryDepartures> {
        self.registry.next_departures()
    }

    /// All departures, for a snapshot on disk.
    pub fn departure_snapshot(&self) -> RegistryDepartures {
        self.registry.all_departures()
    }

    /// Records that all departures up to `number` are on this machine's disk.
    pub fn record_departures_synced(&mut self, number: u64) {
        self.registry.record_departures_synced(number);
    }

    /// Number up to which departures must be synced until those of all of `ids` are on this machine's disk. `None` if
    /// they are.
    pub fn unsynced_departure(&self, ids: &[String]) -> Option<u64> {
        let log = self.registry.departure_log();
        ids.iter().filter_map(|id| log.unsynced_number(id)).max()
    }

    /// Counts a heartbeat whose body could not be decoded.
    pub fn count_undecodable_heartbeat(&mut self) {
        self.registry.count_undecodable_heartbeat();
    }

    /// Whether this machine may not know all replicas.
    pub fn is_warming(&self, now: Duration) -> bool {
        self.failure_detector.is_warming(now)
    }

    /// Applies a heartbeat that the replica `id` sent to this machine.
    ///
    /// # Errors
    /// As [`Registry::heartbeat`].
    pub fn heartbeat(
        &mut self,
        now: Duration,
        id: &str,
        heartbeat: Heartbeat,
    ) -> Result<HeartbeatOutcome, HeartbeatError> {
        let outcome = self.registry.heartbeat(now, id, heartbeat)?;
        self.has_received_heartbeats = true;
        match outcome {
            HeartbeatOutcome::Unchanged => self.outbox.record_heartbeat(id),
            HeartbeatOutcome::Changed | HeartbeatOutcome::Departing => {
                self.outbox.record_change(id)
            }
        }
        Ok(outcome)
    }

    /// Applies the deregistration that the replica `id` sent to this machine.
    ///
    /// # Errors
    /// As [`Registry::deregister`].
    pub fn deregister(
        &mut self,
        now: Duration,
        id: &str,
    ) -> Result<HeartbeatOutcome, HeartbeatError> {
        let outcome = self.registry.deregister(now, id)?;
        self.outbox.record_change(id);
        Ok(outcome)
    }

    /// Whether to acknowledge an accepted heartbeat that is not a departure. If this machine is out of quorum, the
    /// heartbeat may not reach the other core machines, so the replica has to call another machine.
    pub fn may_acknowledge(
        &mut self,
        now: Duration,
        outcome: HeartbeatOutcome,
        view: &ViewSummary,
    ) -> bool {
        !view.is_out_of_quorum()
            || (outcome == HeartbeatOutcome::Unchanged && !self.refusal_limiter.try_acquire(now))
    }

    /// Starts the notification of the peers of a departure. `None` if this machine is out of quorum: it must not
    /// acknowledge departures.
    pub fn start_departure(
        &self,
        now: Duration,
        view: &ViewSummary,
    ) -> Option<DepartureNotification> {
        let peers = self.peers(now, view);
        (!view.is_out_of_quorum())
            .then(|| DepartureNotification::new(now, self.identity.address, &peers, view))
    }

    /// Addresses of the other core machines: the members of the view (before the first view, the seeds) and all
    /// machines that send batches to this one.
    pub fn peers(&self, now: Duration, view: &ViewSummary) -> Vec<SocketAddr> {
        let mut peers: BTreeSet<SocketAddr> = view.core_machines.iter().copied().collect();
        if peers.is_empty() {
            peers.extend(&self.identity.seeds);
        }
        peers.extend(self.failure_detector.reachable_peers(now));
        peers.remove(&self.identity.address);
        peers.into_iter().collect()
    }

    /// Unnumbered batch that notifies the peers of the departure of `id`.
    pub fn urgent_batch(&self, now: Duration, id: &str) -> Batch {
        self.outbox
            .urgent_batch(id, &self.registry, self.is_warming(now))
    }

    /// Next numbered batch for the peers; `None` if no batch is due.
    pub fn next_batch(&mut self, now: Duration) -> Option<Batch> {
        let warming = self.is_warming(now);
        self.outbox.next_batch(now, &self.registry, warming)
    }

    /// Expires unresponsive replicas and old tombstones. The driver calls it a few times a second.
    pub fn tick(&mut self, now: Duration, view: &ViewSummary) {
        let peers = self.peers(now, view);
        let replicas = self.registry.replicas(now);
        let idle_times = replicas.map(|replica| replica.idle_time);
        let outcome = self.failure_detector.tick(
            now,
            view.in_quorum,
            &peers,
            idle_times,
            self.has_received_heartbeats,
        );
        match outcome {
            TickOutcome::Stalled => self.restart_after_stall(now, &peers),
            TickOutcome::NoExpiry => {}
            TickOutcome::Expire { timeout } => self.expire_replicas(now, timeout),
        }
        self.registry.drop_tombstones(now);
    }

    /// Resets the time-outs of all replicas, because heartbeats may have been missed during the stall, and marks all
    /// peers' registries to be requested.
    fn restart_after_stall(&mut self, now: Duration, peers: &[SocketAddr]) {
        tracing::warn!(peers = peers.len(), "process stalled, registries requested");
        self.registry.restart_timeouts(now);
        self.has_received_heartbeats = false;
        self.incomplete_peers.extend(peers);
    }

    fn expire_replicas(&mut self, now: Duration, timeout: Duration) {
        for id in self.registry.expire(now, timeout) {
            tracing::info!(replica = %id, "replica expired");
            self.outbox.record_change(&id);
        }
    }

    /// Applies a batch of another core machine. Returns how soon watchers have to be notified.
    pub fn receive(&mut self, now: Duration, batch: Batch) -> Urgency {
        let sender = SocketAddr::from(batch.sender);
        if batch.serial > 0 {
            self.failure_detector.record_peer_batch(now, sender);
        }
        self.has_received_heartbeats |= !batch.refreshes.is_empty();
        let result = self.inbox.receive(now, batch, &mut self.registry);
        if result.incomplete {
            self.incomplete_peers.insert(sender);
        }
        result.urgency
    }

    /// Whether any peer's registry has to be requested.
    pub fn has_incomplete_peers(&self) -> bool {
        !self.incomplete_peers.is_empty()
    }

    /// Removes and returns the peers whose registries have to be requested now.
    pub fn take_incomplete_peers(&mut self) -> BTreeSet<SocketAddr> {
        std::mem::take(&mut self.incomplete_peers)
    }

    /// Version up to which the registry of `peer` has been received.
    pub fn version_of_peer(&self, peer: SocketAddr) -> RegistryVersion {
        self.inbox.version(peer)
    }

    /// Merges one response to a request for the registry of `peer`.
    pub fn merge_registry(&mut self, now: Duration, peer: SocketAddr, response: RegistryResponse) {
        self.inbox
            .record_registry(peer, response.version, response.has_more);
        self.has_received_heartbeats |= !response.statuses.is_empty() && !response.warming;
        for entry in response.statuses {
            let IdentifiedStatus { id, status } = entry.into_status();
            self.registry.merge(now, &id, status);
        }
    }

    /// Records that the requests for the peers' registries have finished. `has_warm_peer` is set if the complete
    /// registry of a peer that is not warming up was received. Returns whether this machine is still warming up; it
    /// then has to request the registries of all peers again.
    pub fn complete_registry_pull(
        &mut self,
        now: Duration,
        view: &ViewSummary,
        has_warm_peer: bool,
    ) -> bool {
        if has_warm_peer && self.incomplete_peers.is_empty() {
            self.failure_detector.complete_warm_up();
        }
        if self.is_warming(now) {
            self.incomplete_peers.extend(self.peers(now, view));
        }
        self.is_warming(now)
    }

    /// Changes of this machine's registry since the version `known`, in one response.
    pub fn registry_since(&self, now: Duration, known: RegistryVersion) -> RegistryResponse {
        RegistryResponse::new(
            self.registry.changes_since(known, MAX_STATUSES),
            self.is_warming(now),
        )
    }

    /// Answer to a poll, which may contain no updates.
    pub fn respond(
        &self,
        now: Duration,
        request: &PollRequest,
        committed: &dyn CommittedState,
    ) -> PollResponse {
        respond(request, &self.registry, committed, self.is_warming(now))
    }
}
