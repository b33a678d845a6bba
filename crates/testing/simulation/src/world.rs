//! A world: co-ordinators, replicas, clients and discovery on one virtual clock, played by a script. Owns
//! every process of the run and what each fault does to them; must never decide anything for a co-ordinator.

use crate::clock::{Clock, MILLISECOND, Nanos, ProcessId};
use crate::network::{BEGIN, LatencyRange, Network, NetworkConfig, SimNet, Zone, address, seed_of};
use crate::record::{Fared, Record};
use crate::recovery::{Recovery, recoveries};
use crate::script::{Script, SilentCalls};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc;
use woadreach_fakes::{Agent, Behaviour, Caller, CallsWhileSilent, Recorder, Replica};
use woadreach_invariants::{Breach, Event, EventKind, NodeId};
use woadreachd::events::Usage;

mod clients;
mod configuration;
mod faults;
mod nodes;

pub use configuration::{Places, configuration, terms};

const CLIENTS_PORT: u16 = 8443;
const REPLICAS_PORT: u16 = 9000;
const DISCOVERY_PORT: u16 = 8500;
const PEERS_PORT: u16 = 7946;
/// The rules are looked at so often, beside every event.
const LOOK: Nanos = 100 * MILLISECOND;
/// PROTOCOL: SIGKILL comes no sooner than so long after SIGTERM, and the longest client timeout, 3 s at most.
const KILL_AFTER: f64 = 0.7;
/// After the last search's time is over: two of a co-ordinator's reports, and what it closes by itself.
const QUIET: f64 = 11.0;
/// A process that takes over starts so much sooner than the list says so.
const LISTED_AFTER: f64 = 0.2;

#[derive(Clone, Copy, Debug, Default)]
pub struct Options {
    /// Keeps every event.
    pub trace: bool,
    /// Ends at the first breach.
    pub stop_at_breach: bool,
}

/// What a run gave.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    pub seed: u64,
    /// Of all events and the clock's steps: two runs of one script have the same.
    pub digest: String,
    pub breaches: Vec<Breach>,
    /// Simulated seconds, steps of the clock, events judged.
    pub seconds: f64,
    pub steps: u64,
    pub events: u64,
    pub searches: u64,
    pub good: u64,
    pub sub_requests: u64,
    /// Datagrams between co-ordinators, and their bytes.
    pub datagrams: u64,
    pub datagram_bytes: u64,
    /// When which co-ordinator held which new verdict on a zone, and whether the zone is out by it.
    pub verdicts: Vec<Judged>,
    pub recoveries: Vec<Recovery>,
    #[serde(skip)]
    pub trace: Vec<Event>,
}

/// A co-ordinator holds a new verdict.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Judged {
    pub at: f64,
    pub node: NodeId,
    pub zone: usize,
    pub epoch: u32,
}

struct Node {
    process: Cell<Option<ProcessId>>,
    address: SocketAddr,
    clients: Caller<SimNet>,
    /// A front lets clients in.
    up: Cell<bool>,
    agent: Agent,
    agent_process: Cell<ProcessId>,
    moves: Cell<u16>,
    hangup: RefCell<Option<mpsc::UnboundedSender<()>>>,
    term: RefCell<Option<mpsc::UnboundedSender<()>>>,
    held: Rc<Cell<Usage>>,
    starts: Cell<u64>,
}

struct Slot {
    name: RefCell<String>,
    zone: usize,
    cell: u64,
    process: Cell<ProcessId>,
    addresses: RefCell<Vec<(NodeId, SocketAddr)>>,
    handle: RefCell<Replica<SimNet>>,
    alive: Cell<bool>,
    started_at: Cell<f64>,
    turns: Cell<u64>,
}

struct World {
    script: Script,
    clock: Clock,
    network: Network,
    record: Rc<RefCell<Record>>,
    recorder: Recorder,
    nodes: Vec<Node>,
    replicas: Vec<Slot>,
    burst: Cell<f64>,
    costly: Cell<f64>,
    rude: Cell<f64>,
    names: Cell<u64>,
    loading: Cell<bool>,
    judged: RefCell<Vec<Judged>>,
}

fn nanos(seconds: f64) -> Nanos {
    (seconds.max(0.0) * 1e9).round() as Nanos
}

