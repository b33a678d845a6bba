//! Core machines, observers and replicas on simulated time: one queue of events, one source of chance.
//!
//! Messages take [`LINK_DELAY`] one way. A machine that is down refuses, one that is dark or behind a cut is
//! silent, one that is frozen does everything later.
#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use woadreach_discovery::core_state::{CoreIdentity, CoreState};
use woadreach_discovery::departure::{DepartureDecision, DepartureNotification};
use woadreach_discovery::exchange::{CHANGE_DELAY, Urgency};
use woadreach_discovery::messages::{
    Batch, ConfigurationResponse, PollRequest, PollResponse, RegistryResponse, Request,
    VersionedBytes, decode, encode,
};
use woadreach_discovery::poll_response::has_updates;
use woadreach_discovery::registry::{HeartbeatOutcome, RegistryVersion};
use woadreach_discovery::watcher::{WatchAction, Watcher};
use woadreach_discovery::{CommittedState, Heartbeat, HeartbeatError, ReplicaState, ViewSummary};

use super::FixedState;

pub const LINK_DELAY: Duration = Duration::from_millis(1);
pub const HEARTBEAT: Duration = Duration::from_millis(1200);
const TICK_INTERVAL: Duration = Duration::from_millis(250);
const REGISTRY_TIMEOUT: Duration = Duration::from_millis(1000);
const REGISTRY_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// A replica asks the next core machine after this time without an acknowledgement.
const ACK_TIMEOUT: Duration = Duration::from_millis(1000);

/// A core machine or an observer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Node {
    Core(usize),
    Edge(usize),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Power {
    Up,
    Down,
    Dark,
    Frozen,
}

pub struct CoreNode {
    pub state: CoreState,
    pub committed: Arc<FixedState>,
    pub power: Power,
    pub life: u64,
    polls: BTreeMap<u64, (Node, u64, PollRequest)>,
    waiting_acks: BTreeMap<u64, WaitingAck>,
    pulling: BTreeSet<usize>,
    warm_peer: bool,
    pull_not_before: Duration,
    stalled: VecDeque<Event>,
    is_flush_due: bool,
    /// Revision and warming, and changes of the committed state, for which the polls have been looked
    /// through.
    answered_for: Option<(RegistryVersion, bool, u64)>,
}

struct WaitingAck {
    replica: usize,
    round: DepartureNotification,
}

