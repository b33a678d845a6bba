//! Driver of the client side: polls core machines and publishes what is known.

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

use crate::messages::{ConfigurationResponse, PollResponse, Request, decode_answer, encode};
use crate::sampler::Sampler;
use crate::snapshot::ControlSnapshot;
use crate::watcher::{WatchAction, WatchChange, Watcher};

/// How often a process that hears no core machine looks for other seeds in its settings.
const SETTINGS_RELOAD_INTERVAL: Duration = Duration::from_secs(2);

/// How often a process that knows no address at all looks again.
const IDLE_WAKE_INTERVAL: Duration = Duration::from_secs(1);

/// What a call gave.
enum Completed {
    Poll(SocketAddr, Option<PollResponse>),
    Configuration(Option<Configuration>),
}

/// The client side of discovery.
pub struct ControlWatch {
    rpc: Client,
    started: Instant,
    watcher: Watcher,
    calls: JoinSet<Completed>,
    snapshot: ControlSnapshot,
    publisher: watch::Sender<Arc<ControlSnapshot>>,
    settings_read_at: Instant,
    sampler: Option<Arc<Sampler>>,
}

impl ControlWatch {
    /// Starts polling in a task of its own, which ends when nobody holds the receiver any more.
    pub fn spawn(settings: &NodeSettings, rpc: Client) -> watch::Receiver<Arc<ControlSnapshot>> {
        Self::start(settings, rpc, None)
    }

    /// As [`spawn`](Self::spawn), and finds core machines also through other processes.
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
                    self.complete(completed);
                }
                () = sleep_until(next_wake) => {}
                () = self.publisher.closed() => return,
            }
            self.look_for_core_machines();
        }
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn start_calls(&mut self) {
        for action in self.watcher.act(self.now()) {
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
                        Completed::Poll(
                            machine,
                            answer
                                .ok()
                                .and_then(|answer| decode_answer(machine, &answer)),
                        )
                    });
                }
                WatchAction::FetchConfiguration { machine, timeout } => {
                    let body = encode(&Request::Configuration);
                    self.calls.spawn(async move {
                        let answer = rpc.call(machine, ServiceId::DISCOVERY, body, timeout).await;
                        Completed::Configuration(
                            answer
                                .ok()
                                .and_then(|answer| read_configuration(machine, &answer)),
                        )
                    });
                }
            }
        }
    }

    fn complete(&mut self, completed: Completed) {
        let now = self.now();
        let change = match completed {
            Completed::Poll(machine, Some(response)) => {
                self.watcher.poll_answered(now, machine, response)
            }
            Completed::Poll(machine, None) => {
                tracing::debug!(%machine, "poll of a core machine failed");
                self.watcher.poll_failed(now, machine)
            }
            Completed::Configuration(configuration) => self.take_configuration(now, configuration),
        };
        self.publish(change);
    }

    fn take_configuration(
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
            standing: true,
            ..WatchChange::default()
        }
    }

    fn publish(&mut self, change: WatchChange) {
        self.snapshot.last_heard = self.watcher.heard_at().map(|at| self.started + at);
        self.snapshot.warmed = self.watcher.is_warmed();
        if change.replicas {
            self.snapshot.replicas = Arc::clone(self.watcher.table().present());
        }
        if change.standing {
            self.snapshot.core_members = self.watcher.members().to_vec();
        }
        if change.storage_view {
            self.take_storage_view();
        }
        let snapshot = Arc::new(self.snapshot.clone());
        self.publisher.send_if_modified(|published| {
            *published = snapshot;
            change.any()
        });
    }

    fn take_storage_view(&mut self) {
        let Some((epoch, bytes)) = self.watcher.storage_view() else {
            return;
        };
        match StorageView::read(bytes) {
            Ok(view) => self.snapshot.storage_view = Some(Arc::new(view)),
            Err(error) => tracing::error!(epoch, %error, "storage view cannot be read"),
        }
    }

    /// While no core machine answers: asks the settings and other processes for their addresses.
    fn look_for_core_machines(&mut self) {
        let is_disconnected = self.watcher.is_disconnected(self.now());
        if let Some(sampler) = &self.sampler {
            sampler.set_disconnected(is_disconnected);
            if is_disconnected {
                self.watcher
                    .set_hints(sampler.core_machines().borrow().clone());
            }
        }
        if is_disconnected && self.settings_read_at.elapsed() >= SETTINGS_RELOAD_INTERVAL {
            self.settings_read_at = Instant::now();
            self.reread_seeds();
        }
    }

    fn reread_seeds(&mut self) {
        match NodeSettings::load_from_environment() {
            Ok(settings) => {
                let seeds = settings.seed_internal_addresses();
                if let Some(sampler) = &self.sampler {
                    sampler.set_seeds(seeds.clone());
                }
                self.watcher.set_seeds(seeds);
            }
            Err(error) => tracing::warn!(%error, "settings cannot be read again"),
        }
    }
}

fn read_configuration(machine: SocketAddr, answer: &[u8]) -> Option<Configuration> {
    let response: ConfigurationResponse = decode_answer(machine, answer)?;
    let versioned = response.configuration?;
    match Configuration::parse(&versioned.bytes) {
        Ok(configuration) => Some(configuration),
        Err(error) => {
            tracing::error!(%machine, generation = versioned.version, %error, "configuration cannot be read");
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
