//! One core machine: joins the decisions of the other modules.
//!
//! | state | event | next |
//! | --- | --- | --- |
//! | in the chain, active | promise on the next view | sealed: takes nothing of the epoch |
//! | sealed | the next view is decided | head: active; in the chain: waits for its predecessor; else outside |
//! | waits for its predecessor | its state is the predecessor's, or was transferred | active |
//! | outside the chain | a view takes it in | waits for its predecessor |
//!
//! Messages that promise something durable leave only once every record before them is synced.

use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use crate::agreement::{Ballot, Phase, Promise, Proposer, Report};
use crate::durable::{Accepted, Durable, Record};
use crate::election::Election;
use crate::message::{Barrier, Body, Envelope, Ping, Write};
use crate::peers::{Peers, SILENCE};
use crate::plan::{Place, Policy, Tolerance};
use crate::replication::Replication;
use crate::requests::{Reply, Request, RequestId, WaitingRequests};
use crate::state::{Command, ControlState, Stamp, Verdict};
use crate::view::{MemberId, View};

/// Interval between two signs of life.
pub(crate) const PING_INTERVAL: Duration = Duration::from_millis(200);
/// A tick that comes so much after the last one tells that this process stood still.
const STANDSTILL: Duration = Duration::from_millis(450);
/// Shortest pause between two requests for the committed state.
const STATE_REQUEST_INTERVAL: Duration = Duration::from_millis(150);

/// What a member is told.
#[derive(Clone, Debug)]
pub struct MemberOptions {
    /// Internal address of this machine.
    pub address: SocketAddrV4,
    /// Internal addresses of the seeds.
    pub seeds: Vec<SocketAddrV4>,
    /// What may be lost at once.
    pub tolerance: Tolerance,
    /// Where this machine stands.
    pub place: Place,
    /// Seed of the random waits.
    pub random_seed: u64,
}

/// What happens to a member.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed; see [`Member::next_wake`].
    Tick,
    /// A message came.
    Message(Envelope),
    /// A request came.
    Request(RequestId, Request),
    /// The caller of a request has gone.
    Cancel(RequestId),
    /// Every record up to this number is synced.
    Persisted(u64),
    /// Whether the disk syncs in time.
    DiskHealth { is_healthy: bool },
    /// The settings name other seeds.
    Seeds(Vec<SocketAddrV4>),
    /// This process is stopping.
    Leave,
}

/// What the driver does.
#[derive(Clone, Debug)]
pub enum Output {
    /// Append the record and sync; then say [`Input::Persisted`] with its number.
    Persist { number: u64, record: Record },
    /// Send a message, best effort.
    Send { to: SocketAddrV4, envelope: Envelope },
    /// Answer a request.
    Reply { id: RequestId, reply: Reply },
    /// A newer state is committed.
    Committed(Arc<ControlState>),
    /// Another view is in force.
    ViewInstalled(View),
}

/// What a member knows of the core.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    pub epoch: u64,
    pub head: Option<MemberId>,
    pub is_head: bool,
    pub in_chain: bool,
    /// Whether a majority of the voters was heard lately.
    pub in_quorum: bool,
    /// Internal addresses of the core machines that are known, this one included.
    pub members: Vec<SocketAddrV4>,
}

/// One core machine.
#[derive(Debug)]
pub struct Member {
    pub(crate) id: MemberId,
    pub(crate) seeds: Vec<SocketAddrV4>,
    pub(crate) policy: Policy,
    place: Place,
    pub(crate) durable: Durable,
    pub(crate) peers: Peers,
    pub(crate) proposer: Proposer,
    pub(crate) election: Election,
    pub(crate) replication: Replication,
    waiting: WaitingRequests,
    published: Arc<ControlState>,
    barrier_session: u64,
    is_disk_healthy: bool,
    pub(crate) is_leaving: bool,
    record_number: u64,
    synced_number: u64,
    /// Messages that wait for the sync of a record.
    deferred: VecDeque<(u64, MemberId, Body)>,
    /// Messages of this member to itself.
    loopback: VecDeque<Envelope>,
    outputs: Vec<Output>,
    last_tick: Duration,
    next_ping: Duration,
    state_requested: Duration,
    random: oorandom::Rand64,
    #[cfg(feature = "plants")]
    plant: Option<crate::plants::Plant>,
}

