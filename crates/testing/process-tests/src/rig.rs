//! The rig: starts what a plan names, does what its scenario says, and watches. Owns every party of a run on
//! one thread, the processes under test by their ids; must never decide anything for a co-ordinator.

use crate::process::{Process, Record as Line};
use crate::relay::Relay;
use crate::scenario::{Act, GRIPPED, Grip, Scenario, Step};
use crate::tally::{Leases, Outcome, Tally};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};
use woadreach_fakes::{Agent, Behaviour, Caller, Line as Listed, Recorder, Replica, Retry};
use woadreach_invariants::{EventKind, NodeId};
use woadreach_runtime::{Net, Tokio, TokioDatagrams, TokioListener, TokioStream};
use woadreach_simulation::{
    Places, Record, Script, configuration, draw_ask, draw_gap, seed_of, terms,
};

/// What is to be played.
#[derive(Clone, Debug)]
pub struct Plan {
    pub scenario: Scenario,
    pub co_ordinators: usize,
    pub zones: usize,
    pub regions: usize,
    pub seed: u64,
    /// The program under test.
    pub binary: PathBuf,
    /// Off: they may not speak, and each decides alone.
    pub peers: bool,
    /// They keep traffic near while that is safe.
    pub near: bool,
    /// One holds a duty for others.
    pub duties: bool,
    /// Searches a second at each co-ordinator.
    pub rate: f64,
}

/// Replicas of each of two cells in each zone.
const REPLICAS: usize = 3;
/// The rules are looked at, records read and steps taken so often.
const LOOK: f64 = 0.02;
/// From a death until the list says so, and from a start until it does.
const GONE_AFTER: f64 = 1.0;
const LISTED_AFTER: f64 = 0.2;
/// A process has to accept connections within this, and to end within that after SIGTERM.
const STARTS: f64 = 15.0;
const ENDS: f64 = 8.0;

fn script(plan: &Plan) -> Result<Script, String> {
    let Plan {
        co_ordinators,
        zones,
        seed,
        rate,
        ..
    } = plan;
    let peers = if plan.peers {
        "[peers]\nlost = 0.0\ndoubled = 0.0\nlate = 0.0\n"
    } else {
        ""
    };
    let query_type = |name: &str, share: f64, repeats: &str, floor: f64| {
        format!(
            "[[query_type]]\nname = \"{name}\"\nshare = {share}\nlatency_target = 0.6\nclient_timeout = 1.5\n\
             repeats = \"{repeats}\"\nwindow = 1.0\nany_holder = true\nneed = 1.0\n\
             floor = {floor}\nfetch = 0\n\
             least_parts = 2\nmost_parts = 4\nwork = 0.002\n"
        )
    };
    let text = format!(
        "seed = {seed}\nseconds = {}\n[fleet]\nco_ordinators = {co_ordinators}\nzones = {zones}\ncells = 2\n\
         span = 1\nshards = 8\nreplicas = {}\ncores = 2\nroom = 64\nclocks_apart = 0.0\nway = 0.02\n\
         buffers = 131072\n[settings]\nper_call = 4\ncancelling = true\ncopies = true\nattempts = 3\n\
         streams = 100\ndescriptors = 256\nretry_after = true\nmarks_repeats = false\ndrain_grace = 0.5\n\
         connect_timeout = 0.25\nidle_close = 30.0\n\
         cold = {{ from = 0.25, time = 4.0, multiple = 2.0, window = 2.0 }}\n[load]\n\
         rate = {rate}\nretries = 1\n\
         pause = 0.1\nheeds = true\nleaves = 0.0\n{peers}{}{}",
        plan.scenario.seconds(),
        REPLICAS * zones,
        query_type("browse", 3.0, "idempotent", 0.5),
        query_type("check", 1.0, "non_idempotent", 1.0),
    );
    Script::read("cluster", &text).map_err(|bad| bad.to_string())
}

/// Tasks of a stand-in that can all be ended at once, as a process is.
#[derive(Clone)]
struct Hosted {
    net: Tokio,
    killed: watch::Sender<bool>,
}