pub struct EdgeNode {
    pub watcher: Watcher,
    pub life: u64,
    pub name: String,
    calls: BTreeMap<u64, (SocketAddr, Call)>,
    pub bytes: u64,
    pub messages: u64,
    pub configuration: u64,
    wake: Option<Duration>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Call {
    Poll,
    Configuration,
}

/// A replica that sends heartbeats to random core machines, from its first start on.
pub struct Replica {
    pub id: String,
    pub heartbeat: Heartbeat,
    pub alive: bool,
    pub acknowledged: u64,
    pub drained_at: Option<Duration>,
    pub left_at: Option<Duration>,
    /// Core machine that it calls first at every heartbeat; another one each time if none is set.
    pub first_core: Option<usize>,
    leaving: bool,
    core: usize,
    call: u64,
}

#[derive(Clone)]
enum Event {
    CoreTick {
        core: usize,
        life: u64,
    },
    CoreFlush {
        core: usize,
        life: u64,
    },
    Pull {
        core: usize,
        life: u64,
    },
    PullFailed {
        core: usize,
        life: u64,
        peer: usize,
    },
    PollDeadline {
        core: usize,
        life: u64,
        poll: u64,
    },
    AckDeadline {
        core: usize,
        life: u64,
        ack: u64,
    },
    EdgeWake {
        edge: usize,
        life: u64,
    },
    EdgeTimeout {
        edge: usize,
        life: u64,
        call: u64,
    },
    Deliver {
        from: Node,
        to: Node,
        message: Message,
    },
    Refused {
        edge: usize,
        life: u64,
        call: u64,
    },
    Beat {
        replica: usize,
    },
    BeatTimeout {
        replica: usize,
        call: u64,
    },
    BeatArrives {
        replica: usize,
        core: usize,
        call: u64,
        heartbeat: Option<Heartbeat>,
    },
    Acknowledged {
        replica: usize,
        call: u64,
        taken: bool,
    },
}

#[derive(Clone)]
enum Message {
    Request { call: u64, life: u64, body: Vec<u8> },
    Answer { call: u64, life: u64, body: Vec<u8> },
    Batch { body: Vec<u8> },
    Urgent { ack: u64, life: u64, body: Vec<u8> },
    UrgentTaken { ack: u64, life: u64 },
    AskRegistry { life: u64, known: RegistryVersion },
    Registry { life: u64, body: Vec<u8> },
}

impl Message {
    fn bytes(&self) -> u64 {
        const FRAME: u64 = 15;
        FRAME
            + match self {
                Self::Request { body, .. }
                | Self::Answer { body, .. }
                | Self::Batch { body }
                | Self::Urgent { body, .. }
                | Self::Registry { body, .. } => body.len() as u64,
                Self::UrgentTaken { .. } => 9,
                Self::AskRegistry { .. } => 26,
            }
    }
}

struct Queued(Duration, u64, Event);

impl PartialEq for Queued {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Queued {}
impl PartialOrd for Queued {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Queued {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

pub struct World {
    pub now: Duration,
    pub cores: Vec<CoreNode>,
    pub edges: Vec<EdgeNode>,
    pub replicas: Vec<Replica>,
    /// Directed pairs between which nothing passes.
    pub cuts: BTreeSet<(Node, Node)>,
    /// Core machines that no replica reaches.
    pub cut_from_replicas: BTreeSet<usize>,
    pub core_bytes: u64,
    queue: BinaryHeap<Reverse<Queued>>,
    next_number: u64,
    random: oorandom::Rand32,
}

pub fn core_address(core: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, (core >> 8) as u8, core as u8], 7380))
}

fn core_index(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => {
            let octets = address.ip().octets();
            usize::from(octets[2]) << 8 | usize::from(octets[3])
        }
        SocketAddr::V6(_) => unreachable!("the world speaks IPv4"),
    }
}

impl World {
    pub fn new(seed: u64, cores: usize, edges: usize, replicas: usize) -> Self {
        let mut world = Self {
            now: Duration::ZERO,
            cores: Vec::new(),
            edges: Vec::new(),
            replicas: Vec::new(),
            cuts: BTreeSet::new(),
            cut_from_replicas: BTreeSet::new(),
            core_bytes: 0,
            queue: BinaryHeap::new(),
            next_number: 1,
            random: oorandom::Rand32::new(seed),
        };
        let members: Vec<SocketAddr> = (0..cores).map(core_address).collect();
        for core in 0..cores {
            let committed = Arc::new(FixedState::new(members.clone()));
            committed.commit_configuration(1);
            let state = CoreState::new(Duration::ZERO, identity(core, 1, cores));
            world.cores.push(CoreNode {
                state,
                committed,
                power: Power::Up,
                life: 1,
                polls: BTreeMap::new(),
                waiting_acks: BTreeMap::new(),
                pulling: BTreeSet::new(),
                warm_peer: false,
                pull_not_before: Duration::ZERO,
                stalled: VecDeque::new(),
                is_flush_due: false,
                answered_for: None,
            });
            world.boot_core(core);
        }
        for edge in 0..edges {
            let name = format!("edge-{edge}");
            let seeds = members.iter().take(3).copied().collect();
            world.edges.push(EdgeNode {
                watcher: Watcher::new(Duration::ZERO, name.clone(), seeds),
                life: 1,
                name,
                calls: BTreeMap::new(),
                bytes: 0,
                messages: 0,
                configuration: 0,
                wake: None,
            });
            world.push(Duration::ZERO, Event::EdgeWake { edge, life: 1 });
        }
        for replica in 0..replicas {
            world.add_replica(&format!("r{replica}"), replica);
        }
        world
    }

