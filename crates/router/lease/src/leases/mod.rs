//! Who holds a role: both sides of a lease, from times and messages alone.
//!
//! A lease is a majority of grants. A grant is valid from when the acceptor gave it, by the acceptor's clock; the lease
//! from before its holder requested it, by the holder's clock, and it ends a margin sooner. So each grant outlasts the
//! lease that it is part of, whatever the latency, as long as two clocks' rates don't differ by more than the margin.
//! The protocol is that of PaxosLease (Trencseni and others, 2012) in one phase instead of two: the only thing to agree
//! on is who requested first, and a candidate that fails gives back what it was granted.
//!
//! [`Acceptor`] grants, a [`Candidacy`] for each role requests, and [`Leases`] joins them.

mod acceptor;
mod actions;
mod candidacy;
mod canonical_state;
mod config;
mod counters;
mod known_holders;
mod receive;

pub use actions::{Actions, LeaseEvent, OutgoingMessage};
pub use config::LeaseConfig;
pub use counters::LeaseCounters;

use crate::fencing_token::{FencingToken, Incarnation};
use crate::message::Message;
use crate::rendezvous;
use crate::role::Role;
use acceptor::{Acceptor, LeaseRequest};
use candidacy::{Candidacy, Step};
use known_holders::KnownHolders;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use woadreach_membership::MemberId;

/// A clock that advances by more than this part of a lease between two calls has jumped.
const MAX_CLOCK_STEP: f64 = 0.75;

/// The leases of one member, as acceptor and as candidate or holder.
///
/// All times are in seconds of the member's own clock, whose origin doesn't matter.
#[derive(Clone, Debug)]
pub struct Leases {
    id: MemberId,
    incarnation: Incarnation,
    roster_size: usize,
    config: LeaseConfig,
    random: Pcg64Mcg,
    /// The time of the latest call. A call with an earlier one means that the clock went back.
    last_call_s: f64,
    acceptor: Acceptor,
    holders: KnownHolders,
    /// The roles of which this member is a candidate or the holder.
    candidacies: BTreeMap<Role, Candidacy>,
    /// Of the latest proposal. It wraps: an answer to a proposal that is not the current one has another id.
    last_request_id: u16,
    counters: LeaseCounters,
}

/// Counts and reports that a lease has ended.
fn record_loss(role: Role, epoch: u32, counters: &mut LeaseCounters, actions: &mut Actions) {
    counters.lost += 1;
    actions.events.push(LeaseEvent::Lost { role, epoch });
}

impl Leases {
    /// The leases of the member `id`, of `roster_size` members in all; both must be the same at all members. A new
    /// acceptor may have forgotten grants of its last run, so it is silent at first: after all members have started at
    /// once, no role has a holder for the duration of a lease.
    pub fn new(
        id: MemberId,
        roster_size: usize,
        config: LeaseConfig,
        seed: u64,
        now_s: f64,
    ) -> Leases {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let incarnation = Incarnation(random.random());
        Leases {
            id,
            incarnation,
            roster_size,
            acceptor: Acceptor::new(now_s, &config),
            config,
            random,
            last_call_s: now_s,
            holders: KnownHolders::default(),
            candidacies: BTreeMap::new(),
            last_request_id: 0,
            counters: LeaseCounters::default(),
        }
    }

    /// Counters since the start.
    pub fn counters(&self) -> &LeaseCounters {
        &self.counters
    }

    /// Sets the roles that are to be held, each with the live members that are candidates for it, and does what is due.
    /// Roles that are not named, or for which this member is no candidate, are released.
    pub fn set_candidates(
        &mut self,
        now_s: f64,
        candidates: &BTreeMap<Role, Vec<MemberId>>,
    ) -> Actions {
        let mut actions = self.tick(now_s);
        let unnamed: Vec<Role> = self
            .candidacies
            .keys()
            .filter(|role| !candidates.contains_key(role))
            .copied()
            .collect();
        for role in unnamed {
            self.withdraw(now_s, role, &mut actions);
        }
        for (role, members) in candidates {
            if members.contains(&self.id) {
                self.stand(now_s, *role, members);
            } else {
                self.withdraw(now_s, *role, &mut actions);
            }
        }
        actions
    }

    /// The token to act under, if this member holds the role at this moment.
    pub fn token(&self, now_s: f64, role: Role) -> Option<FencingToken> {
        let candidacy = self.candidacies.get(&role)?;
        // Once the clock has gone back, the lease may have expired without this member noticing.
        let clock_is_valid = now_s >= self.last_call_s;
        let is_held = candidacy
            .held_until_s
            .is_some_and(|until_s| now_s < until_s);
        (clock_is_valid && is_held).then_some(self.own_token(candidacy.epoch))
    }

