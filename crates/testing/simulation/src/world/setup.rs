//! Building a world: its machines, agents and replicas. The co-ordinators are started by the schedule.

use super::{CLIENTS_PORT, Coordinator, DISCOVERY_PORT, REPLICAS_PORT, ReplicaSlot, World};
use crate::clock::Clock;
use crate::network::{BEGIN, LatencyRange, Network, NetworkConfig, SimNet, Zone, address, seed_of};
use crate::record::Record;
use crate::script::{CallsWhileUnresponsive, Script};
use crate::time::{nanos, seconds};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use woadreach_fakes::{Agent, Behaviour, Caller, Recorder};
use woadreach_invariants::CoordinatorId;

impl From<CallsWhileUnresponsive> for woadreach_fakes::CallsWhileUnresponsive {
    fn from(calls: CallsWhileUnresponsive) -> Self {
        match calls {
            CallsWhileUnresponsive::Delayed => Self::Delayed,
            CallsWhileUnresponsive::ListsLost => Self::ListsLost,
            CallsWhileUnresponsive::Lost => Self::Lost,
        }
    }
}

fn network_config(script: &Script) -> NetworkConfig {
    let latency = nanos(script.fleet.max_latency);
    let peers = script.peers.as_ref();
    NetworkConfig {
        datagram_loss: peers.map_or(0.0, |p| p.loss),
        datagram_duplication: peers.map_or(0.0, |p| p.duplication),
        max_datagram_delay: peers.map_or(0, |p| nanos(p.max_delay_s)),
        between_zones: LatencyRange {
            min: latency * 2 / 5,
            jitter: latency * 3 / 5,
        },
        receive_buffer: script.fleet.buffers,
        send_buffer: script.fleet.buffers,
        ..NetworkConfig::default()
    }
}

/// Starts the discovery agent of a co-ordinator on its own machine.
fn start_agent(script: &Script, index: usize, net: &SimNet, recorder: &Recorder) -> Agent {
    let place = address(net.process(), DISCOVERY_PORT);
    let agent =
        woadreach_fakes::start_discovery_agent(net, CoordinatorId(index), place, None, recorder);
    // Nobody listens on a new machine yet.
    let agent = agent.unwrap_or_else(|e| panic!("an agent's address is taken: {e}"));
    agent.set_calls_while_unresponsive(script.fleet.calls_while_unresponsive.into());
    agent
}

/// The machines of a co-ordinator, its clients and its discovery agent.
fn add_coordinator(
    script: &Script,
    index: usize,
    clock_offset: f64,
    network: &Network,
    recorder: &Recorder,
) -> Coordinator {
    let zone = Zone(index % script.fleet.zones);
    let first = network.add_machine(zone, clock_offset);
    let clients = network.add_machine(zone, 0.0);
    let agent = network.add_machine(zone, 0.0);
    let listen = address(first.process(), CLIENTS_PORT);
    Coordinator {
        process: Cell::new(Some(first.process())),
        address: listen,
        clients: Caller::new(&clients, CoordinatorId(index), listen, recorder),
        in_rotation: Cell::new(false),
        agent: start_agent(script, index, &agent, recorder),
        agent_process: Cell::new(agent.process()),
        sighup: RefCell::default(),
        sigterm: RefCell::default(),
        usage: Rc::default(),
        starts: Cell::new(0),
    }
}

/// A replica's place, with a process that [`World::start_replica`] replaces.
fn add_replica(script: &Script, index: usize, network: &Network) -> ReplicaSlot {
    let f = &script.fleet;
    let zone = index % f.replicas % f.zones;
    let net = network.add_machine(Zone(zone), 0.0);
    let addresses: Vec<_> = (0..f.co_ordinators)
        .map(|node| {
            let port = REPLICAS_PORT + node as u16;
            (CoordinatorId(node), address(net.process(), port))
        })
        .collect();
    let name = format!("r{index}");
    let behaviour = Behaviour {
        cores: f.cores,
        queue_capacity: f.queue_capacity,
        ..Behaviour::default()
    };
    let seed = seed_of(script.seed, &name);
    let unrecorded = Recorder::new(|_| {});
    let handle =
        woadreach_fakes::start_replica(&net, &name, behaviour, &addresses, seed, &unrecorded);
    ReplicaSlot {
        name: RefCell::new(name),
        zone,
        cell: (index / f.replicas) as u64,
        process: Cell::new(net.process()),
        addresses: RefCell::new(addresses),
        handle: RefCell::new(handle.unwrap_or_else(|e| panic!("an address is taken: {e}"))),
        alive: Cell::new(true),
        started_at: Cell::new(0.0),
        starts: Cell::new(0),
    }
}

impl World {
    /// A world whose co-ordinators are not started yet.
    pub(super) fn new(script: Script, record: Rc<RefCell<Record>>) -> Rc<World> {
        let clock = Clock::new();
        let seed = seed_of(script.seed, "network");
        let network = Network::new(&clock, seed, network_config(&script));
        let time = clock.clone();
        let recorder = Record::recorder(&record, move || BEGIN + seconds(time.now()));
        let mut offsets = Pcg64Mcg::seed_from_u64(seed_of(script.seed, "clocks"));
        let coordinators = (0..script.fleet.co_ordinators)
            .map(|index| {
                let share = 2.0 * offsets.random::<f64>() - 1.0;
                let offset = script.fleet.max_clock_offset * share;
                add_coordinator(&script, index, offset, &network, &recorder)
            })
            .collect();
        let replicas = (0..script.replicas())
            .map(|index| add_replica(&script, index, &network))
            .collect();
        let world = Rc::new(World {
            script,
            clock,
            network,
            record,
            recorder,
            coordinators,
            replicas,
            load_factor: Cell::new(1.0),
            work_factor: Cell::new(1.0),
            active_faults: RefCell::default(),
            malformed_rate: Cell::new(0.0),
            searches: Cell::new(0),
            clients_active: Cell::new(true),
            verdicts: RefCell::default(),
        });
        // Started again with the record, as replicas that had warmed up before the run.
        for index in 0..world.replicas.len() {
            world.start_replica(index, false);
        }
        world
    }
}
