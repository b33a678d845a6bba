//! One core machine: combines Paxos, chain replication and failure detection.
//!
//! | state | event | next |
//! | --- | --- | --- |
//! | active in the chain | promises in the instance of its epoch | sealed: accepts no writes of the epoch |
//! | sealed | the next view is installed | active if head, inactive if elsewhere in the chain, else outside |
//! | inactive in the chain | its state equals the predecessor's, or was transferred from it | active |
//! | outside the chain | a view that adds it is installed | active if head, else inactive in the chain |
//!
//! A message that reports durable state is sent only after every record before it is synced.
//!
//! [`Member`] is one state machine. Its methods are divided by concern over the files of this folder: `paxos`
//! is the acceptor and sends the proposer's messages, `proposals` and `view_selection` decide when to propose
//! a view and which one, `installation` installs a decided view, `propagation` and `head` replicate,
//! `heartbeats` and `quorum_contact` track the other members, `departure` decides when a process that is
//! shutting down may exit, `dispatch` dispatches received messages and defers outgoing ones until a sync, and
//! `steps` supports exhaustive searches. `options`, `io` and `status` define the types of the member's options,
//! inputs, outputs and status.

mod departure;
mod dispatch;
mod head;
mod heartbeats;
mod installation;
mod io;
mod options;
mod paxos;
mod propagation;
mod proposals;
mod quorum_contact;
mod status;
mod steps;
mod view_selection;

pub use io::{Input, Output};
pub use options::MemberOptions;
pub use status::Status;
pub use steps::TimedStep;

use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use crate::agreement::Proposer;
use crate::durable::Durable;
use crate::election::Election;
use crate::failure_domain::FailureDomain;
use crate::message::{Body, Envelope};
use crate::peers::Peers;
use crate::policy::Policy;
use crate::replication::Replication;
use crate::requests::PendingRequests;
use crate::state::ControlState;
use crate::view::MemberId;

pub use departure::ExitReadiness;
use departure::Leaving;

/// Interval between heartbeats to the same member.
pub(crate) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// A longer gap between two ticks shows that the process was stalled.
const PROCESS_STALL_THRESHOLD: Duration = Duration::from_millis(450);
/// First interval between requests for the committed state. It doubles while no state is received, up to
/// [`MAX_STATE_REQUEST_INTERVAL`], since a state may be in flight for a long time.
const MIN_STATE_REQUEST_INTERVAL: Duration = Duration::from_millis(150);
/// Longest interval between requests for the committed state.
const MAX_STATE_REQUEST_INTERVAL: Duration = Duration::from_millis(2400);

/// A message that must not be sent before a record is synced.
#[derive(Clone, Debug)]
struct DeferredMessage {
    /// Number of the record that must be synced first.
    after_record: u64,
    /// The receiver, which may be this member.
    to: MemberId,
    /// Content of the message. It is sent in the epoch in which it was deferred, since the installation of a
    /// view drops deferred messages.
    body: Body,
}

