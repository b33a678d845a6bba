//! The lease protocol: both the acceptor and the proposer side, as a function of times and messages only.
//!
//! A member has a lease once a majority of acceptors has granted it. A grant is valid from the time at which the
//! acceptor issued it, by the acceptor's clock. The lease is valid from the time at which its holder first requested
//! it, by the holder's clock, and is shorter than the grants by [`LeaseConfig::clock_margin_s`]. So each grant outlasts
//! its lease at any network latency, as long as the drift between two clocks doesn't exceed the margin.
//!
//! The protocol is PaxosLease (Trencseni and others, 2012) with one phase instead of two: members only have to agree on
//! which request was first, and a candidate that fails releases its grants.
//!
//! An [`Acceptor`] grants leases, a [`Candidacy`] requests the lease on one role, and [`Leases`] combines them.

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

/// Maximum advance of the clock between two calls, as a fraction of the lease duration. A larger advance counts as a
/// jump if the acceptor has grants.
const MAX_CLOCK_STEP: f64 = 0.75;

/// The leases of one member, both as an acceptor and as a candidate or holder.
///
/// All times are in seconds of the member's own clock, which may have any origin.
#[derive(Clone, Debug)]
pub struct Leases {
    id: MemberId,
    incarnation: Incarnation,
    roster_size: usize,
    config: LeaseConfig,
    random: Pcg64Mcg,
    /// Time of the latest call. A call with an earlier time means that the clock was set back.
    last_call_s: f64,
    acceptor: Acceptor,
    holders: KnownHolders,
    /// Roles for which this member is a candidate or the holder.
    candidacies: BTreeMap<Role, Candidacy>,
    /// Id of the latest proposal. It identifies answers to earlier proposals, which are ignored. It wraps.
    last_request_id: u16,
    counters: LeaseCounters,
}

/// Counts the end of a lease and adds the event.
fn record_loss(role: Role, epoch: u32, counters: &mut LeaseCounters, actions: &mut Actions) {
    counters.lost += 1;
    actions.events.push(LeaseEvent::Lost { role, epoch });
}

impl Leases {
    /// Creates the leases of the member `id`. All members must have the same roster, of `roster_size` members. A new
    /// acceptor may have lost grants of its previous run, so it answers no requests at first: after a simultaneous
    /// start of all members, no role has a holder for the duration of a lease.
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

    /// Returns the counters since the start of this member.
    pub fn counters(&self) -> &LeaseCounters {
        &self.counters
    }

    /// Sets the live members that are candidates for each role, and performs all due steps. Roles that are not in
    /// `candidates`, or for which this member is not a candidate, are released.
    pub fn set_candidates(
        &mut self,
        now_s: f64,
        candidates: &BTreeMap<Role, Vec<MemberId>>,
    ) -> Actions {
        let mut actions = self.tick(now_s);
        let removed: Vec<Role> = self
            .candidacies
            .keys()
            .filter(|role| !candidates.contains_key(role))
            .copied()
            .collect();
        for role in removed {
            self.end_candidacy(now_s, role, &mut actions);
        }
        for (role, members) in candidates {
            if members.contains(&self.id) {
                self.update_candidacy(now_s, *role, members);
            } else {
                self.end_candidacy(now_s, *role, &mut actions);
            }
        }
        actions
    }

    /// Returns the token for actions in this role; `None` if this member doesn't have the lease at `now_s`.
    pub fn token(&self, now_s: f64, role: Role) -> Option<FencingToken> {
        let candidacy = self.candidacies.get(&role)?;
        // After the clock was set back, the lease may have expired undetected.
        let clock_is_valid = now_s >= self.last_call_s;
        let is_held = candidacy
            .held_until_s
            .is_some_and(|until_s| now_s < until_s);
        (clock_is_valid && is_held).then_some(self.own_token(candidacy.epoch))
    }

    /// Returns the roles on which this member has the lease at `now_s`.
    pub fn held_roles(&self, now_s: f64) -> Vec<Role> {
        self.candidacies
            .keys()
            .filter(|role| self.token(now_s, **role).is_some())
            .copied()
            .collect()
    }

