//! The proposer side of the lease protocol: how a member acquires and renews the lease on one role.

use super::config::LeaseConfig;
use std::collections::BTreeSet;
use woadreach_membership::MemberId;

/// A request to all acceptors, with the acceptors that have answered it.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Proposal {
    pub(super) request_id: u16,
    /// Validity of the grants that are requested, in seconds.
    grant_duration_s: f64,
    /// Time of the first transmission. A lease based on this proposal starts here, which is before any acceptor has
    /// granted it.
    pub(super) started_at_s: f64,
    /// Time of the next transmission to acceptors that have not answered.
    pub(super) resend_at_s: f64,
    pub(super) granted: BTreeSet<MemberId>,
    /// Acceptors that have granted or denied the request, so a superset of `granted`.
    pub(super) answered: BTreeSet<MemberId>,
}

/// A grant that a candidate has received.
#[derive(Clone, Copy, Debug)]
pub(super) struct Grant {
    pub(super) by: MemberId,
    pub(super) request_id: u16,
    pub(super) epoch: u32,
}

/// A denial that a candidate has received.
#[derive(Clone, Copy, Debug)]
pub(super) struct Denial {
    pub(super) by: MemberId,
    pub(super) request_id: u16,
    /// Highest epoch that the acceptor knows of.
    pub(super) highest_epoch: u32,
    /// Time until a new request may be granted, in seconds.
    pub(super) wait_s: f64,
}

/// The next step of a candidacy, which the caller executes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// Nothing is due.
    Wait,
    /// The lease has expired.
    Expire,
    /// The current proposal must be sent again to acceptors that have not answered.
    Resend,
    /// The current proposal has failed.
    Abandon,
    /// A new proposal, or a renewal, is due.
    Propose,
}

/// This member's candidacy for a role, or its lease on it.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Candidacy {
    /// Position of this member among the candidates; 0 is the preferred one.
    pub(super) rank: usize,
    /// Epoch of the current proposal or lease.
    pub(super) epoch: u32,
    /// Highest epoch in the denials received.
    pub(super) highest_denied_epoch: u32,
    /// Consecutive failed proposals. Reset once this member acquires the lease or learns from a denial that there is a
    /// holder.
    pub(super) failed_proposals: u32,
    pub(super) proposal: Option<Proposal>,
    /// Expiry of the lease; `None` if this member has none. It must be earlier than the expiry of every grant in the
    /// majority.
    pub(super) held_until_s: Option<f64>,
    /// Time at which the next proposal or renewal is due.
    pub(super) next_proposal_s: f64,
}

impl Candidacy {
    pub(super) fn new(rank: usize, next_proposal_s: f64) -> Candidacy {
        Candidacy {
            rank,
            epoch: 0,
            highest_denied_epoch: 0,
            failed_proposals: 0,
            proposal: None,
            held_until_s: None,
            next_proposal_s,
        }
    }

    pub(super) fn is_holder(&self) -> bool {
        self.held_until_s.is_some()
    }

    /// Returns the time at which [`Candidacy::next_step`] is due.
    pub(super) fn next_due_s(&self) -> f64 {
        let due = self
            .proposal
            .as_ref()
            .map_or(self.next_proposal_s, |proposal| proposal.resend_at_s);
        self.held_until_s.map_or(due, |until_s| due.min(until_s))
    }

    /// Returns the step that is due now. The caller must execute it.
    pub(super) fn next_step(&mut self, now_s: f64, config: &LeaseConfig) -> Step {
        if self.held_until_s.is_some_and(|until_s| now_s >= until_s) {
            return Step::Expire;
        }
        let is_holder = self.is_holder();
        if let Some(proposal) = &mut self.proposal {
            let timeout_s = if is_holder {
                config.renew_interval_s
            } else {
                config.proposal_timeout_s
            };
            if now_s < proposal.started_at_s + timeout_s {
                if now_s < proposal.resend_at_s {
                    return Step::Wait;
                }
                proposal.resend_at_s = now_s + config.retry_interval_s;
                return Step::Resend;
            }
            self.next_proposal_s = now_s;
            if !is_holder {
                return Step::Abandon;
            }
            // A holder whose renewal timed out starts another, so that a later majority still extends the lease.
            self.proposal = None;
        }
        if now_s < self.next_proposal_s {
            Step::Wait
        } else {
            Step::Propose
        }
    }

