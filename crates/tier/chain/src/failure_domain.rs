//! Failure domains: zones and regions, whose machines may fail together. Heartbeats report the domain of their
//! sender, and the members of a view are spread over several domains.

use speedy::{Readable, Writable};

/// Zone and region of a machine, as digests of their names.
///
/// Machines of one zone or region may fail together. The [`Policy`](crate::Policy) determines whether the
/// members of a view are spread over zones or regions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct FailureDomain {
    /// Digest of the zone's name.
    pub zone: u32,
    /// Digest of the region's name.
    pub region: u32,
}

impl FailureDomain {
    /// The failure domain of a machine in the zone and the region with these names.
    pub fn named(zone: &str, region: &str) -> FailureDomain {
        FailureDomain {
            zone: digest(zone),
            region: digest(region),
        }
    }
}

/// Digest of a name (FNV-1a, 32 bits).
fn digest(name: &str) -> u32 {
    name.bytes().fold(0x811c_9dc5, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193)
    })
}
