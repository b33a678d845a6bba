//! Driver of [`CoreState`] on a core machine: handles heartbeats, long-polls and requests of other core machines,
//! exchanges batches and registries with those machines, and writes departures to disk.

use std::future::Future;
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
use crate::departure_journal::{DepartureJournal, DepartureWriter};
use crate::exchange::{CHANGE_DELAY, Urgency};
use crate::messages::{
    Batch, BatchResponse, ConfigurationResponse, MessageError, PollRequest, RegistryResponse,
    Request, VersionedBytes, decode, decode_answer, encode,
};
use crate::poll_response::has_updates;
use crate::registry::{HeartbeatError, HeartbeatOutcome, RegistryCounters};
use crate::replica::Heartbeat;

/// Interval at which time-outs are checked and batches are sent.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Delay before a failed notification of a departure is retried at the same peer.
const DEPARTURE_RETRY_INTERVAL: Duration = Duration::from_millis(60);
/// Time-out of a request for another core machine's registry.
const REGISTRY_TIMEOUT: Duration = Duration::from_millis(1000);
/// Upper limit on the wait time that a poll requests.
const MAX_POLL_WAIT: Duration = Duration::from_secs(2);
/// Interval at which a machine that is warming up requests its peers' registries.
const REGISTRY_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Why a replica's heartbeat or deregistration is not acknowledged.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum AcknowledgeError {
    /// The heartbeat is rejected.
    #[snafu(transparent)]
    Rejected {
        /// Reason for the rejection.
        source: HeartbeatError,
    },
    /// The heartbeat is applied on this machine, but may not reach the other core machines. The replica has to call
    /// another core machine.
    #[snafu(display("applied, but this machine may be partitioned from the core's majority"))]
    OutOfQuorum,
}

/// Why a request of an observer or of another core machine has no answer.
#[derive(Debug, Snafu)]
enum RequestError {
    /// The request cannot be decoded.
    #[snafu(transparent)]
    Undecodable { source: MessageError },
    /// The departures are applied and published, but not on disk yet.
    #[snafu(display("departures not on disk within {MAJORITY_TIMEOUT:?}"))]
    NotOnDisk,
}

/// Result of pulling a peer's registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RegistryPull {
    /// The complete registry of a peer that is not warming up has been received.
    FromWarmPeer,
    /// The complete registry of a peer that is itself warming up has been received.
    FromWarmingPeer,
    /// A request failed or its response could not be decoded.
    Failed,
}

/// Summary of a core machine's registry, for metrics.
#[derive(Clone, Copy, Debug)]
pub struct RegistryReport {
    /// Number of registered replicas.
    pub replicas: usize,
    /// Whether the machine may not know all of them.
    pub is_warming: bool,
    /// Number of departures that are not on this machine's disk yet.
    pub unsynced_departures: usize,
    /// Bytes of the log of departures since its last snapshot.
    pub departure_log_bytes: u64,
    /// Counters since the start of the process.
    pub counters: RegistryCounters,
}

/// Discovery on a core machine.
pub struct CoreDiscovery {
    /// Incarnation of this process; never 0.
    incarnation: u64,
    /// Origin of the times that are passed to the state.
    started: Instant,
    rpc: Client,
    committed: Arc<dyn CommittedState>,
    state: Mutex<CoreState>,
    departures: DepartureWriter,
    /// Registry revision that was last published to the pending polls.
    revision: watch::Sender<u64>,
    /// Wakes the exchange task, which sends a batch after [`CHANGE_DELAY`].
    flush: Notify,
    /// Wakes the pull task, which requests incomplete registries.
    pull: Notify,
}

impl CoreDiscovery {
    /// Creates the discovery of the process that `settings` describe, with the `departures` on its disk. `incarnation`
    /// must differ between starts of the process and must not be 0. The caller spawns [`run`](Self::run) and serves [`handlers`](Self::handlers).
    pub fn new(
        settings: &NodeSettings,
        incarnation: u64,
        rpc: Client,
        committed: Arc<dyn CommittedState>,
        departures: DepartureJournal,
    ) -> Arc<Self> {
        let identity = CoreIdentity {
            incarnation,
            address: settings.internal_address(),
            seeds: settings.seed_internal_addresses(),
            heartbeat_interval: settings.heartbeat,
            reuse_after: settings.bounds.reuse_after,
        };
        let (departures, recovered) = DepartureWriter::new(departures);
        let mut state = CoreState::new(Duration::ZERO, identity);
        state.restore_departures(Duration::ZERO, recovered);
        Arc::new(Self {
            incarnation,
            started: Instant::now(),
            rpc,
            committed,
            state: Mutex::new(state),
            departures,
            revision: watch::channel(0).0,
            flush: Notify::new(),
            pull: Notify::new(),
        })
    }

    /// Adds discovery's handler to `router`.
    pub fn handlers(self: &Arc<Self>, router: Router) -> Router {
        let discovery = Arc::clone(self);
        router.route_checked(ServiceId::DISCOVERY, move |_peer, body| {
            Arc::clone(&discovery).handle(body)
        })
    }

