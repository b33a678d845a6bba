//! Driver of discovery on a core machine: heartbeats, batches between core machines, and long-polls.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use parking_lot::Mutex;
use tokio::sync::{Notify, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior};
use woadreach_rpc::{Client, Router, ServiceId};
use woadreach_settings::NodeSettings;

use crate::committed::CommittedState;
use crate::exchange::{Inbox, Outbox};
use crate::messages::{
    Batch, BatchResponse, ConfigurationResponse, PollRequest, RegistryResponse, Request, VersionedBytes,
    decode, encode,
};
use crate::registry::{Ack, HeartbeatError, Registry, RegistryCounters, RegistryVersion};
use crate::replica::Heartbeat;
use crate::server::{MAX_STATUSES, has_news, respond};
use crate::warming::Observation;

/// How often silence is looked at and batches are sent.
const TICK: Duration = Duration::from_millis(250);
/// How long a replica's departure waits for the other core machines to be told.
const URGENT_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a core machine waits for another's registry.
const REGISTRY_TIMEOUT: Duration = Duration::from_millis(1000);
/// Longest wait of a poll.
const MAX_POLL_WAIT: Duration = Duration::from_secs(2);
/// Pause before an unreachable peer is asked for its registry again.
const REGISTRY_RETRY: Duration = Duration::from_millis(500);

/// Discovery on a core machine.
pub struct CoreDiscovery {
    own_address: SocketAddr,
    incarnation: u64,
    started: Instant,
    seeds: Vec<SocketAddr>,
    rpc: Client,
    committed: Arc<dyn CommittedState>,
    state: Mutex<State>,
    revision: watch::Sender<u64>,
    flush: Notify,
    pull: Notify,
}

struct State {
    registry: Registry,
    observation: Observation,
    outbox: Outbox,
    inbox: Inbox,
    /// Peers whose registry is to be asked for.
    incomplete: BTreeSet<SocketAddr>,
    /// A heartbeat or a batch with replicas has come since this machine is warming.
    heard_any: bool,
}

impl CoreDiscovery {
    /// Discovery of the process that `settings` describe. `incarnation` differs between starts and is not 0.
    /// [`run`](Self::run) has to be spawned, and [`handlers`](Self::handlers) to be served.
    pub fn new(
        settings: &NodeSettings,
        incarnation: u64,
        rpc: Client,
        committed: Arc<dyn CommittedState>,
    ) -> Arc<Self> {
        let own_address = settings.internal_address();
        let seeds: Vec<SocketAddr> =
            settings.seed_internal_addresses().into_iter().filter(|seed| *seed != own_address).collect();
        let registry = Registry::new(incarnation, settings.bounds.reuse_after);
        let (revision, _) = watch::channel(registry.version().revision);
        Arc::new(Self {
            own_address,
            incarnation,
            started: Instant::now(),
            rpc,
            committed,
            state: Mutex::new(State {
                registry,
                observation: Observation::new(Duration::ZERO, settings.heartbeat),
                outbox: Outbox::new(incarnation, own_address),
                inbox: Inbox::default(),
                incomplete: seeds.iter().copied().collect(),
                heard_any: false,
            }),
            seeds,
            revision,
            flush: Notify::new(),
            pull: Notify::new(),
        })
    }

    /// Adds the handler of discovery to the machine's services.
    pub fn handlers(self: &Arc<Self>, router: Router) -> Router {
        let discovery = Arc::clone(self);
        router.route(ServiceId::DISCOVERY, move |_peer, body| Arc::clone(&discovery).handle(body))
    }

    /// Sends batches and watches for silence until the task is dropped.
    pub async fn run(self: Arc<Self>) {
        tokio::join!(self.exchange_batches(), self.pull_registries());
    }

    /// Takes a replica's heartbeat. A departure is acknowledged after the other core machines have been told.
    pub async fn heartbeat(&self, id: &str, heartbeat: Heartbeat) -> Result<(), HeartbeatError> {
        let now = self.now();
        let ack = {
            let mut state = self.state.lock();
            let ack = state.registry.heartbeat(now, id, heartbeat)?;
            state.heard_any = true;
            match ack {
                Ack::Unchanged => state.outbox.heard(id),
                Ack::Changed | Ack::Leaving => state.outbox.changed(id),
            }
            ack
        };
        self.after_change(id, ack).await;
        Ok(())
    }

