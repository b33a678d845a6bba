//! The simulated core: clock, event queue, network and disks.

use std::net::SocketAddrV4;
use std::time::Duration;

use woadreach_chain::{Body, ControlState, Envelope, Input, Output, ProposalReason};
use woadreach_sim_support::{CpuQuota, EventQueue, PartitionedLinks};

use super::capacity::Capacity;
use super::disk::SimulatedDisk;
use super::event::Event;
use super::history::{History, Violation};
use super::node::Node;
use super::operator::Operators;

/// A safeguard that a test disables in every machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum InjectedBug {
    #[cfg(feature = "mutations")]
    Member(woadreach_chain::Mutation),
    /// A machine retains its identity although its disk was lost.
    IdentitySurvivesWipe,
}

/// The start of a proposal at a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Proposal {
    /// Epoch of the view that the member had installed.
    pub epoch: u64,
    /// Reason for the proposal.
    pub reason: ProposalReason,
}

/// The whole simulated core.
pub(crate) struct World {
    /// Proposals of views, oldest first.
    pub proposals: Vec<Proposal>,
    pub now: Duration,
    pub nodes: Vec<Node>,
    pub random: oorandom::Rand64,
    pub partitioned_links: PartitionedLinks<usize>,
    /// Share of messages that are lost.
    pub loss: f64,
    pub history: History,
    pub operators: Operators,
    pub bug: Option<InjectedBug>,
    pub fault_tolerance: usize,
    /// Number of zones, of which one may fail; 0 without zones.
    pub zones: usize,
    /// CPU quota that stalls processes; `None` if they are never stalled.
    pub quota: Option<CpuQuota>,
    /// Rates of links and disks; `None` if delays don't depend on sizes.
    pub capacity: Option<Capacity>,
    /// State on each disk in the first start of the core.
    pub(super) first_state: ControlState,
    /// Kinds of faults that may occur.
    pub fault_kinds: &'static [super::faults::Fault],
    /// Time at which the current planned maintenance is over.
    pub maintenance_ends_at: Duration,
    /// Longest duration of a state transfer.
    pub longest_transfer: Duration,
    /// Whether no further fault is injected.
    pub are_faults_over: bool,
    is_traced: bool,
    queue: EventQueue<Duration, Event>,
}

impl World {
    /// A core of `nodes` machines in `zones` zones (0: without zones).
    pub(crate) fn new(
        seed: u64,
        nodes: usize,
        zones: usize,
        fault_tolerance: usize,
        bug: Option<InjectedBug>,
    ) -> World {
        let mut world = World {
            proposals: Vec::new(),
            now: Duration::from_secs(1),
            nodes: (0..nodes).map(Node::new).collect(),
            random: oorandom::Rand64::new(u128::from(seed)),
            partitioned_links: PartitionedLinks::default(),
            loss: 0.0,
            history: History::default(),
            operators: Operators::new(2),
            bug,
            fault_tolerance,
            zones,
            quota: None,
            capacity: None,
            first_state: ControlState::default(),
            fault_kinds: &[],
            maintenance_ends_at: Duration::ZERO,
            longest_transfer: Duration::ZERO,
            are_faults_over: false,
            is_traced: std::env::var_os("WOADREACH_TRACE").is_some(),
            queue: EventQueue::new(),
        };
        for node in 0..nodes {
            let delay = world.random_duration(Duration::from_millis(300));
            world.schedule(delay, Event::Start { node });
        }
        world.schedule(Duration::from_millis(500), Event::OperatorTick);
        world
    }

    /// Sets up the state after `count` applied changes. Must be called before the run begins.
    pub(crate) fn preload_changes(&mut self, count: u64) {
        let (changes, state) = super::operator::preloaded_changes(count);
        self.operators.preload_changes(&changes);
        self.history.preload_changes(changes);
        self.first_state = state;
    }

    /// Prints an event if `WOADREACH_TRACE` is set.
    pub(crate) fn trace(&self, what: impl FnOnce() -> String) {
        if self.is_traced {
            eprintln!("{:?} {}", self.now, what());
        }
    }

