//! What is known of one incarnation of a replica, and how two statuses of it are merged: alike by core machines
//! ([`Registry`](crate::Registry)) and their observers ([`ReplicaTable`](crate::replica_table::ReplicaTable)).
//!
//! Statuses are ordered by the replica's own `sequence`; at the same sequence a departure is the newer one. A
//! merge takes the larger status. It is commutative and idempotent, so that all machines reach the same state
//! in whatever order messages arrive, and however often.

use std::cmp::Ordering;

use crate::replica::ReplicaRecord;

/// Why a replica has departed. On the wire by the order of the variants.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, speedy::Readable, speedy::Writable,
)]
pub enum Departure {
    /// No core machine has received a heartbeat within the time-out. A later heartbeat restores it.
    Unresponsive,
    /// Another incarnation serves at its address. A later heartbeat restores it.
    Superseded,
    /// The replica deregistered itself. Final.
    Deregistered,
}

/// A replica's status with the identifier of its incarnation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IdentifiedStatus {
    /// Identifier of the incarnation.
    pub id: String,
    /// Its newest status.
    pub status: ReplicaStatus,
}

/// Newest status of one incarnation of a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplicaStatus {
    /// It is registered.
    Registered(ReplicaRecord),
    /// It has departed: a tombstone.
    Departed {
        /// Last sequence number that this departure covers; `u64::MAX` if it is final.
        sequence: u64,
        /// Why it has departed.
        departure: Departure,
    },
}

impl ReplicaStatus {
    /// The final tombstone of a replica that has deregistered itself.
    pub fn deregistered() -> Self {
        Self::Departed {
            sequence: u64::MAX,
            departure: Departure::Deregistered,
        }
    }

    /// The replica's sequence number that this status covers.
    pub fn sequence(&self) -> u64 {
        match self {
            Self::Registered(record) => record.heartbeat.sequence,
            Self::Departed { sequence, .. } => *sequence,
        }
    }

    /// The record, if the replica is registered.
    pub fn record(&self) -> Option<&ReplicaRecord> {
        match self {
            Self::Registered(record) => Some(record),
            Self::Departed { .. } => None,
        }
    }

    /// Whether this status replaces `other`.
    pub fn is_newer_than(&self, other: &Self) -> bool {
        self.compare(other) == Ordering::Greater
    }

    /// Total order of the statuses of one incarnation.
    pub fn compare(&self, other: &Self) -> Ordering {
        self.sequence()
            .cmp(&other.sequence())
            .then_with(|| match (self, other) {
                (Self::Registered(_), Self::Departed { .. }) => Ordering::Less,
                (Self::Departed { .. }, Self::Registered(_)) => Ordering::Greater,
                (Self::Registered(one), Self::Registered(two)) => one.cmp(two),
                (Self::Departed { departure: one, .. }, Self::Departed { departure: two, .. }) => {
                    one.cmp(two)
                }
            })
    }
}
