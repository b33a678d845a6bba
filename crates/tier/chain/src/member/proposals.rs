//! Why this member proposes a view, and which one.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::Member;
use crate::agreement::{Phase, Proposer, Report};
use crate::durable::IdleEpoch;
use crate::election::{
    BOOTSTRAP_TIMEOUT, MAX_PROPOSAL_DELAY, PHASE_TIMEOUT, REPORT_TIMEOUT, Reason,
    SEALED_EPOCH_DELAY,
};
use crate::plan::{Candidate, lowered_floor, next_view};
use crate::state::Stamp;
use crate::view::{MemberId, View};

impl Member {
    /// Advances the proposal, if there is one; else begins one if there is reason to.
    pub(crate) fn run_election(&mut self, now: Duration) {
        match self.proposal_phase() {
            Phase::Preparing { since, .. } | Phase::Accepting { since, .. }
                if now.saturating_sub(*since) >= PHASE_TIMEOUT =>
            {
                self.proposer.abandon();
                let wait = self.delay_after_failure();
                self.election.retry(now + wait);
            }
            Phase::Preparing { .. } => self.propose_if_ready(now),
            Phase::Accepting { .. } => {}
            Phase::Idle => self.consider_proposal(now),
        }
    }

    fn consider_proposal(&mut self, now: Duration) {
        let Some(reason) = self.reason(now) else {
            self.election.at = None;
            return;
        };
        let at = match self.election.at {
            Some(at) => at,
            None => now + self.delay_before(reason),
        };
        self.election.at = Some(at);
        if now >= at {
            self.election.at = None;
            self.start_proposal(now);
        }
    }

    pub(crate) fn delay_after_failure(&mut self) -> Duration {
        self.random_delay(2 * MAX_PROPOSAL_DELAY)
    }

    fn delay_before(&mut self, reason: Reason) -> Duration {
        match reason {
            Reason::Improvement => Duration::ZERO,
            Reason::Broken => self.random_delay(MAX_PROPOSAL_DELAY),
            Reason::Sealed => SEALED_EPOCH_DELAY + self.random_delay(2 * MAX_PROPOSAL_DELAY),
            Reason::Bootstrap => {
                let first = self
                    .durable
                    .view
                    .voters
                    .iter()
                    .map(|voter| voter.address)
                    .min();
                let is_first = first == Some(self.id.address);
                if is_first {
                    Duration::ZERO
                } else {
                    SEALED_EPOCH_DELAY + self.random_delay(2 * MAX_PROPOSAL_DELAY)
                }
            }
        }
    }

    fn reason(&self, now: Duration) -> Option<Reason> {
        let view = &self.durable.view;
        if view.epoch == 0 {
            return self.bootstrap_reason(now);
        }
        if !view.is_voter(self.id) || self.reachable_voters(now) < view.majority() {
            return None;
        }
        if !self.is_disk_healthy {
            // A proposal begins with a promise on the own disk.
            return None;
        }
        if self.durable.is_sealed() {
            return Some(Reason::Sealed);
        }
        let wanted = self.wanted_view(now)?;
        let is_broken = view
            .chain
            .iter()
            .any(|member| !wanted.chain.contains(member));
        if is_broken {
            return Some(Reason::Broken);
        }
        let is_head = view.head() == Some(self.id);
        (is_head && self.is_improvement(now, &wanted)).then_some(Reason::Improvement)
    }

    fn bootstrap_reason(&self, now: Duration) -> Option<Reason> {
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
        let has_waited = now.saturating_sub(self.election.started) >= BOOTSTRAP_TIMEOUT;
        let is_ready = present == view.voters.len() || (has_waited && present >= view.majority());
        is_ready.then_some(Reason::Bootstrap)
    }

    fn reachable_voters(&self, now: Duration) -> usize {
        let voters = self.durable.view.voters.iter();
        voters
            .filter(|&&voter| self.peers.is_reachable(now, voter))
            .count()
    }

