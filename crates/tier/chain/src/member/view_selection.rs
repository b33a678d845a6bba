//! Which view this member proposes: from what it hears now (whether there is a reason to propose), and from
//! the reports of a ballot (the view of phase 2). Both are planned by [`next_view`].

use std::collections::BTreeMap;
use std::time::Duration;

use super::Member;
use crate::agreement::Report;
use crate::durable::IdleEpoch;
use crate::plan::{Candidate, lowered_floor, next_view};
use crate::state::WritePosition;
use crate::view::{MemberId, View};

impl Member {
    /// The view that the current heartbeats call for. Never proposed itself: a ballot's reports decide.
    pub(super) fn wanted_view(&self, now: Duration) -> Option<View> {
        let view = &self.durable.view;
        let present = view
            .voters
            .iter()
            .copied()
            .filter(|&voter| voter == self.id || self.peers.is_alive(now, voter));
        let voters: Vec<Candidate> = present.map(|voter| self.unreported_voter(voter)).collect();
        let learners = self.learners(now);
        let are_connected = |first, second| self.peers.are_connected(now, first, second);
        next_view(view, &voters, &learners, self.policy, &are_connected).ok()
    }

    /// A voter as its heartbeats show it. A member of the chain is assumed to be active.
    fn unreported_voter(&self, voter: MemberId) -> Candidate {
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

    /// Members that are no voters and may be added.
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

    /// Whether `wanted` has further members in the chain or other voters, all of them stable.
    pub(super) fn is_improvement(&self, now: Duration, wanted: &View) -> bool {
        let view = &self.durable.view;
        let mut new_in_chain = wanted
            .chain
            .iter()
            .filter(|member| !view.chain.contains(member))
            .peekable();
        let has_more = new_in_chain.peek().is_some();
        let are_stable =
            new_in_chain.all(|&member| member == self.id || self.peers.is_stable(now, member));
        let mut wanted_members = wanted.chain.iter().chain(&wanted.voters);
        let has_other_voters = wanted_members.any(|member| !view.voters.contains(member));
        are_stable && (has_more || has_other_voters)
    }

    /// The next view by the reports of a ballot; `None` if there can be none.
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
        let hears = |first: MemberId, second: MemberId| match reports.get(&first) {
            Some(report) => report.hears.contains(&second),
            None => self.peers.hears(now, first, second),
        };
        let are_connected = |first, second| {
            // In the first start no member has heard the others for long enough to tell.
            let is_first_start = self.durable.view.epoch == 0;
            is_first_start || (hears(first, second) && hears(second, first))
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

    /// The current view, with its floor lowered past the epochs that are reported as idle.
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