/// One core machine, without I/O and without a clock.
///
/// The driver calls [`handle`](Self::handle) for every [`Input`], at the latest with a tick at
/// [`next_wake`](Self::next_wake), and must execute every [`Output`] in order. Times are durations since a
/// fixed origin, which the driver chooses, and must never decrease.
#[derive(Clone, Debug)]
pub struct Member {
    /// This member. Its identity is that of `durable`.
    pub(crate) id: MemberId,
    /// Additional receivers of heartbeats while this member is not a voter or not in contact with a majority.
    /// May include this machine.
    pub(crate) seeds: Vec<SocketAddrV4>,
    /// Size of a view and spread of its members; must be the same at all members.
    pub(crate) policy: Policy,
    /// Zone and region of this machine.
    failure_domain: FailureDomain,
    /// The durable state with every record, synced or not.
    pub(crate) durable: Durable,
    /// The failure detector.
    pub(crate) peers: Peers,
    /// This member's proposer in the instance of the current epoch.
    pub(crate) proposer: Proposer,
    /// Schedule of this member's next proposal.
    pub(crate) election: Election,
    /// Replication in the current epoch; replaced with every view.
    pub(crate) replication: Replication,
    /// Requests to this member as head; empty at every other member.
    pending_requests: PendingRequests,
    /// The newest committed state that this member knows. Its position never decreases.
    published: Arc<ControlState>,
    /// Session of this member's barriers, drawn again with every installed view. Never 0.
    barrier_session: u64,
    /// Whether this member, since it came into contact with a majority, has had a published state at least as
    /// new as every committed state that the voters in contact had reported.
    is_caught_up: bool,
    /// Whether the disk syncs in time, as the driver last reported. While it does not, this member proposes no
    /// view and asks to be replaced in the chain.
    pub(crate) is_disk_healthy: bool,
    /// State of the shutdown: its start, and the active members of the chain.
    leaving: Leaving,
    /// Number of the last record; each record's number is one above that of the previous record.
    record_number: u64,
    /// Every record up to this number is synced. Never above `record_number`.
    synced_number: u64,
    /// Messages to be sent after the sync of a record, in ascending order of record numbers.
    deferred: VecDeque<DeferredMessage>,
    /// Messages of this member to itself, handled before [`handle`](Self::handle) returns.
    loopback: VecDeque<Envelope>,
    /// Outputs that [`handle`](Self::handle) will return.
    outputs: Vec<Output>,
    /// Time at which the last [`Input::Tick`] was handled or the last stall ended. Never decreases.
    last_tick: Duration,
    /// Time at which the next heartbeats are due.
    next_heartbeat: Duration,
    /// Earliest time of the next request for the committed state.
    next_state_request: Duration,
    /// Minimum time between the next request for the committed state and the one after it; between
    /// [`MIN_STATE_REQUEST_INTERVAL`] and [`MAX_STATE_REQUEST_INTERVAL`].
    state_request_interval: Duration,
    /// Source of the incarnation, the random delays and the sessions of the barriers.
    random: oorandom::Rand64,
    #[cfg(feature = "mutations")]
    mutation: Option<crate::mutations::Mutation>,
}

impl Member {
    /// A member with the synced disk content `durable`. Its first tick is due at once.
    pub fn new(now: Duration, options: MemberOptions, durable: Durable) -> Member {
        let id = MemberId {
            address: options.address,
            identity: durable.identity,
        };
        let mut random = oorandom::Rand64::new(u128::from(options.random_seed));
        // Used as the incarnation in heartbeats and as the session of the first barriers.
        let incarnation = random.rand_u64() | 1;
        let replication = Replication::new(durable.active_epoch, &durable.state);
        let mut proposer = Proposer::default();
        if let Some(promise) = durable.promise {
            proposer.observe_ballot(promise.ballot);
        }
        Member {
            id,
            seeds: options.seeds,
            policy: Policy::tolerating(options.tolerance),
            failure_domain: options.failure_domain,
            peers: Peers::new(id, incarnation, now),
            proposer,
            election: Election::new(now),
            replication,
            pending_requests: PendingRequests::default(),
            published: Arc::new(ControlState::default()),
            barrier_session: incarnation,
            is_caught_up: false,
            is_disk_healthy: true,
            leaving: Leaving::default(),
            record_number: 0,
            synced_number: 0,
            deferred: VecDeque::new(),
            loopback: VecDeque::new(),
            outputs: Vec::new(),
            last_tick: now,
            next_heartbeat: now,
            next_state_request: Duration::ZERO,
            state_request_interval: MIN_STATE_REQUEST_INTERVAL,
            random,
            #[cfg(feature = "mutations")]
            mutation: None,
            durable,
        }
    }

    /// Disables a safeguard. Must be called before the first input.
    #[cfg(feature = "mutations")]
    pub fn set_mutation(&mut self, mutation: crate::mutations::Mutation) {
        self.mutation = Some(mutation);
        if mutation == crate::mutations::Mutation::DigestsForgotten {
            self.durable.state.applied.clear();
            self.replication = Replication::new(self.durable.active_epoch, &self.durable.state);
        }
    }

