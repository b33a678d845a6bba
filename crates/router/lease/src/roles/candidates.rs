//! Which members are candidates for which role.

use super::SingletonRoles;
use crate::rendezvous;
use crate::role::Role;
use std::collections::BTreeMap;
use woadreach_membership::{MemberId, View};

/// Limit on the candidates for a role, the first by a hash of role and member. More would only disturb each other, and
/// once all of these are dead the view drops them within seconds.
pub(super) const MAX_CANDIDATES: usize = 3;

impl SingletonRoles {
    /// The candidates for each role; none while this member is partitioned, since it could hold nothing for long.
    pub(super) fn candidates(&self, view: &View) -> BTreeMap<Role, Vec<MemberId>> {
        let mut candidates = BTreeMap::new();
        if view.is_partitioned {
            return candidates;
        }
        let watch = Role::EndpointWatch(self.member.zone);
        let in_zone = members_in_zone(view, self.member.zone);
        candidates.insert(watch, rendezvous::first(watch, in_zone, MAX_CANDIDATES));
        if self.quota_share.is_some() {
            for bucket in 0..self.bucket_count {
                let allocator = Role::QuotaAllocator(bucket);
                candidates.insert(allocator, allocator_candidates(view, allocator));
            }
        }
        candidates
    }
}

/// The live members of a zone.
pub(super) fn members_in_zone(view: &View, zone: u8) -> Vec<MemberId> {
    view.live
        .iter()
        .filter(|(_, member_zone)| **member_zone == zone)
        .map(|(member, _)| *member)
        .collect()
}

/// The candidates for a quota allocator's role, of the complete tier.
pub(super) fn allocator_candidates(view: &View, role: Role) -> Vec<MemberId> {
    let members = view.live.keys().copied().collect();
    rendezvous::first(role, members, MAX_CANDIDATES)
}
