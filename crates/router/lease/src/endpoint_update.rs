//! The message format of endpoint updates.

use crate::replica_key::ReplicaKey;
use serde::{Deserialize, Serialize};

/// Why a replica accepts no new requests. The variants are in order of time: a draining replica departs later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Departure {
    /// The replica finishes its current requests and accepts no new ones.
    Draining,
    /// The replica is no longer in the endpoint list.
    Departed,
}

/// Reports that one run of a replica accepts no new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointUpdate {
    /// Key of the replica and its run.
    pub replica: ReplicaKey,
    /// Reason why the replica accepts no new requests.
    pub departure: Departure,
}
