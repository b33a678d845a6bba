//! Choice of the next view from what its voters report.
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
    let floor = next_floor(current, voters);
    let chain = next_chain(current, floor, voters, learners, policy, are_connected)?;
    let voters = next_voters(current, &chain, voters, learners, policy);
    Ok(View {
        epoch: current.epoch + 1,
        voters,
        chain,
        floor,
    })
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

/// The floor of the next view. A commit needs every member of the chain, and a chain that intersects every
/// majority. If the chain doesn't, or if one of its members has sealed the epoch without having been active
/// in it, nothing was committed in the epoch and the floor stays.
fn next_floor(current: &View, voters: &[Candidate]) -> u64 {
    if !current.meets_every_majority() {
        return current.floor;
    }
    let mut chain = voters
        .iter()
        .filter(|voter| current.chain.contains(&voter.member));
    if chain.any(|voter| voter.active_epoch < current.epoch) {
        current.floor
    } else {
        current.epoch
    }
}

fn next_chain(
    current: &View,
    floor: u64,
    voters: &[Candidate],
    learners: &[Candidate],
    policy: Policy,
    are_connected: &dyn Fn(MemberId, MemberId) -> bool,
) -> Result<Vec<MemberId>, PlanError> {
    let chain_index = |member: MemberId| {
        let found = current.chain.iter().position(|&other| other == member);
        found.unwrap_or(current.chain.len())
    };
    let complete = voters.iter().filter(|voter| voter.active_epoch >= floor);
    let base = complete.max_by_key(|voter| {
        (
            voter.can_replicate,
            voter.position,
            Reverse(chain_index(voter.member)),
        )
    });
    let base = base.ok_or(PlanError::NoCompleteMember)?;

    let mut ordered: Vec<Candidate> = voters.to_vec();
    ordered.sort_by_key(|voter| (chain_index(voter.member), voter.member));
    ordered.extend_from_slice(learners);

    let mut chain = vec![*base];
    let mut extend = |can_replicate: bool, length: usize| {
        while chain.len() < length {
            let Some(next) = next_member(&ordered, can_replicate, &chain, policy, are_connected)
            else {
                return;
            };
            chain.push(next);
        }
    };
    extend(true, policy.replicas);
    // A chain with a member that is shutting down or syncs slowly is better than one that commits nothing.
    extend(false, policy.minimum);
    Ok(chain
        .into_iter()
        .map(|candidate| candidate.member)
        .collect())
}

/// The candidate that reaches every member of `chain` and shares its failure domain with the fewest of them;
/// the first in `ordered` where several do.
fn next_member(
    ordered: &[Candidate],
    can_replicate: bool,
    chain: &[Candidate],
    policy: Policy,
    are_connected: &dyn Fn(MemberId, MemberId) -> bool,
) -> Option<Candidate> {
    let others = ordered.iter().filter(|candidate| {
        candidate.can_replicate == can_replicate
            && chain.iter().all(|other| other.member != candidate.member)
    });
    let reaching = others.filter(|candidate| {
        chain
            .iter()
            .all(|other| are_connected(candidate.member, other.member))
    });
    reaching
        .min_by_key(|candidate| {
            let domains = chain.iter().map(|other| other.failure_domain);
            policy.crowding(candidate.failure_domain, domains)
        })
        .copied()
}

fn next_voters(
    current: &View,
    chain: &[MemberId],
    voters: &[Candidate],
    learners: &[Candidate],
    policy: Policy,
) -> Vec<MemberId> {
    let mut next: Vec<MemberId> = chain.to_vec();
    let mut add = |member: MemberId| {
        if next.len() < policy.replicas && !next.contains(&member) {
            next.push(member);
        }
    };
    let reported = voters.iter().filter(|voter| voter.can_replicate);
    reported.for_each(|voter| add(voter.member));
    let new = learners.iter().filter(|learner| learner.can_replicate);
    new.for_each(|learner| add(learner.member));
    if current.epoch > 0 {
        let unreported = current
            .voters
            .iter()
            .filter(|voter| !has_lost_its_disk(**voter, learners));
        unreported.for_each(|&voter| add(voter));
    }
    next.sort();
    next
}

/// Whether the address of `voter` is now used by another identity.
fn has_lost_its_disk(voter: MemberId, learners: &[Candidate]) -> bool {
    learners.iter().any(|learner| {
        learner.member.address == voter.address && learner.member.identity != voter.identity
    })
}
