//! Decisions of discovery on a core machine: what it knows of the replicas, whom it tells and whom it asks.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use crate::committed::{CommittedState, ViewSummary};
use crate::departure::DepartureRound;
use crate::exchange::{Inbox, Outbox, Urgency};
use crate::messages::{Batch, PollRequest, PollResponse, RegistryResponse};
use crate::registry::{Ack, HeartbeatError, Registry, RegistryVersion};
use crate::replica::Heartbeat;
use crate::server::{MAX_STATUSES, respond};
use crate::warming::Observation;

/// Unchanged heartbeats that a machine out of quorum refuses in a second, so that the replicas go on to
/// others: without any quorum, each replica would otherwise call every core machine at each heartbeat.
const REFUSALS_A_SECOND: u32 = 200;

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
    observation: Observation,
    outbox: Outbox,
    inbox: Inbox,
    /// Peers whose registry is to be asked for.
    incomplete: BTreeSet<SocketAddr>,
    /// Replicas have been heard of since this machine is warming.
    heard_any: bool,
    refusals: Refusals,
}

/// Heartbeats refused in the present second.
#[derive(Default)]
struct Refusals {
    since: Duration,
    count: u32,
}

impl Refusals {
    fn may_refuse(&mut self, now: Duration) -> bool {
        if now.saturating_sub(self.since) >= Duration::from_secs(1) {
            *self = Self {
                since: now,
                count: 0,
            };
        }
        self.count += 1;
        self.count <= REFUSALS_A_SECOND
    }
}

impl CoreState {
    /// Of a process that starts at `now`.
    pub fn new(now: Duration, identity: CoreIdentity) -> Self {
        let mut incomplete: BTreeSet<SocketAddr> = identity.seeds.iter().copied().collect();
        incomplete.remove(&identity.address);
        Self {
            registry: Registry::new(identity.incarnation, identity.reuse_after),
            observation: Observation::new(now, identity.heartbeat),
            outbox: Outbox::new(identity.incarnation, identity.address),
            inbox: Inbox::default(),
            incomplete,
            heard_any: false,
            refusals: Refusals::default(),
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
        self.observation.is_warming(now)
    }

    /// Takes a replica's heartbeat.
    pub fn heartbeat(
        &mut self,
        now: Duration,
        id: &str,
        heartbeat: Heartbeat,
    ) -> Result<Ack, HeartbeatError> {
        let ack = self.registry.heartbeat(now, id, heartbeat)?;
        self.heard_any = true;
        match ack {
            Ack::Unchanged => self.outbox.heard(id),
            Ack::Changed | Ack::Leaving => self.outbox.changed(id),
        }
        Ok(ack)
    }

    /// Takes a replica's word that it ends.
    pub fn leave(&mut self, now: Duration, id: &str) -> Result<Ack, HeartbeatError> {
        let ack = self.registry.leave(now, id)?;
        self.outbox.changed(id);
        Ok(ack)
    }

    /// Whether a heartbeat that was taken, and that is no departure, is acknowledged. A machine out of quorum
    /// may be the only one that knows of it: the replica is to call another.
    pub fn may_acknowledge(&mut self, now: Duration, ack: Ack, view: &ViewSummary) -> bool {
        let is_cut_off = view.epoch > 0 && !view.in_quorum;
        !is_cut_off || (ack == Ack::Unchanged && !self.refusals.may_refuse(now))
    }

    /// Begins to tell the peers of a departure. Nothing if this machine is out of quorum, and can promise
    /// nothing.
    pub fn begin_departure(&self, now: Duration, view: &ViewSummary) -> Option<DepartureRound> {
        let is_cut_off = view.epoch > 0 && !view.in_quorum;
        let peers = self.peers(now, view);
        (!is_cut_off).then(|| DepartureRound::new(now, self.identity.address, &peers, view))
    }

    /// The other core machines: members of the view, and those that send batches; the seeds before there is
    /// a view.
    pub fn peers(&self, now: Duration, view: &ViewSummary) -> Vec<SocketAddr> {
        let mut peers: BTreeSet<SocketAddr> = view.members.iter().copied().collect();
        if peers.is_empty() {
            peers.extend(&self.identity.seeds);
        }
        peers.extend(self.observation.heard_peers(now));
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
        let tick = self
            .observation
            .tick(now, view.in_quorum, &peers, silences, self.heard_any);
        if tick.stalled {
            tracing::warn!(
                "this process stood still: asking the other core machines for the replicas"
            );
            self.registry.restart_silence(now);
            self.heard_any = false;
            self.incomplete.extend(&peers);
        }
        if let Some(silence) = tick.expiry {
            for id in self.registry.expire(now, silence) {
                tracing::info!(replica = %id, "replica expired");
                self.outbox.changed(&id);
            }
        }
        self.registry.forget_tombstones(now);
    }

    /// Takes a batch of another core machine. Returns how soon watchers are to be told.
    pub fn receive(&mut self, now: Duration, batch: Batch) -> Urgency {
        let sender = SocketAddr::from(batch.sender);
        if batch.serial > 0 {
            self.observation.heard_peer(now, sender);
        }
        self.heard_any |= !batch.refreshes.is_empty();
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
        self.inbox.taken_in(peer, response.version);
        self.heard_any |= !response.statuses.is_empty() && !response.warming;
        for entry in response.statuses {
            let (id, status) = entry.into_status();
            self.registry.merge(now, &id, status);
        }
    }

    /// All reachable peers have been asked; `warm_peer` says whether one that is not warming has answered. A
    /// machine that is still warming asks all of them again. Returns whether it is.
    pub fn peers_asked(&mut self, now: Duration, view: &ViewSummary, warm_peer: bool) -> bool {
        if warm_peer && self.incomplete.is_empty() {
            self.observation.peers_taken_in();
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