    /// Checks the token of an action. Returns whether the action is valid; if so, records that its holder is alive.
    ///
    /// A holder that resumes after a stall may act under a lease that another member has acquired since. Every member
    /// that has seen a later token rejects such an action. The drawback: after a simultaneous restart of most
    /// acceptors, the epoch of a new holder may be too low, and its actions are rejected until it has learnt of the
    /// higher epoch.
    pub fn accept_token(&mut self, now_s: f64, role: Role, token: FencingToken) -> bool {
        if self.holders.supersedes(role, token) {
            self.counters.stale_tokens += 1;
            return false;
        }
        self.holders.record(now_s, role, token);
        // A proposal would be denied while there is a holder, so it is postponed.
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

    /// Returns the time at which [`Leases::tick`] is due. Calls of other methods may make it earlier.
    pub fn next_due_s(&self) -> f64 {
        let candidacies = self.candidacies.values();
        let first = candidacies
            .map(Candidacy::next_due_s)
            .fold(f64::INFINITY, f64::min);
        if self.acceptor.has_grants() {
            // Calls must be more frequent than the maximum step: a longer interval between two calls counts as a jump.
            first.min(self.last_call_s + self.config.lease_duration_s / 4.0)
        } else {
            first
        }
    }

    /// Performs all due steps: expiry, renewals, proposals and retries.
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

    /// Returns the highest epoch that this member knows of, from its grants and from the actions of holders.
    fn highest_epoch(&self, role: Role) -> u32 {
        let granted = self.acceptor.highest_epoch(role);
        self.holders.epoch(role).max(granted)
    }

    /// Makes this member a candidate for a role, or updates its rank among the candidates.
    fn update_candidacy(&mut self, now_s: f64, role: Role, candidates: &[MemberId]) {
        let own_weight = rendezvous::weight(role, self.id);
        let is_preferred = |member: &&MemberId| rendezvous::weight(role, **member) < own_weight;
        let rank = candidates.iter().filter(is_preferred).count();
        if let Some(candidacy) = self.candidacies.get_mut(&role) {
            candidacy.rank = rank;
        } else {
            let next_proposal_s = self.first_proposal_s(now_s, role, rank);
            self.candidacies
                .insert(role, Candidacy::new(rank, next_proposal_s));
        }
    }

    /// Ends this member's candidacy for a role, and releases its lease or its grants.
    fn end_candidacy(&mut self, now_s: f64, role: Role, actions: &mut Actions) {
        let Some(candidacy) = self.candidacies.get_mut(&role) else {
            return;
        };
        let was_held = candidacy
            .held_until_s
            .take()
            .is_some_and(|until_s| now_s < until_s);
        if was_held {
            // The lease ends locally before any acceptor is notified.
            record_loss(role, candidacy.epoch, &mut self.counters, actions);
        }
        if was_held || candidacy.proposal.is_some() {
            self.release(role, actions);
        }
        self.candidacies.remove(&role);
    }

    /// Returns the time of the first proposal: after the lease of another known holder, with a random delay that
    /// increases with the rank.
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

    /// Detects a jump of the clock and handles it like a restart: a forward jump would expire grants that are still
    /// valid, a backward one would extend leases. A stall of the process looks like a forward jump. The drawback: after
    /// a stall, a process issues no grants for the duration of a lease.
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

    /// Abandons a failed proposal and backs off.
    fn abandon_proposal(&mut self, role: Role, actions: &mut Actions) {
        if let Some(candidacy) = self.candidacies.get_mut(&role) {
            candidacy.back_off(self.random.random(), &self.config);
        }
        self.release(role, actions);
    }

    /// Releases the grants of a proposal or of a lease at all acceptors.
    fn release(&mut self, role: Role, actions: &mut Actions) {
        let Some(candidacy) = self.candidacies.get_mut(&role) else {
            return;
        };
        candidacy.proposal = None;
        let epoch = candidacy.epoch;
        let token = self.own_token(epoch);
        self.acceptor.release(role, token);
        let acceptors = self.acceptors(role);
        // Each message is sent twice: if it is lost, the grant blocks the acceptor until it expires.
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

    /// Executes the step that is due for a role.
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

    /// Ends an expired lease and backs off.
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

    /// Starts a proposal or a renewal.
    fn propose(&mut self, now_s: f64, role: Role, actions: &mut Actions) {
        let highest_epoch = self.highest_epoch(role);
        let Some(candidacy) = self.candidacies.get_mut(&role) else {
            return;
        };
        self.last_request_id = self.last_request_id.wrapping_add(1);
        candidacy.propose(now_s, self.last_request_id, highest_epoch, &self.config);
        self.request_grants(now_s, role, actions);
    }

    /// Sends the current proposal to every acceptor that has not answered it. If this member is an acceptor as well, it
    /// answers without a message.
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