    /// Takes a replica's word that it ends, and tells the other core machines before it returns.
    pub async fn leave(&self, id: &str) -> Result<(), HeartbeatError> {
        let ack = {
            let mut state = self.state.lock();
            let ack = state.registry.leave(self.now(), id)?;
            state.outbox.changed(id);
            ack
        };
        self.after_change(id, ack).await;
        Ok(())
    }

    /// What the registry took and refused since the start.
    pub fn counters(&self) -> RegistryCounters {
        self.state.lock().registry.counters()
    }

    /// Counts a heartbeat that could not be read.
    pub fn count_unreadable(&self) {
        self.state.lock().registry.count_unreadable();
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    async fn after_change(&self, id: &str, ack: Ack) {
        match ack {
            Ack::Unchanged => {}
            Ack::Changed => {
                self.publish();
                self.flush.notify_one();
            }
            Ack::Leaving => {
                self.publish();
                self.tell_peers(id).await;
            }
        }
    }

    /// Wakes the polls if the registry has news.
    fn publish(&self) {
        let revision = self.state.lock().registry.version().revision;
        self.revision.send_if_modified(|published| {
            let modified = *published != revision;
            *published = revision;
            modified
        });
    }

    /// The other core machines: members of the view, and those that send batches; the seeds before there is a view.
    fn peers(&self, state: &State) -> Vec<SocketAddr> {
        let view = self.committed.view();
        let mut peers: BTreeSet<SocketAddr> = view.members.into_iter().collect();
        if peers.is_empty() {
            peers.extend(&self.seeds);
        }
        peers.extend(state.observation.heard_peers(self.now()));
        peers.remove(&self.own_address);
        peers.into_iter().collect()
    }

    async fn tell_peers(&self, id: &str) {
        let (batch, peers) = {
            let state = self.state.lock();
            let warming = state.observation.is_warming();
            (state.outbox.urgent_batch(id, &state.registry, warming), self.peers(&state))
        };
        let body = encode(&Request::Urgent(batch));
        let mut calls = JoinSet::new();
        for peer in peers {
            let (rpc, body) = (self.rpc.clone(), body.clone());
            calls.spawn(async move { rpc.call(peer, ServiceId::DISCOVERY, body, URGENT_TIMEOUT).await });
        }
        while calls.join_next().await.is_some() {}
    }

    async fn exchange_batches(&self) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.tick(),
                () = self.flush.notified() => {}
            }
            self.send_batch();
        }
    }

    fn tick(&self) {
        let now = self.now();
        let in_quorum = self.committed.view().in_quorum;
        let mut guard = self.state.lock();
        let peers = self.peers(&guard);
        let state = &mut *guard;
        let silences = state.registry.replicas(now).map(|(_, silence)| silence);
        let tick = state.observation.tick(now, in_quorum, &peers, silences, state.heard_any);
        if tick.stalled {
            state.registry.restart_silence(now);
            state.heard_any = false;
            state.incomplete.extend(&peers);
            self.pull.notify_one();
        }
        if let Some(silence) = tick.expiry {
            for id in state.registry.expire(now, silence) {
                tracing::info!(replica = %id, "replica expired");
                state.outbox.changed(&id);
            }
        }
        state.registry.forget_tombstones(now);
        drop(guard);
        self.publish();
    }

    fn send_batch(&self) {
        let now = self.now();
        let (batch, peers) = {
            let mut guard = self.state.lock();
            let peers = self.peers(&guard);
            let state = &mut *guard;
            let warming = state.observation.is_warming();
            let Some(batch) = state.outbox.next_batch(now, &state.registry, warming) else { return };
            (batch, peers)
        };
        let body = encode(&Request::Batch(batch));
        for peer in peers {
            self.rpc.send(peer, ServiceId::DISCOVERY, body.clone());
        }
    }

    /// Asks the peers that know more for their registries.
    async fn pull_registries(&self) {
        loop {
            let peers = std::mem::take(&mut self.state.lock().incomplete);
            let mut failed = false;
            let mut warm_peer = false;
            for peer in peers {
                match self.pull_registry(peer).await {
                    Some(warming) => warm_peer |= !warming,
                    None => failed = true,
                }
            }
            {
                let mut state = self.state.lock();
                if warm_peer && state.incomplete.is_empty() {
                    state.observation.peers_taken_in();
                }
                if state.observation.is_warming() {
                    let peers = self.peers(&state);
                    state.incomplete.extend(peers);
                    failed = true;
                }
            }
            self.publish();
            if failed {
                tokio::time::sleep(REGISTRY_RETRY).await;
            } else if self.state.lock().incomplete.is_empty() {
                self.pull.notified().await;
            }
        }
    }

    /// Takes in the registry of `peer`. Returns whether that machine is warming itself, or nothing if it fails.
    async fn pull_registry(&self, peer: SocketAddr) -> Option<bool> {
        loop {
            let known = self.state.lock().inbox.version(peer);
            let body = encode(&Request::Registry(known));
            let answer = self.rpc.call(peer, ServiceId::DISCOVERY, body, REGISTRY_TIMEOUT).await.ok()?;
            let response: RegistryResponse = decode(&answer).ok()?;
            let now = self.now();
            let mut state = self.state.lock();
            state.inbox.taken_in(peer, response.version);
            state.heard_any |= !response.statuses.is_empty() && !response.warming;
            for entry in response.statuses {
                let (id, status) = entry.into_status();
                state.registry.merge(now, &id, status);
            }
            if !response.more {
                return Some(response.warming);
            }
        }
    }

    async fn handle(self: Arc<Self>, body: Bytes) -> Vec<u8> {
        match decode::<Request>(&body) {
            Ok(Request::Poll(request)) => self.poll(request).await,
            Ok(Request::Configuration) => {
                let configuration = self.committed.configuration();
                encode(&ConfigurationResponse {
                    configuration: configuration
                        .map(|(version, body)| VersionedBytes { version, bytes: body.to_vec() }),
                })
            }
            Ok(Request::Batch(batch) | Request::Urgent(batch)) => {
                self.receive(batch);
                encode(&BatchResponse { incarnation: self.incarnation })
            }
            Ok(Request::Registry(known)) => encode(&self.registry_since(known)),
            Err(error) => {
                tracing::warn!(%error, "discovery request refused");
                Vec::new()
            }
        }
    }

    fn receive(&self, batch: Batch) {
        let now = self.now();
        let sender = SocketAddr::from(batch.sender);
        {
            let mut guard = self.state.lock();
            let state = &mut *guard;
            if batch.serial > 0 {
                state.observation.heard_peer(now, sender);
            }
            state.heard_any |= !batch.refreshes.is_empty();
            let result = state.inbox.receive(now, batch, &mut state.registry);
            if result.incomplete {
                state.incomplete.insert(sender);
                self.pull.notify_one();
            }
        }
        self.publish();
    }

    fn registry_since(&self, known: RegistryVersion) -> RegistryResponse {
        let state = self.state.lock();
        let changes = state.registry.changes_since(known, MAX_STATUSES);
        RegistryResponse::new(changes, state.observation.is_warming())
    }

    async fn poll(&self, request: PollRequest) -> Vec<u8> {
        let wait = Duration::from_millis(u64::from(request.wait_ms)).min(MAX_POLL_WAIT);
        let deadline = Instant::now() + wait;
        let mut registry_changed = self.revision.subscribe();
        let mut committed_changed = self.committed.changed();
        loop {
            registry_changed.borrow_and_update();
            committed_changed.borrow_and_update();
            let response = {
                let state = self.state.lock();
                let warming = state.observation.is_warming();
                respond(&request, &state.registry, self.committed.as_ref(), warming)
            };
            if has_news(&request, &response) || Instant::now() >= deadline {
                return encode(&response);
            }
            tokio::select! {
                _ = registry_changed.changed() => {}
                Ok(()) = committed_changed.changed() => {}
                () = tokio::time::sleep_until(deadline) => {}
            }
        }
    }
}