    #[cfg(feature = "mutations")]
    fn is_mutated(&self, mutation: crate::mutations::Mutation) -> bool {
        self.mutation == Some(mutation)
    }

    /// This member's identity.
    pub fn id(&self) -> MemberId {
        self.id
    }

    /// The state on the disk once every record is synced. A snapshot of it may replace the log up to the last
    /// record.
    pub fn durable(&self) -> &Durable {
        &self.durable
    }

    /// The newest committed state that this member knows.
    pub fn published(&self) -> &Arc<ControlState> {
        &self.published
    }

    /// The state with every write that this member has appended, committed or not.
    pub fn latest(&self) -> &ControlState {
        &self.durable.state
    }

    /// Time at which the next [`Input::Tick`] is due. May change with every input.
    pub fn next_wake(&self) -> Duration {
        let mut wake = self.next_heartbeat;
        let majority = self.durable.view.majority();
        if let Some(election) = self.election.next_wake(&self.proposer, majority) {
            wake = wake.min(election);
        }
        if let Some(suspicion) = self
            .peers
            .next_suspicion(self.last_tick, &self.durable.view.chain)
        {
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

    /// Handles an input at the time `now`. Returns the outputs that the driver must execute, in order.
    pub fn handle(&mut self, now: Duration, input: Input) -> Vec<Output> {
        self.recover_from_stall(now);
        self.update_caught_up(now);
        match input {
            Input::Tick => self.tick(now),
            Input::Message(envelope) => self.receive(now, envelope),
            Input::Request(id, request) => self.handle_request(now, id, request),
            Input::Cancel(id) => self.pending_requests.cancel(id),
            Input::Synced(through) => self.record_synced(now, through),
            Input::DiskHealth { is_healthy } => self.record_disk_health(now, is_healthy),
            Input::Seeds(seeds) => self.seeds = seeds,
            Input::Leave => self.leave(now),
        }
        self.finish(now)
    }

    /// Handles this member's messages to itself, then returns the outputs.
    fn finish(&mut self, now: Duration) -> Vec<Output> {
        while let Some(envelope) = self.loopback.pop_front() {
            self.receive(now, envelope);
        }
        self.update_caught_up(now);
        #[cfg(feature = "mutations")]
        if self.is_mutated(crate::mutations::Mutation::AcknowledgeBeforeSync) {
            self.record_synced(now, self.record_number);
            while let Some(envelope) = self.loopback.pop_front() {
                self.receive(now, envelope);
            }
        }
        std::mem::take(&mut self.outputs)
    }

    fn recover_from_stall(&mut self, now: Duration) {
        if now.saturating_sub(self.last_tick) > PROCESS_STALL_THRESHOLD {
            self.peers.restart_timeouts_after_stall(now, self.last_tick);
            self.election.cancel();
            self.last_tick = now;
        }
    }

    fn tick(&mut self, now: Duration) {
        self.last_tick = now;
        self.peers.expire(now);
        if now >= self.next_heartbeat {
            self.next_heartbeat = now + HEARTBEAT_INTERVAL;
            self.broadcast_heartbeat(now);
            if self.is_leaving() {
                self.request_active();
            }
        }
        self.run_election(now);
        self.advance_replication(now);
    }

    /// Records the health of the disk. A change is reported to the other members at once, since this member
    /// can't propose a view without its disk.
    fn record_disk_health(&mut self, now: Duration, is_healthy: bool) {
        let has_changed = self.is_disk_healthy != is_healthy;
        self.is_disk_healthy = is_healthy;
        if has_changed {
            self.broadcast_heartbeat(now);
        }
    }

    fn leave(&mut self, now: Duration) {
        self.begin_leaving(now);
        self.broadcast_heartbeat(now);
        self.request_active();
    }
}
