//! Configuration of one run of a scenario.

use crate::error::{ClusterSizeSnafu, PlayError, RegionCountSnafu};
use crate::scenario::Scenario;
use snafu::ensure;
use std::ops::RangeInclusive;
use std::path::PathBuf;

/// Supported numbers of co-ordinators; the upper bound is the number of ports reserved for each replica.
const CO_ORDINATORS: RangeInclusive<usize> = 2..=16;
/// Supported numbers of zones.
const ZONES: RangeInclusive<usize> = 2..=8;

/// Configuration of one run of a scenario.
#[derive(Clone, Debug)]
pub struct PlayConfig {
    /// The faults to inject.
    pub scenario: Scenario,
    /// Number of co-ordinator processes, 2 to 16, assigned to the zones in rotation.
    pub co_ordinators: usize,
    /// Number of zones, 2 to 8.
    pub zones: usize,
    /// Number of regions, 1 to the number of zones. Each region consists of consecutive zones.
    pub regions: usize,
    /// Seed of all random choices.
    pub seed: u64,
    /// Path of the `woadreachd` binary under test.
    pub binary: PathBuf,
    /// Whether co-ordinators exchange datagrams with their peers. If false, each decides alone.
    pub has_peers: bool,
    /// Whether a co-ordinator prefers replicas of its own zone while that is safe.
    pub prefers_near: bool,
    /// Whether singleton roles require a lease. If false, each co-ordinator performs them for itself.
    pub has_roles: bool,
    /// Searches per second that clients send to each co-ordinator.
    pub searches_per_second: f64,
}

impl PlayConfig {
    pub(crate) fn check(&self) -> Result<(), PlayError> {
        let fits = CO_ORDINATORS.contains(&self.co_ordinators) && ZONES.contains(&self.zones);
        ensure!(fits, ClusterSizeSnafu);
        ensure!((1..=self.zones).contains(&self.regions), RegionCountSnafu);
        Ok(())
    }

    /// Index of the region of each zone.
    pub(crate) fn region_of_zones(&self) -> Vec<usize> {
        (0..self.zones)
            .map(|zone| zone * self.regions / self.zones)
            .collect()
    }
}
