//! Which members' reports decide.

use std::collections::BTreeMap;
use woadreach_membership::{MemberId, View, splitmix64};

/// A member's position among all members: the same at each of them, and different for any two.
pub(crate) fn rank(member: MemberId) -> u64 {
    splitmix64(u64::from(member.0))
}

/// The live members whose reports decide, the first by their rank.
#[derive(Debug, Default)]
pub(crate) struct Reporters {
    /// The version of the view that they were chosen from.
    view_version: u64,
    /// The zone of each.
    zones: BTreeMap<MemberId, u8>,
}

impl Reporters {
    /// Chooses them anew if the view has changed: 300 members are too many to sort for each datagram.
    pub(crate) fn update(&mut self, view: &View, limit: usize) {
        if self.view_version == view.version {
            return;
        }
        let mut members: Vec<MemberId> = view.live.keys().copied().collect();
        members.sort_unstable_by_key(|member| rank(*member));
        members.truncate(limit);
        self.view_version = view.version;
        self.zones = members
            .into_iter()
            .map(|member| (member, view.live[&member]))
            .collect();
    }

    pub(crate) fn contains(&self, member: MemberId) -> bool {
        self.zones.contains_key(&member)
    }

    /// The zone of a member by the membership; `None` if its reports don't decide. What a report says of its member's
    /// zone may be of another time.
    pub(crate) fn zone_of(&self, member: MemberId) -> Option<usize> {
        self.zones.get(&member).map(|zone| usize::from(*zone))
    }

    /// How many of them are outside a zone.
    pub(crate) fn count_outside(&self, zone: usize) -> usize {
        let zones = self.zones.values();
        zones.filter(|other| usize::from(**other) != zone).count()
    }
}
