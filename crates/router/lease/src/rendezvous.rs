//! Rendezvous hashing: an order of members for each role that is the same at every member (Thaler and Ravishankar,
//! 1998).

use crate::role::Role;
use woadreach_membership::MemberId;

/// A member's position for a role; lower comes first. It is a SplitMix64 hash.
pub(crate) fn weight(role: Role, member: MemberId) -> u64 {
    let input = u64::from(role.number()) << 16 | u64::from(member.0);
    let mut hash = input.wrapping_add(0x9e37_79b9_7f4a_7c15);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
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