/// Plays a script from its beginning until all is quiet.
pub fn play(script: &Script, options: Options) -> Outcome {
    let targets = script
        .query_types
        .iter()
        .map(|t| t.latency_target)
        .collect();
    let record = Rc::new(RefCell::new(Record::new(
        terms(script),
        targets,
        options.trace,
    )));
    let world = World::new(script.clone(), record.clone());
    world.begin();
    let longest = script.max_client_timeout();
    let last = script
        .faults
        .iter()
        .map(|f| f.at + f.duration)
        .fold(script.seconds, f64::max);
    let end = nanos(last + longest + QUIET);
    let mut at = 0;
    let found = || options.stop_at_breach && !record.borrow().breaches.is_empty();
    while at < end && !found() {
        at += LOOK;
        world.clock.run_until(at);
        record.borrow_mut().tick(BEGIN + at as f64 / 1e9);
        world.look_for_panics();
    }
    if at >= end {
        world.look_for_what_is_kept();
    }
    let steps = world.clock.steps();
    world.end();
    let mut r = record.borrow_mut();
    let fared: Vec<Fared> = r.fared.iter().filter(|f| !f.left).copied().collect();
    let mut digest = blake3::Hasher::new();
    digest.update(r.digest().as_bytes());
    digest.update(&steps.to_le_bytes());
    Outcome {
        seed: script.seed,
        digest: digest.finalize().to_hex()[..16].to_string(),
        breaches: r.breaches.clone(),
        seconds: at as f64 / 1e9,
        steps,
        events: r.events,
        searches: fared.len() as u64,
        good: fared.iter().filter(|f| f.good).count() as u64,
        sub_requests: r.sent.len() as u64,
        datagrams: world.network.datagrams().count,
        datagram_bytes: world.network.datagrams().bytes,
        verdicts: world.judged.take(),
        recoveries: recoveries(script, &fared, &r.sent),
        trace: r.trace.take().unwrap_or_default(),
    }
}

impl World {
    fn new(script: Script, record: Rc<RefCell<Record>>) -> Rc<World> {
        let clock = Clock::new();
        let way = nanos(script.fleet.max_latency);
        let peers = script.peers.as_ref();
        let config = NetworkConfig {
            datagram_loss: peers.map_or(0.0, |p| p.loss),
            datagram_duplication: peers.map_or(0.0, |p| p.duplication),
            max_datagram_delay: peers.map_or(0, |p| nanos(p.max_delay)),
            between_zones: LatencyRange {
                min: way * 2 / 5,
                jitter: way * 3 / 5,
            },
            receive_buffer: script.fleet.buffers,
            send_buffer: script.fleet.buffers,
            ..NetworkConfig::default()
        };
        let network = Network::new(&clock, seed_of(script.seed, "network"), config);
        let time = clock.clone();
        let recorder = Record::recorder(&record, move || BEGIN + time.now() as f64 / 1e9);
        let f = &script.fleet;
        let mut apart = Pcg64Mcg::seed_from_u64(seed_of(script.seed, "clocks"));
        let nodes: Vec<Node> = (0..f.co_ordinators)
            .map(|n| {
                let zone = Zone(n % f.zones);
                let ahead = f.max_clock_offset * (2.0 * apart.random::<f64>() - 1.0);
                let first = network.add_machine(zone, ahead);
                let (clients, agent) = (
                    network.add_machine(zone, 0.0),
                    network.add_machine(zone, 0.0),
                );
                let at = address(first.process(), CLIENTS_PORT);
                let agent_process = agent.process();
                let place = address(agent_process, DISCOVERY_PORT);
                // Nobody listens there yet.
                let agent = woadreach_fakes::discovery(&agent, NodeId(n), place, None, &recorder);
                let agent = agent.unwrap_or_else(|e| panic!("an agent's address is taken: {e}"));
                agent.calls_while_silent(match f.calls_while_silent {
                    SilentCalls::Kept => CallsWhileSilent::Kept,
                    SilentCalls::ListsLost => CallsWhileSilent::ListsLost,
                    SilentCalls::Lost => CallsWhileSilent::Lost,
                });
                Node {
                    process: Cell::new(Some(first.process())),
                    address: at,
                    clients: Caller::new(&clients, NodeId(n), at, &recorder),
                    up: Cell::new(false),
                    agent,
                    agent_process: Cell::new(agent_process),
                    moves: Cell::new(0),
                    hangup: RefCell::default(),
                    term: RefCell::default(),
                    held: Rc::default(),
                    starts: Cell::new(0),
                }
            })
            .collect();
        let replicas: Vec<Slot> = (0..script.replicas())
            .map(|r| {
                let zone = r % f.replicas % f.zones;
                let net = network.add_machine(Zone(zone), 0.0);
                let ports = (0..f.co_ordinators)
                    .map(|n| (NodeId(n), address(net.process(), REPLICAS_PORT + n as u16)));
                let addresses: Vec<_> = ports.collect();
                let name = format!("r{r}");
                let behaviour = Behaviour {
                    cores: f.cores,
                    room: f.queue_capacity,
                    ..Behaviour::default()
                };
                let seed = seed_of(script.seed, &name);
                let handle = woadreach_fakes::replica(
                    &net,
                    &name,
                    behaviour,
                    &addresses,
                    seed,
                    &Recorder::new(|_| {}),
                );
                Slot {
                    name: RefCell::new(name),
                    zone,
                    cell: (r / f.replicas) as u64,
                    process: Cell::new(net.process()),
                    addresses: RefCell::new(addresses),
                    handle: RefCell::new(
                        handle.unwrap_or_else(|e| panic!("an address is taken: {e}")),
                    ),
                    alive: Cell::new(true),
                    started_at: Cell::new(0.0),
                    turns: Cell::new(0),
                }
            })
            .collect();
        let world = Rc::new(World {
            script,
            clock,
            network,
            record,
            recorder,
            nodes,
            replicas,
            burst: Cell::new(1.0),
            costly: Cell::new(1.0),
            rude: Cell::new(0.0),
            names: Cell::new(0),
            loading: Cell::new(true),
            judged: RefCell::default(),
        });
        // Once more with the record: they were long there before the run, so that nothing is cold.
        for r in 0..world.replicas.len() {
            world.start_replica(r, false);
        }
        world
    }

