//! Driver of [`Watcher`] on every process that observes the core: polls core machines and publishes
//! [`ControlSnapshot`]s.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;
use woadreach_config::Configuration;
use woadreach_rpc::{Client, ServiceId};
use woadreach_settings::NodeSettings;
use woadreach_storage::view::StorageView;

use crate::committed::CommittedValue;
use crate::messages::{ConfigurationResponse, PollResponse, Request, decode_answer, encode};
use crate::sampler::Sampler;
use crate::snapshot::ControlSnapshot;
use crate::watch_change::WatchChange;
use crate::watcher::{WatchAction, Watcher};

/// Interval at which a process that is disconnected from the core reloads the seeds from its settings.
const SETTINGS_RELOAD_INTERVAL: Duration = Duration::from_secs(2);

/// Interval at which a process that has no call to make, because it knows no core machine, checks for new addresses.
const IDLE_WAKE_INTERVAL: Duration = Duration::from_secs(1);

/// Result of a call to a core machine.
enum CompletedCall {
    Poll {
        machine: SocketAddr,
        /// `None` if the poll failed.
        response: Option<PollResponse>,
    },
    FetchConfiguration {
        /// `None` if the configuration could not be fetched or parsed.
        configuration: Option<Configuration>,
    },
}

/// Observer of the core machines: the client side of discovery.
pub struct ControlWatch {
    rpc: Client,
    /// Origin of the times that are passed to the watcher.
    started: Instant,
    watcher: Watcher,
    /// Polls and fetches in flight.
    calls: JoinSet<CompletedCall>,
    /// Snapshot to publish next.
    snapshot: ControlSnapshot,
    publisher: watch::Sender<Arc<ControlSnapshot>>,
    /// Time at which the settings were last read for seeds.
    settings_read_at: Instant,
    /// Additional source of core machines' addresses; `None` if the process does not use peer sampling.
    sampler: Option<Arc<Sampler>>,
    /// Seeds of the sampler, which change when the settings are reloaded. `None` without a sampler.
    seeds: Option<watch::Receiver<Vec<SocketAddr>>>,
}

impl ControlWatch {
    /// Starts polling in a new task, which ends when all receivers have been dropped.
    pub fn spawn(settings: &NodeSettings, rpc: Client) -> watch::Receiver<Arc<ControlSnapshot>> {
        Self::start(settings, rpc, None)
    }

    /// Like [`spawn`](Self::spawn), but also finds core machines through peer sampling.
    pub fn spawn_with_sampler(
        settings: &NodeSettings,
        rpc: Client,
        sampler: Arc<Sampler>,
    ) -> watch::Receiver<Arc<ControlSnapshot>> {
        Self::start(settings, rpc, Some(sampler))
    }

    fn start(
        settings: &NodeSettings,
        rpc: Client,
        sampler: Option<Arc<Sampler>>,
    ) -> watch::Receiver<Arc<ControlSnapshot>> {
        let snapshot = ControlSnapshot::default();
        let (publisher, receiver) = watch::channel(Arc::new(snapshot.clone()));
        let seeds = settings.seed_internal_addresses();
        let watch = Self {
            rpc,
            started: Instant::now(),
            watcher: Watcher::new(Duration::ZERO, settings.node.clone(), seeds),
            calls: JoinSet::new(),
            snapshot,
            publisher,
            settings_read_at: Instant::now(),
            seeds: sampler.as_ref().map(|sampler| sampler.seeds()),
            sampler,
        };
        tokio::spawn(watch.run());
        receiver
    }