impl Member {
    /// A member whose disk holds `durable`, all of it synced.
    pub fn new(now: Duration, options: MemberOptions, durable: Durable) -> Member {
        let id = MemberId { address: options.address, identity: durable.identity };
        let mut random = oorandom::Rand64::new(u128::from(options.random_seed));
        let replication = Replication::new(durable.active_epoch, &durable.state);
        let mut proposer = Proposer::default();
        if let Some(promise) = durable.promise {
            proposer.saw(promise.ballot);
        }
        Member {
            id,
            seeds: options.seeds,
            policy: Policy::tolerating(options.tolerance),
            place: options.place,
            peers: Peers::new(id, now),
            proposer,
            election: Election::new(now),
            replication,
            waiting: WaitingRequests::default(),
            published: Arc::new(ControlState::default()),
            barrier_session: random.rand_u64() | 1,
            is_disk_healthy: true,
            is_leaving: false,
            record_number: 0,
            synced_number: 0,
            deferred: VecDeque::new(),
            loopback: VecDeque::new(),
            outputs: Vec::new(),
            last_tick: now,
            next_ping: now,
            state_requested: Duration::ZERO,
            random,
            #[cfg(feature = "plants")]
            plant: None,
            durable,
        }
    }

    /// Switches a defence off.
    #[cfg(feature = "plants")]
    pub fn plant(&mut self, plant: crate::plants::Plant) {
        self.plant = Some(plant);
        if plant == crate::plants::Plant::DigestsForgotten {
            self.durable.state.taken.clear();
            self.replication = Replication::new(self.durable.active_epoch, &self.durable.state);
        }
    }

    #[cfg(feature = "plants")]
    fn has_plant(&self, plant: crate::plants::Plant) -> bool {
        self.plant == Some(plant)
    }

    /// This member's identity.
    pub fn id(&self) -> MemberId {
        self.id
    }

    /// What the disk holds once every record is synced; the snapshot from which a restart may begin.
    pub fn durable(&self) -> &Durable {
        &self.durable
    }

    /// The newest committed state that this member knows.
    pub fn published(&self) -> &Arc<ControlState> {
        &self.published
    }

    /// The state with every write that this head has taken, committed or not.
    pub fn latest(&self) -> &ControlState {
        &self.durable.state
    }

    pub fn status(&self, now: Duration) -> Status {
        let view = &self.durable.view;
        let heard = view.voters.iter().filter(|&&voter| self.hears_voter(now, voter)).count();
        let mut members: Vec<SocketAddrV4> =
            self.peers.heard_lately(now).iter().map(|peer| peer.address).collect();
        members.extend(self.peers.heard_of(now).iter().map(|peer| peer.address));
        members.extend(view.voters.iter().map(|voter| voter.address));
        members.sort();
        members.dedup();
        Status {
            epoch: view.epoch,
            head: view.head(),
            is_head: self.is_serving_head(),
            in_chain: view.chain.contains(&self.id),
            in_quorum: !view.voters.is_empty() && heard >= view.majority(),
            members,
        }
    }

    /// When [`Input::Tick`] is wanted next.
    pub fn next_wake(&self) -> Duration {
        let mut wake = self.next_ping;
        let majority = self.durable.view.majority();
        if let Some(election) = self.election.next_wake(&self.proposer, majority) {
            wake = wake.min(election);
        }
        if let Some(suspicion) = self.peers.next_suspicion(self.last_tick, &self.durable.view.chain) {
            wake = wake.min(suspicion);
        }
        if self.is_active()
            && self.successor().is_some()
            && let Some(resend) = self.replication.next_resend(self.durable.view.epoch)
        {
            wake = wake.min(resend);
        }
        wake
    }