    /// Starts a replica at an address of its own; returns its index.
    pub fn add_replica(&mut self, id: &str, place: usize) -> usize {
        let address = SocketAddr::from(([10, 128, (place >> 8) as u8, place as u8], 8080));
        let replica = self.replicas.len();
        let core = self.random_core();
        self.replicas.push(Replica {
            id: id.to_owned(),
            heartbeat: Heartbeat {
                address,
                ..super::heartbeat(1, 0)
            },
            alive: true,
            acknowledged: 0,
            drained_at: None,
            left_at: None,
            first_core: None,
            leaving: false,
            core,
            call: 0,
        });
        let first = self.now + HEARTBEAT.mul_f32(self.random.rand_float());
        self.push(first, Event::Beat { replica });
        replica
    }

    /// The replica says that it drains, now, to this core machine first.
    pub fn drain(&mut self, replica: usize, core: usize) {
        self.replicas[replica].heartbeat.state = ReplicaState::Draining;
        self.replicas[replica].core = core;
        self.send_heartbeat(replica);
    }

    /// The replica says that it ends, now, to this core machine first.
    pub fn leave(&mut self, replica: usize, core: usize) {
        self.replicas[replica].leaving = true;
        self.replicas[replica].core = core;
        self.send_heartbeat(replica);
    }

    /// The core machine starts anew, without memory.
    pub fn restart_core(&mut self, core: usize) {
        let cores = self.cores.len();
        let node = &mut self.cores[core];
        node.life += 1;
        node.power = Power::Up;
        node.state = CoreState::new(self.now, identity(core, node.life, cores));
        node.polls.clear();
        node.waiting_acks.clear();
        node.pulling.clear();
        node.stalled.clear();
        node.answered_for = None;
        node.is_flush_due = false;
        self.boot_core(core);
    }

    /// Stops, cuts power or freezes; [`Self::restart_core`] and [`Self::thaw_core`] are the way back.
    pub fn set_power(&mut self, core: usize, power: Power) {
        self.cores[core].power = power;
        if power == Power::Down {
            let calls: Vec<(usize, u64, u64)> = self
                .edges
                .iter()
                .enumerate()
                .flat_map(|(edge, node)| {
                    node.calls
                        .iter()
                        .map(move |(call, (to, _))| (edge, node.life, *call, *to))
                })
                .filter(|(.., to)| *to == core_address(core))
                .map(|(edge, life, call, _)| (edge, life, call))
                .collect();
            for (edge, life, call) in calls {
                self.push(self.now + LINK_DELAY, Event::Refused { edge, life, call });
            }
        }
    }

    pub fn thaw_core(&mut self, core: usize) {
        self.cores[core].power = Power::Up;
        let stalled = std::mem::take(&mut self.cores[core].stalled);
        for event in stalled {
            self.push(self.now, event);
        }
    }

    pub fn restart_edge(&mut self, edge: usize, seeds: Vec<SocketAddr>) {
        let node = &mut self.edges[edge];
        node.life += 1;
        node.watcher = Watcher::new(self.now, node.name.clone(), seeds);
        node.calls.clear();
        node.configuration = 0;
        node.wake = None;
        let life = node.life;
        self.push(self.now, Event::EdgeWake { edge, life });
    }

    pub fn commit_configuration(&mut self, generation: u64) {
        let all: Vec<usize> = (0..self.cores.len()).collect();
        self.commit_configuration_at(&all, generation);
    }

    pub fn commit_configuration_at(&mut self, cores: &[usize], generation: u64) {
        for &core in cores {
            self.cores[core].committed.commit_configuration(generation);
            self.answer_polls(core);
        }
    }

    pub fn set_view(&mut self, core: usize, view: ViewSummary) {
        self.cores[core].committed.set_view(view);
        self.answer_polls(core);
    }

    pub fn cut_cores(&mut self, one: usize, two: usize) {
        self.cuts.insert((Node::Core(one), Node::Core(two)));
        self.cuts.insert((Node::Core(two), Node::Core(one)));
    }

