//! The simulated network: machines, the links between their zones, listeners, connections and datagrams.
//!
//! It shows latency with jitter, bandwidth, closed windows, partial writes and reads, half-open connections,
//! resets, refused and unanswered connects, links partitioned in one direction, and accept queues.
//! `docs/faults.md` says what it doesn't show. It never looks into bytes, and draws all randomness from its
//! own seeded generator.
//!
//! `link` decides what passes and how long it takes, `pipe` moves the bytes of one direction of a connection,
//! `stream`, `listener`, `connect` and `datagram` are the ends, and `process` offers all of it as the
//! [`Net`](woadreach_runtime::Net) of a process.

use crate::clock::{Clock, Nanos, ProcessId};
use datagram::Inbox;
use listener::AcceptQueue;
use pipe::Pipe;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

mod address;
mod config;
mod connect;
mod datagram;
mod link;
mod listener;
mod pipe;
mod process;
mod seed;
mod stream;

pub(crate) use address::address;
pub(crate) use config::{LatencyRange, NetworkConfig};
pub(crate) use datagram::DatagramTraffic;
pub use process::BEGIN;
pub(crate) use process::SimNet;
pub use seed::seed_of;

/// A zone by its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Zone(pub(crate) usize);

/// A partition of the link between two zones, in one direction.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Partition {
    from: Zone,
    to: Zone,
}

struct Machine {
    zone: Zone,
    /// How far its clock is ahead of the world's, in seconds.
    clock_offset: f64,
    /// Neither sends nor receives anything.
    isolated: bool,
}

struct Inner {
    clock: Clock,
    config: NetworkConfig,
    rng: RefCell<Pcg64Mcg>,
    machines: RefCell<BTreeMap<ProcessId, Machine>>,
    partitions: RefCell<BTreeSet<Partition>>,
    accept_queues: RefCell<BTreeMap<SocketAddr, Rc<AcceptQueue>>>,
    inboxes: RefCell<BTreeMap<SocketAddr, Rc<Inbox>>>,
    datagrams: Cell<DatagramTraffic>,
    /// Pipes with bytes that could not be delivered because of a partition.
    blocked_pipes: RefCell<Vec<Rc<Pipe>>>,
}

/// A handle on the network; all clones are one network.
#[derive(Clone)]
pub(crate) struct Network(Rc<Inner>);

impl Network {
    /// A network without machines.
    pub(crate) fn new(clock: &Clock, seed: u64, config: NetworkConfig) -> Self {
        Network(Rc::new(Inner {
            clock: clock.clone(),
            config,
            rng: RefCell::new(Pcg64Mcg::seed_from_u64(seed)),
            machines: RefCell::default(),
            partitions: RefCell::default(),
            accept_queues: RefCell::default(),
            inboxes: RefCell::default(),
            datagrams: Cell::default(),
            blocked_pipes: RefCell::default(),
        }))
    }

    /// Starts a process on a machine of its own, whose clock is ahead by `clock_offset` seconds.
    pub(crate) fn add_machine(&self, zone: Zone, clock_offset: f64) -> SimNet {
        let process = self.0.clock.add_process();
        let machine = Machine {
            zone,
            clock_offset,
            isolated: false,
        };
        self.0.machines.borrow_mut().insert(process, machine);
        self.process(process)
    }

    /// The network as an existing process sees it.
    pub(crate) fn process(&self, process: ProcessId) -> SimNet {
        SimNet::new(self.clone(), process)
    }

    /// Kills a process: its listeners close and its connections are reset. An isolated machine's peers
    /// don't hear of it.
    pub(crate) fn kill(&self, process: ProcessId) {
        self.0
            .accept_queues
            .borrow_mut()
            .retain(|_, queue| queue.process != process);
        self.0
            .inboxes
            .borrow_mut()
            .retain(|_, inbox| inbox.process != process);
        self.0.clock.kill(process);
    }

    /// Datagrams that were sent so far.
    pub(crate) fn datagrams(&self) -> DatagramTraffic {
        self.0.datagrams.get()
    }

    /// The simulated time.
    fn now(&self) -> Nanos {
        self.0.clock.now()
    }
}
