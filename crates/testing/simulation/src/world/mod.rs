//! A world: co-ordinators, replicas, clients and discovery on one virtual clock, driven by a script.
//!
//! [`play`] builds it (`setup`), schedules the script (`schedule`) and runs the clock until all is quiet.
//! `faults` says what each fault does; `coordinators`, `replicas` and `clients` are the parties; `leaks` looks
//! for what is left at the end.

use crate::clock::{Clock, MILLISECOND, Nanos, ProcessId};
use crate::network::{BEGIN, Network, SimNet};
use crate::outcome::{Outcome, VerdictAdoption};
use crate::record::Record;
use crate::recovery::recoveries;
use crate::script::Script;
use crate::settings::terms;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc;
use woadreach_fakes::{Agent, Caller, Recorder, Replica};
use woadreach_invariants::NodeId;
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
/// How often the rules are checked for what is overdue, beside every event.
const CHECK_INTERVAL: Nanos = 100 * MILLISECOND;
/// Seconds after the last search's deadline: two reports of a co-ordinator, and what it closes when idle.
const QUIET_TIME: f64 = 11.0;
/// Nanoseconds in a second.
const SECOND: f64 = 1e9;

/// How a script is played.
#[derive(Clone, Copy, Debug, Default)]
pub struct Options {
    /// Keeps every event.
    pub trace: bool,
    /// Ends at the first breach.
    pub stop_at_breach: bool,
}

/// A co-ordinator, over all of its processes.
struct Coordinator {
    process: Cell<Option<ProcessId>>,
    address: SocketAddr,
    clients: Caller<SimNet>,
    /// Whether the load balancer in front of it sends it clients.
    in_rotation: Cell<bool>,
    agent: Agent,
    agent_process: Cell<ProcessId>,
    sighup: RefCell<Option<mpsc::UnboundedSender<()>>>,
    sigterm: RefCell<Option<mpsc::UnboundedSender<()>>>,
    usage: Rc<Cell<Usage>>,
    starts: Cell<u64>,
}

/// A place in the fleet for a replica, over all of its processes.
struct ReplicaSlot {
    name: RefCell<String>,
    zone: usize,
    cell: u64,
    process: Cell<ProcessId>,
    /// Where each co-ordinator reaches it.
    addresses: RefCell<Vec<(NodeId, SocketAddr)>>,
    handle: RefCell<Replica<SimNet>>,
    alive: Cell<bool>,
    /// Unix seconds; 0 if it was there before the run.
    started_at: Cell<f64>,
    starts: Cell<u64>,
}

struct World {
    script: Script,
    clock: Clock,
    network: Network,
    record: Rc<RefCell<Record>>,
    recorder: Recorder,
    coordinators: Vec<Coordinator>,
    replicas: Vec<ReplicaSlot>,
    /// How many times as many searches arrive now.
    load_factor: Cell<f64>,
    /// How many times as much a search costs now.
    work_factor: Cell<f64>,
    /// Malformed requests per second at each co-ordinator now.
    malformed_rate: Cell<f64>,
    searches: Cell<u64>,
    clients_active: Cell<bool>,
    verdicts: RefCell<Vec<VerdictAdoption>>,
}

fn nanos(seconds: f64) -> Nanos {
    (seconds.max(0.0) * SECOND).round() as Nanos
}

/// Plays a script from its beginning until all is quiet.
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
        ..Outcome::of_record(script.seed, ended_at as f64 / SECOND, &record)
    }
}

impl World {
    /// Runs the clock until all is quiet after `last`, in seconds, or until the first breach, if wanted.
    /// Returns when it ended.
    fn run(&self, last: f64, stop_at_breach: bool) -> Nanos {
        let end = nanos(last + QUIET_TIME);
        let mut at = 0;
        let stopped = || stop_at_breach && !self.record.borrow().breaches.is_empty();
        while at < end && !stopped() {
            at += CHECK_INTERVAL;
            self.clock.run_until(at);
            self.record.borrow_mut().tick(BEGIN + at as f64 / SECOND);
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
