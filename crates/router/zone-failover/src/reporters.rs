//! Selection of the members whose reports count for verdicts.

use std::collections::BTreeMap;
use woadreach_membership::{MemberId, View, splitmix64};

/// Returns the sort key of a member for the selection of reporters. It is unique, and the same at all members.
pub(crate) fn rank(member: MemberId) -> u64 {
    splitmix64(u64::from(member.0))
}

/// The reporters: the live members whose reports count for verdicts. They are the first in the order of [`rank`].
#[derive(Debug, Default)]
pub(crate) struct Reporters {
    /// Version of the view from which the reporters were selected.
    view_version: u64,
    /// Zone of each reporter, from the view.
    zones: BTreeMap<MemberId, u8>,
}

impl Reporters {
    /// Selects the reporters again if the view has changed. The result is cached, as sorting 300 members for each
    /// datagram is too expensive.
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

    /// Returns the zone of a member by membership; `None` if it is not a reporter. The zone in the report itself may be
    /// outdated.
    pub(crate) fn zone_of(&self, member: MemberId) -> Option<usize> {
        self.zones.get(&member).map(|zone| usize::from(*zone))
    }

    /// Returns the number of reporters outside a zone.
    pub(crate) fn count_outside(&self, zone: usize) -> usize {
        let zones = self.zones.values();
        zones.filter(|other| usize::from(**other) != zone).count()
    }
}
