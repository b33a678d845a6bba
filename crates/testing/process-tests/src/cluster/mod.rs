//! A cluster on loopback: the processes under test, fake replicas, discovery agents and clients, and the relay between
//! zones. Everything except the processes runs on one thread. No decision of a co-ordinator is made here.

mod actions;
mod co_ordinators;
mod history;
mod load;
mod replicas;
mod run;
mod watch;

use crate::addresses::Addresses;
use crate::config::PlayConfig;
use crate::killable::KillableRuntime;
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

/// Seconds after a change of the endpoint list, or after discovery answers again, within which every co-ordinator must
/// have read the list.
const LIST_READ_TIMEOUT: f64 = 6.0;

/// A co-ordinator with its addresses, discovery agent and client.
struct CoOrdinator {
    client_listen: SocketAddr,
    discovery: SocketAddr,
    peer_listen: SocketAddr,
    /// Address to which this co-ordinator sends datagrams for each co-ordinator: the peer's own, or that of the relay
    /// if the peer is in another zone.
    peers: Vec<SocketAddr>,
    agent: Agent,
    client: Caller<Tokio>,
    /// `None` while the process is not running.
    process: Option<Process>,
    start_count: usize,
}

/// A fake replica, which can be killed and restarted.
struct ReplicaSlot {
    name: String,
    zone: usize,
    shard_group: u64,
    /// Address on which the replica listens for each co-ordinator.
    listens: Vec<(CoordinatorId, SocketAddr)>,
    /// Address of the replica in each co-ordinator's endpoint list: its own, or that of the relay if the co-ordinator
    /// is in another zone.
    listed: Vec<SocketAddr>,
    host: KillableRuntime,
    /// `None` before the first start and while the replica is killed.
    handle: Option<Replica<KillableRuntime>>,
    /// Start time in the endpoint list, in Unix seconds; 0 if the replica is not warming up since that start.
    started_at: f64,
}

/// Lifecycle state of a replica in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Lifecycle {
    Ready,
    Draining,
    Departed,
}

impl Lifecycle {
    /// Name of the state in the discovery protocol.
    fn name(self) -> &'static str {
        match self {
            Lifecycle::Ready => "ready",
            Lifecycle::Draining => "draining",
            Lifecycle::Departed => "gone",
        }
    }
}

/// A pending change of the endpoint list.
struct ListChange {
    /// Time of publication, in Unix seconds.
    due: f64,
    replica: usize,
    lifecycle: Lifecycle,
}

/// A deadline by which a co-ordinator must have read a generation of the endpoint list.
struct ListRead {
    /// Deadline in Unix seconds.
    due: f64,
    node: usize,
    generation: u64,
}

/// The cluster and its state. Times are those of `net`, in Unix seconds.
pub(crate) struct Cluster {
    config: PlayConfig,
    script: Script,
    net: Tokio,
    addresses: Addresses,
    relay: Relay,
    /// Event history on which invariants are checked.
    record: Rc<RefCell<Record>>,
    recorder: Recorder,
    measurements: Rc<RefCell<Measurements>>,
    co_ordinators: Vec<CoOrdinator>,
    replicas: Vec<ReplicaSlot>,
    /// Whether clients may send searches to each co-ordinator.
    accepts_clients: Rc<Vec<Cell<bool>>>,
    /// Temporary directory of the configuration files.
    folder: tempfile::TempDir,
    log: mpsc::UnboundedSender<LogLine>,
    list_changes: Vec<ListChange>,
    list_reads: Vec<ListRead>,
    /// Co-ordinators that were sent SIGTERM, with the deadline in Unix seconds by which they must have exited.
    terminating: BTreeMap<usize, f64>,
    /// Lease holder into which the last fault was injected; `None` if there was no running holder.
    faulted_holder: Option<usize>,
    /// Number of processes that ended without a request, ended with a failure, or did not end at shutdown.
    crashes: usize,
    /// Whether clients abandon their searches.
    clients_abandon: Rc<Cell<bool>>,
}

impl Cluster {
    /// Sets up everything except the processes. Their log lines will be sent to `log`.
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
        let accepts_clients = (0..config.co_ordinators).map(|_| Cell::new(false));
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
            accepts_clients: Rc::new(accepts_clients.collect()),
            folder: tempfile::tempdir()?,
            log,
            list_changes: Vec::new(),
            list_reads: Vec::new(),
            terminating: BTreeMap::new(),
            faulted_holder: None,
            crashes: 0,
            clients_abandon: Rc::default(),
        };
        cluster.set_up_replicas().await?;
        cluster.set_up_co_ordinators().await?;
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