    /// The view that the present heartbeats ask for.
    fn wanted_view(&self, now: Duration) -> Option<View> {
        let view = &self.durable.view;
        let is_present = |member: MemberId| member == self.id || self.peers.is_alive(now, member);
        let candidate = |member: MemberId| Candidate {
            member,
            active_epoch: if view.chain.contains(&member) {
                view.epoch
            } else {
                0
            },
            stamp: Stamp::default(),
            can_replicate: if member == self.id {
                self.can_replicate()
            } else {
                self.peers.can_replicate(member)
            },
            place: self.place_of(member),
        };
        let voters: Vec<Candidate> = view
            .voters
            .iter()
            .copied()
            .filter(|&voter| is_present(voter))
            .map(candidate)
            .collect();
        let learners = self.learners(now);
        let are_connected = |first, second| self.peers.are_connected(now, first, second);
        next_view(view, &voters, &learners, self.policy, &are_connected).ok()
    }

    /// Members outside the voters that may be taken in.
    fn learners(&self, now: Duration) -> Vec<Candidate> {
        let heard = self.peers.heard_lately(now).into_iter();
        let outside =
            heard.filter(|member| *member != self.id && !self.durable.view.voters.contains(member));
        let ready = outside.filter(|&member| {
            self.peers.is_stable(now, member)
                && self.peers.is_reachable(now, member)
                && self.peers.can_replicate(member)
        });
        ready
            .map(|member| Candidate {
                member,
                active_epoch: 0,
                stamp: Stamp::default(),
                can_replicate: true,
                place: self.place_of(member),
            })
            .collect()
    }

    /// Whether `wanted` has more members in the chain, or voters in the place of silent ones.
    fn is_improvement(&self, now: Duration, wanted: &View) -> bool {
        let view = &self.durable.view;
        let added: BTreeSet<MemberId> = wanted
            .chain
            .iter()
            .chain(&wanted.voters)
            .copied()
            .collect::<BTreeSet<_>>();
        let current: BTreeSet<MemberId> = view.chain.iter().copied().collect();
        let new_in_chain = wanted
            .chain
            .iter()
            .filter(|member| !current.contains(member));
        let are_stable = new_in_chain
            .clone()
            .all(|&member| member == self.id || self.peers.is_stable(now, member));
        let has_more = new_in_chain.count() > 0;
        let has_other_voters = added.iter().any(|member| !view.voters.contains(member));
        are_stable && (has_more || has_other_voters)
    }

    /// Goes on to the second phase once enough voters have reported.
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
        let are_expected = missing
            .filter(|&&voter| self.is_expected(now, voter))
            .count();
        if are_expected > 0 && now.saturating_sub(*since) < REPORT_TIMEOUT {
            return;
        }
        self.propose_from_reports(now);
    }

    /// Chooses the view from the reports of at least a majority.
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

    fn has_reported(&self, reports: &BTreeMap<MemberId, Report>, voter: MemberId) -> bool {
        if self.durable.view.epoch == 0 {
            return reports.keys().any(|member| member.address == voter.address);
        }
        reports.contains_key(&voter)
    }

    fn is_expected(&self, now: Duration, voter: MemberId) -> bool {
        if self.durable.view.epoch == 0 {
            return self.peers.is_bootstrapping(now, voter.address);
        }
        self.peers.is_heard(now, voter)
    }

    fn planned_view(&self, now: Duration, reports: &BTreeMap<MemberId, Report>) -> Option<View> {
        let voters: Vec<Candidate> = reports
            .iter()
            .map(|(&member, report)| Candidate {
                member,
                active_epoch: report.active_epoch,
                stamp: report.stamp,
                can_replicate: report.can_replicate,
                place: self.place_of(member),
            })
            .collect();
        let learners: Vec<Candidate> = self
            .learners(now)
            .into_iter()
            .filter(|learner| !reports.contains_key(&learner.member))
            .collect();
        let hears = |first: MemberId, second: MemberId| match reports.get(&first) {
            Some(report) => report.hears.contains(&second),
            None => self.peers.hears(now, first, second),
        };
        let are_connected = |first, second| {
            let is_first_known = self.durable.view.epoch == 0;
            is_first_known || (hears(first, second) && hears(second, first))
        };
        next_view(
            &self.view_with_known_floor(reports),
            &voters,
            &learners,
            self.policy,
            &are_connected,
        )
        .ok()
    }

    /// The current view, its floor lowered below the epochs that committed nothing as reported.
    fn view_with_known_floor(&self, reports: &BTreeMap<MemberId, Report>) -> View {
        let idle_epochs: Vec<IdleEpoch> = reports
            .values()
            .flat_map(|report| report.idle_epochs.iter().copied())
            .collect();
        let view = &self.durable.view;
        View {
            floor: lowered_floor(view.floor, &idle_epochs),
            ..view.clone()
        }
    }
}
