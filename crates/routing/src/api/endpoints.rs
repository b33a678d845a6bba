//! Replicas and zones, as discovery lists them and as the tier agrees on them.

use super::{CellId, ReplicaId, Seconds, Share, WarmReplicas, ZoneId};
use std::collections::{BTreeMap, BTreeSet};

/// A replica in the endpoint list.
#[derive(Clone, Debug)]
pub struct ListedReplica {
    /// Its name.
    pub replica: ReplicaId,
    /// Whether it may be sent new work; false while it drains and once it has departed.
    pub open: bool,
    /// Its failure domain.
    pub zone: ZoneId,
    /// The cell whose shards it holds.
    pub cell: CellId,
    /// When its process started, if that was recent; absent for a process that has long been warm.
    pub ready_at: Option<Seconds>,
}

/// A group of zones to be preferred.
#[derive(Clone, Debug, PartialEq)]
pub struct NearZones {
    /// The zones.
    pub zones: BTreeSet<ZoneId>,
    /// Share of all parts that may go to this group or to a nearer one.
    pub cumulative_share: Share,
}

/// What the co-ordinators of the tier have agreed on about zones.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ZoneFailoverState {
    /// Share of its traffic that each zone may have: 0 while it is ejected, 1 while it serves, between them
    /// while it is being restored; 1 for a zone that isn't named.
    pub shares: BTreeMap<ZoneId, Share>,
    /// Groups of zones to be preferred, nearest first.
    pub near: Vec<NearZones>,
}

/// This co-ordinator's latest observations of a zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneHealth {
    /// The zone.
    pub zone: ZoneId,
    /// Number of recent outcomes and overdue parts.
    pub seen: usize,
    /// How many of them were failed, late or overdue.
    pub failed: usize,
    /// Capacity of its open replicas.
    pub capacity: WarmReplicas,
}

/// This co-ordinator's demand on a replica that is warming up.
#[derive(Clone, Debug, PartialEq)]
pub struct SlowStartDemand {
    /// The replica.
    pub replica: ReplicaId,
    /// Number of parts that slow start has kept from it so far.
    pub suppressed: u64,
    /// Whether it was sent any part within the overload window.
    pub sent: bool,
}
