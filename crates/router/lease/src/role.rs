//! The singleton roles: a tier or a zone has one holder of each.

use serde::{Deserialize, Serialize};

/// A task that one member performs for all others. Its `Debug` text is the `role` field of log events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Role {
    /// Notifies the members of this zone of the replicas that are draining or have departed, as reported by the
    /// endpoint list of the holder.
    EndpointWatch(u8),
    /// Allocates the request quota of the warming replicas in this bucket.
    QuotaAllocator(u8),
}

impl Role {
    /// Returns a number that is unique among roles.
    pub(crate) fn number(self) -> u32 {
        match self {
            Role::EndpointWatch(zone) => u32::from(zone),
            Role::QuotaAllocator(bucket) => 256 + u32::from(bucket),
        }
    }
}
