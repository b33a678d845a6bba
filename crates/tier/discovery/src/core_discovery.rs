//! Driver of discovery on a core machine: heartbeats, batches between core machines, and long-polls.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use parking_lot::Mutex;
use snafu::Snafu;
use tokio::sync::{Notify, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior, sleep_until, timeout_at};
use woadreach_rpc::{Client, Router, ServiceId};
use woadreach_settings::NodeSettings;

use crate::committed::CommittedState;
use crate::core_state::{CoreIdentity, CoreState};
use crate::departure::{DepartureDecision, DepartureNotification, MAJORITY_TIMEOUT};
use crate::exchange::{CHANGE_DELAY, Urgency};
use crate::messages::{
    BatchResponse, ConfigurationResponse, MessageError, PollRequest, RegistryResponse, Request,
    VersionedBytes, decode, decode_answer, encode,
};
use crate::poll_response::has_updates;
use crate::registry::{HeartbeatError, HeartbeatOutcome, RegistryCounters};
use crate::replica::Heartbeat;

/// How often silence is looked at and batches are sent.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Pause before a peer that could not be told of a departure is told again.
const DEPARTURE_RETRY_INTERVAL: Duration = Duration::from_millis(60);
/// How long a core machine waits for another's registry.
const REGISTRY_TIMEOUT: Duration = Duration::from_millis(1000);
/// Longest wait of a poll.
const MAX_POLL_WAIT: Duration = Duration::from_secs(2);
/// Pause before peers are asked for their registries again.
const REGISTRY_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Why a replica's call is not acknowledged.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum AcknowledgeError {
    /// The call is not taken.
    #[snafu(transparent)]
    Refused {
        /// Why.
        source: HeartbeatError,
    },
    /// The call is taken here, but others may not hear of it; another core machine is to be called.
    #[snafu(display("taken, but this machine may be cut off from the core's majority"))]
    OutOfQuorum,
}

