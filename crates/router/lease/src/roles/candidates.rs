//! Selection of the candidates for each role.

use super::SingletonRoles;
use crate::rendezvous;
use crate::role::Role;
use std::collections::BTreeMap;
use woadreach_membership::{MemberId, View};

/// Limit on the number of candidates for a role, which are selected by a hash of role and member. More candidates would
/// only compete with each other. If all of them crash, membership removes them from the view within seconds.
pub(super) const MAX_CANDIDATES: usize = 3;

impl SingletonRoles {
    /// Returns the candidates for each role. There are none while this member is partitioned, since it could not renew
    /// a lease.
    pub(super) fn candidates(&self, view: &View) -> BTreeMap<Role, Vec<MemberId>> {
        let mut candidates = BTreeMap::new();
        if view.is_partitioned {
            return candidates;
        }
        let watch = Role::EndpointWatch(self.member.zone);
        let in_zone = members_in_zone(view, self.member.zone);
        candidates.insert(watch, rendezvous::select(watch, in_zone, MAX_CANDIDATES));
        if self.quota_share.is_some() {
            for bucket in 0..self.bucket_count {
                let allocator = Role::QuotaAllocator(bucket);
                candidates.insert(allocator, allocator_candidates(view, allocator));
            }
        }
        candidates
    }
}

/// Returns the live members of a zone.
pub(super) fn members_in_zone(view: &View, zone: u8) -> Vec<MemberId> {
    view.live
        .iter()
        .filter(|(_, member_zone)| **member_zone == zone)
        .map(|(member, _)| *member)
        .collect()
}

/// Returns the candidates for the role of a quota allocator, which are selected from the live members of all zones.
pub(super) fn allocator_candidates(view: &View, role: Role) -> Vec<MemberId> {
    let members = view.live.keys().copied().collect();
    rendezvous::select(role, members, MAX_CANDIDATES)
}
