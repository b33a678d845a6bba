//! Updates of endpoints as they are sent.

use crate::replica_key::ReplicaKey;
use serde::{Deserialize, Serialize};

/// Why a replica takes no new requests. The order is that of time: a draining replica departs later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Departure {
    /// It finishes what it has and takes nothing new.
    Draining,
    /// The endpoint list no longer names it.
    Departed,
}

/// States that one run of a replica takes no new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointUpdate {
    /// The replica and its run.
    pub replica: ReplicaKey,
    /// Why it takes nothing new.
    pub departure: Departure,
}