/// Discovery on a core machine.
pub struct CoreDiscovery {
    incarnation: u64,
    started: Instant,
    rpc: Client,
    committed: Arc<dyn CommittedState>,
    state: Mutex<CoreState>,
    revision: watch::Sender<u64>,
    flush: Notify,
    pull: Notify,
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
        let identity = CoreIdentity {
            incarnation,
            address: settings.internal_address(),
            seeds: settings.seed_internal_addresses(),
            heartbeat: settings.heartbeat,
            reuse_after: settings.bounds.reuse_after,
        };
        Arc::new(Self {
            incarnation,
            started: Instant::now(),
            rpc,
            committed,
            state: Mutex::new(CoreState::new(Duration::ZERO, identity)),
            revision: watch::channel(0).0,
            flush: Notify::new(),
            pull: Notify::new(),
        })
    }

    /// Adds the handler of discovery to the machine's services.
    pub fn handlers(self: &Arc<Self>, router: Router) -> Router {
        let discovery = Arc::clone(self);
        router.route_checked(ServiceId::DISCOVERY, move |_peer, body| {
            Arc::clone(&discovery).handle(body)
        })
    }

    /// Sends batches and watches for silence until the task is dropped.
    pub async fn run(self: Arc<Self>) {
        tokio::join!(self.exchange_batches(), Arc::clone(&self).pull_registries());
    }

    /// Takes a replica's heartbeat. A departure is acknowledged after the other core machines have been told.
    pub async fn heartbeat(&self, id: &str, heartbeat: Heartbeat) -> Result<(), AcknowledgeError> {
        let ack = self.state.lock().heartbeat(self.now(), id, heartbeat)?;
        self.after_change(id, ack).await
    }

    /// Takes a replica's word that it ends, and tells the other core machines before it returns.
    pub async fn deregister(&self, id: &str) -> Result<(), AcknowledgeError> {
        let ack = self.state.lock().deregister(self.now(), id)?;
        self.after_change(id, ack).await
    }

    /// What the registry took and refused since the start.
    pub fn counters(&self) -> RegistryCounters {
        self.state.lock().registry().counters()
    }

    /// Counts a heartbeat that could not be read.
    pub fn count_unreadable(&self) {
        self.state.lock().count_unreadable();
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    async fn after_change(&self, id: &str, ack: HeartbeatOutcome) -> Result<(), AcknowledgeError> {
        let is_acknowledged = match ack {
            HeartbeatOutcome::Unchanged => self.may_acknowledge(ack),
            HeartbeatOutcome::Changed => {
                self.flush.notify_one();
                self.may_acknowledge(ack)
            }
            HeartbeatOutcome::Departing => {
                self.publish();
                self.notify_peers(id).await
            }
        };
        if is_acknowledged {
            Ok(())
        } else {
            OutOfQuorumSnafu.fail()
        }
    }

    fn may_acknowledge(&self, ack: HeartbeatOutcome) -> bool {
        let view = self.committed.view();
        self.state.lock().may_acknowledge(self.now(), ack, &view)
    }

    /// Wakes the polls if the registry has news, and the puller if a peer knows more.
    fn publish(&self) {
        let revision = self.state.lock().registry().version().revision;
        self.wake_puller();
        self.revision.send_if_modified(|published| {
            let modified = *published != revision;
            *published = revision;
            modified
        });
    }

    fn wake_puller(&self) {
        if self.state.lock().has_incomplete_peers() {
            self.pull.notify_one();
        }
    }

    /// Tells the peers of a departure. Returns whether it may be acknowledged.
    async fn notify_peers(&self, id: &str) -> bool {
        let now = self.now();
        let view = self.committed.view();
        let (batch, peers, round) = {
            let state = self.state.lock();
            (
                state.urgent_batch(now, id),
                state.peers(now, &view),
                state.start_departure(now, &view),
            )
        };
        let body = encode(&Request::Urgent(batch));
        match round {
            Some(round) => self.await_peers(round, peers, body).await,
            None => {
                peers
                    .into_iter()
                    .for_each(|peer| self.rpc.send(peer, ServiceId::DISCOVERY, body.clone()));
                false
            }
        }
    }

    async fn await_peers(
        &self,
        mut round: DepartureNotification,
        peers: Vec<SocketAddr>,
        body: Vec<u8>,
    ) -> bool {
        let deadline = Instant::now() + MAJORITY_TIMEOUT;
        let mut calls = JoinSet::new();
        for peer in peers {
            calls.spawn(notify_peer(self.rpc.clone(), peer, body.clone(), deadline));
        }
        let is_acknowledged = loop {
            let until = match round.decision(self.now()) {
                DepartureDecision::Acknowledged => break true,
                DepartureDecision::Unconfirmed => break false,
                DepartureDecision::Wait { until } => self.started + until,
            };
            match timeout_at(until, calls.join_next()).await {
                Ok(Some(Ok(Some(peer)))) => round.answered(peer),
                Ok(Some(_)) | Err(_) => {}
                Ok(None) => sleep_until(until).await,
            }
        };
        // Peers that have not answered are told all the same, until the deadline.
        calls.detach_all();
        is_acknowledged
    }

    async fn exchange_batches(&self) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => {
                    self.state.lock().tick(self.now(), &self.committed.view());
                    self.publish();
                }
                () = self.flush.notified() => {
                    tokio::time::sleep(CHANGE_DELAY).await;
                    self.publish();
                }
            }
            self.send_batch();
        }
    }

    fn send_batch(&self) {
        let now = self.now();
        let (batch, peers) = {
            let mut state = self.state.lock();
            let Some(batch) = state.next_batch(now) else {
                return;
            };
            (batch, state.peers(now, &self.committed.view()))
        };
        let body = encode(&Request::Batch(batch));
        for peer in peers {
            self.rpc.send(peer, ServiceId::DISCOVERY, body.clone());
        }
    }

    /// Asks the peers that know more for their registries.
    async fn pull_registries(self: Arc<Self>) {
        loop {
            let peers = self.state.lock().take_incomplete_peers();
            let mut pulls = JoinSet::new();
            for peer in peers {
                pulls.spawn(Arc::clone(&self).pull_registry(peer));
            }
            let mut warm_peer = false;
            while let Some(pulled) = pulls.join_next().await {
                warm_peer |= matches!(pulled, Ok(Some(false)));
            }
            let warming = {
                let view = self.committed.view();
                self.state
                    .lock()
                    .complete_registry_pull(self.now(), &view, warm_peer)
            };
            self.publish();
            if warming {
                tokio::time::sleep(REGISTRY_RETRY_INTERVAL).await;
            } else {
                self.pull.notified().await;
            }
        }
    }

    /// Takes in the registry of `peer`. Returns whether that machine is warming itself, or nothing if it
    /// fails.
    async fn pull_registry(self: Arc<Self>, peer: SocketAddr) -> Option<bool> {
        loop {
            let known = self.state.lock().version_of_peer(peer);
            let body = encode(&Request::Registry(known));
            let answer = self
                .rpc
                .call(peer, ServiceId::DISCOVERY, body, REGISTRY_TIMEOUT)
                .await
                .ok()?;
            let response: RegistryResponse = decode_answer(peer, &answer)?;
            let (warming, more) = (response.warming, response.more);
            self.state.lock().take_registry(self.now(), peer, response);
            if !more {
                return Some(warming);
            }
        }
    }

    async fn handle(self: Arc<Self>, body: Bytes) -> Result<Vec<u8>, MessageError> {
        Ok(match decode::<Request>(&body)? {
            Request::Poll(request) => self.poll(request).await,
            Request::Configuration => {
                let configuration = self.committed.configuration();
                encode(&ConfigurationResponse {
                    configuration: configuration.map(|(version, body)| VersionedBytes {
                        version,
                        bytes: body.to_vec(),
                    }),
                })
            }
            Request::Batch(batch) | Request::Urgent(batch) => {
                let urgency = self.state.lock().receive(self.now(), batch);
                match urgency {
                    Urgency::Unchanged => self.wake_puller(),
                    Urgency::Soon => self.flush.notify_one(),
                    Urgency::Now => self.publish(),
                }
                encode(&BatchResponse {
                    incarnation: self.incarnation,
                })
            }
            Request::Registry(known) => {
                encode(&self.state.lock().registry_since(self.now(), known))
            }
        })
    }

    async fn poll(&self, request: PollRequest) -> Vec<u8> {
        let wait = Duration::from_millis(u64::from(request.wait_ms)).min(MAX_POLL_WAIT);
        let deadline = Instant::now() + wait;
        let mut registry_changed = self.revision.subscribe();
        let mut committed_changed = self.committed.changed();
        loop {
            registry_changed.borrow_and_update();
            committed_changed.borrow_and_update();
            let response = self
                .state
                .lock()
                .respond(self.now(), &request, self.committed.as_ref());
            if has_updates(&request, &response) || Instant::now() >= deadline {
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

/// Tells `peer` of a departure, again if need be. Returns the peer once it has answered.
async fn notify_peer(
    rpc: Client,
    peer: SocketAddr,
    body: Vec<u8>,
    deadline: Instant,
) -> Option<SocketAddr> {
    while Instant::now() < deadline {
        let left = deadline - Instant::now();
        if rpc
            .call(peer, ServiceId::DISCOVERY, body.clone(), left)
            .await
            .is_ok()
        {
            return Some(peer);
        }
        tokio::time::sleep(DEPARTURE_RETRY_INTERVAL).await;
    }
    None
}
