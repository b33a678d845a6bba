//! Plays the fleet and load of a script on loopback sockets in real time, without its faults. The simulated network is
//! compared with it, so that service there doesn't look better than on real sockets. The figures depend on what else the
//! machine does.

use crate::load::{draw_gap, draw_request};
use crate::network::seed_of;
use crate::outcome::Outcome;
use crate::record::Record;
use crate::script::{Repeats, Script};
use crate::settings::{CoordinatorAddresses, configuration, terms};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use snafu::{ResultExt, Snafu};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use woadreach_fakes::{Agent, Behaviour, Caller, ListEntry, Recorder, Retry, SearchRequest};
use woadreach_invariants::{CoordinatorId, EventKind};
use woadreach_runtime::{Net, Tokio};
use woadreachd::Environment;
use woadreachd::config::{self, AddressPrecedence, ConfigError, ConfigSource};

/// Seconds before the first search, for co-ordinators to listen and get their endpoint lists.
const STARTUP_TIME: f64 = 0.5;
/// Seconds between two checks of what is overdue. Rules are checked at every event as well.
const CHECK_INTERVAL: f64 = 0.1;
/// Seconds from the last search's deadline to the end of the run.
const QUIET_TIME: f64 = 1.0;

/// Why a script can't be played on sockets.
#[derive(Debug, Snafu)]
pub enum SocketsError {
    /// The async runtime can't be built.
    #[snafu(display("runtime: {source}"))]
    Runtime {
        /// The system's error.
        source: io::Error,
    },
    /// A party can't listen, or a configuration can't be read.
    #[snafu(display("{source}"))]
    Start {
        /// The system's error.
        source: io::Error,
    },
}

/// A replica, and where each co-ordinator reaches it.
struct RunningReplica {
    addresses: Vec<(CoordinatorId, SocketAddr)>,
}

/// An address on loopback that was free a moment ago.
fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// Plays a script's fleet and load on sockets, without its faults. Takes as long as the script says.
///
/// # Errors
/// The runtime can't be built, or a party can't be started.
pub fn on_sockets(script: &Script) -> Result<Outcome, SocketsError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(RuntimeSnafu)?;
    LocalSet::new()
        .block_on(&runtime, run(script))
        .context(StartSnafu)
}

async fn run(script: &Script) -> io::Result<Outcome> {
    let net = Tokio::new();
    let record = Record::new(terms(script), script.latency_targets(), false);
    let record = Rc::new(RefCell::new(record));
    let recorder = Record::recorder(&record, move || net.now());
    let replicas = (0..script.replicas())
        .map(|index| start_replica(net, script, index, &recorder))
        .collect::<io::Result<Vec<_>>>()?;
    let clients = (0..script.fleet.co_ordinators)
        .map(|node| start_coordinator(net, script, node, &replicas, &recorder))
        .collect::<io::Result<Vec<_>>>()?;
    net.sleep(STARTUP_TIME).await;
    let names = Rc::new(Cell::new(0u64));
    let end = net.now() + script.seconds;
    for (node, caller) in clients.iter().enumerate() {
        let (script, caller) = (script.clone(), caller.clone());
        drop(net.spawn(load(net, script, caller, node, end, names.clone())));
    }
    while net.now() < end + script.max_client_timeout() + QUIET_TIME {
        net.sleep(CHECK_INTERVAL).await;
        record.borrow_mut().tick(net.now());
    }
    let record = record.borrow();
    Ok(Outcome::of_record(script.seed, script.seconds, &record))
}

fn start_replica(
    net: Tokio,
    script: &Script,
    index: usize,
    recorder: &Recorder,
) -> io::Result<RunningReplica> {
    let addresses = (0..script.fleet.co_ordinators)
        .map(|node| Ok((CoordinatorId(node), free_address()?)))
        .collect::<io::Result<Vec<_>>>()?;
    let name = format!("r{index}");
    let behaviour = Behaviour {
        cores: script.fleet.cores,
        queue_capacity: script.fleet.queue_capacity,
        ..Behaviour::default()
    };
    let seed = seed_of(script.seed, &name);
    woadreach_fakes::start_replica(&net, &name, behaviour, &addresses, seed, recorder)?;
    Ok(RunningReplica { addresses })
}

