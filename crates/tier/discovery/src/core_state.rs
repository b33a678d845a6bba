//! Decisions of discovery on a core machine: what it knows of the replicas, whom it tells and whom it asks.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use crate::committed::{CommittedState, ViewSummary};
use crate::departure::DepartureNotification;
use crate::exchange::{Inbox, Outbox, Urgency};
use crate::failure_detector::FailureDetector;
use crate::messages::{Batch, PollRequest, PollResponse, RegistryResponse};
use crate::poll_response::{MAX_STATUSES, respond};
use crate::registry::{HeartbeatError, HeartbeatOutcome, Registry, RegistryVersion};
use crate::replica::Heartbeat;

/// Unchanged heartbeats that a machine out of quorum refuses in a second, so that the replicas go on to
/// others: without any quorum, each replica would otherwise call every core machine at each heartbeat.
const MAX_REFUSALS_PER_SECOND: u32 = 200;

/// Who a core machine is.
#[derive(Clone, Debug)]
pub struct CoreIdentity {
    /// Differs between starts of the process; not 0.
    pub incarnation: u64,
    /// Its internal address.
    pub address: SocketAddr,
    /// Internal addresses of the seeds.
    pub seeds: Vec<SocketAddr>,
    /// How often replicas send heartbeats.
    pub heartbeat: Duration,
    /// After this time an address may serve another replica.
    pub reuse_after: Duration,
}

/// What a core machine knows of the replicas.
pub struct CoreState {
    identity: CoreIdentity,
    registry: Registry,
    failure_detector: FailureDetector,
    outbox: Outbox,
    inbox: Inbox,
    /// Peers whose registry is to be asked for.
    incomplete: BTreeSet<SocketAddr>,
    /// Replicas have been heard of since this machine is warming.
    has_heard_replicas: bool,
    refusal_limiter: RefusalLimiter,
}

/// Heartbeats refused in the present second.
#[derive(Default)]
struct RefusalLimiter {
    since: Duration,
    count: u32,
}

