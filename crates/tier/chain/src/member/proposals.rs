//! When and why this member proposes a view, based on the failure detector. `view_selection` chooses the view.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Member, Output};
use crate::agreement::{Phase, Proposer, Report};
use crate::election::{
    MAX_PROPOSAL_DELAY, PHASE_TIMEOUT, ProposalReason, REPORT_TIMEOUT, SEALED_EPOCH_DELAY,
};
use crate::view::MemberId;

impl Member {
    /// Advances the current proposal, or begins one if there is a reason for it and the delay has passed.
    pub(crate) fn run_election(&mut self, now: Duration) {
        match self.proposal_phase() {
            Phase::Preparing { since, .. } | Phase::Accepting { since, .. }
                if now.saturating_sub(*since) >= PHASE_TIMEOUT =>
            {
                self.proposer.abandon();
                let wait = self.delay_after_failure();
                self.election.schedule(now + wait);
            }
            Phase::Preparing { .. } => self.propose_if_ready(now),
            Phase::Accepting { .. } => {}
            Phase::Idle => self.consider_proposal(now),
        }
    }

    /// Schedules a proposal if there is a reason for one, begins it when it is due, and cancels it if the reason
    /// no longer exists.
    fn consider_proposal(&mut self, now: Duration) {
        let Some(reason) = self.proposal_reason(now) else {
            self.election.cancel();
            return;
        };
        let at = match self.election.scheduled() {
            Some(at) => at,
            None => now + self.delay_before(reason),
        };
        self.election.schedule(at);
        if now >= at {
            self.election.cancel();
            let epoch = self.durable.view.epoch;
            self.outputs.push(Output::ProposalStarted { epoch, reason });
            self.start_proposal(now);
        }
    }

    /// Random delay between a failed proposal and the next one.
    pub(crate) fn delay_after_failure(&mut self) -> Duration {
        self.random_delay(2 * MAX_PROPOSAL_DELAY)
    }

    /// Delay before a proposal for this reason.
    fn delay_before(&mut self, reason: ProposalReason) -> Duration {
        match reason {
            ProposalReason::Improvement => Duration::ZERO,
            ProposalReason::ChainBroken => self.random_delay(MAX_PROPOSAL_DELAY),
            ProposalReason::Bootstrap if self.has_lowest_address() => Duration::ZERO,
            ProposalReason::Bootstrap | ProposalReason::EpochSealed => {
                SEALED_EPOCH_DELAY + self.random_delay(2 * MAX_PROPOSAL_DELAY)
            }
        }
    }

    /// Whether this member has the lowest address of the voters. In the first start, that voter proposes first.
    fn has_lowest_address(&self) -> bool {
        let voters = self.durable.view.voters.iter();
        let lowest = voters.map(|voter| voter.address).min();
        lowest == Some(self.id.address)
    }

    /// The reason for this member to propose a view now; `None` if there is none or this member is not able to.
    fn proposal_reason(&self, now: Duration) -> Option<ProposalReason> {
        let view = &self.durable.view;
        if view.epoch == 0 {
            return self.bootstrap_reason(now);
        }
        if !view.is_voter(self.id) || self.reachable_voters(now) < view.majority() {
            return None;
        }
        if !self.is_disk_healthy {
            // A proposal begins with a promise that must be synced to this member's disk.
            return None;
        }
        if self.durable.is_sealed() {
            return Some(ProposalReason::EpochSealed);
        }
        let desired = self.desired_view(now)?;
        let is_broken = view
            .chain
            .iter()
            .any(|member| !desired.chain.contains(member));
        if is_broken {
            return Some(ProposalReason::ChainBroken);
        }
        let is_head = view.head() == Some(self.id);
        (is_head && self.is_improvement(now, &desired)).then_some(ProposalReason::Improvement)
    }

    /// The reason in epoch 0: all seeds are heard, or a majority of them after the time-out of the first start.
    fn bootstrap_reason(&self, now: Duration) -> Option<ProposalReason> {
        let view = &self.durable.view;
        if !self.durable.bootstrap || !view.is_voter(self.id) {
            return None;
        }
        let others = view
            .voters
            .iter()
            .filter(|voter| voter.address != self.id.address);
        let present = 1 + others
            .filter(|voter| self.peers.is_bootstrapping(now, voter.address))
            .count();
        let has_timed_out = self.election.has_bootstrap_timed_out(now);
        let is_ready =
            present == view.voters.len() || (has_timed_out && present >= view.majority());
        is_ready.then_some(ProposalReason::Bootstrap)
    }

    /// Number of voters that are heard and list this member as heard. Weaker than quorum contact: a member that
    /// has not caught up may propose a view.
    fn reachable_voters(&self, now: Duration) -> usize {
        let voters = self.durable.view.voters.iter();
        voters
            .filter(|&&voter| self.peers.is_reachable(now, voter))
            .count()
    }

    /// Begins phase 2 once every voter that is expected to report has, or once a majority has and
    /// [`REPORT_TIMEOUT`] has passed.
    pub(crate) fn propose_if_ready(&mut self, now: Duration) {
        let Phase::Preparing { since, reports, .. } = self.proposal_phase() else {
            return;
        };
        let view = &self.durable.view;
        if reports.len() < view.majority() {
            return;
        }
        let missing = view
            .voters
            .iter()
            .filter(|&&voter| !self.has_reported(reports, voter));
        let awaited = missing
            .filter(|&&voter| self.is_expected(now, voter))
            .count();
        if awaited > 0 && now.saturating_sub(*since) < REPORT_TIMEOUT {
            return;
        }
        self.propose_from_reports(now);
    }

    /// Begins phase 2 with the reports received so far, if a majority has reported.
    pub(crate) fn propose_from_reports(&mut self, now: Duration) {
        let Phase::Preparing { reports, .. } = self.proposal_phase() else {
            return;
        };
        if reports.len() < self.durable.view.majority() {
            return;
        }
        let next =
            Proposer::highest_accepted_view(reports).or_else(|| self.planned_view(now, reports));
        match next {
            Some(view) => self.propose(now, view),
            None => self.proposer.abandon(),
        }
    }

    /// Whether a voter's report was received. The voters of epoch 0 are compared by address only.
    fn has_reported(&self, reports: &BTreeMap<MemberId, Report>, voter: MemberId) -> bool {
        if self.durable.view.epoch == 0 {
            return reports.keys().any(|member| member.address == voter.address);
        }
        reports.contains_key(&voter)
    }

    /// Whether a voter that has not reported is heard, so that its report may still be received. Unlike
    /// [`is_voter_heard`](Self::is_voter_heard), this is false for this member itself in epoch 0.
    fn is_expected(&self, now: Duration, voter: MemberId) -> bool {
        if self.durable.view.epoch == 0 {
            return self.peers.is_bootstrapping(now, voter.address);
        }
        self.peers.is_heard(now, voter)
    }
}
