//! Demand for the quota of warming replicas, and grants of it.

use crate::replica_key::ReplicaKey;
use serde::{Deserialize, Serialize};

/// What one member reports to the allocator about a warming replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaDemand {
    /// The replica.
    pub replica: ReplicaKey,
    /// Parts that the member would have sent to it since its last report; 0 if it releases its share.
    pub parts: u8,
}

/// Quota of a replica beyond a member's even share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaGrant {
    /// The replica.
    pub replica: ReplicaKey,
    /// In 65,535ths of the replica's complete quota.
    pub fraction: u16,
}

/// What this member would send to a warming replica, as counted by its driver.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LocalDemand {
    /// The replica.
    pub replica: ReplicaKey,
    /// Parts that it would have sent there since the last update.
    pub parts: u32,
    /// Whether it has sent any within the slow-start window.
    pub sent_recently: bool,
}