    /// The roles that this member holds at this moment.
    pub fn held_roles(&self, now_s: f64) -> Vec<Role> {
        self.candidacies
            .keys()
            .filter(|role| self.token(now_s, **role).is_some())
            .copied()
            .collect()
    }

    /// Whether an action under this token is valid; if so, its holder counts as alive.
    ///
    /// A holder that resumes after a stall may act under a lease that has passed to another: its action is rejected by
    /// every member that has seen a later token. The cost: after most acceptors have restarted at once, a new holder's
    /// epoch may be low, and it is rejected until it has learnt of the higher one.
    pub fn accept_token(&mut self, now_s: f64, role: Role, token: FencingToken) -> bool {
        if self.holders.supersedes(role, token) {
            self.counters.stale_tokens += 1;
            return false;
        }
        self.holders.record(now_s, role, token);
        // While there is a holder, a proposal would only be denied.
        let waiting_rank = self
            .candidacies
            .get(&role)
            .filter(|candidacy| !candidacy.is_holder() && candidacy.proposal.is_none())
            .map(|candidacy| candidacy.rank);
        if let Some(rank) = waiting_rank {
            let next_proposal_s = self.first_proposal_s(now_s, role, rank);
            if let Some(candidacy) = self.candidacies.get_mut(&role) {
                candidacy.next_proposal_s = next_proposal_s;
            }
        }
        true
    }