    /// Takes an input; gives back what is to be done, in order.
    pub fn handle(&mut self, now: Duration, input: Input) -> Vec<Output> {
        self.wake_from_standstill(now);
        match input {
            Input::Tick => self.tick(now),
            Input::Message(envelope) => self.receive(now, envelope),
            Input::Request(id, request) => self.take_request(now, id, request),
            Input::Cancel(id) => self.waiting.cancel(id),
            Input::Persisted(through) => self.synced(now, through),
            Input::DiskHealth { is_healthy } => self.is_disk_healthy = is_healthy,
            Input::Seeds(seeds) => self.seeds = seeds,
            Input::Leave => self.leave(now),
        }
        while let Some(envelope) = self.loopback.pop_front() {
            self.receive(now, envelope);
        }
        #[cfg(feature = "plants")]
        if self.has_plant(crate::plants::Plant::AcknowledgeBeforeSync) {
            self.synced(now, self.record_number);
            while let Some(envelope) = self.loopback.pop_front() {
                self.receive(now, envelope);
            }
        }
        std::mem::take(&mut self.outputs)
    }

    fn wake_from_standstill(&mut self, now: Duration) {
        if now.saturating_sub(self.last_tick) > STANDSTILL {
            self.peers.forgive(now, self.last_tick);
            self.election.postpone();
            self.last_tick = now;
        }
    }

    fn tick(&mut self, now: Duration) {
        self.last_tick = now;
        self.peers.expire(now);
        if now >= self.next_ping {
            self.next_ping = now + PING_INTERVAL;
            self.ping_all(now);
        }
        self.run_election(now);
        self.drive(now);
    }

    fn leave(&mut self, now: Duration) {
        self.is_leaving = true;
        self.ping_all(now);
    }

    // ---- signs of life ----

    pub(crate) fn is_fit(&self) -> bool {
        self.is_disk_healthy && !self.is_leaving
    }

    pub(crate) fn place_of(&self, member: MemberId) -> Place {
        if member == self.id { self.place } else { self.peers.place(member) }
    }

    fn hears_voter(&self, now: Duration, voter: MemberId) -> bool {
        if self.durable.view.epoch == 0 {
            return voter.address == self.id.address || self.peers.is_bootstrapping(now, voter.address);
        }
        self.peers.is_heard(now, voter)
    }

    fn ping(&self, now: Duration) -> Body {
        Body::Ping(Ping {
            fit: self.is_fit(),
            leaving: self.is_leaving,
            bootstrap: self.durable.bootstrap,
            place: self.place,
            committed: self.published.stamp,
            hears: self.peers.heard_lately(now),
        })
    }

    fn ping_all(&mut self, now: Duration) {
        let ping = self.ping(now);
        for address in self.ping_addresses(now) {
            self.send_now(address, ping.clone());
        }
    }

    fn ping_addresses(&self, now: Duration) -> Vec<SocketAddrV4> {
        let view = &self.durable.view;
        let mut addresses: Vec<SocketAddrV4> = view.voters.iter().map(|voter| voter.address).collect();
        let is_in_view = view.voters.contains(&self.id);
        if is_in_view || view.epoch == 0 {
            addresses.extend(self.peers.heard_lately(now).iter().map(|peer| peer.address));
        }
        if view.epoch == 0 || !self.status_in_quorum(now) || !is_in_view {
            addresses.extend_from_slice(&self.seeds);
        }
        addresses.sort();
        addresses.dedup();
        addresses.retain(|&address| address != self.id.address);
        addresses
    }

    fn status_in_quorum(&self, now: Duration) -> bool {
        let view = &self.durable.view;
        let heard = view.voters.iter().filter(|&&voter| self.hears_voter(now, voter)).count();
        heard >= view.majority()
    }

    fn take_ping(&mut self, now: Duration, from: MemberId, ping: &Ping) {
        self.peers.pinged(now, from, ping);
        let wants_state = ping.committed > self.published.stamp && !self.is_active();
        if wants_state && now.saturating_sub(self.state_requested) >= STATE_REQUEST_INTERVAL {
            self.state_requested = now;
            self.send_now(from.address, Body::RequestState);
        }
    }

