//! Contact with a majority of the voters: whether this member may call its published state current.
//!
//! | state | event | next |
//! | --- | --- | --- |
//! | out of contact | a majority of the voters has echoed a recent heartbeat | catching up |
//! | catching up | the published state is as new as any that those voters have reported | in quorum |
//! | any | the echoes of a majority are older than `CONTACT_TIMEOUT` | out of contact |
//!
//! An echo proves both directions of the link, and its age counts from when this member sent the heartbeat.
//! So a member that only hears, one that is only heard, and one that was stalled are all out of contact.

use std::time::Duration;

use super::Member;
use crate::view::MemberId;

impl Member {
    /// Whether this member is in contact with a majority of the voters and has caught up since.
    pub(super) fn is_in_quorum(&self, now: Duration) -> bool {
        #[cfg(feature = "mutations")]
        if self.is_mutated(crate::mutations::Mutation::QuorumByHearing) {
            return self.hears_majority(now);
        }
        self.is_caught_up && self.is_in_contact_with_majority(now)
    }

    /// Whether a majority of the voters has echoed a recent heartbeat of this member.
    pub(super) fn is_in_contact_with_majority(&self, now: Duration) -> bool {
        self.is_majority(|voter| self.is_in_contact_with_voter(now, voter))
    }

    /// Whether `holds` is true of a majority of the voters. False without voters.
    fn is_majority(&self, holds: impl Fn(MemberId) -> bool) -> bool {
        let view = &self.durable.view;
        let count = view.voters.iter().filter(|&&voter| holds(voter)).count();
        !view.voters.is_empty() && count >= view.majority()
    }

    /// Whether a voter has echoed a recent heartbeat. The voters of epoch 0 have no identities; being heard
    /// suffices.
    fn is_in_contact_with_voter(&self, now: Duration, voter: MemberId) -> bool {
        if self.durable.view.epoch == 0 {
            return self.hears_voter(now, voter);
        }
        self.peers.is_in_contact(now, voter)
    }

    /// Whether a majority of the voters is heard, whether or not it hears this member.
    #[cfg(feature = "mutations")]
    fn hears_majority(&self, now: Duration) -> bool {
        self.is_majority(|voter| self.hears_voter(now, voter))
    }

    /// Updates whether this member has caught up since it came into contact: the state of the table above. Must
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
