//! A world: co-ordinators, replicas, clients and discovery on one virtual clock, driven by a script.
//!
//! [`play`] builds it (`setup`), schedules the script (`schedule`) and runs the clock until no search is in flight and
//! idle connections are closed. The co-ordinators run the code of `woadreachd`; everything else is simulated:
//!
//! - `coordinators`: their processes, and the load balancer's view of them;
//! - `replicas`: scripted processes, and their entries in the endpoint lists;
//! - `clients` and `malformed_clients`: the searches of the load, and requests that no client should send;
//! - `faults`: what each fault changes, and what its end restores;
//! - `leaks`: panics, and what is still in memory at the end.

use crate::clock::{Clock, MILLISECOND, Nanos, ProcessId};
use crate::network::{BEGIN, Network, SimNet};
use crate::outcome::{Outcome, VerdictAdoption};
use crate::record::Record;
use crate::recovery::recoveries;
use crate::script::{FaultKind, Script};
use crate::settings::terms;
use crate::time::{nanos, seconds};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc;
use woadreach_fakes::{Agent, Caller, Recorder, Replica};
use woadreach_invariants::CoordinatorId;
use woadreachd::events::Usage;

mod clients;
mod coordinators;
mod faults;
mod leaks;
mod malformed_clients;
mod replicas;
mod schedule;
mod setup;

const CLIENTS_PORT: u16 = 8443;
const REPLICAS_PORT: u16 = 9000;
const DISCOVERY_PORT: u16 = 8500;
const PEERS_PORT: u16 = 7946;
/// Time between two checks of what is overdue. Rules are checked at every event as well.
const CHECK_INTERVAL: Nanos = 100 * MILLISECOND;
/// Seconds from the last search's deadline to the end of the run: time for two usage reports of a co-ordinator, and for
/// it to close idle connections.
const QUIET_TIME: f64 = 11.0;

/// How a script is played.
#[derive(Clone, Copy, Debug, Default)]
pub struct Options {
    /// Keeps every event.
    pub trace: bool,
    /// Ends at the first breach.
    pub stop_at_breach: bool,
}

/// A co-ordinator, which may have several processes one after the other.
struct Coordinator {
    /// Its running process.
    process: Cell<Option<ProcessId>>,
    /// Where it accepts clients.
    address: SocketAddr,
    clients: Caller<SimNet>,
    /// Whether the load balancer in front of it sends it clients.
    in_rotation: Cell<bool>,
    /// Its discovery agent.
    agent: Agent,
    /// The process in which the agent listens now.
    agent_process: Cell<ProcessId>,
    /// Deliver signals to the running process.
    sighup: RefCell<Option<mpsc::UnboundedSender<()>>>,
    sigterm: RefCell<Option<mpsc::UnboundedSender<()>>>,
    /// What it last reported to have in memory.
    usage: Rc<Cell<Usage>>,
    /// How many processes it has had.
    starts: Cell<u64>,
}

/// A replica's position in the fleet, which may have several processes one after the other.
struct ReplicaSlot {
    /// The replica's identifier; a replacement has another one.
    name: RefCell<String>,
    zone: usize,
    /// The shard group, by its number.
    cell: u64,
    /// Its last process, which runs if `alive`.
    process: Cell<ProcessId>,
    /// Where each co-ordinator reaches it.
    addresses: RefCell<Vec<(CoordinatorId, SocketAddr)>>,
    /// Changes the behaviour of the process.
    handle: RefCell<Replica<SimNet>>,
    alive: Cell<bool>,
    /// When the process started, in Unix seconds; 0 if it was there before the run.
    started_at: Cell<f64>,
    /// How many processes it has had.
    starts: Cell<u64>,
}

/// All parties of a run and the state of its faults.
struct World {
    script: Script,
    clock: Clock,
    network: Network,
    record: Rc<RefCell<Record>>,
    recorder: Recorder,
    coordinators: Vec<Coordinator>,
    replicas: Vec<ReplicaSlot>,
    /// The faults that have begun and not ended, in the order in which they began.
    active_faults: RefCell<Vec<FaultKind>>,
    /// The present rate of searches as a multiple of the script's.
    load_factor: Cell<f64>,
    /// The present work of a search as a multiple of the script's.
    work_factor: Cell<f64>,
    /// The present number of malformed requests per second at each co-ordinator.
    malformed_rate: Cell<f64>,
    /// How many searches have been named, retries included.
    searches: Cell<u64>,
    /// Whether clients still send searches.
    clients_active: Cell<bool>,
    /// The verdicts on zones that co-ordinators have adopted.
    verdicts: RefCell<Vec<VerdictAdoption>>,
}

/// Plays a script from its beginning until no search is in flight.
pub fn play(script: &Script, options: Options) -> Outcome {
    let record = Record::new(terms(script), script.latency_targets(), options.trace);
    let record = Rc::new(RefCell::new(record));
    let world = World::new(script.clone(), record.clone());
    world.schedule();
    let ended_at = world.run(script.end(), options.stop_at_breach);
    let steps = world.clock.steps();
    world.end();
    let mut record = record.borrow_mut();
    let mut digest = blake3::Hasher::new();
    digest.update(record.digest().as_bytes());
    digest.update(&steps.to_le_bytes());
    let datagrams = world.network.datagrams();
    Outcome {
        digest: crate::digest::shorten(&digest.finalize()),
        steps,
        datagrams: datagrams.count,
        datagram_bytes: datagrams.bytes,
        verdicts: world.verdicts.take(),
        recoveries: recoveries(script, &record.served(), &record.attempts_received_at),
        trace: record.trace.take().unwrap_or_default(),
        ..Outcome::of_record(script.seed, seconds(ended_at), &record)
    }
}

impl World {
    /// Runs the clock until [`QUIET_TIME`] after the last deadline, in seconds, or with `stop_at_breach` until the first
    /// breach. Returns when it ended.
    fn run(&self, last_deadline: f64, stop_at_breach: bool) -> Nanos {
        let end = nanos(last_deadline + QUIET_TIME);
        let mut at = 0;
        let stopped = || stop_at_breach && !self.record.borrow().breaches.is_empty();
        while at < end && !stopped() {
            at += CHECK_INTERVAL;
            self.clock.run_until(at);
            self.record.borrow_mut().tick(BEGIN + seconds(at));
            self.report_panics();
        }
        if at >= end {
            self.report_leaks();
        }
        at
    }

    /// Ends every process, so that nothing of the world outlives it.
    fn end(&self) {
        (0..self.clock.processes())
            .map(ProcessId)
            .for_each(|process| self.network.kill(process));
        self.clock.forget();
    }
}