    // ---- messages ----

    fn receive(&mut self, now: Duration, envelope: Envelope) {
        let Envelope { from, epoch, body } = envelope;
        if from != self.id {
            self.peers.heard(now, from);
        }
        if let Body::Ping(ping) = &body {
            self.take_ping(now, from, ping);
        }
        match body {
            Body::Decided(view) => return self.install(now, view),
            Body::RequestView => return self.tell_view(from),
            Body::RequestState => return self.tell_state(from),
            Body::Committed(state) => return self.publish(now, Arc::new(state)),
            _ => {}
        }
        #[cfg(feature = "plants")]
        if self.has_plant(crate::plants::Plant::NoEpochCheck) && epoch != self.durable.view.epoch {
            return self.receive_in_epoch(now, from, body);
        }
        let own_epoch = self.durable.view.epoch;
        if epoch > own_epoch {
            return self.send_now(from.address, Body::RequestView);
        }
        if epoch < own_epoch {
            return self.tell_view(from);
        }
        self.receive_in_epoch(now, from, body);
    }

    /// Takes a message of the own epoch; nothing of another one comes here.
    fn receive_in_epoch(&mut self, now: Duration, from: MemberId, body: Body) {
        match body {
            Body::Prepare { ballot } => self.promise(from, ballot),
            Body::Promise { ballot, report } => self.take_promise(now, from, ballot, report),
            Body::Accept(accepted) => self.accept(from, accepted),
            Body::Accepted { ballot } => self.take_vote(now, from, ballot),
            Body::Superseded { promised } => self.superseded(now, promised),
            Body::Replicate { after, writes, barrier } => self.replicate(now, from, after, writes, barrier),
            Body::Transfer { state, barrier } => self.take_transfer(now, from, state, barrier),
            Body::Replicated { active, persisted, committed, barrier } => {
                if self.successor() == Some(from) && self.is_active() {
                    self.replication.successor_reported(active, persisted);
                    self.chain_confirmed(now, committed, barrier);
                }
            }
            Body::Ping(_)
            | Body::Decided(_)
            | Body::RequestView
            | Body::RequestState
            | Body::Committed(_) => {}
        }
    }

    fn tell_view(&mut self, to: MemberId) {
        if self.durable.view.epoch > 0 {
            let view = self.durable.view.clone();
            self.send_now(to.address, Body::Decided(view));
        }
    }

    fn tell_state(&mut self, to: MemberId) {
        let state = ControlState::clone(&self.published);
        self.send_now(to.address, Body::Committed(state));
    }

    fn envelope(&self, body: Body) -> Envelope {
        Envelope { from: self.id, epoch: self.durable.view.epoch, body }
    }

    pub(crate) fn send_now(&mut self, to: SocketAddrV4, body: Body) {
        let envelope = self.envelope(body);
        if to == self.id.address {
            self.loopback.push_back(envelope);
        } else {
            self.outputs.push(Output::Send { to, envelope });
        }
    }

    /// Sends a message once every record so far is synced, if the epoch is still the same then.
    fn send_after_sync(&mut self, to: MemberId, body: Body) {
        if self.synced_number == self.record_number {
            self.send_now(to.address, body);
        } else {
            self.deferred.push_back((self.record_number, to, body));
        }
    }

    fn persist(&mut self, record: Record) -> u64 {
        self.record_number += 1;
        self.durable.apply(&record);
        self.outputs.push(Output::Persist { number: self.record_number, record });
        self.record_number
    }

    fn synced(&mut self, now: Duration, through: u64) {
        self.synced_number = self.synced_number.max(through);
        while self.deferred.front().is_some_and(|(number, _, _)| *number <= through) {
            if let Some((_, to, body)) = self.deferred.pop_front() {
                self.send_now(to.address, body);
            }
        }
        if self.replication.synced(through) {
            self.persisted_more(now);
        }
    }

    // ---- agreement: the voter ----

    fn is_eligible_voter(&self) -> bool {
        let view = &self.durable.view;
        view.is_voter(self.id) && (view.epoch > 0 || self.durable.bootstrap)
    }

