//! A cluster on loopback: the processes under test, fake replicas, discovery agents and clients, and the relay
//! between zones. All of it but the processes runs on one thread. Nothing here decides anything for a
//! co-ordinator.

mod actions;
mod co_ordinators;
mod history;
mod load;
mod replicas;
mod run;
mod watch;

use crate::addresses::Addresses;
use crate::config::PlayConfig;
use crate::killable::Killable;
use crate::measurements::Measurements;
use crate::process::{LogLine, Process};
use crate::relay::Relay;
use crate::schedule::ZoneFault;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc;
use woadreach_fakes::{Agent, Caller, Recorder, Replica};
use woadreach_invariants::CoordinatorId;
use woadreach_runtime::{Net, Tokio};
use woadreach_simulation::{Record, Script, terms};

/// Seconds after the endpoint list changed, or after discovery answers again, within which every co-ordinator
/// has to have read it.
const LIST_READ_TIMEOUT: f64 = 6.0;

/// A co-ordinator with what is there for it alone.
struct CoOrdinator {
    client_listen: SocketAddr,
    discovery: SocketAddr,
    peer_listen: SocketAddr,
    /// Where it sends datagrams for each co-ordinator: that one's address, or the relay's for it.
    peers: Vec<SocketAddr>,
    agent: Agent,
    client: Caller<Tokio>,
    /// None while it isn't running.
    process: Option<Process>,
    start_count: usize,
}

/// A fake replica, which can be killed and started again.
struct ReplicaSlot {
    name: String,
    zone: usize,
    shard_group: u64,
    /// Where it listens for each co-ordinator.
    listens: Vec<(CoordinatorId, SocketAddr)>,
    /// The address that each co-ordinator's endpoint list has: the same, or the relay's for it.
    listed: Vec<SocketAddr>,
    host: Killable,
    /// None while it is killed.
    handle: Option<Replica<Killable>>,
    /// When its process started, in Unix seconds; 0 if it was there from the beginning.
    started_at: f64,
}

/// The state of a replica in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Lifecycle {
    Ready,
    Draining,
    Departed,
}

impl Lifecycle {
    /// The name that discovery has for it.
    fn name(self) -> &'static str {
        match self {
            Lifecycle::Ready => "ready",
            Lifecycle::Draining => "draining",
            Lifecycle::Departed => "gone",
        }
    }
}

/// A change that the endpoint list is to show from a time on.
struct ListChange {
    /// In Unix seconds.
    due: f64,
    replica: usize,
    lifecycle: Lifecycle,
}

/// A co-ordinator that has to have read a generation of the endpoint list by a time.
struct ListRead {
    /// In Unix seconds.
    due: f64,
    node: usize,
    generation: u64,
}

/// The cluster and what is known of its state. Times are those of `net`, in Unix seconds.
pub(crate) struct Cluster {
    config: PlayConfig,
    script: Script,
    net: Tokio,
    addresses: Addresses,
    relay: Relay,
    /// The history that invariants are checked on.
    record: Rc<RefCell<Record>>,
    recorder: Recorder,
    measurements: Rc<RefCell<Measurements>>,
    co_ordinators: Vec<CoOrdinator>,
    replicas: Vec<ReplicaSlot>,
    /// Whether clients send searches to a co-ordinator.
    takes_clients: Rc<Vec<Cell<bool>>>,
    /// Holds the configuration files.
    folder: tempfile::TempDir,
    log: mpsc::UnboundedSender<LogLine>,
    list_changes: Vec<ListChange>,
    list_reads: Vec<ListRead>,
    /// Co-ordinators that have got SIGTERM, and when SIGKILL would follow, in Unix seconds.
    terminating: BTreeMap<usize, f64>,
    /// The lease holder that the last fault was injected into.
    disturbed_holder: Option<usize>,
    /// Processes that ended without having been asked to, or with a failure.
    crashes: usize,
    /// Whether clients abandon their searches.
    clients_abandon: Rc<Cell<bool>>,
}

impl Cluster {
    /// Sets everything up but the processes, whose log lines will be sent to `log`.
    pub(crate) async fn new(
        config: &PlayConfig,
        script: Script,
        faults: Vec<ZoneFault>,
        log: mpsc::UnboundedSender<LogLine>,
    ) -> io::Result<Cluster> {
        let net = Tokio::new();
        let query_types = script.query_types.iter();
        let targets = query_types.map(|t| t.latency_target_s).collect();
        let record = Rc::new(RefCell::new(Record::new(terms(&script), targets, false)));
        let takes_clients = (0..config.co_ordinators).map(|_| Cell::new(false));
        let mut cluster = Cluster {
            config: config.clone(),
            script,
            net,
            addresses: Addresses::new(config),
            relay: Relay::new(config.zones, config.seed),
            recorder: Record::recorder(&record, move || net.now()),
            record,
            measurements: Rc::new(RefCell::new(Measurements::new(config.zones, faults))),
            co_ordinators: Vec::new(),
            replicas: Vec::new(),
            takes_clients: Rc::new(takes_clients.collect()),
            folder: tempfile::tempdir()?,
            log,
            list_changes: Vec::new(),
            list_reads: Vec::new(),
            terminating: BTreeMap::new(),
            disturbed_holder: None,
            crashes: 0,
            clients_abandon: Rc::default(),
        };
        cluster.place_replicas().await?;
        cluster.place_co_ordinators().await?;
        let all_replicas: Vec<usize> = (0..cluster.replicas.len()).collect();
        cluster.list_replicas(&all_replicas, Lifecycle::Ready);
        Ok(cluster)
    }

    fn zone_of_co_ordinator(&self, node: usize) -> usize {
        node % self.config.zones
    }

    fn replicas_of_zone(&self, zone: usize) -> Vec<usize> {
        (0..self.replicas.len())
            .filter(|replica| self.replicas[*replica].zone == zone)
            .collect()
    }
}
