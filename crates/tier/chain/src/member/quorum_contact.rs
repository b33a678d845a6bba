//! Contact with a majority of the voters: whether this member may report its published state as current.
//!
//! | state | event | next |
//! | --- | --- | --- |
//! | out of contact | a majority of the voters has echoed a recent heartbeat | catching up |
//! | catching up | the published state is at least as new as every committed state that those voters reported | in quorum |
//! | any | the echoes of a majority are older than `CONTACT_TIMEOUT` | out of contact |
//!
//! An echo proves that both directions of the link work, and its age is measured from the send time of this
//! member's heartbeat. So a member that only receives, one that only sends, and one that was stalled are all out
//! of contact.

use std::time::Duration;

use super::Member;
use crate::view::MemberId;

impl Member {
    /// Whether this member is in contact with a majority of the voters and has caught up since the contact began.
    pub(super) fn is_in_quorum(&self, now: Duration) -> bool {
        #[cfg(feature = "mutations")]
        if self.is_mutated(crate::mutations::Mutation::QuorumByHearing) {
            return self.is_majority_heard(now);
        }
        self.is_caught_up && self.is_in_contact_with_majority(now)
    }

    /// Whether a majority of the voters has echoed a recent heartbeat of this member.
    pub(super) fn is_in_contact_with_majority(&self, now: Duration) -> bool {
        self.is_true_for_majority(|voter| self.is_in_contact_with_voter(now, voter))
    }

    /// Whether `predicate` is true for a majority of the voters. False without voters.
    fn is_true_for_majority(&self, predicate: impl Fn(MemberId) -> bool) -> bool {
        let view = &self.durable.view;
        let count = view
            .voters
            .iter()
            .filter(|&&voter| predicate(voter))
            .count();
        !view.voters.is_empty() && count >= view.majority()
    }

    /// Whether a voter has echoed a recent heartbeat. The voters of epoch 0 have no identities, so for them it
    /// suffices that they are heard.
    fn is_in_contact_with_voter(&self, now: Duration, voter: MemberId) -> bool {
        if self.durable.view.epoch == 0 {
            return self.is_voter_heard(now, voter);
        }
        self.peers.is_in_contact(now, voter)
    }

    /// Whether a majority of the voters is heard, even if it does not receive this member's messages.
    #[cfg(feature = "mutations")]
    fn is_majority_heard(&self, now: Duration) -> bool {
        self.is_true_for_majority(|voter| self.is_voter_heard(now, voter))
    }

    /// Updates whether this member has caught up since it came into contact, according to the table above. Must
    /// be called before and after each input.
    pub(super) fn update_caught_up(&mut self, now: Duration) {
        if !self.is_in_contact_with_majority(now) {
            self.is_caught_up = false;
        } else if !self.is_caught_up {
            let view = &self.durable.view;
            let reached = view
                .voters
                .iter()
                .filter(|&&voter| self.is_in_contact_with_voter(now, voter));
            let newest = reached
                .map(|&voter| self.peers.committed(voter))
                .max()
                .unwrap_or_default();
            self.is_caught_up = self.published.position >= newest;
        }
    }
}
