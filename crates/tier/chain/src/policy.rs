//! How many members a view has, and how they are spread, as the settings ask for. Applied when the next view
//! is planned (`plan`), and by the tail, which commits only in a chain that is long enough.

use crate::failure_domain::FailureDomain;

/// Largest losses that the core must survive, each counted as if it came alone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tolerance {
    /// Number of machines that may be lost at once.
    pub machines: usize,
    /// Number of zones that may be lost at once.
    pub zones: usize,
    /// Number of regions that may be lost at once.
    pub regions: usize,
}

/// Sizes of a view and the spread of its members, derived from a [`Tolerance`] of `f` losses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Target number of voters, and of members of the chain: `2f + 1`.
    pub target_members: usize,
    /// Length of the chain below which it commits nothing: `f + 1`.
    pub min_chain_length: usize,
    /// Whether members should be in different zones.
    pub spread_zones: bool,
    /// Whether members should be in different regions.
    pub spread_regions: bool,
}

/// How many of the chosen members share a failure domain with a candidate. Compared region first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Crowding {
    /// Members in the same region; 0 where regions don't matter.
    region: usize,
    /// Members in the same zone of the same region; 0 where zones don't matter.
    zone: usize,
}

impl Policy {
    /// The policy that survives these losses. If zones or regions may be lost, members are spread over them,
    /// so that losing one of them costs no more than the tolerated number of members.
    pub fn tolerating(tolerance: Tolerance) -> Policy {
        let faults = tolerance
            .machines
            .max(tolerance.zones)
            .max(tolerance.regions);
        Policy {
            target_members: 2 * faults + 1,
            min_chain_length: faults + 1,
            spread_zones: tolerance.zones > 0,
            spread_regions: tolerance.regions > 0,
        }
    }

    /// How crowded the domain of a candidate already is by the members whose domains are `chosen`; lower is
    /// better.
    pub(crate) fn crowding(
        &self,
        candidate: FailureDomain,
        chosen: impl Iterator<Item = FailureDomain> + Clone,
    ) -> Crowding {
        let in_region = chosen
            .clone()
            .filter(|other| other.region == candidate.region)
            .count();
        let in_zone = chosen.filter(|other| *other == candidate).count();
        Crowding {
            region: if self.spread_regions { in_region } else { 0 },
            zone: if self.spread_zones { in_zone } else { 0 },
        }
    }
}
