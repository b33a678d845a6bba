//! The end of a member that is being stopped: whether anything hangs on it.
//!
//! A process that is told to stop does not know whether its disk will come back. So it stays until the others
//! can do without the disk, as long as it is let:
//!
//! | state | event | next |
//! | --- | --- | --- |
//! | member | [`Input::Leave`](super::Input::Leave) | leaving: says so in each heartbeat |
//! | leaving, in the chain | a view without it is decided | outside; asks the chain who is active |
//! | leaving, outside the chain | a view that was begun before takes it in | leaving, in the chain |
//! | leaving, outside the chain | no such view can come, and it is not needed | may end |
//!
//! It is not needed once `f + 1` members are active and the votes hold without it.

use std::collections::BTreeSet;
use std::time::Duration;

use super::Member;
use crate::message::Body;
use crate::view::MemberId;

/// A view that was begun before others knew that this member is being stopped may still take it in: one that
/// is decided at all has both phases behind it by then, each of 0.4 s at most.
const MAX_DECISION_TIME: Duration = Duration::from_millis(1000);

/// Whether a member that is being stopped may end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Departure {
    /// The others have the state on disk and a majority of the votes.
    Free,
    /// Every other voter is being stopped as well, or there is none: nobody takes over.
    NobodyStays,
    /// The other voters in reach are no majority.
    VoteNeeded,
    /// The chain contains this member.
    InChain,
    /// A view that takes this member in may be on its way.
    ViewPending,
    /// Too few members of the chain are known to have the state on disk.
    ChainWithoutState,
    /// A machine that could take over this member's vote does not have it yet.
    ReplacementWithoutVote,
}

/// What a leaving member has heard from the chain of the present view.
#[derive(Clone, Debug, Default)]
pub(super) struct Leaving {
    /// Since when this member has told the others that it is being stopped.
    since: Option<Duration>,
    /// Members that are active, with the state on disk.
    active: BTreeSet<MemberId>,
}

impl Member {
    /// Whether this member, which is being stopped, may end.
    pub fn departure(&self, now: Duration) -> Departure {
        #[cfg(feature = "mutations")]
        if self.is_mutated(crate::mutations::Mutation::LeavesAtOnce) {
            return Departure::Free;
        }
        let view = &self.durable.view;
        if view.epoch == 0 {
            return Departure::Free;
        }
        if self.is_nobody_staying(now) {
            return Departure::NobodyStays;
        }
        if view.chain.contains(&self.id) {
            return Departure::InChain;
        }
        #[cfg(feature = "mutations")]
        if self.is_mutated(crate::mutations::Mutation::LeavesWithTheView) {
            return Departure::Free;
        }
        if self.is_view_pending(now) {
            return Departure::ViewPending;
        }
        if self.reachable_other_voters(now) < view.majority() {
            return Departure::VoteNeeded;
        }
        if self.reachable_active_members(now) < self.policy.minimum {
            return Departure::ChainWithoutState;
        }
        if view.voters.contains(&self.id) && self.is_replacement_reachable(now) {
            return Departure::ReplacementWithoutVote;
        }
        Departure::Free
    }

    /// Whether a view may be on its way whose proposer did not know that this member is being stopped.
    fn is_view_pending(&self, now: Duration) -> bool {
        self.leaving
            .since
            .is_none_or(|since| now.saturating_sub(since) < MAX_DECISION_TIME)
    }

    fn is_nobody_staying(&self, now: Duration) -> bool {
        let mut others = self
            .durable
            .view
            .voters
            .iter()
            .filter(|&&voter| voter != self.id);
        others.all(|&voter| self.peers.is_heard(now, voter) && self.peers.is_leaving(voter))
    }

    fn reachable_other_voters(&self, now: Duration) -> usize {
        let others = self
            .durable
            .view
            .voters
            .iter()
            .filter(|&&voter| voter != self.id);
        others
            .filter(|&&voter| self.peers.is_reachable(now, voter))
            .count()
    }

    fn reachable_active_members(&self, now: Duration) -> usize {
        let active = self.leaving.active.iter();
        active
            .filter(|&&member| self.peers.is_reachable(now, member))
            .count()
    }

    fn is_replacement_reachable(&self, now: Duration) -> bool {
        let heard = self.peers.heard_lately(now).into_iter();
        let mut others = heard.filter(|member| !self.durable.view.voters.contains(member));
        others.any(|member| member != self.id && self.peers.can_replicate(member))
    }

    /// Notes that the others are being told that this member is being stopped.
    pub(super) fn begin_leaving(&mut self, now: Duration) {
        self.leaving.since.get_or_insert(now);
    }

    /// Another view is in force: nothing is known of its chain.
    pub(super) fn clear_active_members(&mut self) {
        self.leaving.active.clear();
    }

    /// Asks the members of the chain whether they have the state.
    pub(super) fn request_active(&mut self) {
        for member in self.durable.view.chain.clone() {
            if member != self.id {
                self.send_now(member.address, Body::RequestActive);
            }
        }
    }

    /// Answers a leaving member, if the state of this epoch is on this disk.
    pub(super) fn send_active(&mut self, to: MemberId) {
        let epoch = self.durable.view.epoch;
        if self.is_active() && self.replication.persisted_stamp(epoch).is_some() {
            self.send_now(to.address, Body::Active);
        }
    }

    /// Notes a member of the present chain that has the state on disk.
    pub(super) fn record_active(&mut self, from: MemberId) {
        if self.durable.view.chain.contains(&from) {
            self.leaving.active.insert(from);
        }
    }
}