impl Hosted {
    fn new(net: Tokio) -> Hosted {
        Hosted {
            net,
            killed: watch::channel(false).0,
        }
    }

    fn kill(&self) {
        let _ = self.killed.send_replace(true);
    }
}

impl Net for Hosted {
    type Stream = TokioStream;
    type Listener = TokioListener;
    type Datagrams = TokioDatagrams;
    type Joined = woadreach_runtime::Joined;

    fn now(&self) -> f64 {
        self.net.now()
    }

    fn sleep_until(&self, time: f64) -> impl Future<Output = ()> {
        self.net.sleep_until(time)
    }

    fn spawn(&self, task: impl Future<Output = ()> + 'static) -> Self::Joined {
        let mut killed = self.killed.subscribe();
        self.net.spawn(async move {
            tokio::select! {
                biased;
                _ = killed.wait_for(|k| *k) => {}
                () = task => {}
            }
        })
    }

    fn turn(&self) -> impl Future<Output = ()> {
        self.net.turn()
    }

    async fn lookup(&self, name: &str) -> io::Result<SocketAddr> {
        self.net.lookup(name).await
    }

    async fn connect(&self, to: SocketAddr) -> io::Result<TokioStream> {
        self.net.connect(to).await
    }

    fn listen(&self, at: SocketAddr) -> io::Result<TokioListener> {
        self.net.listen(at)
    }

    fn datagrams(&self, at: SocketAddr) -> io::Result<TokioDatagrams> {
        self.net.datagrams(at)
    }
}

struct Node {
    listen: SocketAddr,
    discovery: SocketAddr,
    peer_listen: SocketAddr,
    peers: Vec<SocketAddr>,
    agent: Agent,
    caller: Caller<Tokio>,
    process: Option<Process>,
    starts: usize,
}

struct Slot {
    name: String,
    zone: usize,
    cell: u64,
    /// Its own address for each co-ordinator, and the one that this is told.
    own: Vec<(NodeId, SocketAddr)>,
    told: Vec<SocketAddr>,
    host: Hosted,
    handle: Option<Replica<Hosted>>,
    started_at: f64,
}

