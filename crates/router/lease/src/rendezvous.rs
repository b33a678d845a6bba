//! Rendezvous hashing (Thaler and Ravishankar, 1998): each role has its own order of members, and all members compute
//! the same one.

use crate::role::Role;
use woadreach_membership::{MemberId, splitmix64};

/// Returns the sort key of a member in the order for a role. Members with lower keys are preferred.
pub(crate) fn weight(role: Role, member: MemberId) -> u64 {
    let input = u64::from(role.number()) << 16 | u64::from(member.0);
    splitmix64(input)
}

/// Returns the first `limit` of these members in the order for a role.
pub(crate) fn select(role: Role, mut members: Vec<MemberId>, limit: usize) -> Vec<MemberId> {
    members.sort_unstable_by_key(|member| weight(role, *member));
    members.truncate(limit);
    members
}

/// Returns the acceptors of a role. They are selected from the complete roster and never from the live members only:
/// each side of a partition may have a majority of the members that it considers alive.
pub(crate) fn acceptors(role: Role, roster_size: usize, limit: usize) -> Vec<MemberId> {
    let roster: Vec<MemberId> = (0..roster_size as u16).map(MemberId).collect();
    if roster.len() > limit {
        select(role, roster, limit)
    } else {
        roster
    }
}
