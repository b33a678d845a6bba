//! State of the searched core: the machines and the messages in flight, and the effects of the actions on them.

use std::collections::{BTreeSet, VecDeque};
use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use woadreach_chain::{
    Body, Durable, Envelope, FailureDomain, Heartbeat, HeartbeatTime, Input, MemberId, Output,
    TimedStep, View, WritePosition,
};

use super::machine::{Machine, address, first_identity, index_of};
use super::oracle::{NumberedRequest, Oracle};
use super::world::World;

/// Epoch of the first view.
const FIRST_EPOCH: u64 = 2;
const START: Duration = Duration::from_secs(10);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Rounds of heartbeats after which a machine that sent them is stable, and one that sent none is suspected.
const HEARTBEATS_UNTIL_STABLE: usize = 6;

/// Number of occurrences of each kind of event.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Counts {
    pub proposals: u8,
    pub crashes: u8,
    pub wipes: u8,
    pub leaves: u8,
    pub duplicates: u8,
    pub changes: u8,
    pub reads: u8,
}

/// A message in flight: the receiver and the encoded envelope.
pub(crate) type InFlightMessage = (usize, Arc<Vec<u8>>);

/// A state of the searched core.
#[derive(Clone)]
pub(crate) struct Core {
    pub now: Duration,
    pub machines: Vec<Arc<Machine>>,
    /// Messages in flight; a duplicate counts once.
    pub messages: BTreeSet<InFlightMessage>,
    pub counts: Counts,
    pub oracle: Oracle,
}

impl Hash for Core {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.machines
            .iter()
            .for_each(|machine| machine.digest().hash(state));
        self.messages.hash(state);
        self.counts.hash(state);
        format!("{:?}", self.oracle.canonical()).hash(state);
    }
}

impl PartialEq for Core {
    fn eq(&self, other: &Core) -> bool {
        let digests = |core: &Core| {
            core.machines
                .iter()
                .map(|machine| machine.digest())
                .collect::<Vec<_>>()
        };
        digests(self) == digests(other)
            && self.messages == other.messages
            && self.counts == other.counts
    }
}

impl std::fmt::Debug for Core {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for machine in &self.machines {
            let durable = machine.member.durable();
            writeln!(
                formatter,
                "{:?} {:?} promise {:?} active {} state {:?}",
                machine.id(),
                durable.view,
                durable.promise,
                durable.active_epoch,
                durable.state.position
            )?;
        }
        for (to, bytes) in &self.messages {
            writeln!(formatter, "  to {to}: {:?}", Envelope::decode(bytes))?;
        }
        write!(formatter, "{:?}", self.oracle.violation)
    }
}

impl Core {
    /// The first state. All members of the first chain are active in it, except for the world's `inactive` ones.
    pub(crate) fn first(world: &World) -> Core {
        let voters: Vec<MemberId> = (0..world.voters).map(first_identity).collect();
        let chain: Vec<MemberId> = voters.iter().copied().take(world.chain).collect();
        let view = View {
            epoch: FIRST_EPOCH,
            voters,
            chain,
            floor: FIRST_EPOCH - 1,
        };
        let machine = |index: usize| {
            let is_active =
                view.chain.contains(&first_identity(index)) && !world.inactive.contains(&index);
            let disk = Machine::first_disk(index, &view, is_active);
            Arc::new(Machine::start(START, index, world.faults, disk))
        };
        let mut core = Core {
            now: START,
            machines: (0..world.machines).map(machine).collect(),
            messages: BTreeSet::new(),
            counts: Counts::default(),
            oracle: Oracle::default(),
        };
        core.oracle.record_view(&view, None);
        core.apply_mutation(world, 0..world.machines);
        core.exchange_heartbeats_until_stable(world);
        if world.inactive.is_empty() {
            core.deliver_and_resend(world);
        }
        core.compute_digests();
        core
    }

    /// Computes the missing digests, which comparisons of states require.
    pub(crate) fn compute_digests(&mut self) {
        for machine in self
            .machines
            .iter_mut()
            .filter(|machine| !machine.has_digest())
        {
            Arc::make_mut(machine).compute_digest();
        }
    }

    #[cfg(feature = "mutations")]
    fn apply_mutation(&mut self, world: &World, machines: std::ops::Range<usize>) {
        for index in machines {
            if let Some(mutation) = world.mutation {
                Arc::make_mut(&mut self.machines[index])
                    .member
                    .set_mutation(mutation);
            }
        }
    }

    #[cfg(not(feature = "mutations"))]
    fn apply_mutation(&mut self, _: &World, _: std::ops::Range<usize>) {}

    fn heartbeat(&self, from: usize) -> Envelope {
        let machine = &self.machines[from];
        let heartbeat = Heartbeat {
            can_replicate: !machine.is_leaving,
            leaving: machine.is_leaving,
            bootstrap: false,
            failure_domain: FailureDomain::default(),
            committed: WritePosition::default(),
            sent: HeartbeatTime::default(),
            echo: HeartbeatTime::default(),
            heard_members: self.machines.iter().map(|machine| machine.id()).collect(),
        };
        Envelope {
            from: machine.id(),
            epoch: machine.epoch(),
            body: Body::Heartbeat(heartbeat),
        }
    }