    pub(crate) fn schedule(&mut self, delay: Duration, event: Event) {
        self.queue.schedule(self.now + delay, event);
    }

    pub(crate) fn random_duration(&mut self, longest: Duration) -> Duration {
        let share = self.random.rand_float();
        longest.mul_f64(share)
    }

    pub(crate) fn random_index(&mut self, count: usize) -> usize {
        self.random.rand_range(0..count as u64) as usize
    }

    pub(crate) fn random_bool(&mut self, probability: f64) -> bool {
        self.random.rand_float() < probability
    }

    pub(crate) fn is_running(&self, node: usize) -> bool {
        self.nodes[node].member.is_some() && self.nodes[node].frozen_until.is_none()
    }

    /// Runs until `end`.
    pub(crate) fn run_until(&mut self, end: Duration) {
        while let Some(due) = self.queue.pop_due(&end) {
            self.now = due.at;
            match due
                .event
                .process()
                .and_then(|node| self.stalled_until(node))
            {
                Some(until) => self.queue.schedule(until, due.event),
                None => self.handle(due.event),
            }
        }
        self.now = end;
    }

    /// Time at which the process runs again; `None` if its CPU quota doesn't stall it now.
    pub(crate) fn stalled_until(&self, node: usize) -> Option<Duration> {
        let quota = self.quota.as_ref()?;
        quota.stalled_until(node as u64, self.now)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Wake { node, incarnation } => {
                if self.nodes[node].incarnation == incarnation && self.is_running(node) {
                    self.check_disk(node);
                    self.input(node, Input::Tick);
                }
            }
            Event::Deliver { to, from, envelope } => self.deliver(to, from, envelope),
            Event::Synced {
                node,
                incarnation,
                through,
            } => self.synced(node, incarnation, through),
            Event::Start { node } => self.start(node),
            Event::Thaw { node } => self.thaw(node),
            Event::Stop { node, stop } => super::stops::stop(self, node, stop),
            Event::Wipe { node } => self.wipe(node),
            Event::CheckStop { node, incarnation } => super::stops::check(self, node, incarnation),
            Event::Call {
                node,
                call,
                request,
                hops,
            } => self.call(node, call, request, hops),
            Event::OperatorTick => super::operator::tick_operators(self),
            Event::Fault => super::faults::inject_next_fault(self),
            Event::EndFault => super::faults::end_lasting_faults(self),
        }
    }

    /// Delivers a message, unless the link is partitioned or the receiver does not run.
    pub(super) fn deliver(&mut self, to: usize, from: usize, envelope: Box<Envelope>) {
        if self.nodes[to].member.is_none() || self.partitioned_links.contains(&(from, to)) {
            return;
        }
        // A transfer takes a long time, so it fails if the sender crashes before its end.
        let is_state = matches!(envelope.body, Body::Transfer { .. });
        if is_state && !self.longest_transfer.is_zero() && self.nodes[from].member.is_none() {
            return;
        }
        if self.nodes[to].frozen_until.is_some() {
            self.nodes[to].backlog.push((from, envelope));
            return;
        }
        let decoded = Envelope::decode(&envelope.encode()).expect("own message");
        self.input(to, Input::Message(decoded));
    }

    fn check_disk(&mut self, node: usize) {
        let state = &self.nodes[node];
        let has_unsynced = state
            .disk
            .as_ref()
            .is_some_and(|disk| disk.unsynced_count() > 0);
        let is_healthy =
            !(has_unsynced && self.now.saturating_sub(state.sync_started) > Duration::from_secs(1));
        self.input(node, Input::DiskHealth { is_healthy });
    }

    fn synced(&mut self, node: usize, incarnation: u64, through: u64) {
        if self.nodes[node].incarnation != incarnation {
            return;
        }
        if self.nodes[node].is_disk_stalled {
            return self.schedule(
                Duration::from_millis(50),
                Event::Synced {
                    node,
                    incarnation,
                    through,
                },
            );
        }
        let state = &mut self.nodes[node];
        state.is_syncing = false;
        state.last_synced = through;
        if let Some(disk) = &mut state.disk {
            disk.sync(through);
        }
        if self.is_running(node) {
            self.input(node, Input::Synced(through));
        }
        self.begin_sync(node);
    }

    fn begin_sync(&mut self, node: usize) {
        let Some(through) = self.nodes[node]
            .disk
            .as_ref()
            .and_then(SimulatedDisk::last_unsynced)
        else {
            return;
        };
        if self.nodes[node].is_syncing {
            return;
        }
        self.nodes[node].is_syncing = true;
        self.nodes[node].sync_started = self.now;
        let base = Duration::from_millis(1) + self.random_duration(Duration::from_millis(5));
        let incarnation = self.nodes[node].incarnation;
        let written = self.nodes[node]
            .disk
            .as_ref()
            .map_or(0, SimulatedDisk::unsynced_bytes);
        let writing = self
            .capacity
            .as_ref()
            .map_or(Duration::ZERO, |capacity| capacity.write(written));
        let delay = (base + writing) * self.nodes[node].disk_factor;
        self.schedule(
            delay,
            Event::Synced {
                node,
                incarnation,
                through,
            },
        );
    }

    /// Passes an input to a member and executes the outputs.
    pub(crate) fn input(&mut self, node: usize, input: Input) {
        let now = self.now;
        let Some(member) = self.nodes[node].member.as_mut() else {
            return;
        };
        let outputs = member.handle(now, input);
        let wake = member.next_wake();
        for output in outputs {
            self.execute(node, output);
        }
        self.begin_sync(node);
        if self.nodes[node].scheduled_wake <= now || wake < self.nodes[node].scheduled_wake {
            let at = wake.max(now + Duration::from_micros(100));
            self.nodes[node].scheduled_wake = at;
            let incarnation = self.nodes[node].incarnation;
            self.schedule(at - now, Event::Wake { node, incarnation });
        }
    }

    fn execute(&mut self, node: usize, output: Output) {
        match output {
            Output::Persist { number, record } => {
                self.nodes[node]
                    .disk
                    .as_mut()
                    .expect("running")
                    .append(number, record);
            }
            Output::Send { to, envelope } => self.send(node, to, envelope),
            Output::Reply { id, reply } => self.reply(node, id, reply),
            Output::Committed(state) => {
                self.trace(|| {
                    format!(
                        "node {node} committed {:?} generation {}",
                        state.position,
                        state.generation()
                    )
                });
                self.history.record_published(self.now, node, &state);
            }
            Output::ViewInstalled(view) => {
                self.trace(|| format!("node {node} installed {view:?}"));
                self.history.record_view(&view);
            }
            Output::ProposalStarted { epoch, reason } => {
                self.trace(|| format!("node {node} proposes after epoch {epoch}: {reason:?}"));
                self.proposals.push(Proposal { epoch, reason });
            }
        }
    }

    fn send(&mut self, from: usize, to: SocketAddrV4, envelope: Envelope) {
        if envelope.check().is_err() {
            self.history.report(Violation::InvalidView { node: from });
        }
        let Some(to) = self.nodes.iter().position(|node| node.address == to) else {
            return;
        };
        if self.partitioned_links.contains(&(from, to)) || self.random_bool(self.loss) {
            return;
        }
        if self.nodes[to].member.is_some()
            && let Some(capacity) = &mut self.capacity
        {
            let delay = capacity.send(self.now, from, &envelope);
            return self.schedule(
                delay,
                Event::Deliver {
                    to,
                    from,
                    envelope: Box::new(envelope),
                },
            );
        }
        let mut delay = Duration::from_micros(300) + self.random_duration(Duration::from_millis(2));
        if matches!(envelope.body, Body::Transfer { .. }) {
            delay += self.random_duration(self.longest_transfer);
        }
        let envelope = Box::new(envelope);
        if self.loss > 0.0 && self.random_bool(0.02) {
            let later = delay + self.random_duration(Duration::from_millis(400));
            self.schedule(
                later,
                Event::Deliver {
                    to,
                    from,
                    envelope: envelope.clone(),
                },
            );
        }
        self.schedule(delay, Event::Deliver { to, from, envelope });
    }
}
