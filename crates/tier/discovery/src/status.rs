//! What is known of one incarnation of a replica, and how two accounts of it are joined.
//!
//! Accounts are ordered by the replica's own `sequence`; at the same sequence a departure is the later one.
//! The join takes the larger, so it gives the same result in whatever order accounts arrive, and however
//! often.

use std::cmp::Ordering;

use crate::replica::ReplicaRecord;

/// Why a replica is regarded as gone.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, speedy::Readable, speedy::Writable,
)]
pub enum Departure {
    /// No core machine has heard of it for some heartbeats. A later heartbeat brings it back.
    Unresponsive,
    /// Another incarnation serves at its address. A later heartbeat brings it back.
    Superseded,
    /// It said so itself. Final.
    Deregistered,
}

/// The newest account of one incarnation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplicaStatus {
    /// It is there.
    Present(ReplicaRecord),
    /// It is gone (a tombstone).
    Departed {
        /// Last sequence that this departure covers; the largest number if it is final.
        sequence: u64,
        /// Why.
        departure: Departure,
    },
}

impl ReplicaStatus {
    /// The tombstone of a replica that has said that it leaves.
    pub fn deregistered() -> Self {
        Self::Departed {
            sequence: u64::MAX,
            departure: Departure::Deregistered,
        }
    }

    /// The replica's sequence up to which this account reaches.
    pub fn sequence(&self) -> u64 {
        match self {
            Self::Present(record) => record.sequence,
            Self::Departed { sequence, .. } => *sequence,
        }
    }

    /// The record, if the replica is there.
    pub fn record(&self) -> Option<&ReplicaRecord> {
        match self {
            Self::Present(record) => Some(record),
            Self::Departed { .. } => None,
        }
    }

    /// Whether this account replaces `other`.
    pub fn is_newer_than(&self, other: &Self) -> bool {
        self.compare(other) == Ordering::Greater
    }

    /// Total order of the accounts of one incarnation.
    pub fn compare(&self, other: &Self) -> Ordering {
        self.sequence()
            .cmp(&other.sequence())
            .then_with(|| match (self, other) {
                (Self::Present(_), Self::Departed { .. }) => Ordering::Less,
                (Self::Departed { .. }, Self::Present(_)) => Ordering::Greater,
                (Self::Present(one), Self::Present(two)) => one.cmp(two),
                (Self::Departed { departure: one, .. }, Self::Departed { departure: two, .. }) => {
                    one.cmp(two)
                }
            })
    }
}
