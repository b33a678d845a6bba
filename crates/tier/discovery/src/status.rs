//! Status of one incarnation of a replica, and the order by which two statuses are merged. Core machines
//! ([`Registry`](crate::Registry)) and observers ([`ReplicaTable`](crate::replica_table::ReplicaTable)) use the same
//! order.
//!
//! Statuses are ordered by the replica's own `sequence`; with equal sequence numbers, a departure is newer. A merge
//! selects the newer status. It is commutative, associative and idempotent, so all machines reach the same state
//! regardless of the order and repetition of messages.

use std::cmp::Ordering;

use crate::replica::{ReplicaRecord, ReplicaState};

/// Why a replica has departed. Encoded by position, so the order of the variants must not change.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, speedy::Readable, speedy::Writable,
)]
pub enum Departure {
    /// A core machine expired the replica, because it received no heartbeat within the time-out. A later heartbeat
    /// registers the replica again.
    Unresponsive,
    /// Another incarnation registered at the same address. A later heartbeat registers the replica again.
    Superseded,
    /// The replica deregistered itself. Final.
    Deregistered,
}

/// Status of a replica with the identifier of its incarnation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IdentifiedStatus {
    /// Identifier of the replica's incarnation.
    pub id: String,
    /// Newest status of the incarnation.
    pub status: ReplicaStatus,
}

/// Newest status of one incarnation of a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplicaStatus {
    /// The replica is registered.
    Registered(ReplicaRecord),
    /// Tombstone: the replica has departed.
    Departed {
        /// Last sequence number that the departure covers; `u64::MAX` if the departure is final.
        sequence: u64,
        /// Reason of the departure.
        departure: Departure,
    },
}

impl ReplicaStatus {
    /// Final tombstone of a replica that has deregistered.
    pub fn deregistered() -> Self {
        Self::Departed {
            sequence: u64::MAX,
            departure: Departure::Deregistered,
        }
    }

    /// Sequence number up to which this status covers the replica's heartbeats.
    pub fn sequence(&self) -> u64 {
        match self {
            Self::Registered(record) => record.heartbeat.sequence,
            Self::Departed { sequence, .. } => *sequence,
        }
    }

    /// Record of the replica; `None` if it has departed.
    pub fn record(&self) -> Option<&ReplicaRecord> {
        match self {
            Self::Registered(record) => Some(record),
            Self::Departed { .. } => None,
        }
    }

    /// Whether the replica is draining or has departed, so that it must receive no new requests.
    pub fn is_departure(&self) -> bool {
        self.record()
            .is_none_or(|record| record.heartbeat.state == ReplicaState::Draining)
    }

    /// Whether this status, which replaces `previous`, is a departure that `previous` does not cover. A draining replica
    /// repeats its heartbeat; only the first one is new.
    pub fn is_new_departure(&self, previous: Option<&Self>) -> bool {
        let is_covered = previous.is_some_and(|previous| {
            previous == self || (previous.is_draining() && self.is_draining())
        });
        self.is_departure() && !is_covered
    }

    fn is_draining(&self) -> bool {
        self.record()
            .is_some_and(|record| record.heartbeat.state == ReplicaState::Draining)
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
                (Self::Registered(left), Self::Registered(right)) => left.cmp(right),
                (
                    Self::Departed {
                        departure: left, ..
                    },
                    Self::Departed {
                        departure: right, ..
                    },
                ) => left.cmp(right),
            })
    }
}