    /// Runs until `until`, with `check` after each event.
    pub fn run_checked(&mut self, until: Duration, mut check: impl FnMut(&World)) {
        while self
            .queue
            .peek()
            .is_some_and(|Reverse(queued)| queued.0 <= until)
        {
            let Some(Reverse(Queued(at, _, event))) = self.queue.pop() else {
                break;
            };
            self.now = at;
            self.handle(event);
            check(self);
        }
        self.now = until;
    }

    pub fn run(&mut self, until: Duration) {
        self.run_checked(until, |_| {});
    }

    pub fn run_for(&mut self, duration: Duration) {
        self.run(self.now + duration);
    }

    /// Whether an observer would send new requests to the replica.
    pub fn is_used(&self, edge: usize, replica: usize) -> bool {
        let present = self.edges[edge].watcher.table().present();
        present
            .get(&self.replicas[replica].id)
            .is_some_and(|record| record.heartbeat.state == ReplicaState::Ready)
    }

    pub fn edges_using(&self, replica: usize) -> usize {
        (0..self.edges.len())
            .filter(|edge| self.is_used(*edge, replica))
            .count()
    }

    fn boot_core(&mut self, core: usize) {
        let life = self.cores[core].life;
        self.push(self.now, Event::Pull { core, life });
        self.push(self.now, Event::CoreTick { core, life });
    }

    fn push(&mut self, at: Duration, event: Event) {
        self.next_number += 1;
        self.queue
            .push(Reverse(Queued(at, self.next_number, event)));
    }

    fn number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    fn random_core(&mut self) -> usize {
        self.random.rand_range(0..self.cores.len() as u32) as usize
    }

    fn send(&mut self, from: Node, to: Node, message: Message) {
        let bytes = message.bytes();
        for node in [from, to] {
            match node {
                Node::Edge(edge) => {
                    self.edges[edge].bytes += bytes;
                    self.edges[edge].messages += 1;
                }
                Node::Core(_) => self.core_bytes += bytes,
            }
        }
        self.push(self.now + LINK_DELAY, Event::Deliver { from, to, message });
    }

    fn handle(&mut self, event: Event) {
        let core = match &event {
            Event::CoreTick { core, .. }
            | Event::CoreFlush { core, .. }
            | Event::Pull { core, .. }
            | Event::PullFailed { core, .. }
            | Event::PollDeadline { core, .. }
            | Event::AckDeadline { core, .. }
            | Event::BeatArrives { core, .. }
            | Event::Deliver {
                to: Node::Core(core),
                ..
            } => Some(*core),
            _ => None,
        };
        if let Some(core) = core.filter(|core| self.cores[*core].power != Power::Up) {
            return self.meet_stopped_core(core, event);
        }
        match event {
            Event::CoreTick { core, life } => self.core_tick(core, life),
            Event::CoreFlush { core, life } if self.cores[core].life == life => {
                self.cores[core].is_flush_due = false;
                self.send_batch(core);
                self.after_change(core);
            }
            Event::Pull { core, life } if self.cores[core].life == life => self.pull(core),
            Event::PullFailed { core, life, peer } if self.cores[core].life == life => {
                self.pull_done(core, peer, None);
            }
            Event::PollDeadline { core, life, poll } if self.cores[core].life == life => {
                self.answer_poll(core, poll);
            }
            Event::AckDeadline { core, life, ack } if self.cores[core].life == life => {
                self.judge_departure(core, ack);
            }
            Event::EdgeWake { edge, life } if self.edges[edge].life == life => {
                self.edges[edge].wake = None;
                self.edge_act(edge);
            }
            Event::EdgeTimeout { edge, life, call } | Event::Refused { edge, life, call }
                if self.edges[edge].life == life =>
            {
                self.edge_call_failed(edge, call);
            }
            Event::Deliver { from, to, message } => self.deliver(from, to, message),
            Event::Beat { replica } => self.beat(replica),
            Event::BeatTimeout { replica, call } => self.beat_failed(replica, call),
            Event::BeatArrives {
                replica,
                core,
                call,
                heartbeat,
            } => {
                self.beat_arrives(replica, core, call, heartbeat);
            }
            Event::Acknowledged {
                replica,
                call,
                taken,
            } => self.acknowledged(replica, call, taken),
            _ => {}
        }
    }

