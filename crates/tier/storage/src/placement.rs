//! Placement of programs on machines, and the sizes of quorums.
//!
//! Every machine is ranked by rendezvous hashing (Thaler & Ravishankar, 1998) of its name and the program's. Machines
//! of zones that are not represented yet come first.

use woadreach_routing::rendezvous::rank;

use crate::view::StorageMember;

/// The machines that hold `program`: the first `2f + 1` of `members` by rank, for `f` tolerated losses, of different
/// zones as far as there are any. The rank comes from the name, so a machine keeps it with a new disk.
#[must_use]
pub fn group<'a>(
    members: &'a [StorageMember],
    program: &str,
    tolerated: usize,
) -> Vec<&'a StorageMember> {
    let size = group_size(members.len(), tolerated);
    let mut ranked: Vec<_> = members
        .iter()
        .map(|member| (rank(program.as_bytes(), &member.node), member))
        .collect();
    ranked.sort_by(|left, right| {
        right
            .0
            .cmp(&left.0)
            .then_with(|| left.1.node.cmp(&right.1.node))
    });
    let mut chosen: Vec<&StorageMember> = Vec::with_capacity(size);
    while chosen.len() < size {
        let mut zones: Vec<&str> = Vec::new();
        ranked.retain(|(_, member)| {
            let fresh = chosen.len() < size && !zones.contains(&member.zone.as_str());
            if fresh {
                zones.push(&member.zone);
                chosen.push(member);
            }
            !fresh
        });
    }
    chosen
}

/// Whether `node` belongs to the group of `program`.
#[must_use]
pub fn holds(members: &[StorageMember], program: &str, tolerated: usize, node: &str) -> bool {
    group(members, program, tolerated)
        .iter()
        .any(|member| member.node == node)
}

/// Size of a group out of `members` machines.
#[must_use]
pub fn group_size(members: usize, tolerated: usize) -> usize {
    members.min(2 * tolerated + 1)
}

/// Number of machines of a group that must have synced a write.
#[must_use]
pub fn write_quorum(group: usize, tolerated: usize) -> usize {
    (tolerated + 1).max(group / 2 + 1)
}

/// Number of machines of a group that must answer a read, so that it intersects every write.
#[must_use]
pub fn read_quorum(group: usize, tolerated: usize) -> usize {
    (group + 1)
        .saturating_sub(write_quorum(group, tolerated))
        .max(1)
}
