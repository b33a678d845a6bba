//! Choice of the next view (reconfiguration) from what the voters of the current one report.
//!
//! [`next_view`] is a pure function of the reports. What it returns for the reports of a majority may be
//! proposed, unless one of them contains an accepted proposal, which must be proposed instead.

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
    /// No reporting voter is known to hold every write that may have been committed.
    #[snafu(display("no member in reach holds the complete state"))]
    NoCompleteMember,
}

/// A member that may be in the next view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The member.
    pub member: MemberId,
    /// The last epoch in which it was active in the chain.
    pub active_epoch: u64,
    /// Position of the last write in its state, committed or not.
    pub position: WritePosition,
    /// Whether it may be in a chain (neither leaving nor unable to sync).
    pub can_replicate: bool,
    /// Its zone and region.
    pub failure_domain: FailureDomain,
}

/// The view after `current`.
///
/// `voters` are the voters of `current` that have reported, and must be a majority of them; `learners` are
/// the other reachable members. The chain begins with a voter that holds every write that may have been
/// committed, and contains only members of which each two reach each other (`are_connected`). Voters that
/// have not reported are replaced by learners as far as there are any. A voter whose address is now used by
/// another identity has lost its disk and is dropped.
///
/// # Errors
///
/// [`PlanError::NoCompleteMember`] if no voter has been active in the floor or later.
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

/// `floor`, lowered past the epochs in which nothing was committed. A member that was active in the floor of
/// such an epoch holds every write committed before the epoch, and so every write committed up to its end.
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

/// What the next view is chosen from.
struct Reconfiguration<'a> {
    /// The view in force.
    current: &'a View,
    /// Its voters that have reported; must be a majority of them.
    voters: &'a [Candidate],
    /// Reachable members that are no voters.
    learners: &'a [Candidate],
    /// How many members the next view should have, and how they are spread.
    policy: Policy,
    /// Whether two members reach each other.
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

    /// The floor of the next view. A commit needs every member of the chain, and a chain that intersects
    /// every majority. If the chain doesn't, or if one of its members has sealed the epoch without having
    /// been active in it, nothing was committed in the epoch and the floor stays.
    fn next_floor(&self) -> u64 {
        let View { epoch, floor, .. } = *self.current;
        let mut chain = self
            .voters
            .iter()
            .filter(|voter| self.current.chain.contains(&voter.member));
        let may_have_committed =
            self.current.meets_every_majority() && chain.all(|voter| voter.active_epoch >= epoch);
        if may_have_committed { epoch } else { floor }
    }

    /// The chain of the next view: a voter with the complete state, then members that reach each other.
    fn next_chain(&self, floor: u64) -> Result<Vec<MemberId>, PlanError> {
        let head = self.next_head(floor)?;
        let preferred = self.in_order_of_preference();
        let mut chain = vec![head];
        self.extend(&mut chain, &preferred, true, self.policy.target_members);
        // A chain with a member that is shutting down or syncs slowly is better than one that commits
        // nothing.
        self.extend(&mut chain, &preferred, false, self.policy.min_chain_length);
        Ok(chain
            .into_iter()
            .map(|candidate| candidate.member)
            .collect())
    }

    /// The voter that begins the next chain: of those that hold every write that may have been committed, one
    /// that may replicate, with the newest state, as near to the current head as possible.
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

    /// The candidates in the order in which they are preferred: the current chain, the other voters,
    /// learners.
    fn in_order_of_preference(&self) -> Vec<Candidate> {
        let mut ordered = self.voters.to_vec();
        ordered.sort_by_key(|voter| (self.distance_from_head(voter.member), voter.member));
        ordered.extend_from_slice(self.learners);
        ordered
    }

    /// Index of a member in the current chain; the chain's length if it is outside.
    fn distance_from_head(&self, member: MemberId) -> usize {
        let chain = &self.current.chain;
        let found = chain.iter().position(|&other| other == member);
        found.unwrap_or(chain.len())
    }

    /// Appends members that may replicate, or others, until the chain has `length` members or there are none.
    fn extend(
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

    /// The candidate that reaches every member of `chain` and shares its failure domain with the fewest of
    /// them; the first where several do.
    fn next_member<'c>(
        &self,
        chain: &[Candidate],
        candidates: impl Iterator<Item = &'c Candidate>,
    ) -> Option<Candidate> {
        let others =
            candidates.filter(|next| chain.iter().all(|other| other.member != next.member));
        let reaching = others.filter(|next| {
            chain
                .iter()
                .all(|other| (self.are_connected)(next.member, other.member))
        });
        let least_crowded = reaching.min_by_key(|next| {
            let domains = chain.iter().map(|other| other.failure_domain);
            self.policy.crowding(next.failure_domain, domains)
        });
        least_crowded.copied()
    }

    /// The voters of the next view: its chain; then, up to the number of the policy, voters that have
    /// reported and may replicate, learners, and the remaining voters of the current view.
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

    /// The current voters, reported or not, without those that have lost their disks. None in epoch 0, whose
    /// voters have no identities.
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