    fn meet_stopped_core(&mut self, core: usize, event: Event) {
        match (self.cores[core].power, event) {
            (Power::Frozen, event) => self.cores[core].stalled.push_back(event),
            (
                Power::Down,
                Event::Deliver {
                    from: Node::Edge(edge),
                    message: Message::Request { call, life, .. },
                    ..
                },
            ) => self.push(self.now + LINK_DELAY, Event::Refused { edge, life, call }),
            (Power::Down, Event::BeatArrives { replica, call, .. }) => {
                self.push(
                    self.now + LINK_DELAY,
                    Event::Acknowledged {
                        replica,
                        call,
                        taken: false,
                    },
                );
            }
            _ => {}
        }
    }

    fn core_tick(&mut self, core: usize, life: u64) {
        if self.cores[core].life != life {
            return;
        }
        let view = self.cores[core].committed.view();
        self.cores[core].state.tick(self.now, &view);
        self.push(self.now + TICK_INTERVAL, Event::CoreTick { core, life });
        self.send_batch(core);
        self.after_change(core);
    }

    fn after_change(&mut self, core: usize) {
        self.answer_polls(core);
        self.pull_if_incomplete(core);
    }

    fn flush_soon(&mut self, core: usize) {
        if !std::mem::replace(&mut self.cores[core].is_flush_due, true) {
            let life = self.cores[core].life;
            self.push(self.now + CHANGE_DELAY, Event::CoreFlush { core, life });
        }
    }

    fn pull_if_incomplete(&mut self, core: usize) {
        let node = &self.cores[core];
        if node.state.has_incomplete_peers() && node.pulling.is_empty() {
            let (at, life) = (node.pull_not_before.max(self.now), node.life);
            self.push(at, Event::Pull { core, life });
        }
    }

    fn send_batch(&mut self, core: usize) {
        let Some(batch) = self.cores[core].state.next_batch(self.now) else {
            return;
        };
        let body = encode(&Request::Batch(batch));
        for peer in self.peers(core) {
            self.send(
                Node::Core(core),
                Node::Core(peer),
                Message::Batch { body: body.clone() },
            );
        }
    }

    fn peers(&self, core: usize) -> Vec<usize> {
        let view = self.cores[core].committed.view();
        self.cores[core]
            .state
            .peers(self.now, &view)
            .into_iter()
            .map(core_index)
            .collect()
    }

    fn pull(&mut self, core: usize) {
        if !self.cores[core].pulling.is_empty() || self.now < self.cores[core].pull_not_before {
            return;
        }
        let peers = self.cores[core].state.take_incomplete_peers();
        let life = self.cores[core].life;
        self.cores[core].warm_peer = false;
        for address in peers {
            let peer = core_index(address);
            self.cores[core].pulling.insert(peer);
            let known = self.cores[core].state.version_of_peer(address);
            self.send(
                Node::Core(core),
                Node::Core(peer),
                Message::AskRegistry { life, known },
            );
            self.push(
                self.now + REGISTRY_TIMEOUT,
                Event::PullFailed { core, life, peer },
            );
        }
    }

    fn pull_done(&mut self, core: usize, peer: usize, response: Option<RegistryResponse>) {
        if !self.cores[core].pulling.remove(&peer) {
            return;
        }
        if let Some(response) = response {
            self.cores[core].warm_peer |= !response.warming;
            self.cores[core]
                .state
                .merge_registry(self.now, core_address(peer), response);
        }
        if self.cores[core].pulling.is_empty() {
            let view = self.cores[core].committed.view();
            let warm_peer = self.cores[core].warm_peer;
            if self.cores[core]
                .state
                .complete_registry_pull(self.now, &view, warm_peer)
            {
                self.cores[core].pull_not_before = self.now + REGISTRY_RETRY_INTERVAL;
            }
        }
        self.after_change(core);
    }

