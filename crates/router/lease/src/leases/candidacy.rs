//! The proposer's side of a lease: what a member does to acquire and keep one role.

use super::config::LeaseConfig;
use std::collections::BTreeSet;
use woadreach_membership::MemberId;

/// A request to all acceptors, and who has answered it.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Proposal {
    pub(super) request_id: u16,
    /// For how long the acceptors' grants are valid, in seconds.
    grant_duration_s: f64,
    /// When it was first sent. A lease from it runs from here, which is before any acceptor has granted it.
    pub(super) started_at_s: f64,
    /// When acceptors that have not answered receive the request again.
    pub(super) resend_at_s: f64,
    pub(super) granted: BTreeSet<MemberId>,
    /// Those that have granted or denied it. Contains all of `granted`.
    pub(super) answered: BTreeSet<MemberId>,
}

/// A grant as a candidate receives it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Grant {
    pub(super) by: MemberId,
    pub(super) request_id: u16,
    pub(super) epoch: u32,
}

/// A denial as a candidate receives it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Denial {
    pub(super) by: MemberId,
    pub(super) request_id: u16,
    /// The highest epoch that the acceptor knows of.
    pub(super) highest_epoch: u32,
    /// After how many seconds a new request may be granted.
    pub(super) wait_s: f64,
}

/// What a candidacy needs next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// Nothing is due.
    Wait,
    /// The lease has expired.
    Expire,
    /// The current proposal goes again to those that have not answered.
    Resend,
    /// The current proposal has failed.
    Abandon,
    /// A new proposal, or a renewal, is due.
    Propose,
}

/// This member's candidacy for a role, or its lease on it.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Candidacy {
    /// This member's position among the candidates; 0 comes first.
    pub(super) rank: usize,
    /// The epoch of the current proposal or lease.
    pub(super) epoch: u32,
    /// The highest epoch that a denial named.
    pub(super) highest_denied_epoch: u32,
    /// Failed proposals since this member last held the role or learnt of a holder.
    pub(super) failed_proposals: u32,
    pub(super) proposal: Option<Proposal>,
    /// The lease, if this member has one, ends then. It must be before every grant of its majority ends.
    pub(super) held_until_s: Option<f64>,
    /// When the next proposal, or renewal, is due.
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

    /// When [`Candidacy::next_step`] is due.
    pub(super) fn next_due_s(&self) -> f64 {
        let due = self
            .proposal
            .as_ref()
            .map_or(self.next_proposal_s, |proposal| proposal.resend_at_s);
        self.held_until_s.map_or(due, |until_s| due.min(until_s))
    }

    /// What is due now. The caller must carry it out.
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
            // A holder whose renewal fails starts a new one, so that a later majority extends the lease.
            self.proposal = None;
        }
        if now_s < self.next_proposal_s {
            Step::Wait
        } else {
            Step::Propose
        }
    }

    /// Starts a proposal. A candidate's epoch exceeds `highest_epoch`, the highest that this member knows of.
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

    /// Records a grant. Returns whether the lease was acquired by it; a renewal is none.
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
        // The lease runs from before the request was sent, and ends a margin before the grants do.
        let until_s = proposal.started_at_s + proposal.grant_duration_s - config.clock_margin_s;
        // An initial lease is extended to the whole duration at once.
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

    /// Records a denial. Returns whether the proposal has failed by it, so that the caller must abandon it.
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
        let is_for_long = denial.wait_s >= config.proposal_timeout_s;
        // An acceptor whose grant ends soon counts as one that has not answered: it receives the request again.
        if denial.highest_epoch < self.epoch && !is_for_long {
            return false;
        }
        proposal.answered.insert(denial.by);
        let denied = proposal.answered.len() - proposal.granted.len();
        let majority_is_possible = (acceptor_count - denied) * 2 > acceptor_count;
        // A holder keeps its lease until it expires, whoever denies the renewal.
        if is_holder || majority_is_possible {
            return false;
        }
        self.next_proposal_s = now_s + denial.wait_s.min(config.lease_duration_s);
        if is_for_long {
            // There is a holder: it was no other candidate that stood in the way.
            self.failed_proposals = 0;
        }
        true
    }

    /// Delays the next proposal after one that has failed. `random` is in 0..1. The delay grows with the rank and with
    /// the failures, so that two candidates that have disturbed each other don't do so again.
    pub(super) fn back_off(&mut self, random: f64, config: &LeaseConfig) {
        let delay_s = (self.rank as f64 + random) * config.backoff_s;
        let factor = f64::from(1u32 << self.failed_proposals.min(2));
        self.next_proposal_s += (delay_s * factor).min(config.lease_duration_s / 4.0);
        self.failed_proposals += 1;
    }
}