    async fn run(mut self) {
        loop {
            self.start_calls();
            let idle_wake = self
                .calls
                .is_empty()
                .then(|| self.now() + IDLE_WAKE_INTERVAL);
            let next_wake = self
                .watcher
                .next_wake()
                .or(idle_wake)
                .map(|at| self.started + at);
            tokio::select! {
                Some(Ok(completed)) = self.calls.join_next(), if !self.calls.is_empty() => {
                    self.handle_completion(completed);
                }
                () = sleep_until(next_wake) => {}
                seeds = changed_seeds(self.seeds.as_mut()) => self.watcher.set_seeds(seeds),
                () = self.publisher.closed() => return,
            }
            self.discover_core_machines();
        }
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn start_calls(&mut self) {
        for action in self.watcher.start_due_calls(self.now()) {
            let rpc = self.rpc.clone();
            match action {
                WatchAction::Poll {
                    machine,
                    request,
                    timeout,
                } => {
                    let body = encode(&Request::Poll(request));
                    self.calls.spawn(async move {
                        let answer = rpc.call(machine, ServiceId::DISCOVERY, body, timeout).await;
                        let response = answer
                            .ok()
                            .and_then(|answer| decode_answer(machine, &answer));
                        CompletedCall::Poll { machine, response }
                    });
                }
                WatchAction::FetchConfiguration { machine, timeout } => {
                    let body = encode(&Request::Configuration);
                    self.calls.spawn(async move {
                        let answer = rpc.call(machine, ServiceId::DISCOVERY, body, timeout).await;
                        let configuration = answer
                            .ok()
                            .and_then(|answer| parse_configuration(machine, &answer));
                        CompletedCall::FetchConfiguration { configuration }
                    });
                }
            }
        }
    }

    fn handle_completion(&mut self, completed: CompletedCall) {
        let now = self.now();
        let change = match completed {
            CompletedCall::Poll {
                machine,
                response: Some(response),
            } => self.watcher.poll_answered(now, machine, response),
            CompletedCall::Poll {
                machine,
                response: None,
            } => {
                tracing::debug!(%machine, "poll of a core machine failed");
                self.watcher.poll_failed(now, machine)
            }
            CompletedCall::FetchConfiguration { configuration } => {
                self.apply_configuration(now, configuration)
            }
        };
        self.publish(change);
    }

    fn apply_configuration(
        &mut self,
        now: Duration,
        configuration: Option<Configuration>,
    ) -> WatchChange {
        let generation = configuration
            .as_ref()
            .map(|configuration| configuration.generation);
        if !self.watcher.configuration_fetched(now, generation) {
            return WatchChange::default();
        }
        self.snapshot.configuration = configuration.map(Arc::new);
        WatchChange {
            configuration: true,
            ..WatchChange::default()
        }
    }

    fn publish(&mut self, change: WatchChange) {
        self.snapshot.last_answer_at = self.watcher.last_answer_at().map(|at| self.started + at);
        self.snapshot.has_reached_current_state = self.watcher.has_reached_current_state();
        if change.replicas {
            self.snapshot.replicas = Arc::clone(self.watcher.table().replicas());
        }
        if change.core_machines {
            self.snapshot.core_machines = self.watcher.core_machines().to_vec();
        }
        if change.storage_view {
            self.publish_storage_view();
        }
        let snapshot = Arc::new(self.snapshot.clone());
        self.publisher.send_if_modified(|published| {
            *published = snapshot;
            change.any()
        });
    }

    fn publish_storage_view(&mut self) {
        let Some(CommittedValue { version, bytes }) = self.watcher.storage_view() else {
            return;
        };
        match StorageView::decode(bytes) {
            Ok(view) => self.snapshot.storage_view = Some(Arc::new(view)),
            Err(error) => {
                tracing::error!(storage_epoch = *version, %error, "storage view parsing failed");
            }
        }
    }

    /// While this process is disconnected from the core, takes further addresses from peer sampling and from the
    /// reloaded settings.
    fn discover_core_machines(&mut self) {
        let is_disconnected = self.watcher.is_disconnected(self.now());
        if let Some(sampler) = &self.sampler {
            sampler.set_disconnected(is_disconnected);
            if is_disconnected {
                self.watcher
                    .set_sampled_machines(sampler.core_machines().borrow().clone());
            }
        }
        if is_disconnected && self.settings_read_at.elapsed() >= SETTINGS_RELOAD_INTERVAL {
            self.settings_read_at = Instant::now();
            self.reload_seeds();
        }
    }

    fn reload_seeds(&mut self) {
        let reloaded = match &self.sampler {
            Some(sampler) => sampler.reload_seeds(),
            None => NodeSettings::load_from_environment()
                .map(|settings| self.watcher.set_seeds(settings.seed_internal_addresses())),
        };
        if let Err(error) = reloaded {
            tracing::warn!(%error, "settings reload failed");
        }
    }
}

/// Waits for the next change of the seeds. Never returns if there is no receiver or the sampler has been dropped.
async fn changed_seeds(seeds: Option<&mut watch::Receiver<Vec<SocketAddr>>>) -> Vec<SocketAddr> {
    if let Some(seeds) = seeds
        && seeds.changed().await.is_ok()
    {
        return seeds.borrow_and_update().clone();
    }
    std::future::pending().await
}

fn parse_configuration(machine: SocketAddr, answer: &[u8]) -> Option<Configuration> {
    let response: ConfigurationResponse = decode_answer(machine, answer)?;
    let versioned = response.configuration?;
    match Configuration::parse(&versioned.bytes) {
        Ok(configuration) => Some(configuration),
        Err(error) => {
            tracing::error!(%machine, generation = versioned.version, %error, "configuration parsing failed");
            None
        }
    }
}

async fn sleep_until(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}