    fn answer_polls(&mut self, core: usize) {
        let node = &self.cores[core];
        let committed = *node.committed.changed().borrow();
        let current = (
            node.state.registry().version(),
            node.state.is_warming(self.now),
            committed,
        );
        if node.power != Power::Up || node.answered_for == Some(current) {
            return;
        }
        self.cores[core].answered_for = Some(current);
        let node = &self.cores[core];
        let answered: Vec<u64> = node
            .polls
            .iter()
            .filter(|(_, (.., request))| {
                has_updates(
                    request,
                    &node
                        .state
                        .respond(self.now, request, node.committed.as_ref()),
                )
            })
            .map(|(poll, _)| *poll)
            .collect();
        for poll in answered {
            self.answer_poll(core, poll);
        }
    }

    fn answer_poll(&mut self, core: usize, poll: u64) {
        let node = &mut self.cores[core];
        let Some((from, life, request)) = node.polls.remove(&poll) else {
            return;
        };
        let body = encode(
            &node
                .state
                .respond(self.now, &request, node.committed.as_ref()),
        );
        self.send(
            Node::Core(core),
            from,
            Message::Answer {
                call: poll,
                life,
                body,
            },
        );
    }

    fn deliver(&mut self, from: Node, to: Node, message: Message) {
        if self.cuts.contains(&(from, to)) {
            return;
        }
        match to {
            Node::Core(core) => self.deliver_to_core(from, core, message),
            Node::Edge(edge) => {
                let Message::Answer { call, life, body } = message else {
                    return;
                };
                if self.edges[edge].life == life {
                    self.edge_answered(edge, call, &body);
                }
            }
        }
    }

    fn deliver_to_core(&mut self, from: Node, core: usize, message: Message) {
        let own_life = self.cores[core].life;
        match message {
            Message::Request { call, life, body } => match decode::<Request>(&body) {
                Ok(Request::Poll(request)) => {
                    let wait = Duration::from_millis(u64::from(request.wait_ms));
                    self.cores[core].polls.insert(call, (from, life, request));
                    self.push(
                        self.now + wait,
                        Event::PollDeadline {
                            core,
                            life: own_life,
                            poll: call,
                        },
                    );
                    let node = &self.cores[core];
                    if has_updates(
                        &request,
                        &node
                            .state
                            .respond(self.now, &request, node.committed.as_ref()),
                    ) {
                        self.answer_poll(core, call);
                    }
                }
                Ok(Request::Configuration) => {
                    let configuration = self.cores[core].committed.configuration();
                    let configuration = configuration.map(VersionedBytes::from);
                    let body = encode(&ConfigurationResponse { configuration });
                    self.send(Node::Core(core), from, Message::Answer { call, life, body });
                }
                other => panic!("observers ask for nothing else: {other:?}"),
            },
            Message::Batch { body } => self.receive(core, &body),
            Message::Urgent { ack, life, body } => {
                self.receive(core, &body);
                self.send(Node::Core(core), from, Message::UrgentTaken { ack, life });
            }
            Message::UrgentTaken { ack, life } if life == own_life => {
                let Some(waiting) = self.cores[core].waiting_acks.get_mut(&ack) else {
                    return;
                };
                let Node::Core(peer) = from else { return };
                waiting.round.record_answer(core_address(peer));
                self.judge_departure(core, ack);
            }
            Message::AskRegistry { life, known } => {
                let body = encode(&self.cores[core].state.registry_since(self.now, known));
                self.send(Node::Core(core), from, Message::Registry { life, body });
            }
            Message::Registry { life, body } if life == own_life => {
                let Node::Core(peer) = from else { return };
                let response: RegistryResponse = decode(&body).expect("a registry");
                assert!(!response.more, "the world's registries fit one message");
                self.pull_done(core, peer, Some(response));
            }
            _ => {}
        }
    }

    fn receive(&mut self, core: usize, body: &[u8]) {
        let batch: Batch = match decode::<Request>(body) {
            Ok(Request::Batch(batch) | Request::Urgent(batch)) => batch,
            other => panic!("a batch is expected: {other:?}"),
        };
        match self.cores[core].state.receive(self.now, batch) {
            Urgency::Unchanged => self.pull_if_incomplete(core),
            Urgency::Soon => self.flush_soon(core),
            Urgency::Now => self.after_change(core),
        }
    }

