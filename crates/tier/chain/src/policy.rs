//! Policy of views: how many members a view should have, and over which failure domains they are spread. It
//! follows from the settings, is applied when the next view is planned (`plan`), and sets the length of the
//! chain below which the tail commits nothing.

use crate::failure_domain::FailureDomain;

/// Failures that the core must survive. The three numbers don't add up: each states which failures of its kind
/// are survived if no other failure occurs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tolerance {
    /// Number of machines that may fail at once.
    pub machines: usize,
    /// Number of zones that may fail at once.
    pub zones: usize,
    /// Number of regions that may fail at once.
    pub regions: usize,
}

/// Size of a view and spread of its members, derived from a [`Tolerance`]. `f` is the largest of its numbers.
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

/// How many of the chosen members share a failure domain with a candidate. Compared by region, then by zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct DomainOverlap {
    /// Number of members in the same region; 0 if members need not be spread over regions.
    region: usize,
    /// Number of members in the same zone of the same region; 0 if members need not be spread over zones.
    zone: usize,
}

impl Policy {
    /// The policy that survives the failures of `tolerance`. If zones or regions may fail, members are spread
    /// over them, so that such a failure affects no more members than the policy tolerates.
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

    /// How many of the members whose domains are `chosen` share a domain with the candidate; lower is better.
    pub(crate) fn domain_overlap(
        &self,
        candidate: FailureDomain,
        chosen: impl Iterator<Item = FailureDomain> + Clone,
    ) -> DomainOverlap {
        let in_region = chosen
            .clone()
            .filter(|other| other.region == candidate.region)
            .count();
        let in_zone = chosen.filter(|other| *other == candidate).count();
        DomainOverlap {
            region: if self.spread_regions { in_region } else { 0 },
            zone: if self.spread_zones { in_zone } else { 0 },
        }
    }
}