struct Rig {
    plan: Plan,
    script: Script,
    net: Tokio,
    loopback: Loopback,
    relay: Relay,
    record: Rc<RefCell<Record>>,
    recorder: Recorder,
    tally: Rc<RefCell<Tally>>,
    nodes: Vec<Node>,
    slots: Vec<Slot>,
    /// Whether a front lets clients in.
    up: Rc<Vec<Cell<bool>>>,
    folder: tempfile::TempDir,
    lines: mpsc::UnboundedSender<Line>,
    /// Changes of the list that are yet to be told.
    pending: Vec<(f64, usize, &'static str)>,
    crashes: usize,
    /// The holder that something is done to.
    held: Option<usize>,
    /// Who has been told to end, and when SIGKILL would come.
    termed: BTreeMap<usize, f64>,
    /// By when which version of the list has to have been told to whom.
    owed: Vec<(f64, usize, u64)>,
    /// Clients go as soon as they have asked.
    leaving: Rc<Cell<bool>>,
}

/// What the list has to tell counts as told so long after discovery had it and could be reached.
const TOLD_WITHIN: f64 = 6.0;
/// SIGKILL comes no sooner after SIGTERM than the longest client timeout here, 1.5 s, and 0.7 s more.
const SIGKILL_AFTER: f64 = 2.2;

/// Plays a plan in real time.
pub fn play(plan: &Plan) -> Result<Outcome, String> {
    if !(2..=16).contains(&plan.co_ordinators) || !(2..=8).contains(&plan.zones) {
        return Err("expected 2 to 16 co-ordinators in 2 to 8 zones".into());
    }
    if plan.regions == 0 || plan.regions > plan.zones {
        return Err("expected 1 region at least, and no more than zones".into());
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    let day = async {
        let (lines, queue) = mpsc::unbounded_channel();
        let mut rig = Rig::new(plan, lines).await.map_err(|e| e.to_string())?;
        rig.day(queue).await
    };
    tokio::task::LocalSet::new().block_on(&runtime, day)
}

/// Loopback by zone: 127.N.Z.x, where N tells rigs that run side by side apart.
#[derive(Clone, Copy)]
struct Loopback(u8);

impl Loopback {
    fn new(plan: &Plan) -> Loopback {
        let name = format!("{} {} {}", std::process::id(), plan.scenario, plan.seed);
        Loopback((seed_of(plan.seed, &name) % 250) as u8 + 1)
    }

    /// Ports are ours below those that the kernel deals out, so that nothing else takes them in between.
    fn at(self, zone: usize, host: u8, port: usize) -> SocketAddr {
        SocketAddr::from(([127, self.0, zone as u8 + 1, host], port as u16))
    }
}

/// The first ports of replicas, of co-ordinators for clients, of discovery, and for datagrams.
const REPLICAS_PORT: usize = 20_000;
const CLIENTS_PORT: usize = 18_000;
const DISCOVERY_PORT: usize = 18_100;
const PEERS_PORT: usize = 18_200;

impl Rig {
    async fn new(plan: &Plan, lines: mpsc::UnboundedSender<Line>) -> io::Result<Rig> {
        let script = script(plan).map_err(io::Error::other)?;
        let (net, relay) = (Tokio::new(), Relay::new(plan.zones, plan.seed));
        let targets = script
            .query_types
            .iter()
            .map(|t| t.latency_target)
            .collect();
        let record = Rc::new(RefCell::new(Record::new(terms(&script), targets, false)));
        let (_, faults) = plan
            .scenario
            .steps(plan.co_ordinators, &regions(plan), plan.seed);
        let tally = Rc::new(RefCell::new(Tally::new(plan.zones, faults)));
        let recorder = Record::recorder(&record, move || net.now());
        let mut rig = Rig {
            plan: plan.clone(),
            net,
            loopback: Loopback::new(plan),
            relay,
            record,
            recorder,
            tally,
            nodes: Vec::new(),
            slots: Vec::new(),
            up: Rc::new((0..plan.co_ordinators).map(|_| Cell::new(false)).collect()),
            folder: tempfile::tempdir()?,
            lines,
            pending: Vec::new(),
            crashes: 0,
            held: None,
            termed: BTreeMap::new(),
            owed: Vec::new(),
            leaving: Rc::default(),
            script,
        };
        rig.place_replicas().await?;
        rig.place_nodes().await?;
        Ok(rig)
    }

    async fn place_replicas(&mut self) -> io::Result<()> {
        for r in 0..self.script.replicas() {
            let zone = r % self.script.fleet.replicas % self.plan.zones;
            let (mut own, mut told) = (Vec::new(), Vec::new());
            for n in 0..self.plan.co_ordinators {
                let address = self.loopback.at(zone, 100, REPLICAS_PORT + r * 16 + n);
                own.push((NodeId(n), address));
                let near = n % self.plan.zones;
                told.push(if near == zone {
                    address
                } else {
                    self.relay
                        .connections(self.loopback.at(near, 250, 0), address, (near, zone))
                        .await?
                });
            }
            let cell = (r / self.script.fleet.replicas) as u64;
            let (name, host) = (format!("r{r}"), Hosted::new(self.net));
            self.slots.push(Slot {
                name,
                zone,
                cell,
                own,
                told,
                host,
                handle: None,
                started_at: 0.0,
            });
            self.start_replica(r, false)?;
        }
        Ok(())
    }

    fn start_replica(&mut self, r: usize, cold: bool) -> io::Result<()> {
        let f = &self.script.fleet;
        let cold = self
            .script
            .settings
            .cold
            .as_ref()
            .filter(|_| cold)
            .map(|c| (c.from, c.time));
        let behaviour = Behaviour {
            cores: f.cores,
            room: f.queue_capacity,
            cold,
            ..Behaviour::default()
        };
        let seed = seed_of(self.plan.seed, &format!("r{r}"));
        let slot = &mut self.slots[r];
        slot.host = Hosted::new(self.net);
        // What is there from the beginning has long been warm: the checker is not told of its birth.
        let quiet = Recorder::new({
            let (recorder, born) = (self.recorder.clone(), cold.is_some());
            let (tally, net) = (self.tally.clone(), self.net);
            let (zone, zones) = (slot.zone, self.plan.zones);
            move |what| {
                if let EventKind::PartReceived { node, .. } = &what {
                    tally.borrow_mut().sent(net.now(), node.0 % zones == zone);
                }
                if born || !matches!(what, EventKind::ReplicaStarted { .. }) {
                    recorder.tell(what);
                }
            }
        });
        let (host, own) = (slot.host.clone(), slot.own.clone());
        slot.handle = Some(woadreach_fakes::replica(
            &host, &slot.name, behaviour, &own, seed, &quiet,
        )?);
        slot.started_at = if cold.is_some() { self.net.now() } else { 0.0 };
        Ok(())
    }

    fn line(&self, r: usize, n: usize, lifecycle: &'static str) -> Listed {
        let slot = &self.slots[r];
        Listed {
            id: slot.name.clone(),
            address: slot.told[n],
            zone: format!("z{}", slot.zone),
            cell: slot.cell,
            lifecycle,
            started_at: slot.started_at,
        }
    }

    fn list(&self, replicas: &[usize], lifecycle: &'static str) {
        for (n, node) in self.nodes.iter().enumerate() {
            node.agent.change(
                &replicas
                    .iter()
                    .map(|r| self.line(*r, n, lifecycle))
                    .collect::<Vec<_>>(),
            );
        }
    }

    async fn place_nodes(&mut self) -> io::Result<()> {
        let (all, zones) = (self.plan.co_ordinators, self.plan.zones);
        let host = |n: usize| 10 + (n / zones) as u8;
        let mut listens = Vec::new();
        for n in 0..all {
            listens.push(self.loopback.at(n % zones, host(n), PEERS_PORT + n));
        }
        // By the pair of who sends and whom it means: the relay's place for it, near the sender.
        let mut places: BTreeMap<(usize, usize), Rc<UdpSocket>> = BTreeMap::new();
        for (a, b) in pairs(all, zones) {
            places.insert(
                (a, b),
                Rc::new(UdpSocket::bind(self.loopback.at(a % zones, 250, 0)).await?),
            );
        }
        for ((a, b), place) in &places {
            if let Some(back) = places.get(&(*b, *a)) {
                self.relay.datagrams(
                    place.clone(),
                    back.clone(),
                    listens[*b],
                    (a % zones, b % zones),
                );
            }
        }
        for n in 0..all {
            let (zone, net) = (n % zones, self.net);
            let of = |port: usize| self.loopback.at(zone, host(n), port + n);
            let (listen, discovery) = (of(CLIENTS_PORT), of(DISCOVERY_PORT));
            let node = NodeId(n);
            let agent = woadreach_fakes::discovery(&net, node, discovery, None, &self.recorder)?;
            let mut peers = Vec::new();
            for (b, own) in listens.iter().enumerate() {
                peers.push(match places.get(&(n, b)) {
                    Some(place) => place.local_addr()?,
                    None => *own,
                });
            }
            let caller = Caller::new(&net, node, listen, &self.recorder);
            let peer_listen = listens[n];
            let process = None;
            self.nodes.push(Node {
                listen,
                discovery,
                peer_listen,
                peers,
                agent,
                caller,
                process,
                starts: 0,
            });
        }
        self.list(&(0..self.slots.len()).collect::<Vec<_>>(), "ready");
        Ok(())
    }

    fn start_node(&mut self, n: usize) -> Result<(), String> {
        let node = &mut self.nodes[n];
        let seed = seed_of(self.plan.seed, &format!("node {n} {}", node.starts));
        node.starts += 1;
        let peer_listen = self.plan.peers.then_some(node.peer_listen);
        let peers = node.peers.clone();
        let places = Places {
            listen: node.listen,
            discovery: node.discovery,
            peer_listen,
            peers,
        };
        let text = configuration(&self.script, n, &places, seed, &node.agent.known());
        let mut config: serde_json::Value =
            serde_json::from_str(&text).map_err(|e| e.to_string())?;
        config["failover"] = serde_json::json!({ "near": self.plan.near });
        config["duties"] =
            serde_json::json!({ "on": self.plan.duties, "warden": true, "records": true });
        if self.plan.regions > 1 {
            let region = |(z, r): (usize, &usize)| (format!("z{z}"), format!("r{r}").into());
            let regions: serde_json::Map<_, _> =
                regions(&self.plan).iter().enumerate().map(region).collect();
            config["failover"]["regions"] = regions.into();
        }
        let path = self.folder.path().join(format!("n{n}.json"));
        std::fs::write(&path, config.to_string())
            .map_err(|e| format!("{}: {e}", path.display()))?;
        self.recorder
            .tell(EventKind::NodeStarted { node: NodeId(n) });
        self.nodes[n].agent.process_started();
        self.tally.borrow_mut().started(n);
        // One per cent fast, one slow, and seconds apart.
        let clock = (1.0 + 0.01 * [1.0, -1.0, 0.0][n % 3], 3.0 * n as f64);
        let clock = Some(clock).filter(|_| self.plan.scenario.skewed());
        let process = Process::start(&self.plan.binary, &path, n, clock, self.lines.clone());
        let name = || self.plan.binary.display().to_string();
        self.nodes[n].process = Some(process.map_err(|e| format!("{}: {e}", name()))?);
        Ok(())
    }

    /// A front lets a co-ordinator in once it accepts connections.
    fn let_in(&self, n: usize) {
        let (net, up, listen) = (self.net, self.up.clone(), self.nodes[n].listen);
        drop(net.spawn(async move {
            while net.connect(listen).await.is_err() {
                net.sleep(0.05).await;
            }
            net.sleep(0.2).await;
            up[n].set(true);
        }));
    }

    fn act(&mut self, step: &Step) -> Result<(), String> {
        match &step.act {
            Act::KillReplicas(zone) => {
                for r in self.of_zone(*zone) {
                    self.slots[r].host.kill();
                    self.slots[r].handle = None;
                    self.pending.push((self.net.now() + GONE_AFTER, r, "gone"));
                }
            }
            Act::StartReplicas(zone) => {
                for r in self.of_zone(*zone) {
                    self.start_replica(r, true)
                        .map_err(|e| format!("r{r}: {e}"))?;
                    self.pending
                        .push((self.net.now() + LISTED_AFTER, r, "ready"));
                }
            }
            Act::SlowReplicas { zone, factor } => {
                for r in self.of_zone(*zone) {
                    if let Some(handle) = &self.slots[r].handle {
                        handle.change(|b| b.speed = 1.0 / factor);
                    }
                }
            }
            Act::HangReplicas { zone, hang } => {
                for handle in self
                    .of_zone(*zone)
                    .iter()
                    .filter_map(|r| self.slots[*r].handle.as_ref())
                {
                    handle.change(|b| b.hangs = *hang);
                }
            }
            Act::DrainReplicas { zone, drain } => {
                self.list(
                    &self.of_zone(*zone),
                    if *drain { "draining" } else { "ready" },
                );
                let due = self.net.now() + TOLD_WITHIN;
                self.owed.extend(
                    (0..self.nodes.len()).map(|n| (due, n, self.nodes[n].agent.generation())),
                );
            }
            Act::SilenceDiscovery(silent) => {
                self.nodes.iter().for_each(|n| n.agent.silence(*silent))
            }
            Act::LeaveAtOnce(leave) => self.leaving.set(*leave),
            Act::Term(nodes) => {
                for n in nodes {
                    if let Some(process) = &self.nodes[*n].process {
                        process.signal(libc::SIGTERM);
                        self.termed.insert(*n, self.net.now() + SIGKILL_AFTER);
                    }
                }
            }
            Act::Cut { from, to, cut } => {
                if self.relay.is_cut(*from, *to) == *cut {
                    return Ok(());
                }
                // What the way holds back is read late, and excused.
                for r in [self.of_zone(*from), self.of_zone(*to)].concat() {
                    let replica = self.slots[r].name.as_str().into();
                    self.recorder.tell(EventKind::LinkBlocked {
                        replica,
                        held: *cut,
                    });
                }
                self.relay.change(*from, *to, |f| f.cut = *cut);
            }
            Act::Lose(share) => {
                for from in 0..self.plan.zones {
                    for to in 0..self.plan.zones {
                        self.relay.change(from, to, |f| f.lost = *share);
                    }
                }
            }
            Act::Kill(nodes) => {
                for n in nodes {
                    self.up[*n].set(false);
                    self.recorder
                        .tell(EventKind::NodeKilled { node: NodeId(*n) });
                    // Its drop kills it.
                    self.nodes[*n].process = None;
                    self.nodes[*n].caller.close_idle();
                }
            }
            Act::Start(nodes) => {
                for n in nodes {
                    self.start_node(*n)?;
                    self.let_in(*n);
                }
            }
            Act::Stop(nodes, seconds) => self.stand_still(nodes, Some(*seconds)),
            Act::Go(nodes) => self.stand_still(nodes, None),
            Act::Holder(grip) => self.grip(*grip)?,
        }
        Ok(())
    }

    /// A front passes by one that does not answer; what it has is late, and excused.
    fn stand_still(&mut self, nodes: &[usize], still: Option<f64>) {
        for n in nodes {
            if let Some(seconds) = still {
                self.recorder.tell(EventKind::Stalled {
                    node: NodeId(*n),
                    seconds,
                });
            }
            if let Some(process) = &self.nodes[*n].process {
                process.signal(if still.is_some() {
                    libc::SIGSTOP
                } else {
                    libc::SIGCONT
                });
            }
            self.up[*n].set(still.is_none());
        }
    }

    /// Zones that are cut off from the others, with a holder in this one.
    fn alone(&self, grip: Grip, zone: usize) -> Vec<usize> {
        match grip {
            Grip::Cut => vec![zone],
            // With another, where that is still a minority.
            Grip::Split if self.plan.zones >= 5 => vec![zone, (zone + 1) % self.plan.zones],
            Grip::Split => vec![zone],
            _ => Vec::new(),
        }
    }

    /// Takes hold of whoever holds the duty, or lets go of who was held.
    fn grip(&mut self, grip: Grip) -> Result<(), String> {
        let now = self.net.now();
        if matches!(grip, Grip::Stop | Grip::Kill | Grip::Cut | Grip::Split) {
            let holder = self.tally.borrow().holder();
            self.held = holder.filter(|n| self.nodes[*n].process.is_some());
            if let Some(n) = self.held {
                let cut = self.alone(grip, n % self.plan.zones);
                self.tally.borrow_mut().gripped(now, n, &cut);
            }
        }
        let Some(n) = self.held else { return Ok(()) };
        let zone = n % self.plan.zones;
        match grip {
            Grip::Stop => self.stand_still(&[n], Some(GRIPPED)),
            Grip::Go => self.stand_still(&[n], None),
            Grip::Kill => {
                return self.act(&Step {
                    at: 0.0,
                    act: Act::Kill(vec![n]),
                });
            }
            Grip::Start => {
                return self.act(&Step {
                    at: 0.0,
                    act: Act::Start(vec![n]),
                });
            }
            Grip::Cut | Grip::Split | Grip::Mend => {
                let alone = self.alone(grip, zone);
                for a in 0..self.plan.zones {
                    for b in (0..self.plan.zones).filter(|b| *b != a) {
                        let cut = alone.contains(&a) != alone.contains(&b);
                        self.act(&Step {
                            at: 0.0,
                            act: Act::Cut {
                                from: a,
                                to: b,
                                cut,
                            },
                        })?;
                    }
                }
            }
        }
        Ok(())
    }

    fn of_zone(&self, zone: usize) -> Vec<usize> {
        (0..self.slots.len())
            .filter(|r| self.slots[*r].zone == zone)
            .collect()
    }

    async fn day(&mut self, mut queue: mpsc::UnboundedReceiver<Line>) -> Result<Outcome, String> {
        for n in 0..self.nodes.len() {
            self.start_node(n)?;
            self.let_in(n);
        }
        let patience = self.net.now() + STARTS;
        while !self.up.iter().all(Cell::get) {
            if self.net.now() > patience {
                return Err("a co-ordinator does not accept connections".into());
            }
            self.net.sleep(LOOK).await;
        }
        let begun = self.net.now();
        self.tally.borrow_mut().begins(begun);
        let seconds = self.plan.scenario.seconds();
        self.load(begun + seconds);
        let (mut steps, _) =
            self.plan
                .scenario
                .steps(self.nodes.len(), &regions(&self.plan), self.plan.seed);
        let longest = self
            .script
            .query_types
            .iter()
            .map(|t| t.client_timeout)
            .fold(0.0, f64::max);
        while self.net.now() < begun + seconds + longest + 0.5 {
            let now = self.net.now();
            while steps.first().is_some_and(|s| begun + s.at <= now) {
                let step = steps.remove(0);
                self.act(&step)?;
            }
            let (due, later) = std::mem::take(&mut self.pending)
                .into_iter()
                .partition(|p| p.0 <= now);
            self.pending = later;
            for (_, r, lifecycle) in due {
                self.list(&[r], lifecycle);
            }
            self.look(&mut queue);
            self.net.sleep(LOOK).await;
        }
        self.end(&mut queue).await;
        Ok(self.outcome(seconds))
    }

    fn look(&mut self, queue: &mut mpsc::UnboundedReceiver<Line>) {
        let now = self.net.now();
        while let Ok(line) = queue.try_recv() {
            self.tally.borrow_mut().record(now, &line);
        }
        self.record.borrow_mut().tick(now);
        for n in 0..self.nodes.len() {
            let termed = self.termed.get(&n).copied();
            if let Some(well) = self.nodes[n].process.as_mut().and_then(Process::ended) {
                // Without a word to do so it must not end.
                self.crashes += usize::from(termed.is_none() || !well);
                self.up[n].set(false);
                self.termed.remove(&n);
                self.recorder.tell(EventKind::NodeEnded { node: NodeId(n) });
                self.nodes[n].process = None;
                self.nodes[n].caller.close_idle();
            } else if termed.is_some_and(|due| now > due) {
                let why = "it has not ended by the time that SIGKILL comes".to_string();
                self.recorder.tell(EventKind::Leaked {
                    node: NodeId(n),
                    why,
                });
                self.termed.remove(&n);
            }
        }
        let (due, later) = std::mem::take(&mut self.owed)
            .into_iter()
            .partition(|o| o.0 <= now);
        self.owed = later;
        for (_, n, generation) in due {
            if self.nodes[n].agent.told() < generation && self.nodes[n].process.is_some() {
                let why = format!(
                    "version {generation} of the list has not been asked for in {TOLD_WITHIN} s"
                );
                self.recorder.tell(EventKind::Leaked {
                    node: NodeId(n),
                    why,
                });
            }
        }
    }

    /// SIGTERM for all: each has to end well.
    async fn end(&mut self, queue: &mut mpsc::UnboundedReceiver<Line>) {
        self.nodes.iter().for_each(|n| n.caller.close_idle());
        self.nodes
            .iter()
            .filter_map(|n| n.process.as_ref())
            .for_each(|p| p.signal(libc::SIGTERM));
        let until = self.net.now() + ENDS;
        while self.net.now() < until && self.nodes.iter().any(|n| n.process.is_some()) {
            for n in 0..self.nodes.len() {
                match self.nodes[n].process.as_mut().and_then(Process::ended) {
                    Some(well) => {
                        self.crashes += usize::from(!well);
                        self.recorder.tell(EventKind::NodeEnded { node: NodeId(n) });
                        self.nodes[n].process = None;
                    }
                    None => continue,
                }
            }
            self.net.sleep(LOOK).await;
        }
        self.crashes += self.nodes.iter().filter(|n| n.process.is_some()).count();
        let now = self.net.now();
        while let Ok(line) = queue.try_recv() {
            self.tally.borrow_mut().record(now, &line);
        }
        self.record.borrow_mut().tick(now);
    }

    fn load(&self, until: f64) {
        let names = Rc::new(Cell::new(0u64));
        for n in 0..self.nodes.len() {
            let (net, script, up) = (self.net, self.script.clone(), self.up.clone());
            let (caller, names, leaving) = (
                self.nodes[n].caller.clone(),
                names.clone(),
                self.leaving.clone(),
            );
            let mut chance = Pcg64Mcg::seed_from_u64(seed_of(self.plan.seed, &format!("load {n}")));
            let retry = Retry {
                times: script.load.retries,
                pause: script.load.retry_delay,
                heeds: script.load.honors_retry_after,
            };
            drop(net.spawn(async move {
                let name = move || format!("q{}", names.replace(names.get() + 1)).into();
                while net.now() < until {
                    let rate = script.load.rate * if leaving.get() { 3.0 } else { 1.0 };
                    net.sleep(draw_gap(rate, &mut chance)).await;
                    let mut ask = draw_ask(&script, 1.0, name(), &mut chance);
                    if leaving.get() {
                        ask.leaves_after = Some(0.2 * chance.random::<f64>());
                    }
                    if !up[n].get() {
                        continue;
                    }
                    let idempotent = script.query_types[ask.query_type].repeats
                        == woadreach_simulation::Repeats::Idempotent;
                    let (caller, name) = (caller.clone(), name.clone());
                    drop(net.spawn(async move {
                        drop(caller.ask_and_again(ask, retry, idempotent, name).await);
                    }));
                }
            }));
        }
    }

    fn outcome(&self, seconds: f64) -> Outcome {
        let record = self.record.borrow();
        let fared: Vec<_> = record.fared.iter().filter(|f| !f.left).collect();
        let good = fared.iter().filter(|f| f.good).count();
        let mut outcome = Outcome {
            scenario: self.plan.scenario.name(),
            seed: self.plan.seed,
            coordinators: self.plan.co_ordinators,
            zones: self.plan.zones,
            regions: self.plan.regions,
            seconds,
            rules_broken: record.breaches.len(),
            breaches: record
                .breaches
                .iter()
                .take(5)
                .map(|b| format!("{}: {}", b.rule, b.why))
                .collect(),
            crashes: self.crashes,
            agree_s_p50: None,
            agree_s_p99: None,
            expected: 0,
            agreed: 0,
            false_shifts: 0,
            flaps: 0,
            near_share_safe: None,
            near_share_even: 1.0 / self.plan.zones as f64,
            datagrams_per_s_per_member: 0.0,
            bytes_per_s_per_member: 0.0,
            duties: Leases::default(),
            searches: fared.len(),
            served: good as f64 / fared.len().max(1) as f64,
        };
        self.tally.borrow().finish(self.nodes.len(), &mut outcome);
        outcome
    }
}

/// Each zone's region, in even runs.
fn regions(plan: &Plan) -> Vec<usize> {
    (0..plan.zones)
        .map(|z| z * plan.regions / plan.zones)
        .collect()
}

/// Who sends and whom it means, where they are in different zones.
fn pairs(all: usize, zones: usize) -> impl Iterator<Item = (usize, usize)> {
    let pairs = (0..all).flat_map(move |a| (0..all).map(move |b| (a, b)));
    pairs.filter(move |(a, b)| a % zones != b % zones)
}
