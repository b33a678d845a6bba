//! What is to be played.

use crate::error::{ClusterSizeSnafu, PlayError, RegionCountSnafu};
use crate::scenario::Scenario;
use snafu::ensure;
use std::ops::RangeInclusive;
use std::path::PathBuf;

/// Numbers of processes that fit the addresses of a cluster.
const CO_ORDINATORS: RangeInclusive<usize> = 2..=16;
/// Numbers of zones that can be played.
const ZONES: RangeInclusive<usize> = 2..=8;

/// What is to be played.
#[derive(Clone, Debug)]
pub struct PlayConfig {
    /// The faults to inject.
    pub scenario: Scenario,
    /// Number of processes, 2 to 16; they are dealt out among the zones.
    pub co_ordinators: usize,
    /// Number of zones, 2 to 8.
    pub zones: usize,
    /// Number of regions, 1 to the number of zones; each is a run of zones.
    pub regions: usize,
    /// Seeds all random choices.
    pub seed: u64,
    /// The program under test.
    pub binary: PathBuf,
    /// Whether co-ordinators exchange messages. If not, each decides alone.
    pub has_peers: bool,
    /// Whether traffic stays in its zone while that is safe.
    pub prefers_near: bool,
    /// Whether singleton roles are held under leases. If not, each co-ordinator does them for itself.
    pub has_roles: bool,
    /// Searches that clients send to each co-ordinator in a second.
    pub searches_per_second: f64,
}

impl PlayConfig {
    pub(crate) fn check(&self) -> Result<(), PlayError> {
        let fits = CO_ORDINATORS.contains(&self.co_ordinators) && ZONES.contains(&self.zones);
        ensure!(fits, ClusterSizeSnafu);
        ensure!((1..=self.zones).contains(&self.regions), RegionCountSnafu);
        Ok(())
    }

    /// The region of each zone.
    pub(crate) fn region_of_zones(&self) -> Vec<usize> {
        (0..self.zones)
            .map(|zone| zone * self.regions / self.zones)
            .collect()
    }
}
