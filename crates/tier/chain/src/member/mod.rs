//! One core machine: combines Paxos, chain replication and failure detection.
//!
//! | state | event | next |
//! | --- | --- | --- |
//! | in the chain, active | promises in the instance of its epoch | sealed: accepts no writes of the epoch |
//! | sealed | the next view is decided | head: active; in the chain: waits for predecessor; else outside |
//! | waits for its predecessor | its state is the predecessor's, or was transferred | active |
//! | outside the chain | a view adds it | waits for its predecessor |
//!
//! A message that promises something durable leaves only once every record before it is synced.
//!
//! [`Member`] is one state machine whose methods are spread over the files of this folder by concern: `paxos`
//! is the acceptor and sends the proposer's messages, `proposals` and `view_selection` decide when to propose
//! and which view, `installation` installs a decided view, `propagation` and `head` replicate, `heartbeats`
//! and `quorum_contact` watch the others, `departure` says when a process that is shutting down may exit,
//! `dispatch` dispatches messages and defers those that wait for a sync, `steps` is for exhaustive searches.
//! `options`, `io` and `status` have the types of the member's settings, inputs, outputs and status.

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
/// A gap between two ticks that is longer than this shows that the process was stalled.
const PROCESS_STALL_THRESHOLD: Duration = Duration::from_millis(450);
/// First interval between requests for the committed state. It doubles while no state arrives, up to
/// [`MAX_STATE_REQUEST_INTERVAL`], since a state may be in flight for long.
const MIN_STATE_REQUEST_INTERVAL: Duration = Duration::from_millis(150);
/// Longest interval between requests for the committed state.
const MAX_STATE_REQUEST_INTERVAL: Duration = Duration::from_millis(2400);

/// A message that waits until a record is synced.
#[derive(Clone, Debug)]
struct DeferredMessage {
    /// Number of the record that must be synced first.
    after_record: u64,
    /// The receiver, which may be this member.
    to: MemberId,
    /// The content; sent with the epoch in force when it leaves, which is that in which it was deferred.
    body: Body,
}

/// One core machine, without I/O and without a clock.
///
/// The driver calls [`handle`](Self::handle) for every [`Input`] and at the latest at
/// [`next_wake`](Self::next_wake), and must carry out every [`Output`] in order. Times are durations since
/// any fixed origin and must never decrease.
#[derive(Clone, Debug)]
pub struct Member {
    /// This member. Its identity is that of `durable`.
    pub(crate) id: MemberId,
    /// Where heartbeats go while this member is no voter or out of contact. May include this machine.
    pub(crate) seeds: Vec<SocketAddrV4>,
    /// Sizes of a view and the spread of its members; the same at all members.
    pub(crate) policy: Policy,
    /// Zone and region of this machine.
    failure_domain: FailureDomain,
    /// The durable state with every record, synced or not.
    pub(crate) durable: Durable,
    /// The failure detector.
    pub(crate) peers: Peers,
    /// This member's ballot, if it has one, in the instance of the current epoch.
    pub(crate) proposer: Proposer,
    /// When this member proposes next.
    pub(crate) election: Election,
    /// Replication in the current epoch; replaced with every view.
    pub(crate) replication: Replication,
    /// Requests to this member as head; empty at every other member.
    pending_requests: PendingRequests,
    /// The newest committed state that this member knows. Its position never decreases.
    published: Arc<ControlState>,
    /// Session of this member's barriers, drawn anew with every view. Never 0.
    barrier_session: u64,
    /// Whether this member has had, since it came into contact with a majority, every state that was
    /// committed then.
    is_caught_up: bool,
    /// Whether the disk syncs in time, as the driver last reported. While it doesn't, this member proposes
    /// nothing and asks to be replaced in the chain.
    pub(crate) is_disk_healthy: bool,
    /// Whether this member is shutting down, and what it knows of the chain since.
    leaving: Leaving,
    /// Number of the last record; rises by one with each.
    record_number: u64,
    /// Every record up to this number is synced. Never above `record_number`.
    synced_number: u64,
    /// Messages that wait for the sync of a record, in ascending order of record numbers.
    deferred: VecDeque<DeferredMessage>,
    /// Messages of this member to itself, handled before [`handle`](Self::handle) returns.
    loopback: VecDeque<Envelope>,
    /// What [`handle`](Self::handle) is to return.
    outputs: Vec<Output>,
    /// When the last [`Input::Tick`] was handled, or the last stall ended. Never decreases.
    last_tick: Duration,
    /// When heartbeats are due.
    next_heartbeat: Duration,
    /// When the committed state may be requested again.
    next_state_request: Duration,
    /// Time from the next request for the committed state to the one after; at least
    /// [`MIN_STATE_REQUEST_INTERVAL`], at most [`MAX_STATE_REQUEST_INTERVAL`].
    state_request_interval: Duration,
    /// Source of the incarnation, of the random delays and of the barriers' sessions.
    random: oorandom::Rand64,
    #[cfg(feature = "mutations")]
    mutation: Option<crate::mutations::Mutation>,
}

impl Member {
    /// A member whose disk holds `durable`, all of it synced. Its first tick is due at once.
    pub fn new(now: Duration, options: MemberOptions, durable: Durable) -> Member {
        let id = MemberId {
            address: options.address,
            identity: durable.identity,
        };
        let mut random = oorandom::Rand64::new(u128::from(options.random_seed));
        // The incarnation in heartbeats, and the session of the first barriers.
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

    /// Switches a safeguard off. Must be called before the first input.
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

    /// What the disk holds once every record is synced. A snapshot of it may replace the log up to the last
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

    /// When [`Input::Tick`] must be handled next. Changes with every input.
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

    /// Handles an input. Returns what the driver must do, in order.
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
            self.peers.excuse_stall(now, self.last_tick);
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

    /// Records the health of the disk. A change is reported to the others at once, since this member can't
    /// propose without its disk.
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