    /// Starts a proposal. The epoch of a candidate exceeds `highest_epoch`, the highest epoch that this member knows
    /// of; a renewal has the epoch of the lease.
    pub(super) fn propose(
        &mut self,
        now_s: f64,
        request_id: u16,
        highest_epoch: u32,
        config: &LeaseConfig,
    ) {
        if !self.is_holder() {
            let known = self.highest_denied_epoch.max(highest_epoch);
            self.epoch = self.epoch.max(known) + 1;
        }
        self.proposal = Some(Proposal {
            request_id,
            grant_duration_s: config.grant_duration_s(self.is_holder()),
            started_at_s: now_s,
            resend_at_s: now_s + config.retry_interval_s,
            granted: BTreeSet::new(),
            answered: BTreeSet::new(),
        });
    }

    /// Records a grant. Returns `true` if the lease was acquired by this grant, and `false` for a renewal.
    pub(super) fn record_grant(
        &mut self,
        now_s: f64,
        grant: &Grant,
        quorum: usize,
        config: &LeaseConfig,
    ) -> bool {
        let Some(proposal) = self
            .proposal
            .as_mut()
            .filter(|p| self.epoch == grant.epoch && p.request_id == grant.request_id)
        else {
            return false;
        };
        proposal.answered.insert(grant.by);
        proposal.granted.insert(grant.by);
        if proposal.granted.len() < quorum {
            return false;
        }
        // The lease starts before the request was sent and ends `clock_margin_s` before the grants expire.
        let until_s = proposal.started_at_s + proposal.grant_duration_s - config.clock_margin_s;
        // A first lease is based on short grants, so it is renewed immediately for the full duration.
        let next_proposal_s = if proposal.grant_duration_s < config.lease_duration_s {
            now_s
        } else {
            proposal.started_at_s + config.renew_interval_s
        };
        self.proposal = None;
        if now_s >= until_s {
            self.next_proposal_s = now_s;
            return false;
        }
        self.next_proposal_s = next_proposal_s;
        self.failed_proposals = 0;
        let previous = self.held_until_s;
        self.held_until_s = Some(previous.map_or(until_s, |previous| previous.max(until_s)));
        previous.is_none()
    }

    /// Records a denial. Returns `true` if a majority is no longer possible, and the caller must abandon the proposal.
    pub(super) fn record_denial(
        &mut self,
        now_s: f64,
        denial: &Denial,
        acceptor_count: usize,
        config: &LeaseConfig,
    ) -> bool {
        let is_holder = self.is_holder();
        let Some(proposal) = self
            .proposal
            .as_mut()
            .filter(|p| p.request_id == denial.request_id)
        else {
            return false;
        };
        self.highest_denied_epoch = self.highest_denied_epoch.max(denial.highest_epoch);
        let is_long_wait = denial.wait_s >= config.proposal_timeout_s;
        // An acceptor whose grant expires soon counts as not having answered, so that the request is sent to it again.
        if denial.highest_epoch < self.epoch && !is_long_wait {
            return false;
        }
        proposal.answered.insert(denial.by);
        let denied = proposal.answered.len() - proposal.granted.len();
        let majority_is_possible = (acceptor_count - denied) * 2 > acceptor_count;
        // A denied renewal does not end the lease of a holder before its expiry.
        if is_holder || majority_is_possible {
            return false;
        }
        self.next_proposal_s = now_s + denial.wait_s.min(config.lease_duration_s);
        if is_long_wait {
            // The proposal failed because there is a holder, not because another candidate competed.
            self.failed_proposals = 0;
        }
        true
    }

    /// Delays the next proposal after a failed one. `random` is in 0..1. The delay increases with the rank and with the
    /// number of failures, so that two competing candidates don't collide again.
    pub(super) fn back_off(&mut self, random: f64, config: &LeaseConfig) {
        let delay_s = (self.rank as f64 + random) * config.backoff_s;
        let factor = f64::from(1u32 << self.failed_proposals.min(2));
        self.next_proposal_s += (delay_s * factor).min(config.lease_duration_s / 4.0);
        self.failed_proposals += 1;
    }
}
