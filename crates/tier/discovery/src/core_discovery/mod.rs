//! Driver of [`CoreState`] on a core machine: handles heartbeats, long-polls and requests of other core machines,
//! exchanges batches and registries with those machines, and writes departures to disk.

mod departures;
mod registry_pull;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use parking_lot::Mutex;
use snafu::Snafu;
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, MissedTickBehavior, sleep_until};
use woadreach_rpc::{Client, Router, ServiceId};
use woadreach_settings::NodeSettings;

use crate::committed::CommittedState;
use crate::core_state::{CoreIdentity, CoreState};
use crate::departure::MAJORITY_TIMEOUT;
use crate::departure_journal::{DepartureJournal, DepartureWriter};
use crate::exchange::{CHANGE_DELAY, Urgency};
use crate::messages::{
    Batch, BatchResponse, ConfigurationResponse, MessageError, PollRequest, Request,
    VersionedBytes, decode, encode,
};
use crate::poll_response::has_updates;
use crate::registry::{HeartbeatError, HeartbeatOutcome, RegistryCounters};
use crate::replica::Heartbeat;

/// Interval at which time-outs are checked and batches are sent.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Upper limit on the wait time that a poll requests.
const MAX_POLL_WAIT: Duration = Duration::from_secs(2);

/// Why a replica's heartbeat or deregistration is not acknowledged.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum AcknowledgeError {
    /// The heartbeat is rejected.
    #[snafu(transparent)]
    Rejected {
        /// Reason for the rejection.
        source: HeartbeatError,
    },
    /// The heartbeat is applied on this machine, but may not reach the other core machines or their disks. The replica
    /// has to call another core machine.
    #[snafu(display(
        "applied, but not confirmed by a majority of the core machines, from which this one may be partitioned"
    ))]
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
