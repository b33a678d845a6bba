//! Rendezvous hashing: an order of members for each role that is the same at every member (Thaler and Ravishankar,
//! 1998).

use crate::role::Role;
use woadreach_membership::{MemberId, splitmix64};

/// A member's position for a role; lower comes first.
pub(crate) fn weight(role: Role, member: MemberId) -> u64 {
    let input = u64::from(role.number()) << 16 | u64::from(member.0);
    splitmix64(input)
}

/// The first `limit` of these members for a role.
pub(crate) fn first(role: Role, mut members: Vec<MemberId>, limit: usize) -> Vec<MemberId> {
    members.sort_unstable_by_key(|member| weight(role, *member));
    members.truncate(limit);
    members
}

/// The acceptors of a role. They are chosen from the complete roster and never from its live members only: of two sides
/// of a partition each may have a majority of the members that it sees.
pub(crate) fn acceptors(role: Role, roster_size: usize, limit: usize) -> Vec<MemberId> {
    let roster: Vec<MemberId> = (0..roster_size as u16).map(MemberId).collect();
    if roster.len() > limit {
        first(role, roster, limit)
    } else {
        roster
    }
}
