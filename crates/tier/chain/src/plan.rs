//! Choice of the next view in a reconfiguration, from the reports of the current voters.
//!
//! [`next_view`] is a pure function. The view that it returns for the reports of a majority may be proposed,
//! unless one of the reports contains an accepted proposal, which must be proposed instead.

use std::cmp::Reverse;

use snafu::Snafu;

use crate::durable::IdleEpoch;
use crate::failure_domain::FailureDomain;
use crate::policy::Policy;
use crate::state::WritePosition;
use crate::view::{MemberId, View};

/// Why there is no next view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum PlanError {
    /// No voter that has reported is known to have every write that may have been committed.
    #[snafu(display("no reachable member has the complete state"))]
    NoCompleteMember,
}

/// A member that may be in the next view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The member.
    pub member: MemberId,
    /// The last epoch in which the member was active in the chain; 0 if none is known.
    pub active_epoch: u64,
    /// Position of the last write in the member's state, committed or not.
    pub position: WritePosition,
    /// Whether the member may be in a chain: it is not shutting down, and its disk syncs in time.
    pub can_replicate: bool,
    /// Zone and region of the member.
    pub failure_domain: FailureDomain,
}

/// The view after `current`.
///
/// `voters` are the voters of `current` that have reported; they must be a majority. `learners` are reachable
/// members that are not voters. The chain begins with a voter that has every write that may have been
/// committed, and any two of its members are connected (`are_connected`). Voters that have not reported are
/// replaced by learners where learners are available. A voter whose address is now used by another identity
/// has lost its disk and is dropped.
///
/// # Errors
///
/// [`PlanError::NoCompleteMember`] if no voter was active in the floor or in a later epoch.
pub fn next_view(
    current: &View,
    voters: &[Candidate],
    learners: &[Candidate],
    policy: Policy,
    are_connected: &dyn Fn(MemberId, MemberId) -> bool,
) -> Result<View, PlanError> {
    let reconfiguration = Reconfiguration {
        current,
        voters,
        learners,
        policy,
        are_connected,
    };
    reconfiguration.next_view()
}

/// The lowest floor that follows from `floor` and the epochs in which nothing was committed. A member that was
/// active in the floor of an idle epoch has every write committed before the epoch, and therefore every write
/// committed up to its end.
pub(crate) fn lowered_floor(floor: u64, idle_epochs: &[IdleEpoch]) -> u64 {
    let mut floor = floor;
    while let Some(idle) = idle_epochs
        .iter()
        .find(|idle| idle.epoch == floor && idle.floor < floor)
    {
        floor = idle.floor;
    }
    floor
}

/// Arguments of [`next_view`].
struct Reconfiguration<'a> {
    /// The current view.
    current: &'a View,
    /// Voters of `current` that have reported; must be a majority.
    voters: &'a [Candidate],
    /// Reachable members that are not voters of `current`.
    learners: &'a [Candidate],
    policy: Policy,
    /// Whether two members receive each other's messages.
    are_connected: &'a dyn Fn(MemberId, MemberId) -> bool,
}