    /// Every machine receives a heartbeat of every other machine.
    pub(crate) fn exchange_heartbeats(&mut self, world: &World) {
        let heartbeats: Vec<Envelope> = (0..self.machines.len())
            .map(|from| self.heartbeat(from))
            .collect();
        for to in 0..self.machines.len() {
            Arc::make_mut(&mut self.machines[to]).has_exchanged_heartbeats = true;
            for heartbeat in heartbeats
                .iter()
                .filter(|heartbeat| heartbeat.from.address != address(to))
            {
                self.input(world, to, Input::Message(heartbeat.clone()));
            }
        }
    }

    /// Advances the time and exchanges heartbeats until running machines are stable and others are suspected.
    fn exchange_heartbeats_until_stable(&mut self, world: &World) {
        for _ in 0..HEARTBEATS_UNTIL_STABLE {
            self.now += HEARTBEAT_INTERVAL;
            for index in 0..self.machines.len() {
                self.step(world, index, TimedStep::AdvanceClock);
            }
            self.exchange_heartbeats(world);
        }
    }

    pub(crate) fn input(&mut self, world: &World, index: usize, input: Input) {
        let now = self.now;
        let outputs = Arc::make_mut(&mut self.machines[index])
            .member
            .handle(now, input);
        self.execute(world, index, outputs);
    }

    pub(crate) fn step(&mut self, world: &World, index: usize, step: TimedStep) {
        let now = self.now;
        let outputs = Arc::make_mut(&mut self.machines[index])
            .member
            .take_step(now, step);
        self.execute(world, index, outputs);
    }

    /// Executes a member's outputs. Disks that are not slow sync at once.
    fn execute(&mut self, world: &World, index: usize, outputs: Vec<Output>) {
        let mut outputs = VecDeque::from(outputs);
        while let Some(output) = outputs.pop_front() {
            self.execute_output(index, output);
            let is_done = outputs.is_empty() && !world.slow_disks.contains(&index);
            if is_done && let Some(through) = Arc::make_mut(&mut self.machines[index]).sync() {
                let now = self.now;
                let machine = Arc::make_mut(&mut self.machines[index]);
                outputs.extend(machine.member.handle(now, Input::Synced(through)));
            }
        }
        Arc::make_mut(&mut self.machines[index]).forget_digest();
    }

    fn execute_output(&mut self, index: usize, output: Output) {
        match output {
            Output::Persist { number, record } => {
                Arc::make_mut(&mut self.machines[index])
                    .unsynced
                    .push((number, record));
            }
            Output::Send { to, envelope } => self.send(index_of(to), &envelope),
            Output::Reply { id, reply } => {
                let published = Arc::clone(self.machines[index].member.published());
                self.oracle.record_reply(id, &reply, &published);
            }
            Output::Committed(state) => {
                let view = &self.machines[index].member.durable().view;
                let epoch = view.epoch;
                if view.is_tail(self.machines[index].id()) {
                    self.oracle.record_commit(epoch, &state);
                }
            }
            Output::ViewInstalled(view) => {
                let machine = &self.machines[index];
                let is_head = view.head() == Some(machine.id());
                let head = is_head.then(|| machine.member.durable().state.clone());
                self.oracle.record_view(&view, head.as_ref());
            }
            Output::ProposalStarted { .. } => {}
        }
    }

    fn send(&mut self, to: usize, envelope: &Envelope) {
        match &envelope.body {
            Body::Heartbeat(_) | Body::RequestState | Body::Committed(_) => return,
            Body::Accept(accepted) if accepted.ballot.proposer == envelope.from => {
                self.oracle
                    .record_proposal(envelope.epoch, accepted.ballot, &accepted.view);
            }
            _ => {}
        }
        self.messages.insert((to, Arc::new(envelope.encode())));
    }

    pub(crate) fn deliver(&mut self, world: &World, message: &InFlightMessage) {
        let envelope = Envelope::decode(&message.1).expect("a message that a member has sent");
        self.input(world, message.0, Input::Message(envelope));
    }

    pub(crate) fn sync(&mut self, world: &World, index: usize) {
        if let Some(through) = Arc::make_mut(&mut self.machines[index]).sync() {
            self.input(world, index, Input::Synced(through));
        }
    }

    /// The process crashes and restarts at once, with the first `retained` of the unsynced records on its disk.
    pub(crate) fn crash(&mut self, world: &World, index: usize, retained: usize) {
        let disk = self.machines[index].disk_after_crash(retained);
        self.start(world, index, disk);
    }

    /// The disk is lost, and the process restarts with an empty one.
    pub(crate) fn wipe(&mut self, world: &World, index: usize) {
        let identity = if world.identity_survives_wipe {
            index as u64 + 1
        } else {
            100 + index as u64
        };
        self.start(world, index, Durable::new(identity, false, View::default()));
        self.exchange_heartbeats_until_stable(world);
    }

    fn start(&mut self, world: &World, index: usize, disk: Durable) {
        self.machines[index] = Arc::new(Machine::start(self.now, index, world.faults, disk));
        self.apply_mutation(world, index..index + 1);
    }

    pub(crate) fn leave(&mut self, world: &World, index: usize) {
        Arc::make_mut(&mut self.machines[index]).is_leaving = true;
        self.input(world, index, Input::Leave);
        self.exchange_heartbeats(world);
    }

    pub(crate) fn submit(&mut self, world: &World, index: usize, numbered: NumberedRequest) {
        let NumberedRequest { id, request } = numbered;
        self.input(world, index, Input::Request(id, request));
    }

    /// Delivers every message, in the order of the set, until none is in flight.
    pub(crate) fn deliver_all(&mut self, world: &World) {
        while let Some(message) = self.messages.pop_first() {
            self.deliver(world, &message);
        }
    }
}