impl RefusalLimiter {
    fn may_refuse(&mut self, now: Duration) -> bool {
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
    /// Of a process that starts at `now`.
    pub fn new(now: Duration, identity: CoreIdentity) -> Self {
        let mut incomplete: BTreeSet<SocketAddr> = identity.seeds.iter().copied().collect();
        incomplete.remove(&identity.address);
        Self {
            registry: Registry::new(identity.incarnation, identity.reuse_after),
            failure_detector: FailureDetector::new(now, identity.heartbeat),
            outbox: Outbox::new(identity.incarnation, identity.address),
            inbox: Inbox::default(),
            incomplete,
            has_heard_replicas: false,
            refusal_limiter: RefusalLimiter::default(),
            identity,
        }
    }

    /// The replicas known.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Counts a heartbeat whose body could not be read.
    pub fn count_unreadable(&mut self) {
        self.registry.count_unreadable();
    }

    /// Whether this machine does not know all replicas yet.
    pub fn is_warming(&self, now: Duration) -> bool {
        self.failure_detector.is_warming(now)
    }

    /// Takes a replica's heartbeat.
    pub fn heartbeat(
        &mut self,
        now: Duration,
        id: &str,
        heartbeat: Heartbeat,
    ) -> Result<HeartbeatOutcome, HeartbeatError> {
        let ack = self.registry.heartbeat(now, id, heartbeat)?;
        self.has_heard_replicas = true;
        match ack {
            HeartbeatOutcome::Unchanged => self.outbox.heard(id),
            HeartbeatOutcome::Changed | HeartbeatOutcome::Departing => self.outbox.changed(id),
        }
        Ok(ack)
    }

    /// Takes a replica's word that it ends.
    pub fn deregister(
        &mut self,
        now: Duration,
        id: &str,
    ) -> Result<HeartbeatOutcome, HeartbeatError> {
        let ack = self.registry.deregister(now, id)?;
        self.outbox.changed(id);
        Ok(ack)
    }

    /// Whether a heartbeat that was taken, and that is no departure, is acknowledged. A machine out of quorum
    /// may be the only one that knows of it: the replica is to call another.
    pub fn may_acknowledge(
        &mut self,
        now: Duration,
        ack: HeartbeatOutcome,
        view: &ViewSummary,
    ) -> bool {
        let is_out_of_quorum = view.epoch > 0 && !view.in_quorum;
        !is_out_of_quorum
            || (ack == HeartbeatOutcome::Unchanged && !self.refusal_limiter.may_refuse(now))
    }

    /// Begins to tell the peers of a departure. Nothing if this machine is out of quorum, and can promise
    /// nothing.
    pub fn start_departure(
        &self,
        now: Duration,
        view: &ViewSummary,
    ) -> Option<DepartureNotification> {
        let is_out_of_quorum = view.epoch > 0 && !view.in_quorum;
        let peers = self.peers(now, view);
        (!is_out_of_quorum)
            .then(|| DepartureNotification::new(now, self.identity.address, &peers, view))
    }

    /// The other core machines: members of the view, and those that send batches; the seeds before there is
    /// a view.
    pub fn peers(&self, now: Duration, view: &ViewSummary) -> Vec<SocketAddr> {
        let mut peers: BTreeSet<SocketAddr> = view.members.iter().copied().collect();
        if peers.is_empty() {
            peers.extend(&self.identity.seeds);
        }
        peers.extend(self.failure_detector.reachable_peers(now));
        peers.remove(&self.identity.address);
        peers.into_iter().collect()
    }

    /// What the peers are told of `id` before its departure is acknowledged.
    pub fn urgent_batch(&self, now: Duration, id: &str) -> Batch {
        self.outbox
            .urgent_batch(id, &self.registry, self.is_warming(now))
    }

    /// The next batch for the peers, if one is due.
    pub fn next_batch(&mut self, now: Duration) -> Option<Batch> {
        let warming = self.is_warming(now);
        self.outbox.next_batch(now, &self.registry, warming)
    }

    /// Looks for silence. To be called a few times a second.
    pub fn tick(&mut self, now: Duration, view: &ViewSummary) {
        let peers = self.peers(now, view);
        let silences = self.registry.replicas(now).map(|(_, silence)| silence);
        let tick = self.failure_detector.tick(
            now,
            view.in_quorum,
            &peers,
            silences,
            self.has_heard_replicas,
        );
        if tick.stalled {
            tracing::warn!(
                "this process stood still: asking the other core machines for the replicas"
            );
            self.registry.restart_timeouts(now);
            self.has_heard_replicas = false;
            self.incomplete.extend(&peers);
        }
        if let Some(silence) = tick.expiry {
            for id in self.registry.expire(now, silence) {
                tracing::info!(replica = %id, "replica expired");
                self.outbox.changed(&id);
            }
        }
        self.registry.drop_tombstones(now);
    }

    /// Takes a batch of another core machine. Returns how soon watchers are to be told.
    pub fn receive(&mut self, now: Duration, batch: Batch) -> Urgency {
        let sender = SocketAddr::from(batch.sender);
        if batch.serial > 0 {
            self.failure_detector.record_peer_batch(now, sender);
        }
        self.has_heard_replicas |= !batch.refreshes.is_empty();
        let result = self.inbox.receive(now, batch, &mut self.registry);
        if result.incomplete {
            self.incomplete.insert(sender);
        }
        result.urgency
    }

    /// Whether some peer is to be asked for its registry.
    pub fn has_incomplete_peers(&self) -> bool {
        !self.incomplete.is_empty()
    }

    /// Peers to be asked for their registries now; a later event names them again if need be.
    pub fn take_incomplete_peers(&mut self) -> BTreeSet<SocketAddr> {
        std::mem::take(&mut self.incomplete)
    }

    /// Version of the registry of `peer` that has been taken in.
    pub fn version_of_peer(&self, peer: SocketAddr) -> RegistryVersion {
        self.inbox.version(peer)
    }

    /// Takes a part of the registry of `peer`.
    pub fn take_registry(&mut self, now: Duration, peer: SocketAddr, response: RegistryResponse) {
        self.inbox.record_registry(peer, response.version);
        self.has_heard_replicas |= !response.statuses.is_empty() && !response.warming;
        for entry in response.statuses {
            let (id, status) = entry.into_status();
            self.registry.merge(now, &id, status);
        }
    }

    /// All reachable peers have been asked; `warm_peer` says whether one that is not warming has answered. A
    /// machine that is still warming asks all of them again. Returns whether it is.
    pub fn complete_registry_pull(
        &mut self,
        now: Duration,
        view: &ViewSummary,
        warm_peer: bool,
    ) -> bool {
        if warm_peer && self.incomplete.is_empty() {
            self.failure_detector.complete_warm_up();
        }
        if self.is_warming(now) {
            self.incomplete.extend(self.peers(now, view));
        }
        self.is_warming(now)
    }

    /// What is new in this registry since `known`.
    pub fn registry_since(&self, now: Duration, known: RegistryVersion) -> RegistryResponse {
        RegistryResponse::new(
            self.registry.changes_since(known, MAX_STATUSES),
            self.is_warming(now),
        )
    }

    /// The answer to a poll, whether or not it has news.
    pub fn respond(
        &self,
        now: Duration,
        request: &PollRequest,
        committed: &dyn CommittedState,
    ) -> PollResponse {
        respond(request, &self.registry, committed, self.is_warming(now))
    }
}