    /// Exchanges batches and registries with the other core machines, and writes departures to disk, until the future is
    /// dropped.
    pub async fn run(self: Arc<Self>) {
        tokio::join!(
            self.exchange_batches(),
            Arc::clone(&self).pull_registries(),
            self.departures.run(&self.state),
        );
    }

    /// Applies a replica's heartbeat. For a draining replica, returns once the departure is on the disks of enough core
    /// machines.
    ///
    /// # Errors
    /// If the heartbeat is rejected, or may not reach the other core machines.
    pub async fn heartbeat(&self, id: &str, heartbeat: Heartbeat) -> Result<(), AcknowledgeError> {
        let outcome = self.state.lock().heartbeat(self.now(), id, heartbeat)?;
        self.notify_and_acknowledge(id, outcome).await
    }

    /// Applies a replica's deregistration. Returns once it is on the disks of enough core machines.
    ///
    /// # Errors
    /// If the id is invalid, or the deregistration may not reach the other core machines.
    pub async fn deregister(&self, id: &str) -> Result<(), AcknowledgeError> {
        let outcome = self.state.lock().deregister(self.now(), id)?;
        self.notify_and_acknowledge(id, outcome).await
    }

    /// Counters of the registry since the start of the process.
    pub fn counters(&self) -> RegistryCounters {
        self.state.lock().registry().counters()
    }

    /// Summary of this machine's registry.
    pub fn report(&self) -> RegistryReport {
        let state = self.state.lock();
        RegistryReport {
            replicas: state.registry().registered_count(),
            is_warming: state.is_warming(self.now()),
            unsynced_departures: state.registry().departure_log().unsynced_count(),
            departure_log_bytes: self.departures.log_bytes(),
            counters: state.registry().counters(),
        }
    }