    fn promise(&mut self, from: MemberId, ballot: Ballot) {
        if !self.is_eligible_voter() || !self.durable.view.is_voter(from) {
            return;
        }
        self.proposer.saw(ballot);
        let current = self.durable.current_promise();
        if let Some(promise) = current.filter(|promise| promise.ballot > ballot) {
            return self.send_now(from.address, Body::Superseded { promised: promise.ballot });
        }
        if current.is_none_or(|promise| promise.ballot < ballot) {
            let epoch = self.durable.view.epoch;
            self.persist(Record::Promise(Promise { epoch, ballot }));
        }
        let report = self.report();
        self.send_after_sync(from, Body::Promise { ballot, report });
    }

    fn report(&self) -> Report {
        Report {
            accepted: self.durable.accepted.clone(),
            active_epoch: self.durable.active_epoch,
            stamp: self.durable.state.stamp,
            fit: self.is_fit(),
            hears: self.peers.heard_lately(self.last_tick),
        }
    }

    fn accept(&mut self, from: MemberId, accepted: Accepted) {
        let epoch = self.durable.view.epoch;
        let ballot = accepted.ballot;
        let is_for_next = accepted.view.epoch == epoch + 1;
        if !self.is_eligible_voter() || !self.durable.view.is_voter(from) || !is_for_next {
            return;
        }
        let current = self.durable.current_promise();
        if let Some(promise) = current.filter(|promise| promise.ballot > ballot) {
            return self.send_now(from.address, Body::Superseded { promised: promise.ballot });
        }
        if current.is_none_or(|promise| promise.ballot < ballot) {
            self.persist(Record::Promise(Promise { epoch, ballot }));
        }
        if self.durable.accepted.as_ref() != Some(&accepted) {
            self.persist(Record::Accept(accepted));
        }
        self.send_after_sync(from, Body::Accepted { ballot });
    }

    // ---- agreement: the proposer ----

    fn take_promise(&mut self, now: Duration, from: MemberId, ballot: Ballot, report: Report) {
        if self.durable.view.is_voter(from) {
            self.proposer.promised(from, ballot, report);
            self.propose_if_ready(now);
        }
    }

    fn take_vote(&mut self, now: Duration, from: MemberId, ballot: Ballot) {
        let current = self.durable.view.clone();
        let Some(view) = self.proposer.accepted(from, ballot, &current) else { return };
        let mut addresses: Vec<SocketAddrV4> =
            self.peers.heard_lately(now).iter().map(|peer| peer.address).collect();
        addresses.extend(view.voters.iter().chain(&current.voters).map(|voter| voter.address));
        addresses.sort();
        addresses.dedup();
        for address in addresses {
            self.send_now(address, Body::Decided(view.clone()));
        }
    }

    fn superseded(&mut self, now: Duration, promised: Ballot) {
        self.proposer.saw(promised);
        if self.proposer.ballot().is_some_and(|ballot| ballot < promised) {
            self.proposer.abandon();
            let wait = self.wait_after_failure();
            self.election.retry(now + wait);
        }
    }

    pub(crate) fn start_proposal(&mut self, now: Duration) {
        let ballot = self.proposer.start(now, self.id);
        for voter in self.durable.view.voters.clone() {
            self.send_now(voter.address, Body::Prepare { ballot });
        }
    }

    pub(crate) fn propose(&mut self, now: Duration, view: View) {
        let Some(ballot) = self.proposer.propose(now, view.clone()) else { return };
        for voter in self.durable.view.voters.clone() {
            self.send_now(voter.address, Body::Accept(Accepted { ballot, view: view.clone() }));
        }
    }

    pub(crate) fn random_wait(&mut self, longest: Duration) -> Duration {
        let share = self.random.rand_float();
        longest.mul_f64(share)
    }

    pub(crate) fn proposal_phase(&self) -> &Phase {
        self.proposer.phase()
    }

    // ---- views ----

