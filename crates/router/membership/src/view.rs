//! Which members are alive, as one member sees it.

use crate::member::MemberId;
use std::collections::BTreeMap;

/// Which members are alive, as one member sees it. It counts itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct View {
    /// The live members, each with its zone.
    pub live: BTreeMap<MemberId, u8>,
    /// The number of members in the roster, alive or not.
    pub roster_size: usize,
    /// Whether this member seems to be on the minority side of a partition: at most half of the roster is in `live`, or
    /// this member's own probes fail in succession. Members that are not in `live` may then be alive, and nothing must
    /// be decided on their behalf. The cost: a crash of half of the tier looks the same, so nothing is decided in
    /// common until more than half of the members are back.
    pub is_partitioned: bool,
    /// Increases with each change of `live`, so that what is derived from it can be cached.
    pub version: u64,
}

impl View {
    /// Whether more than half of the roster is alive.
    pub(crate) fn has_majority(&self) -> bool {
        self.live.len() * 2 > self.roster_size
    }
}
