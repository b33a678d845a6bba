//! Placement of programs on machines, and the sizes of quorums.
//!
//! Every machine is ranked by rendezvous hashing (Thaler & Ravishankar, 1998) of its name and the program's. Machines
//! of zones that are not yet represented in the group are preferred.

use std::cmp::Reverse;

use woadreach_routing::rendezvous::rank;

use crate::view::StorageMember;

/// The machines that store `program`: the first `2f + 1` of `members` by rank, for `f` tolerated losses, spread
/// over as many zones as possible. The rank depends on the name alone, so a new disk does not change it.
#[must_use]
pub fn group<'a>(
    members: &'a [StorageMember],
    program: &str,
    tolerated_losses: usize,
) -> Vec<&'a StorageMember> {
    let size = group_size(members.len(), tolerated_losses);
    let mut ranked: Vec<_> = members
        .iter()
        .map(|member| (rank(program.as_bytes(), &member.node), member))
        .collect();
    ranked.sort_by_key(|&(rank, member)| (Reverse(rank), member.node.as_str()));
    let mut chosen: Vec<&StorageMember> = Vec::with_capacity(size);
    // Each pass selects the highest-ranked remaining machine of every zone.
    while chosen.len() < size {
        let mut zones: Vec<&str> = Vec::new();
        ranked.retain(|(_, member)| {
            let is_taken = chosen.len() < size && !zones.contains(&member.zone.as_str());
            if is_taken {
                zones.push(&member.zone);
                chosen.push(member);
            }
            !is_taken
        });
    }
    chosen
}

/// Whether `node` belongs to the group of `program`.
#[must_use]
pub fn is_in_group(
    members: &[StorageMember],
    program: &str,
    tolerated_losses: usize,
    node: &str,
) -> bool {
    group(members, program, tolerated_losses)
        .iter()
        .any(|member| member.node == node)
}

/// Size of a group out of `members` machines.
#[must_use]
pub fn group_size(members: usize, tolerated_losses: usize) -> usize {
    members.min(2 * tolerated_losses + 1)
}

/// Number of machines of a group that must have synced a write.
#[must_use]
pub fn write_quorum(group: usize, tolerated_losses: usize) -> usize {
    (tolerated_losses + 1).max(group / 2 + 1)
}

/// Number of machines of a group that must answer a read, so that it intersects every write.
#[must_use]
pub fn read_quorum(group: usize, tolerated_losses: usize) -> usize {
    (group + 1)
        .saturating_sub(write_quorum(group, tolerated_losses))
        .max(1)
}