    fn install(&mut self, now: Duration, view: View) {
        if view.epoch <= self.durable.view.epoch {
            return;
        }
        self.persist(Record::View(view.clone()));
        self.deferred.clear();
        self.proposer.abandon();
        self.election.installed();
        self.replication = Replication::new(self.durable.active_epoch, &self.durable.state);
        self.barrier_session = self.random.rand_u64() | 1;
        self.outputs.push(Output::ViewInstalled(view.clone()));
        if view.head() == Some(self.id) {
            self.take_office(now);
        } else {
            self.give_requests_up();
        }
        self.next_ping = now;
    }

    fn take_office(&mut self, now: Duration) {
        let epoch = self.durable.view.epoch;
        let record = self.persist(Record::Activate(epoch));
        self.replication.restart(record, epoch, &self.durable.state);
        let barrier = self.replication.next_barrier(self.barrier_session);
        self.waiting.renew_barriers(barrier.number);
        self.drive(now);
    }

    fn give_requests_up(&mut self) {
        for id in self.waiting.drain() {
            self.outputs.push(Output::Reply { id, reply: Reply::Unavailable });
        }
    }

    // ---- replication ----

    /// Whether this member takes writes of the current epoch.
    pub(crate) fn is_active(&self) -> bool {
        let view = &self.durable.view;
        view.epoch > 0
            && view.chain.contains(&self.id)
            && self.durable.active_epoch == view.epoch
            && !self.durable.is_sealed()
    }

    fn is_serving_head(&self) -> bool {
        self.durable.view.head() == Some(self.id) && self.is_active()
    }

    fn successor(&self) -> Option<MemberId> {
        self.durable.view.successor(self.id)
    }

    fn is_from_predecessor(&self, from: MemberId) -> bool {
        !self.durable.is_sealed() && self.durable.view.predecessor(self.id) == Some(from)
    }

    fn replicate(
        &mut self,
        now: Duration,
        from: MemberId,
        after: Stamp,
        writes: Vec<Write>,
        barrier: Barrier,
    ) {
        if !self.is_from_predecessor(from) {
            return;
        }
        let epoch = self.durable.view.epoch;
        if self.durable.active_epoch != epoch {
            if self.durable.state.stamp != after {
                return self.report_to_predecessor();
            }
            let record = self.persist(Record::Activate(epoch));
            self.replication.restart(record, epoch, &self.durable.state);
        }
        self.replication.take_barrier(barrier);
        if after <= self.durable.state.stamp {
            for write in writes {
                self.append(write);
            }
        }
        if !self.replication.is_syncing() {
            self.report_to_predecessor();
        }
        self.drive(now);
    }

    fn append(&mut self, write: Write) {
        if write.stamp <= self.durable.state.stamp {
            return;
        }
        let Write { stamp, command } = write;
        let record = self.persist(Record::Write { stamp, command: command.clone() });
        self.replication.push(record, self.durable.view.epoch, stamp, command);
    }

    fn take_transfer(&mut self, now: Duration, from: MemberId, state: ControlState, barrier: Barrier) {
        if !self.is_from_predecessor(from) {
            return;
        }
        let epoch = self.durable.view.epoch;
        let is_news = self.durable.active_epoch != epoch || state.stamp > self.durable.state.stamp;
        if !is_news && !self.replication.is_syncing() {
            self.report_to_predecessor();
        }
        if is_news {
            let record = self.persist(Record::State { epoch, state });
            self.replication.restart(record, epoch, &self.durable.state);
        }
        self.replication.take_barrier(barrier);
        self.drive(now);
    }

    fn persisted_more(&mut self, now: Duration) {
        self.drive(now);
        self.report_to_predecessor();
    }

    /// Tells the predecessor how far this member and those after it are.
    fn report_to_predecessor(&mut self) {
        let view = &self.durable.view;
        let Some(predecessor) = view.predecessor(self.id) else { return };
        let persisted = self.replication.persisted_in(view.epoch);
        let report = Body::Replicated {
            active: persisted.is_some(),
            persisted: persisted.unwrap_or_default(),
            committed: self.replication.committed_stamp(),
            barrier: self.replication.confirmed(),
        };
        self.send_now(predecessor.address, report);
    }

