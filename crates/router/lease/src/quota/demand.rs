//! Demand for the quota of warming replicas, and grants that answer it.

use crate::replica_key::ReplicaKey;
use serde::{Deserialize, Serialize};

/// One member's demand for a warming replica, as reported to the allocator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaDemand {
    /// Key of the replica.
    pub replica: ReplicaKey,
    /// Number of parts that the member would have sent to the replica since its last report; 0 if it releases its
    /// share.
    pub parts: u8,
}

/// Quota of a replica in addition to a member's even share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaGrant {
    /// Key of the replica.
    pub replica: ReplicaKey,
    /// Granted quota in 65,535ths of the replica's total quota.
    pub fraction: u16,
}

/// This member's demand for a warming replica, as counted by its driver.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LocalDemand {
    /// Key of the replica.
    pub replica: ReplicaKey,
    /// Number of parts that this member would have sent to the replica since the last update.
    pub parts: u32,
    /// Whether this member has sent the replica any part within the slow-start window.
    pub sent_recently: bool,
}
