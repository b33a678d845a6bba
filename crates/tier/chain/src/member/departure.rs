//! Graceful shutdown: conditions under which a member may exit. Its heartbeats report that it is leaving, which
//! is a reason for a reconfiguration without it.
//!
//! A process that is shutting down doesn't know whether its disk will be used again. So it runs until the other
//! members no longer need the disk, or until the driver's time-out:
//!
//! | state | event | next |
//! | --- | --- | --- |
//! | running | [`Input::Leave`](super::Input::Leave) | leaving: each heartbeat reports it |
//! | leaving, in the chain | a view without it is installed | leaving, outside the chain: asks which members are active |
//! | leaving, outside the chain | a view that was proposed earlier adds it | leaving, in the chain |
//! | leaving, outside the chain | no such view can be pending, and the disk is not needed | may exit |
//!
//! The disk is not needed once `f + 1` members are active, the other voters are a majority, and no reachable
//! machine outside the voters could replace this member as voter.

use std::collections::BTreeSet;
use std::time::Duration;

use super::Member;
use crate::message::Body;
use crate::view::MemberId;

/// Longest time until a view is decided that was proposed before the other members knew of the shutdown: twice
/// [`PHASE_TIMEOUT`](crate::election::PHASE_TIMEOUT) and the delay of messages.
const MAX_DECISION_TIME: Duration = Duration::from_millis(1000);

/// Whether a member that is shutting down may exit, or the reason why it may not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitReadiness {
    /// The member may exit: the other members have the state on disk and are a majority of the voters.
    Free,
    /// Every other voter is shutting down as well, or there is none, so no member can replace this one.
    NobodyStays,
    /// The other reachable voters are not a majority.
    VoteNeeded,
    /// The chain contains this member.
    InChain,
    /// A view that adds this member may be pending.
    ViewPending,
    /// Fewer than `f + 1` reachable members of the chain have reported that the state is on their disk.
    ChainWithoutState,
    /// A reachable machine that could replace this member as voter is not a voter yet.
    ReplacementWithoutVote,
}

/// State of the shutdown of a member.
#[derive(Clone, Debug, Default)]
pub(super) struct Leaving {
    /// Time since which this member's heartbeats report the shutdown; `None` before.
    since: Option<Duration>,
    /// Members of the installed view's chain that have reported that the state is on their disk.
    active: BTreeSet<MemberId>,
}

impl Member {
    /// Whether this member may exit at `now`. Only meaningful after [`Input::Leave`](super::Input::Leave).
    pub fn exit_readiness(&self, now: Duration) -> ExitReadiness {
        #[cfg(feature = "mutations")]
        if self.is_mutated(crate::mutations::Mutation::LeavesAtOnce) {
            return ExitReadiness::Free;
        }
        let view = &self.durable.view;
        if view.epoch == 0 {
            return ExitReadiness::Free;
        }
        if self.are_other_voters_leaving(now) {
            return ExitReadiness::NobodyStays;
        }
        if view.chain.contains(&self.id) {
            return ExitReadiness::InChain;
        }
        #[cfg(feature = "mutations")]
        if self.is_mutated(crate::mutations::Mutation::LeavesWithTheView) {
            return ExitReadiness::Free;
        }
        if self.is_view_pending(now) {
            return ExitReadiness::ViewPending;
        }
        if self.reachable_other_voters(now) < view.majority() {
            return ExitReadiness::VoteNeeded;
        }
        if self.reachable_active_members(now) < self.policy.min_chain_length {
            return ExitReadiness::ChainWithoutState;
        }
        if view.voters.contains(&self.id) && self.is_replacement_reachable(now) {
            return ExitReadiness::ReplacementWithoutVote;
        }
        ExitReadiness::Free
    }

    /// Whether a view may be pending whose proposer didn't know that this member is shutting down.
    fn is_view_pending(&self, now: Duration) -> bool {
        self.leaving
            .since
            .is_none_or(|since| now.saturating_sub(since) < MAX_DECISION_TIME)
    }

    fn other_voters(&self) -> impl Iterator<Item = MemberId> + '_ {
        let voters = self.durable.view.voters.iter().copied();
        voters.filter(|&voter| voter != self.id)
    }

    fn are_other_voters_leaving(&self, now: Duration) -> bool {
        self.other_voters()
            .all(|voter| self.peers.is_heard(now, voter) && self.peers.is_leaving(voter))
    }

    fn reachable_other_voters(&self, now: Duration) -> usize {
        self.other_voters()
            .filter(|&voter| self.peers.is_reachable(now, voter))
            .count()
    }

    fn reachable_active_members(&self, now: Duration) -> usize {
        let active = self.leaving.active.iter();
        active
            .filter(|&&member| self.peers.is_reachable(now, member))
            .count()
    }

    fn is_replacement_reachable(&self, now: Duration) -> bool {
        let heard = self.peers.heard_members(now).into_iter();
        let mut others = heard.filter(|member| !self.durable.view.voters.contains(member));
        others.any(|member| member != self.id && self.peers.can_replicate(member))
    }

    /// Whether this member is shutting down.
    pub(super) fn is_leaving(&self) -> bool {
        self.leaving.since.is_some()
    }

    /// Records that this member's heartbeats report the shutdown from `now` on.
    pub(super) fn begin_leaving(&mut self, now: Duration) {
        self.leaving.since.get_or_insert(now);
    }

    /// Must be called when a view is installed: no member of its chain has reported yet.
    pub(super) fn clear_active_members(&mut self) {
        self.leaving.active.clear();
    }

    /// Asks the other members of the chain whether they have the state on disk.
    pub(super) fn request_active(&mut self) {
        for member in self.durable.view.chain.clone() {
            if member != self.id {
                self.send_now(member.address, Body::RequestActive);
            }
        }
    }

    /// Answers a member that is shutting down, if the state of this epoch is on this disk.
    pub(super) fn send_active(&mut self, to: MemberId) {
        let epoch = self.durable.view.epoch;
        if self.is_active() && self.replication.persisted_position(epoch).is_some() {
            self.send_now(to.address, Body::Active);
        }
    }

    /// Records that a member of the chain has the state on disk.
    pub(super) fn record_active(&mut self, from: MemberId) {
        if self.durable.view.chain.contains(&from) {
            self.leaving.active.insert(from);
        }
    }
}