    /// Sends on what the successor lacks; at the tail, commits.
    pub(crate) fn drive(&mut self, now: Duration) {
        if !self.is_active() {
            return;
        }
        let epoch = self.durable.view.epoch;
        let Some(persisted) = self.replication.persisted_in(epoch) else { return };
        let Some(successor) = self.successor() else {
            let barrier = self.replication.barrier();
            if self.durable.view.chain.len() >= self.policy.minimum {
                self.chain_confirmed(now, Some(persisted), barrier);
            }
            return;
        };
        while let Some(body) = self.replication.next_message(now, epoch) {
            self.send_now(successor.address, body);
        }
    }

    /// The rest of the chain has persisted everything up to `committed` and passed `barrier` on.
    fn chain_confirmed(&mut self, now: Duration, committed: Option<Stamp>, barrier: Barrier) {
        let is_more = committed.is_some_and(|stamp| self.replication.commit(stamp));
        let is_barrier = self.replication.confirm(barrier);
        if is_more && let Some(state) = self.replication.committed() {
            let state = Arc::new(state.clone());
            self.publish(now, state);
        }
        if is_more || is_barrier {
            self.report_to_predecessor();
            self.resolve_requests();
        }
        if self.successor().is_some() {
            self.drive(now);
        }
    }

    fn publish(&mut self, now: Duration, state: Arc<ControlState>) {
        if state.stamp <= self.published.stamp {
            return;
        }
        self.published = Arc::clone(&state);
        self.outputs.push(Output::Committed(state));
        if self.is_active() && self.successor().is_none() {
            self.ping_others_than_chain(now);
        }
    }

    /// Lets the members outside the chain know at once that there is something newer.
    fn ping_others_than_chain(&mut self, now: Duration) {
        let ping = self.ping(now);
        let chain = self.durable.view.chain.clone();
        for peer in self.peers.heard_lately(now) {
            if !chain.contains(&peer) {
                self.send_now(peer.address, ping.clone());
            }
        }
    }

    // ---- requests ----

    fn take_request(&mut self, now: Duration, id: RequestId, request: Request) {
        if !self.is_serving_head() {
            self.outputs.push(Output::Reply { id, reply: Reply::Unavailable });
            return;
        }
        match request {
            Request::Submit(command) => self.submit(id, command),
            Request::ReadConfiguration | Request::Confirm => {
                let barrier = self.replication.next_barrier(self.barrier_session);
                let is_configuration = request == Request::ReadConfiguration;
                let stamp = self.durable.state.stamp;
                self.waiting.wait_for_read(id, is_configuration, stamp, barrier.number);
            }
        }
        self.drive(now);
        self.resolve_requests();
    }

    fn submit(&mut self, id: RequestId, command: Command) {
        let stamp = self.durable.state.stamp;
        match self.durable.state.judge(&command) {
            Verdict::Take => {
                let stamp = Stamp { epoch: self.durable.view.epoch, number: stamp.number + 1 };
                self.append(Write { stamp, command });
                self.waiting.wait_for_commit(id, stamp, true);
            }
            Verdict::AlreadyTaken => self.waiting.wait_for_commit(id, stamp, false),
            Verdict::Rejected(rejection) => {
                let barrier = self.replication.next_barrier(self.barrier_session);
                self.waiting.wait_for_rejection(id, rejection, stamp, barrier.number);
            }
        }
    }

    fn resolve_requests(&mut self) {
        if !self.is_serving_head() || self.waiting.is_empty() {
            return;
        }
        let Some(committed) = self.replication.committed() else { return };
        let confirmed = self.replication.confirmed();
        let number = if confirmed.session == self.barrier_session { confirmed.number } else { 0 };
        for (id, reply) in self.waiting.resolve(committed, number) {
            self.outputs.push(Output::Reply { id, reply });
        }
    }

    /// How long this member takes silence for granted; the driver's time-outs are above it.
    pub const fn silence() -> Duration {
        SILENCE
    }
}
