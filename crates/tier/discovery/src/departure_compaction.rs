//! Decides when a snapshot of the departures in the registry replaces the log of departures on disk, without I/O and
//! clock. Driven by the task that writes departures ([`departure_journal`](crate::departure_journal)).
//!
//! | state | event | next |
//! | --- | --- | --- |
//! | idle | the log is longer than [`COMPACTION_BYTES`] and than the last snapshot | running |
//! | idle | the registry has dropped departures that the disk may have, and the disk was compacted more than [`TOMBSTONE_TTL`] ago | running |
//! | running | the snapshot is written, or superseded by a newer one | idle |
//! | running | writing the snapshot fails | idle; no compaction for [`RETRY_INTERVAL`] |
//!
//! The second rule bounds the age of what a start restores: a departure leaves the disk at most twice [`TOMBSTONE_TTL`]
//! after the machine recorded or restored it, however short the log is.

use std::time::Duration;

use crate::registry::TOMBSTONE_TTL;

/// Length of the log in bytes above which a snapshot replaces it, if the log is also longer than the last snapshot.
pub const COMPACTION_BYTES: u64 = 1 << 20;
/// Interval between attempts to write a snapshot, if the last one failed.
pub const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// What the disk and the registry have at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogState {
    /// Bytes of the log since its last snapshot.
    pub log_bytes: u64,
    /// Number of departures that the registry has dropped since the start of the process.
    pub dropped_departures: u64,
}

/// Schedule of the snapshots. Times are since the start of the process.
#[derive(Debug, Default)]
pub struct DepartureCompaction {
    is_running: bool,
    /// Bytes of the last snapshot; 0 before the first.
    snapshot_bytes: u64,
    /// [`LogState::dropped_departures`] when the last snapshot was taken; 0 before the first.
    dropped_before_snapshot: u64,
    /// Time of the last snapshot; the start of the process before the first.
    compacted_at: Duration,
    /// Earliest time of the next snapshot.
    not_before: Duration,
}

impl DepartureCompaction {
    /// Whether a snapshot has to replace the log at `now`.
    pub fn is_due(&self, now: Duration, log: LogState) -> bool {
        let is_long = log.log_bytes > COMPACTION_BYTES.max(self.snapshot_bytes);
        let has_dropped = log.dropped_departures > self.dropped_before_snapshot;
        let is_old = now.saturating_sub(self.compacted_at) >= TOMBSTONE_TTL;
        !self.is_running && now >= self.not_before && (is_long || (has_dropped && is_old))
    }

    /// Records that a snapshot of `snapshot_bytes` bytes was taken at `now`, and is being written.
    pub fn begin(&mut self, now: Duration, log: LogState, snapshot_bytes: u64) {
        *self = Self {
            is_running: true,
            snapshot_bytes,
            dropped_before_snapshot: log.dropped_departures,
            compacted_at: now,
            not_before: now,
        };
    }

    /// Records that the snapshot is on disk, or superseded by a newer one.
    pub fn end(&mut self) {
        self.is_running = false;
    }

    /// Records that writing the snapshot failed at `now`. The log still has what the registry has dropped.
    pub fn fail(&mut self, now: Duration) {
        *self = Self {
            not_before: now + RETRY_INTERVAL,
            ..Self::default()
        };
    }
}
