//! Starts the tasks of a co-ordinator, and ends them at SIGTERM.

use crate::config::{self, Config, ConfigError, ConfigSource};
use crate::core::{Core, ObservationSender, UsageCallback};
use crate::discovery::{self, DiscoveryConfig};
use crate::error::{CoreEndedSnafu, FrontSnafu, ListenSnafu, LocalAddressSnafu, ServeError};
use crate::events::{EndpointList, EndpointLists, Events};
use crate::front::{Front, RequestNames};
use crate::peers::{self, CoreObservations, PeerChannels, PeerConfig, VerdictCallback};
use crate::phase::Phase;
use crate::replicas::{ConnectionConfig, Replicas};
use crate::shutdown::ShutdownSchedule;
use crate::sockets::Sockets;
use snafu::ResultExt;
use std::rc::Rc;
use tokio::sync::{mpsc, watch};
use tracing::info;
use woadreach_runtime::{Listener, Net};

/// Reads the configuration's source again.
pub type ReadSource = Box<dyn Fn() -> Result<ConfigSource, ConfigError>>;

/// What reaches the process beside its connections, and what it reports. A signal is a message, whose sender
/// lives as long as the process.
pub struct Environment {
    /// SIGHUP: the configuration is read again.
    pub sighup: mpsc::UnboundedReceiver<()>,
    /// SIGTERM: the process finishes what is in flight, and ends.
    pub sigterm: mpsc::UnboundedReceiver<()>,
    /// Called at each SIGHUP.
    pub read_source: ReadSource,
    /// Called with the usage every few seconds.
    pub on_usage: UsageCallback,
    /// Called with each new verdict on a zone.
    pub on_verdict: VerdictCallback,
}

/// What the tasks of a process share.
#[derive(Clone)]
struct Shared<N: Net> {
    net: N,
    sockets: Sockets,
    events: Events,
    phases: watch::Receiver<Phase>,
}

/// The tasks whose end the process waits for.
struct Tasks<N: Net> {
    core: N::TaskHandle,
    front: N::TaskHandle,
    peers: Option<N::TaskHandle>,
}

/// Serves until all is answered after SIGTERM.
///
/// # Errors
///
/// [`ServeError`] where an address cannot be listened on, or a task has failed.
pub async fn serve<N: Net>(
    net: N,
    config: Config,
    environment: Environment,
) -> Result<(), ServeError> {
    let address = config.listen;
    let listener = net.listen(address).context(ListenSnafu { address })?;
    let address = listener.local_addr().context(LocalAddressSnafu)?;
    let shutdown = ShutdownSchedule::new(
        config.core.max_client_timeout_s,
        config.core.max_latency_target_s,
    );
    let (phase, phases) = watch::channel(Phase::Serving);
    let (mut tasks, mut sigterm) = start(&net, config, environment, listener, phases)?;
    info!(%address, "listening");
    tokio::select! {
        biased;
        result = &mut tasks.core => return CoreEndedSnafu { result }.fail(),
        _ = sigterm.recv() => {}
    }
    info!("SIGTERM received, finishing searches in flight");
    let _ = phase.send(Phase::Draining);
    tokio::select! {
        biased;
        result = tasks.front => result.context(FrontSnafu)?,
        result = &mut tasks.core => return CoreEndedSnafu { result }.fail(),
        () = shutdown.run(&net, &phase) => {}
    }
    // Peers would take seconds to find out that a process without searches in flight has ended: it notifies
    // them, and waits for no response.
    let _ = phase.send(Phase::Ending);
    if let Some(peers) = tasks.peers {
        drop(peers.await);
    }
    info!("finished");
    Ok(())
}

/// Starts all tasks. Returns those whose end is waited for, and the receiver of SIGTERM.
fn start<N: Net>(
    net: &N,
    config: Config,
    environment: Environment,
    listener: N::Listener,
    phases: watch::Receiver<Phase>,
) -> Result<(Tasks<N>, mpsc::UnboundedReceiver<()>), ServeError> {
    let (events, event_queue) = mpsc::unbounded_channel();
    let (lists, list_queue) = mpsc::unbounded_channel();
    let shared = Shared {
        net: net.clone(),
        sockets: Sockets::new(config.sockets),
        events,
        phases,
    };
    let replicas = shared.replicas(config.replicas);
    let mut core = Core::new(
        net.clone(),
        config.settings,
        config.core,
        replicas,
        shared.sockets.clone(),
        environment.on_usage,
    );
    if let Some(limits) = config.watch {
        core.compare_with(limits, &config.names.query_types);
    }
    let peers = config
        .peers
        .map(|config| shared.start_peers(config, &mut core, environment.on_verdict));
    let peers = peers.transpose()?;
    let front = Rc::new(shared.front(config.names));
    let known_generation = config.known.as_ref().map(|list| list.generation);
    if let Some(known) = config.known {
        core.apply_endpoint_list(EndpointList {
            full: true,
            ..known
        });
    }
    let ready = front.clone();
    let core = net.spawn(core.run(event_queue, list_queue, move || ready.set_ready()));
    let (address, addresses) = watch::channel(config.discovery);
    let discovery = DiscoveryConfig {
        known_generation,
        call_interval_s: config.discovery_interval_s,
    };
    shared.start_discovery(addresses, discovery, lists);
    let (sighup, read_source) = (environment.sighup, environment.read_source);
    drop(net.spawn(config::reload(sighup, read_source, config.file, address)));
    let front = net.spawn(front.serve(listener));
    let tasks = Tasks { core, front, peers };
    Ok((tasks, environment.sigterm))
}

impl<N: Net> Shared<N> {
    fn replicas(&self, config: ConnectionConfig) -> Replicas<N> {
        let (sockets, events) = (self.sockets.clone(), self.events.clone());
        Replicas::new(config, self.net.clone(), sockets, events)
    }

    fn front(&self, names: RequestNames) -> Front<N> {
        let Shared {
            net,
            sockets,
            events,
            phases,
        } = self.clone();
        Front::new(names, net, sockets, events, phases)
    }

    /// Starts the client of discovery, which runs for as long as the process.
    fn start_discovery(
        &self,
        addresses: watch::Receiver<String>,
        config: DiscoveryConfig,
        lists: EndpointLists,
    ) {
        let sockets = self.sockets.clone();
        let task = discovery::follow(self.net.clone(), addresses, config, sockets, lists);
        drop(self.net.spawn(task));
    }

    /// Starts the task that speaks with peers, and connects it to the core.
    fn start_peers(
        &self,
        config: PeerConfig,
        core: &mut Core<N>,
        on_verdict: VerdictCallback,
    ) -> Result<N::TaskHandle, ServeError> {
        let address = config.listen;
        let socket = self.net.datagrams(address);
        let socket = socket.context(ListenSnafu { address })?;
        let (sender, observations) = watch::channel(CoreObservations::default());
        let (reports, endpoint_reports) = mpsc::unbounded_channel();
        core.report_to_peers(ObservationSender::new(config.zones.len(), sender), reports);
        let channels = PeerChannels {
            observations,
            endpoint_reports,
            phase: self.phases.clone(),
            events: self.events.clone(),
            on_verdict,
        };
        let task = peers::run(self.net.clone(), config, socket, channels);
        Ok(self.net.spawn(task))
    }
}
