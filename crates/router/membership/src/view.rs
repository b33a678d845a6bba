//! Which members are alive, as one member sees it.

use crate::member::MemberId;
use std::collections::BTreeMap;

/// Which members are alive, as one member sees it. It counts itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct View {
    /// The live members, each with its zone.
    pub live: BTreeMap<MemberId, u8>,
    /// The number of members in the roster, alive or not.
    pub roster: usize,
    /// Whether this member seems to be cut off from the tier: it hears at most half of the roster, or its probes fail
    /// in succession. Members that it doesn't hear are then unheard, not dead, and nothing must be decided on their
    /// behalf. The cost: after a crash of half of the tier, which looks the same, nothing is decided in common until
    /// half of the members are back.
    pub cut_off: bool,
    /// Increases with each change of `live`, so that what is derived from it can be cached.
    pub version: u64,
}