/// Starts the discovery agent of a co-ordinator, with all replicas in its list.
fn start_agent(
    net: Tokio,
    script: &Script,
    node: usize,
    address: SocketAddr,
    replicas: &[RunningReplica],
    recorder: &Recorder,
) -> io::Result<Agent> {
    let f = &script.fleet;
    let agent =
        woadreach_fakes::start_discovery_agent(&net, CoordinatorId(node), address, None, recorder)?;
    let entries: Vec<ListEntry> = replicas
        .iter()
        .enumerate()
        .map(|(index, replica)| ListEntry {
            id: format!("r{index}"),
            address: replica.addresses[node].1,
            zone: format!("z{}", index % f.replicas % f.zones),
            cell: (index / f.replicas) as u64,
            lifecycle: "ready",
            started_at: 0.0,
        })
        .collect();
    agent.change(&entries);
    Ok(agent)
}

/// Starts a co-ordinator and its discovery agent. Returns its clients.
fn start_coordinator(
    net: Tokio,
    script: &Script,
    node: usize,
    replicas: &[RunningReplica],
    recorder: &Recorder,
) -> io::Result<Caller<Tokio>> {
    let discovery = free_address()?;
    let listen = free_address()?;
    let agent = start_agent(net, script, node, discovery, replicas, recorder)?;
    let seed = seed_of(script.seed, &format!("node {node} 0"));
    // Its peers aren't started: `woadreach cluster` plays the network between zones.
    let addresses = CoordinatorAddresses {
        listen,
        discovery,
        peer_listen: None,
        peers: Vec::new(),
    };
    let source = ConfigSource {
        path: format!("n{node}"),
        text: configuration(script, node, &addresses, seed, &agent.full_list_json()),
        listen: None,
        discovery: None,
    };
    let config = config::read(AddressPrecedence::Environment, &source).map_err(io::Error::other)?;
    // The task keeps the senders, so that neither signal ever arrives.
    let (sighup_sender, sighup) = mpsc::unbounded_channel();
    let (sigterm_sender, sigterm) = mpsc::unbounded_channel();
    let environment = Environment {
        sighup,
        sigterm,
        read_source: Box::new(|| {
            Err(ConfigError::VariableNotSet {
                variable: "PROXY_CONFIG",
            })
        }),
        on_usage: Box::new(|_: &_| {}),
        on_verdict: Box::new(|_: &_| {}),
    };
    let node = CoordinatorId(node);
    recorder.record(EventKind::CoordinatorStarted { node });
    let events = recorder.clone();
    drop(net.spawn(async move {
        let _signals = (sighup_sender, sigterm_sender);
        if let Err(error) = woadreachd::serve(net, config, environment).await {
            let why = error.to_string();
            events.record(EventKind::Panicked { node, why });
        }
    }));
    Ok(Caller::new(&net, node, listen, recorder))
}

/// Sends the searches of one co-ordinator's clients until `end`.
async fn load(
    net: Tokio,
    script: Script,
    caller: Caller<Tokio>,
    node: usize,
    end: f64,
    names: Rc<Cell<u64>>,
) {
    let name = move || -> Arc<str> { format!("q{}", names.replace(names.get() + 1)).into() };
    let mut rng = Pcg64Mcg::seed_from_u64(seed_of(script.seed, &format!("load {node}")));
    let retry = Retry {
        max_retries: script.load.retries,
        delay_s: script.load.retry_delay_s,
        honors_retry_after: script.load.honors_retry_after,
    };
    while net.now() < end {
        net.sleep(draw_gap(script.load.rate, &mut rng)).await;
        let request: SearchRequest = draw_request(&script, 1.0, name(), &mut rng);
        let idempotent = script.query_types[request.query_type].repeats == Repeats::Idempotent;
        let (caller, name) = (caller.clone(), name.clone());
        drop(net.spawn(async move {
            drop(
                caller
                    .call_with_retries(request, retry, idempotent, name)
                    .await,
            );
        }));
    }
}
