//! The roles of which a tier or a zone has one each.

use serde::{Deserialize, Serialize};

/// Work that one member does on behalf of others. Its `Debug` text is the `role` field of log events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Role {
    /// Passes on to the members of this zone which replicas drain or have departed by its own endpoint list.
    EndpointWatch(u8),
    /// Allocates the request quota of warming replicas whose keys fall into this bucket.
    QuotaAllocator(u8),
}

impl Role {
    /// A number that is unique among roles.
    pub(crate) fn number(self) -> u32 {
        match self {
            Role::EndpointWatch(zone) => u32::from(zone),
            Role::QuotaAllocator(bucket) => 256 + u32::from(bucket),
        }
    }
}
