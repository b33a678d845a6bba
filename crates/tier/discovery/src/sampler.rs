//! Driver of [`PartialView`] on every process: exchanges shuffles with other processes, and publishes the addresses of
//! core machines in the view.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use parking_lot::Mutex;
use tokio::sync::watch;
use tokio::time::Instant;
use woadreach_rpc::{Client, ClientOptions, Router, ServiceId};
use woadreach_settings::{NodeSettings, SettingsError};

use crate::messages::{MessageError, decode, decode_answer, encode};
use crate::sampling::{NodeEntry, NodeRole, PartialView, Shuffle, StartedShuffle};
use crate::selection::rank;

/// Time-out of a shuffle.
const SHUFFLE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time-out of a connection to a partner.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Peer sampling of this process.
pub struct Sampler {
    /// Origin of the times that are passed to the view.
    started: Instant,
    view: Mutex<PartialView>,
    /// Client for shuffles only. The partner changes between shuffles, so each connection is closed after the exchange.
    rpc: Client,
    /// Internal addresses of the known core machines, youngest entry first.
    core_machines: watch::Sender<Vec<SocketAddr>>,
    /// Internal addresses of the core machines in the settings.
    seeds: watch::Sender<Vec<SocketAddr>>,
}

impl Sampler {
    /// Creates the peer sampling of the process that `settings` describe. The caller spawns [`run`](Self::run) and
    /// serves [`handlers`](Self::handlers).
    pub fn new(settings: &NodeSettings, role: NodeRole, random_seed: u64) -> Arc<Self> {
        let own = NodeEntry {
            node: settings.node.clone(),
            role,
            address: settings.internal_address().into(),
            control: settings.listen.control.map(Into::into),
        };
        let seeds = settings.seed_internal_addresses();
        // Processes that were given the same random seed must not make the same random choices.
        let random_seed = random_seed ^ rank(&settings.node, settings.internal_address());
        Arc::new(Self {
            started: Instant::now(),
            view: Mutex::new(PartialView::new(
                Duration::ZERO,
                own,
                seeds.clone(),
                random_seed,
            )),
            rpc: Client::new(ClientOptions {
                connect_timeout: CONNECT_TIMEOUT,
            }),
            core_machines: watch::channel(Vec::new()).0,
            seeds: watch::channel(seeds).0,
        })
    }

    /// Adds the handler of shuffles to `router`.
    pub fn handlers(self: &Arc<Self>, router: Router) -> Router {
        let sampler = Arc::clone(self);
        router.route_checked(ServiceId::SAMPLING, move |_peer, body| {
            let answer = sampler.answer(&body);
            async move { answer }
        })
    }

    /// Watches the internal addresses of the known core machines, youngest entry first.
    pub fn core_machines(&self) -> watch::Receiver<Vec<SocketAddr>> {
        self.core_machines.subscribe()
    }

    /// All processes in the view, youngest entry first.
    pub fn entries(&self) -> Vec<NodeEntry> {
        self.view.lock().entries(self.started.elapsed())
    }

    /// Sets whether this process is disconnected from the core. While it is, it shuffles more often.
    pub fn set_disconnected(&self, is_disconnected: bool) {
        self.view
            .lock()
            .set_disconnected(self.started.elapsed(), is_disconnected);
    }

    /// Replaces the seeds after the settings have changed.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.view.lock().set_seeds(seeds.clone());
        self.seeds.send_if_modified(|published| {
            let modified = *published != seeds;
            *published = seeds;
            modified
        });
    }

    /// Watches the internal addresses of the seeds.
    pub fn seeds(&self) -> watch::Receiver<Vec<SocketAddr>> {
        self.seeds.subscribe()
    }

    /// Reloads the settings file and replaces the seeds. Changes of other settings take effect only when the process
    /// restarts.
    ///
    /// # Errors
    /// [`SettingsError`] if the file cannot be read or is invalid. The seeds are then unchanged.
    pub fn reload_seeds(&self) -> Result<(), SettingsError> {
        let settings = NodeSettings::load_from_environment()?;
        self.set_seeds(settings.seed_internal_addresses());
        Ok(())
    }

    /// Shuffles until the future is dropped.
    pub async fn run(self: Arc<Self>) {
        loop {
            let next_shuffle = self.started + self.view.lock().next_shuffle();
            tokio::time::sleep_until(next_shuffle).await;
            let started = self.view.lock().start_shuffle(self.started.elapsed());
            if let Some(started) = started {
                let answer = self.exchange(&started).await;
                self.view
                    .lock()
                    .complete_shuffle(self.started.elapsed(), answer);
                self.publish();
            }
        }
    }

    async fn exchange(&self, started: &StartedShuffle) -> Option<Shuffle> {
        let StartedShuffle { partner, shuffle } = started;
        let call = self.rpc.call(
            *partner,
            ServiceId::SAMPLING,
            encode(shuffle),
            SHUFFLE_TIMEOUT,
        );
        let answer = call.await;
        self.rpc.close(*partner);
        decode_answer(*partner, &answer.ok()?)
    }

    fn answer(&self, body: &Bytes) -> Result<Vec<u8>, MessageError> {
        let shuffle: Shuffle = decode(body)?;
        let answer = self.view.lock().answer(self.started.elapsed(), shuffle);
        self.publish();
        Ok(encode(&answer))
    }

    fn publish(&self) {
        let core_machines = self.view.lock().core_machines(self.started.elapsed());
        self.core_machines.send_if_modified(|published| {
            let modified = *published != core_machines;
            *published = core_machines;
            modified
        });
    }
}
