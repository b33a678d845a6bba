//! Tracks which departures in a [`Registry`](crate::Registry) are on this machine's disk.
//!
//! A departure is acknowledged once the disks of a majority have it, so that it outlasts any restart of the core
//! machines. The registry queues each new departure here. The driver writes the queued ones in batches, one batch at a
//! time:
//!
//! | state of a departure | event | next |
//! | --- | --- | --- |
//! | none | the registry records it | queued |
//! | queued | the driver takes the next batch | being written |
//! | being written | the batch is synced | on disk |
//! | being written | the write fails; the driver writes a snapshot of the whole registry | being written |
//! | being written, on disk | the registry records a newer departure of the same replica | queued |

use std::collections::{BTreeMap, BTreeSet};

/// Departures that are to be written to disk together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DepartureBatch {
    /// Number to pass to [`DepartureLog::record_synced`] once the batch is on disk. Greater than that of every earlier
    /// batch.
    pub number: u64,
    /// Ids of the replicas whose newest departures belong to the batch.
    pub ids: BTreeSet<String>,
}

/// Departures that are not on this machine's disk yet.
#[derive(Debug, Default)]
pub struct DepartureLog {
    /// Number of the last departure that was recorded; 0 before the first.
    last_number: u64,
    /// Ids of the departures that no batch contains yet.
    queued: BTreeSet<String>,
    /// Numbers of the newest departures that are not on disk, by the id of the replica.
    unsynced: BTreeMap<String, u64>,
    /// Number of departures that the registry has dropped.
    dropped_count: u64,
}

impl DepartureLog {
    /// Queues a new departure of the replica `id`.
    pub fn record(&mut self, id: &str) {
        self.last_number += 1;
        self.queued.insert(id.to_owned());
        self.unsynced.insert(id.to_owned(), self.last_number);
    }

    /// Removes the departure of `id`, whose tombstone the registry has dropped, so that a stalled disk does not let the log
    /// grow without limit.
    pub fn drop_departure(&mut self, id: &str) {
        self.dropped_count += 1;
        self.queued.remove(id);
        self.unsynced.remove(id);
    }

    /// Number of departures that the registry has dropped since the start of the process. The disk has them until a
    /// snapshot replaces its log.
    pub fn dropped_count(&self) -> u64 {
        self.dropped_count
    }

    /// Whether any departure is queued.
    pub fn has_queued(&self) -> bool {
        !self.queued.is_empty()
    }

    /// Number of departures that are not on disk.
    pub fn unsynced_count(&self) -> usize {
        self.unsynced.len()
    }

    /// Takes all queued departures; `None` if there are none. The caller has to write their current statuses.
    pub fn next_batch(&mut self) -> Option<DepartureBatch> {
        self.has_queued().then(|| DepartureBatch {
            number: self.last_number,
            ids: std::mem::take(&mut self.queued),
        })
    }

    /// Number of the last departure that was recorded; 0 before the first. A snapshot of the whole registry has all
    /// departures up to it.
    pub fn last_number(&self) -> u64 {
        self.last_number
    }

    /// Records that all departures up to `number` are on disk.
    pub fn record_synced(&mut self, number: u64) {
        self.unsynced
            .retain(|_, unsynced_number| *unsynced_number > number);
    }

    /// Number up to which departures must be synced until the newest departure of `id` is on disk. `None` if it is, or
    /// if there is none.
    pub fn unsynced_number(&self, id: &str) -> Option<u64> {
        self.unsynced.get(id).copied()
    }
}