    /// Counts a heartbeat that could not be decoded.
    pub fn count_undecodable_heartbeat(&self) {
        self.state.lock().count_undecodable_heartbeat();
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Propagates the change of the replica `id`. Returns `Ok` if the heartbeat may be acknowledged.
    async fn notify_and_acknowledge(
        &self,
        id: &str,
        outcome: HeartbeatOutcome,
    ) -> Result<(), AcknowledgeError> {
        let is_acknowledged = match outcome {
            HeartbeatOutcome::Unchanged => self.may_acknowledge(outcome),
            HeartbeatOutcome::Changed => {
                self.flush.notify_one();
                self.may_acknowledge(outcome)
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

    fn may_acknowledge(&self, outcome: HeartbeatOutcome) -> bool {
        let view = self.committed.view();
        self.state
            .lock()
            .may_acknowledge(self.now(), outcome, &view)
    }

    /// Wakes the pending polls if the registry has changed, the task that writes departures if any is queued, and the
    /// pull task if a peer's registry is incomplete.
    fn publish(&self) {
        let (revision, has_queued_departures) = {
            let state = self.state.lock();
            let registry = state.registry();
            (
                registry.version().revision,
                registry.departure_log().has_queued(),
            )
        };
        if has_queued_departures {
            self.departures.wake();
        }
        self.wake_pull_task();
        self.revision.send_if_modified(|published| {
            let modified = *published != revision;
            *published = revision;
            modified
        });
    }

    fn wake_pull_task(&self) {
        if self.state.lock().has_incomplete_peers() {
            self.pull.notify_one();
        }
    }

    /// Brings the departure of the replica `id` to the core machines. Returns whether it may be acknowledged.
    async fn notify_peers(&self, id: &str) -> bool {
        let now = self.now();
        let view = self.committed.view();
        let (batch, peers, notification) = {
            let state = self.state.lock();
            (
                state.urgent_batch(now, id),
                state.peers(now, &view),
                state.start_departure(now, &view),
            )
        };
        let body = encode(&Request::Urgent(batch));
        match notification {
            Some(notification) => {
                self.await_confirmations(id, notification, peers, body)
                    .await
            }
            None => {
                peers
                    .into_iter()
                    .for_each(|peer| self.rpc.notify(peer, ServiceId::DISCOVERY, body.clone()));
                false
            }
        }
    }

    /// Notifies `peers`, waits for this machine's own disk, and returns once the departure of the replica `id` is
    /// decided: whether it may be acknowledged.
    async fn await_confirmations(
        &self,
        id: &str,
        mut notification: DepartureNotification,
        peers: Vec<SocketAddr>,
        body: Vec<u8>,
    ) -> bool {
        let deadline = Instant::now() + MAJORITY_TIMEOUT;
        let mut calls = JoinSet::new();
        for peer in peers {
            calls.spawn(notify_peer(self.rpc.clone(), peer, body.clone(), deadline));
        }
        let own_address = self.state.lock().address();
        let is_on_disk = self.wait_until_on_disk(&[id.to_owned()], deadline);
        calls.spawn(async move { is_on_disk.await.then_some(own_address) });
        let is_acknowledged = loop {
            let until = match notification.decision(self.now()) {
                DepartureDecision::Acknowledged => break true,
                DepartureDecision::Unconfirmed => break false,
                DepartureDecision::Wait { until } => self.started + until,
            };
            match timeout_at(until, calls.join_next()).await {
                Ok(Some(Ok(Some(machine)))) => notification.record_confirmation(machine),
                Ok(Some(_)) | Err(_) => {}
                Ok(None) => sleep_until(until).await,
            }
        };
        // The calls to the remaining peers continue in the background until the deadline.
        calls.detach_all();
        is_acknowledged
    }

    /// Waits until the departures of `ids` are on this machine's disk, until `deadline` at most. Returns whether they
    /// are.
    fn wait_until_on_disk(
        &self,
        ids: &[String],
        deadline: Instant,
    ) -> impl Future<Output = bool> + Send + use<> {
        let number = self.state.lock().unsynced_departure(ids);
        self.departures.wake();
        self.departures
            .wait_until_synced(number.unwrap_or(0), deadline)
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
            self.rpc.notify(peer, ServiceId::DISCOVERY, body.clone());
        }
    }

    /// Requests the registries of the peers whose updates are incomplete, whenever there are any.
    async fn pull_registries(self: Arc<Self>) {
        loop {
            let peers = self.state.lock().take_incomplete_peers();
            let mut pulls = JoinSet::new();
            for peer in peers {
                pulls.spawn(Arc::clone(&self).pull_registry(peer));
            }
            let mut has_warm_peer = false;
            while let Some(pulled) = pulls.join_next().await {
                has_warm_peer |= matches!(pulled, Ok(RegistryPull::FromWarmPeer));
            }
            let warming = {
                let view = self.committed.view();
                self.state
                    .lock()
                    .complete_registry_pull(self.now(), &view, has_warm_peer)
            };
            self.publish();
            if warming {
                tokio::time::sleep(REGISTRY_RETRY_INTERVAL).await;
            } else {
                self.pull.notified().await;
            }
        }
    }

    /// Requests the registry of `peer`, in several responses if necessary, and merges it.
    async fn pull_registry(self: Arc<Self>, peer: SocketAddr) -> RegistryPull {
        loop {
            let known = self.state.lock().version_of_peer(peer);
            let body = encode(&Request::Registry(known));
            let answer = self
                .rpc
                .call(peer, ServiceId::DISCOVERY, body, REGISTRY_TIMEOUT)
                .await;
            let response: Option<RegistryResponse> =
                answer.ok().and_then(|answer| decode_answer(peer, &answer));
            let Some(response) = response else {
                return RegistryPull::Failed;
            };
            let (is_warming, has_more) = (response.warming, response.has_more);
            self.state.lock().merge_registry(self.now(), peer, response);
            if !has_more {
                return if is_warming {
                    RegistryPull::FromWarmingPeer
                } else {
                    RegistryPull::FromWarmPeer
                };
            }
        }
    }

    async fn handle(self: Arc<Self>, body: Bytes) -> Result<Vec<u8>, RequestError> {
        Ok(match decode::<Request>(&body)? {
            Request::Poll(request) => self.poll(request).await,
            Request::Configuration => {
                let configuration = self.committed.configuration();
                encode(&ConfigurationResponse {
                    configuration: configuration.map(VersionedBytes::from),
                })
            }
            Request::Batch(batch) => self.receive_batch(batch),
            Request::Urgent(batch) => self.receive_urgent_batch(batch).await?,
            Request::Registry(known) => {
                encode(&self.state.lock().registry_since(self.now(), known))
            }
        })
    }

    fn receive_batch(&self, batch: Batch) -> Vec<u8> {
        let urgency = self.state.lock().receive(self.now(), batch);
        match urgency {
            Urgency::Unchanged => self.wake_pull_task(),
            Urgency::Soon => self.flush.notify_one(),
            Urgency::Now => self.publish(),
        }
        encode(&BatchResponse {
            incarnation: self.incarnation,
        })
    }

    /// Applies a batch of departures. Answers once they are on disk.
    async fn receive_urgent_batch(&self, batch: Batch) -> Result<Vec<u8>, RequestError> {
        let deadline = Instant::now() + MAJORITY_TIMEOUT;
        let ids: Vec<String> = batch
            .statuses
            .iter()
            .map(|entry| entry.id.clone())
            .collect();
        let response = self.receive_batch(batch);
        if self.wait_until_on_disk(&ids, deadline).await {
            Ok(response)
        } else {
            NotOnDiskSnafu.fail()
        }
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
                () = sleep_until(deadline) => {}
            }
        }
    }
}

/// Notifies `peer` of a departure, with retries until `deadline`. Returns the peer if it has answered.
async fn notify_peer(
    rpc: Client,
    peer: SocketAddr,
    body: Vec<u8>,
    deadline: Instant,
) -> Option<SocketAddr> {
    while Instant::now() < deadline {
        let remaining = deadline - Instant::now();
        if rpc
            .call(peer, ServiceId::DISCOVERY, body.clone(), remaining)
            .await
            .is_ok()
        {
            return Some(peer);
        }
        tokio::time::sleep(DEPARTURE_RETRY_INTERVAL).await;
    }
    None
}
