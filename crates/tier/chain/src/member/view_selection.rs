//! Selection of views by [`next_view`]: from the current heartbeats, to find whether there is a reason to propose
//! a view, and from the reports of a ballot, for the view that is proposed in phase 2.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Member;
use crate::agreement::Report;
use crate::durable::IdleEpoch;
use crate::plan::{Candidate, lowered_floor, next_view};
use crate::state::WritePosition;
use crate::view::{MemberId, View};

impl Member {
    /// The next view according to the current heartbeats; `None` if there can be none. It only shows whether
    /// there is a reason to propose a view; the proposed one follows from the reports of the ballot.
    pub(super) fn desired_view(&self, now: Duration) -> Option<View> {
        let view = &self.durable.view;
        let present = view
            .voters
            .iter()
            .copied()
            .filter(|&voter| voter == self.id || self.peers.is_alive(now, voter));
        let voters: Vec<Candidate> = present
            .map(|voter| self.candidate_from_heartbeats(voter))
            .collect();
        let learners = self.learners(now);
        let are_connected = |first, second| self.peers.are_connected(now, first, second);
        next_view(view, &voters, &learners, self.policy, &are_connected).ok()
    }

    /// A voter as a candidate, according to its heartbeats. A member of the chain is assumed to be active.
    fn candidate_from_heartbeats(&self, voter: MemberId) -> Candidate {
        let view = &self.durable.view;
        let is_in_chain = view.chain.contains(&voter);
        let is_own = voter == self.id;
        Candidate {
            member: voter,
            active_epoch: if is_in_chain { view.epoch } else { 0 },
            position: WritePosition::default(),
            can_replicate: if is_own {
                self.can_replicate()
            } else {
                self.peers.can_replicate(voter)
            },
            failure_domain: self.failure_domain_of(voter),
        }
    }

    /// Members that are not voters and may be added.
    fn learners(&self, now: Duration) -> Vec<Candidate> {
        let heard = self.peers.heard_members(now).into_iter();
        let others =
            heard.filter(|member| *member != self.id && !self.durable.view.voters.contains(member));
        let ready = others.filter(|&member| {
            self.peers.is_stable(now, member)
                && self.peers.is_reachable(now, member)
                && self.peers.can_replicate(member)
        });
        ready
            .map(|member| Candidate {
                member,
                active_epoch: 0,
                position: WritePosition::default(),
                can_replicate: true,
                failure_domain: self.failure_domain_of(member),
            })
            .collect()
    }

    /// Whether `desired` has additional members in its chain or members that are not voters yet, and all
    /// additional members of the chain are stable.
    pub(super) fn is_improvement(&self, now: Duration, desired: &View) -> bool {
        let view = &self.durable.view;
        let mut new_in_chain = desired
            .chain
            .iter()
            .filter(|member| !view.chain.contains(member))
            .peekable();
        let has_more = new_in_chain.peek().is_some();
        let are_stable =
            new_in_chain.all(|&member| member == self.id || self.peers.is_stable(now, member));
        let mut desired_members = desired.chain.iter().chain(&desired.voters);
        let has_other_voters = desired_members.any(|member| !view.voters.contains(member));
        are_stable && (has_more || has_other_voters)
    }

    /// The next view according to the reports of a ballot; `None` if there can be none.
    pub(super) fn planned_view(
        &self,
        now: Duration,
        reports: &BTreeMap<MemberId, Report>,
    ) -> Option<View> {
        let voters: Vec<Candidate> = reports
            .iter()
            .map(|(&member, report)| Candidate {
                member,
                active_epoch: report.active_epoch,
                position: report.position,
                can_replicate: report.can_replicate,
                failure_domain: self.failure_domain_of(member),
            })
            .collect();
        let learners: Vec<Candidate> = self
            .learners(now)
            .into_iter()
            .filter(|learner| !reports.contains_key(&learner.member))
            .collect();
        let has_heard = |first: MemberId, second: MemberId| match reports.get(&first) {
            Some(report) => report.heard_members.contains(&second),
            None => self.peers.has_heard(now, first, second),
        };
        let are_connected = |first, second| {
            // In the first start, no member has run for long enough to list all connected members.
            let is_first_start = self.durable.view.epoch == 0;
            is_first_start || (has_heard(first, second) && has_heard(second, first))
        };
        next_view(
            &self.view_with_lowered_floor(reports),
            &voters,
            &learners,
            self.policy,
            &are_connected,
        )
        .ok()
    }

    /// The current view, with its floor lowered according to the idle epochs in the reports.
    fn view_with_lowered_floor(&self, reports: &BTreeMap<MemberId, Report>) -> View {
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
