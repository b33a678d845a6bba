//! The live members, as seen by one member.

use crate::member::MemberId;
use std::collections::BTreeMap;

/// The live members, as seen by one member, which is included.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct View {
    /// Zone of each live member, as a position in the settings' list of zones.
    pub live: BTreeMap<MemberId, u8>,
    /// Number of members in the roster, alive or not.
    pub roster_size: usize,
    /// Whether this member is probably on the minority side of a partition: at most half of the roster is in `live`, or
    /// several of this member's own probes have failed. Members that are not in `live` may then be alive, so no
    /// decision may be made for them. The drawback: a crash of half of the tier looks the same, so no common decisions
    /// are made until more than half of the members are alive again.
    pub is_partitioned: bool,
    /// Number that increases with each change of `live`, so that values derived from it can be cached.
    pub version: u64,
}

impl View {
    /// Whether more than half of the roster is alive.
    pub(crate) fn has_majority(&self) -> bool {
        self.live.len() * 2 > self.roster_size
    }
}