impl Reconfiguration<'_> {
    fn next_view(&self) -> Result<View, PlanError> {
        let floor = self.next_floor();
        let chain = self.next_chain(floor)?;
        let voters = self.next_voters(&chain);
        Ok(View {
            epoch: self.current.epoch + 1,
            voters,
            chain,
            floor,
        })
    }

    /// The floor of the next view: the current epoch, or the current floor if nothing was committed in the
    /// epoch. A commit requires that every member of the chain is active and that the chain intersects every
    /// majority. So nothing was committed if the chain does not, or if one of its members has sealed the epoch
    /// without having been active in it.
    fn next_floor(&self) -> u64 {
        let View { epoch, floor, .. } = *self.current;
        let mut chain = self
            .voters
            .iter()
            .filter(|voter| self.current.chain.contains(&voter.member));
        let may_have_committed = self.current.intersects_every_majority()
            && chain.all(|voter| voter.active_epoch >= epoch);
        if may_have_committed { epoch } else { floor }
    }

    /// The chain of the next view: a voter with the complete state, then members that are all connected.
    fn next_chain(&self, floor: u64) -> Result<Vec<MemberId>, PlanError> {
        let head = self.next_head(floor)?;
        let preferred = self.candidates_by_preference();
        let mut chain = vec![head];
        self.extend_chain(&mut chain, &preferred, true, self.policy.target_members);
        // A chain with a member that is shutting down or syncs slowly is better than one that is too short to
        // commit.
        self.extend_chain(&mut chain, &preferred, false, self.policy.min_chain_length);
        Ok(chain
            .into_iter()
            .map(|candidate| candidate.member)
            .collect())
    }

    /// The head of the next chain. Of the voters that have every write that may have been committed, prefers
    /// those that may replicate, then the newest state, then the shortest distance from the current head.
    fn next_head(&self, floor: u64) -> Result<Candidate, PlanError> {
        let complete = self
            .voters
            .iter()
            .filter(|voter| voter.active_epoch >= floor);
        let best = complete.max_by_key(|voter| {
            let distance = self.distance_from_head(voter.member);
            (voter.can_replicate, voter.position, Reverse(distance))
        });
        best.copied().ok_or(PlanError::NoCompleteMember)
    }

    /// The candidates in order of preference: members of the current chain, the other voters, learners.
    fn candidates_by_preference(&self) -> Vec<Candidate> {
        let mut ordered = self.voters.to_vec();
        ordered.sort_by_key(|voter| (self.distance_from_head(voter.member), voter.member));
        ordered.extend_from_slice(self.learners);
        ordered
    }

    /// Index of a member in the current chain; the chain's length if the member is not in the chain.
    fn distance_from_head(&self, member: MemberId) -> usize {
        let chain = &self.current.chain;
        let found = chain.iter().position(|&other| other == member);
        found.unwrap_or(chain.len())
    }

    /// Appends candidates with this value of `can_replicate` until the chain has `length` members or no further
    /// candidate is suitable.
    fn extend_chain(
        &self,
        chain: &mut Vec<Candidate>,
        preferred: &[Candidate],
        can_replicate: bool,
        length: usize,
    ) {
        while chain.len() < length {
            let others = preferred
                .iter()
                .filter(|candidate| candidate.can_replicate == can_replicate);
            let Some(next) = self.next_member(chain, others) else {
                return;
            };
            chain.push(next);
        }
    }

    /// The candidate that is connected to every member of `chain` and shares its failure domain with the fewest
    /// of them; the first of equal ones.
    fn next_member<'c>(
        &self,
        chain: &[Candidate],
        candidates: impl Iterator<Item = &'c Candidate>,
    ) -> Option<Candidate> {
        let others =
            candidates.filter(|next| chain.iter().all(|other| other.member != next.member));
        let connected = others.filter(|next| {
            chain
                .iter()
                .all(|other| (self.are_connected)(next.member, other.member))
        });
        let least_overlapping = connected.min_by_key(|next| {
            let domains = chain.iter().map(|other| other.failure_domain);
            self.policy.domain_overlap(next.failure_domain, domains)
        });
        least_overlapping.copied()
    }

    /// The voters of the next view: its chain, then, up to [`Policy::target_members`], voters that have reported
    /// and may replicate, learners, and the remaining voters of the current view.
    fn next_voters(&self, chain: &[MemberId]) -> Vec<MemberId> {
        let may_replicate = |candidates: &[Candidate]| -> Vec<MemberId> {
            candidates
                .iter()
                .filter(|candidate| candidate.can_replicate)
                .map(|candidate| candidate.member)
                .collect()
        };
        let mut next = chain.to_vec();
        let preferred = [
            may_replicate(self.voters),
            may_replicate(self.learners),
            self.remaining_voters(),
        ];
        for member in preferred.into_iter().flatten() {
            if next.len() < self.policy.target_members && !next.contains(&member) {
                next.push(member);
            }
        }
        next.sort();
        next
    }

    /// The current voters, whether or not they have reported, without those that have lost their disks. Empty
    /// in epoch 0, whose voters have no identities.
    fn remaining_voters(&self) -> Vec<MemberId> {
        if self.current.epoch == 0 {
            return Vec::new();
        }
        let voters = self.current.voters.iter().copied();
        voters
            .filter(|&voter| !self.has_lost_its_disk(voter))
            .collect()
    }

    /// Whether the address of `voter` is now used by another identity.
    fn has_lost_its_disk(&self, voter: MemberId) -> bool {
        self.learners.iter().any(|learner| {
            learner.member.address == voter.address && learner.member.identity != voter.identity
        })
    }
}
