//! Choice of the next view.

use std::cmp::Reverse;

use snafu::Snafu;

use crate::state::Stamp;
use crate::view::{MemberId, View};

/// Why no view can be proposed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum PlanError {
    /// Nobody in reach holds every write that may have been committed.
    #[snafu(display("no member in reach holds the complete state"))]
    NoCompleteMember,
}

/// A member that may be in the next view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    pub member: MemberId,
    /// The last epoch in which it was active in the chain.
    pub active_epoch: u64,
    pub stamp: Stamp,
    /// Whether it may be in a chain (neither leaving nor unable to sync).
    pub fit: bool,
}

/// How many members a view wants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Voters, and members of the chain: `2f + 1`.
    pub replicas: usize,
    /// Members without which the chain commits nothing: `f + 1`.
    pub minimum: usize,
}

impl Policy {
    /// The policy that bears the loss of `faults` members.
    pub fn tolerating(faults: usize) -> Policy {
        Policy { replicas: 2 * faults + 1, minimum: faults + 1 }
    }
}

/// The view after `current`.
///
/// `voters` are the voters of `current` that have reported, `learners` the other members in reach. The chain begins
/// with a member that holds every write that may have been committed; only members that reach each other (`linked`) are in it. Voters that have not reported
/// are replaced by learners, and are kept where there is none; one whose address has come back with another
/// identity has lost its disk and is dropped.
pub fn next_view(
    current: &View,
    voters: &[Candidate],
    learners: &[Candidate],
    policy: Policy,
    linked: &dyn Fn(MemberId, MemberId) -> bool,
) -> Result<View, PlanError> {
    let floor = next_floor(current, voters);
    let chain = next_chain(current, floor, voters, learners, policy, linked)?;
    let voters = next_voters(current, &chain, voters, learners, policy);
    Ok(View { epoch: current.epoch + 1, voters, chain, floor })
}

/// The floor of the next view. A commit needs every member of the chain: if one of them has sealed the epoch without
/// ever having been active in it, nothing was committed in it, and the earlier floor holds.
fn next_floor(current: &View, voters: &[Candidate]) -> u64 {
    let mut chain = voters.iter().filter(|voter| current.chain.contains(&voter.member));
    if chain.any(|voter| voter.active_epoch < current.epoch) { current.floor } else { current.epoch }
}

fn next_chain(
    current: &View,
    floor: u64,
    voters: &[Candidate],
    learners: &[Candidate],
    policy: Policy,
    linked: &dyn Fn(MemberId, MemberId) -> bool,
) -> Result<Vec<MemberId>, PlanError> {
    let position = |member: MemberId| {
        let found = current.chain.iter().position(|&other| other == member);
        found.unwrap_or(current.chain.len())
    };
    let complete = voters.iter().filter(|voter| voter.active_epoch >= floor);
    let base = complete.max_by_key(|voter| (voter.fit, voter.stamp, Reverse(position(voter.member))));
    let base = base.ok_or(PlanError::NoCompleteMember)?;

    let mut ordered: Vec<Candidate> = voters.to_vec();
    ordered.sort_by_key(|voter| (position(voter.member), voter.member));
    ordered.extend_from_slice(learners);

    let mut chain = vec![base.member];
    let mut extend = |fit: bool, length: usize| {
        for candidate in ordered.iter().filter(|candidate| candidate.fit == fit) {
            let member = candidate.member;
            let wanted = chain.len() < length && !chain.contains(&member);
            if wanted && chain.iter().all(|&other| linked(member, other)) {
                chain.push(member);
            }
        }
    };
    extend(true, policy.replicas);
    // Members that leave or sync slowly are better than a chain that commits nothing.
    extend(false, policy.minimum);
    Ok(chain)
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
    let reported = voters.iter().filter(|voter| voter.fit);
    reported.for_each(|voter| add(voter.member));
    let fresh = learners.iter().filter(|learner| learner.fit);
    fresh.for_each(|learner| add(learner.member));
    if current.epoch > 0 {
        let silent = current.voters.iter().filter(|voter| !has_lost_its_disk(**voter, learners));
        silent.for_each(|&voter| add(voter));
    }
    next.sort();
    next
}

/// Whether another member lives at the address of `voter`.
fn has_lost_its_disk(voter: MemberId, learners: &[Candidate]) -> bool {
    learners
        .iter()
        .any(|learner| learner.member.address == voter.address && learner.member.identity != voter.identity)
}