    fn edge_act(&mut self, edge: usize) {
        let life = self.edges[edge].life;
        for action in self.edges[edge].watcher.start_due_calls(self.now) {
            let call = self.number();
            let (machine, kind, body, timeout) = match action {
                WatchAction::Poll {
                    machine,
                    request,
                    timeout,
                } => (
                    machine,
                    Call::Poll,
                    encode(&Request::Poll(request)),
                    timeout,
                ),
                WatchAction::FetchConfiguration { machine, timeout } => (
                    machine,
                    Call::Configuration,
                    encode(&Request::Configuration),
                    timeout,
                ),
            };
            self.edges[edge].calls.insert(call, (machine, kind));
            let to = Node::Core(core_index(machine));
            self.send(Node::Edge(edge), to, Message::Request { call, life, body });
            self.push(self.now + timeout, Event::EdgeTimeout { edge, life, call });
        }
        let node = &mut self.edges[edge];
        if let Some(next) = node.watcher.next_wake() {
            let next = next.max(self.now);
            if node.wake.is_none_or(|wake| wake > next) {
                node.wake = Some(next);
                self.push(next, Event::EdgeWake { edge, life });
            }
        }
    }

    fn edge_answered(&mut self, edge: usize, call: u64, body: &[u8]) {
        let now = self.now;
        let node = &mut self.edges[edge];
        let Some((machine, kind)) = node.calls.remove(&call) else {
            return;
        };
        match kind {
            Call::Poll => {
                let response: PollResponse = decode(body).expect("an answer to a poll");
                node.watcher.poll_answered(now, machine, response);
            }
            Call::Configuration => {
                let response: ConfigurationResponse = decode(body).expect("a configuration");
                let generation = response
                    .configuration
                    .map(|configuration| configuration.version);
                if node.watcher.configuration_fetched(now, generation) {
                    let generation = generation.expect("only a configuration is newer");
                    assert!(generation > node.configuration, "never back in one life");
                    node.configuration = generation;
                }
            }
        }
        self.edge_act(edge);
    }

    fn edge_call_failed(&mut self, edge: usize, call: u64) {
        let now = self.now;
        let node = &mut self.edges[edge];
        match node.calls.remove(&call) {
            None => return,
            Some((machine, Call::Poll)) => {
                node.watcher.poll_failed(now, machine);
            }
            Some((_, Call::Configuration)) => {
                node.watcher.configuration_fetched(now, None);
            }
        }
        self.edge_act(edge);
    }

    fn beat(&mut self, replica: usize) {
        if !self.replicas[replica].alive {
            return;
        }
        let next = self.now + HEARTBEAT.mul_f32(0.9 + 0.2 * self.random.rand_float());
        self.push(next, Event::Beat { replica });
        if self.replicas[replica].call == 0 {
            let drawn = self.random_core();
            self.replicas[replica].core = self.replicas[replica].first_core.unwrap_or(drawn);
            self.send_heartbeat(replica);
        }
    }

    fn send_heartbeat(&mut self, replica: usize) {
        let call = self.number();
        let node = &mut self.replicas[replica];
        node.heartbeat.sequence += 1;
        node.call = call;
        let core = node.core;
        let heartbeat = (!node.leaving).then(|| node.heartbeat.clone());
        self.push(self.now + ACK_TIMEOUT, Event::BeatTimeout { replica, call });
        if !self.cut_from_replicas.contains(&core) {
            let at = self.now + LINK_DELAY;
            self.push(
                at,
                Event::BeatArrives {
                    replica,
                    core,
                    call,
                    heartbeat,
                },
            );
        }
    }

    fn beat_failed(&mut self, replica: usize, call: u64) {
        if self.replicas[replica].call == call && self.replicas[replica].alive {
            self.replicas[replica].core = (self.replicas[replica].core + 1) % self.cores.len();
            self.send_heartbeat(replica);
        }
    }