    /// When [`Leases::tick`] is due. Calls of other methods may bring it forward.
    pub fn next_due_s(&self) -> f64 {
        let candidacies = self.candidacies.values();
        let first = candidacies
            .map(Candidacy::next_due_s)
            .fold(f64::INFINITY, f64::min);
        if self.acceptor.has_grants() {
            // Often enough to detect a clock that jumps.
            first.min(self.last_call_s + self.config.lease_duration_s / 4.0)
        } else {
            first
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, now_s: f64) -> Actions {
        let mut actions = Actions::default();
        self.check_clock(now_s, &mut actions);
        self.acceptor.remove_expired(now_s);
        let roles: Vec<Role> = self.candidacies.keys().copied().collect();
        for role in roles {
            self.advance(now_s, role, &mut actions);
        }
        actions
    }

    fn own_token(&self, epoch: u32) -> FencingToken {
        FencingToken {
            epoch,
            holder: self.id,
            incarnation: self.incarnation,
        }
    }

    fn acceptors(&self, role: Role) -> Vec<MemberId> {
        rendezvous::acceptors(role, self.roster_size, self.config.max_acceptors)
    }

    /// The highest epoch that this member knows of, as acceptor or from a holder's actions.
    fn highest_epoch(&self, role: Role) -> u32 {
        let granted = self.acceptor.highest_epoch(role);
        self.holders.epoch(role).max(granted)
    }

    /// Becomes a candidate, or updates its rank among the candidates.
    fn stand(&mut self, now_s: f64, role: Role, candidates: &[MemberId]) {
        let own_weight = rendezvous::weight(role, self.id);
        let is_before = |member: &&MemberId| rendezvous::weight(role, **member) < own_weight;
        let rank = candidates.iter().filter(is_before).count();
        if let Some(candidacy) = self.candidacies.get_mut(&role) {
            candidacy.rank = rank;
        } else {
            let next_proposal_s = self.first_proposal_s(now_s, role, rank);
            self.candidacies
                .insert(role, Candidacy::new(rank, next_proposal_s));
        }
    }

    /// Releases a role and is no candidate any more.
    fn withdraw(&mut self, now_s: f64, role: Role, actions: &mut Actions) {
        let Some(candidacy) = self.candidacies.get_mut(&role) else {
            return;
        };
        let was_held = candidacy
            .held_until_s
            .take()
            .is_some_and(|until_s| now_s < until_s);
        if was_held {
            // The lease ends here, before any acceptor is notified.
            record_loss(role, candidacy.epoch, &mut self.counters, actions);
        }
        if was_held || candidacy.proposal.is_some() {
            self.release(role, actions);
        }
        self.candidacies.remove(&role);
    }

    /// When to propose first: not while another member is known to hold the role, and later the higher the rank.
    fn first_proposal_s(&mut self, now_s: f64, role: Role, rank: usize) -> f64 {
        let lease_duration_s = self.config.lease_duration_s;
        let other_lease_end_s = self
            .holders
            .latest(role)
            .filter(|action| action.token.holder != self.id)
            .map(|action| action.at_s + lease_duration_s);
        let delay_s = (rank as f64 + self.random.random::<f64>()) * self.config.backoff_s;
        other_lease_end_s.map_or(now_s, |end| end.max(now_s)) + delay_s.min(lease_duration_s)
    }

    /// Detects a clock that has jumped, and treats it like a restart: a clock that jumps ahead ends grants that are
    /// still valid, one that goes back extends leases. A stall of the process looks like a jump ahead. The cost: a
    /// process that has stalled grants nothing for the duration of a lease.
    fn check_clock(&mut self, now_s: f64, actions: &mut Actions) {
        let went_back = now_s < self.last_call_s;
        let max_step_s = self.config.lease_duration_s * MAX_CLOCK_STEP;
        let jumped_ahead = self.acceptor.has_grants() && now_s > self.last_call_s + max_step_s;
        if went_back || jumped_ahead {
            self.counters.clock_jumps += 1;
            self.acceptor.reset(now_s, &self.config);
            for (role, candidacy) in &mut self.candidacies {
                if candidacy.held_until_s.take().is_some() {
                    record_loss(*role, candidacy.epoch, &mut self.counters, actions);
                }
                candidacy.proposal = None;
                candidacy.next_proposal_s = now_s + self.config.backoff_s;
            }
        }
        self.last_call_s = now_s;
    }

    /// Gives up a proposal that has failed and backs off.
    fn abandon_proposal(&mut self, role: Role, actions: &mut Actions) {
        if let Some(candidacy) = self.candidacies.get_mut(&role) {
            candidacy.back_off(self.random.random(), &self.config);
        }
        self.release(role, actions);
    }

    /// Gives back to the acceptors what a proposal or a lease was granted.
    fn release(&mut self, role: Role, actions: &mut Actions) {
        let Some(candidacy) = self.candidacies.get_mut(&role) else {
            return;
        };
        candidacy.proposal = None;
        let epoch = candidacy.epoch;
        let token = self.own_token(epoch);
        self.acceptor.release(role, token);
        let acceptors = self.acceptors(role);
        // Each message goes twice: if it is lost, the acceptor is blocked until its grant expires.
        for to in acceptors.iter().chain(&acceptors) {
            if *to != self.id {
                let message = Message::Release {
                    role,
                    epoch: token.epoch,
                    incarnation: token.incarnation,
                };
                actions.send(*to, message);
            }
        }
    }

    /// Does what is due for a role.
    fn advance(&mut self, now_s: f64, role: Role, actions: &mut Actions) {
        let Some(candidacy) = self.candidacies.get_mut(&role) else {
            return;
        };
        match candidacy.next_step(now_s, &self.config) {
            Step::Wait => {}
            Step::Expire => self.expire(now_s, role, actions),
            Step::Resend => self.request_grants(now_s, role, actions),
            Step::Abandon => self.abandon_proposal(role, actions),
            Step::Propose => self.propose(now_s, role, actions),
        }
    }

    /// Ends a lease that has expired, and backs off.
    fn expire(&mut self, now_s: f64, role: Role, actions: &mut Actions) {
        let Some(candidacy) = self.candidacies.get_mut(&role) else {
            return;
        };
        candidacy.held_until_s = None;
        let random: f64 = self.random.random();
        candidacy.next_proposal_s =
            now_s + (candidacy.rank as f64 + random) * self.config.backoff_s;
        record_loss(role, candidacy.epoch, &mut self.counters, actions);
        self.release(role, actions);
    }

    /// Starts a proposal, or a renewal.
    fn propose(&mut self, now_s: f64, role: Role, actions: &mut Actions) {
        let highest_epoch = self.highest_epoch(role);
        let Some(candidacy) = self.candidacies.get_mut(&role) else {
            return;
        };
        self.last_request_id = self.last_request_id.wrapping_add(1);
        candidacy.propose(now_s, self.last_request_id, highest_epoch, &self.config);
        self.request_grants(now_s, role, actions);
    }

    /// Sends the current proposal to every acceptor that has not answered it; this member answers itself directly.
    fn request_grants(&mut self, now_s: f64, role: Role, actions: &mut Actions) {
        let Some(candidacy) = self.candidacies.get(&role) else {
            return;
        };
        let Some(proposal) = &candidacy.proposal else {
            return;
        };
        let answered: BTreeSet<MemberId> = proposal.answered.clone();
        let request = LeaseRequest {
            role,
            token: self.own_token(candidacy.epoch),
            request_id: proposal.request_id,
            is_holder: candidacy.is_holder(),
        };
        for acceptor in self.acceptors(role) {
            if answered.contains(&acceptor) {
                continue;
            }
            if acceptor != self.id {
                let message = Message::Request {
                    role,
                    epoch: request.token.epoch,
                    incarnation: request.token.incarnation,
                    request_id: request.request_id,
                    is_holder: request.is_holder,
                };
                actions.send(acceptor, message);
            } else if let Some(answer) = self.answer(now_s, &request) {
                self.record_answer(now_s, acceptor, &answer, actions);
            }
        }
    }
}
