//! Replicas of the endpoint list, and the state of zones that the tier agrees on.

use super::{CellId, ReplicaId, Seconds, Share, WarmReplicas, ZoneId};
use std::collections::{BTreeMap, BTreeSet};

/// A replica in the endpoint list, as discovery reports it.
#[derive(Clone, Debug)]
pub struct ListedReplica {
    /// Name of the replica.
    pub replica: ReplicaId,
    /// Whether the replica may be sent new work; false while it drains and after it has departed.
    pub open: bool,
    /// Zone of the replica.
    pub zone: ZoneId,
    /// Cell whose shards the replica holds.
    pub cell: CellId,
    /// Start time of the replica's process; `None` if the process has long been warm.
    pub ready_at: Option<Seconds>,
}

/// A group of zones that is preferred for a share of the parts.
#[derive(Clone, Debug, PartialEq)]
pub struct NearZones {
    /// Zones of the group.
    pub zones: BTreeSet<ZoneId>,
    /// Share of all parts that may be sent to this group and all nearer ones together.
    pub cumulative_share: Share,
}

/// Traffic restrictions and preferences by zone, agreed on by the co-ordinators of the tier.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ZoneFailoverState {
    /// Share of its normal traffic that each zone may be sent: 0 while the zone is ejected, a value between 0 and 1
    /// while it is being restored, and 1 otherwise. Zones that are not listed have 1.
    pub shares: BTreeMap<ZoneId, Share>,
    /// Preferred groups of zones, nearest first.
    pub near: Vec<NearZones>,
}

/// One co-ordinator's recent observations of a zone, reported to the tier.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneHealth {
    /// Observed zone.
    pub zone: ZoneId,
    /// Number of recent outcomes and overdue parts.
    pub seen: usize,
    /// Number of failed, late and overdue parts among them.
    pub failed: usize,
    /// Total capacity of the zone's open replicas.
    pub capacity: WarmReplicas,
}

/// One co-ordinator's demand on a replica that is warming up, reported to the tier.
#[derive(Clone, Debug, PartialEq)]
pub struct SlowStartDemand {
    /// Replica that is warming up.
    pub replica: ReplicaId,
    /// Number of times that slow start has prevented sending a part to the replica, since its process was listed.
    pub suppressed: u64,
    /// Whether the replica was sent a part within the last overload window.
    pub sent: bool,
}