    fn beat_arrives(
        &mut self,
        replica: usize,
        core: usize,
        call: u64,
        heartbeat: Option<Heartbeat>,
    ) {
        let id = self.replicas[replica].id.clone();
        let now = self.now;
        let state = &mut self.cores[core].state;
        let result = match heartbeat {
            Some(heartbeat) => state.heartbeat(now, &id, heartbeat),
            None => state.deregister(now, &id),
        };
        self.take_beat(replica, core, call, &id, result);
    }

    fn take_beat(
        &mut self,
        replica: usize,
        core: usize,
        call: u64,
        id: &str,
        result: Result<HeartbeatOutcome, HeartbeatError>,
    ) {
        let view = self.cores[core].committed.view();
        match result {
            Ok(HeartbeatOutcome::Departing) => {
                self.answer_polls(core);
                self.notify_peers(core, call, id);
                match self.cores[core].state.start_departure(self.now, &view) {
                    Some(round) => {
                        self.cores[core]
                            .waiting_acks
                            .insert(call, WaitingAck { replica, round });
                        self.judge_departure(core, call);
                    }
                    None => self.push(
                        now_after(self.now),
                        Event::Acknowledged {
                            replica,
                            call,
                            taken: false,
                        },
                    ),
                }
            }
            Ok(ack) => {
                let taken = self.cores[core].state.may_acknowledge(self.now, ack, &view);
                self.push(
                    now_after(self.now),
                    Event::Acknowledged {
                        replica,
                        call,
                        taken,
                    },
                );
                if ack == HeartbeatOutcome::Changed {
                    self.flush_soon(core);
                }
            }
            Err(_) => {
                self.push(
                    now_after(self.now),
                    Event::Acknowledged {
                        replica,
                        call,
                        taken: false,
                    },
                );
            }
        }
    }

    fn notify_peers(&mut self, core: usize, ack: u64, id: &str) {
        let life = self.cores[core].life;
        let body = encode(&Request::Urgent(
            self.cores[core].state.urgent_batch(self.now, id),
        ));
        for peer in self.peers(core) {
            let urgent = Message::Urgent {
                ack,
                life,
                body: body.clone(),
            };
            self.send(Node::Core(core), Node::Core(peer), urgent);
        }
    }

    fn judge_departure(&mut self, core: usize, ack: u64) {
        let Some(waiting) = self.cores[core].waiting_acks.get(&ack) else {
            return;
        };
        let (replica, life) = (waiting.replica, self.cores[core].life);
        let taken = match waiting.round.decision(self.now) {
            DepartureDecision::Wait { until } => {
                return self.push(until, Event::AckDeadline { core, life, ack });
            }
            DepartureDecision::Acknowledged => true,
            DepartureDecision::Unconfirmed => false,
        };
        self.cores[core].waiting_acks.remove(&ack);
        self.push(
            now_after(self.now),
            Event::Acknowledged {
                replica,
                call: ack,
                taken,
            },
        );
    }

    fn acknowledged(&mut self, replica: usize, call: u64, taken: bool) {
        let now = self.now;
        let node = &mut self.replicas[replica];
        if node.call != call {
            return;
        }
        if !taken {
            self.push(
                now + Duration::from_millis(20),
                Event::BeatTimeout { replica, call },
            );
            return;
        }
        node.call = 0;
        node.acknowledged += 1;
        if node.leaving {
            node.left_at.get_or_insert(now);
            node.alive = false;
        } else if node.heartbeat.state == ReplicaState::Draining {
            node.drained_at.get_or_insert(now);
        }
    }
}

fn now_after(now: Duration) -> Duration {
    now + LINK_DELAY
}

fn identity(core: usize, life: u64, cores: usize) -> CoreIdentity {
    CoreIdentity {
        incarnation: life * 1000 + core as u64,
        address: core_address(core),
        seeds: (0..cores.min(3)).map(core_address).collect(),
        heartbeat_interval: HEARTBEAT,
        reuse_after: Duration::from_secs(2),
    }
}