    fn begin(self: &Rc<Self>) {
        let all: Vec<usize> = (0..self.replicas.len()).collect();
        self.list(&all, "ready");
        for n in 0..self.nodes.len() {
            self.start_node(n);
            self.load(n);
            self.rudeness(n);
        }
        for fault in self.script.faults.clone() {
            let (world, kind) = (self.clone(), fault.kind.clone());
            self.clock
                .call_at(nanos(fault.at), move || world.strike(&kind, fault.duration));
            let (world, kind) = (self.clone(), fault.kind);
            self.clock
                .call_at(nanos(fault.at + fault.duration), move || world.lift(&kind));
        }
        let world = self.clone();
        self.clock.call_at(nanos(self.script.seconds), move || {
            world.loading.set(false);
            world.nodes.iter().for_each(|n| n.clients.close_idle());
        });
        // What was still asked by then keeps no connection either.
        let world = self.clone();
        let longest = self.script.max_client_timeout();
        let late = self.script.seconds + 2.0 * longest;
        self.clock.call_at(nanos(late), move || {
            world.nodes.iter().for_each(|n| n.clients.close_idle())
        });
    }

    /// Ends every process, so that nothing of the world outlives it.
    fn end(&self) {
        (0..self.clock.processes())
            .map(ProcessId)
            .for_each(|p| self.network.kill(p));
        self.clock.forget();
    }

    fn look_for_panics(&self) {
        for (process, why) in self.clock.panics() {
            let node = self
                .nodes
                .iter()
                .position(|n| n.process.get() == Some(process));
            let why = if node.is_none() {
                format!("process {}: {why}", process.0)
            } else {
                why
            };
            self.recorder.tell(EventKind::Panicked {
                node: NodeId(node.unwrap_or(0)),
                why,
            });
        }
    }

    /// All is quiet: nothing is in hand, and clients hold nothing.
    fn look_for_what_is_kept(&self) {
        for (n, node) in self
            .nodes
            .iter()
            .enumerate()
            .filter(|(_, n)| n.process.get().is_some())
        {
            let h = node.held.get();
            let quiet = (
                h.searches,
                h.parts,
                h.attempts,
                h.client_sockets,
                h.request_bytes,
            ) == (0, 0, 0, 0, 0);
            if !quiet {
                let why = format!("all is quiet, and it holds {h:?}");
                self.recorder.tell(EventKind::Leaked {
                    node: NodeId(n),
                    why,
                });
            }
        }
        let owed = self.record.borrow().owed();
        if owed > 0 {
            let why = format!("{owed} searches have neither an answer nor an end");
            self.recorder.tell(EventKind::Leaked {
                node: NodeId(0),
                why,
            });
        }
    }
}

impl Node {
    fn clients_net(&self, network: &Network) -> SimNet {
        network.process(self.clients.net().process())
    }
}
