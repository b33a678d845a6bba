//! When the log is replaced by a snapshot, and what a failed append does to the journal.
//!
//! | state | event | next |
//! | --- | --- | --- |
//! | `Healthy` | the log is long | `Compacting`: appends go on |
//! | `Compacting` | the snapshot is written, or superseded by a newer one | `Healthy` |
//! | `Compacting` | the snapshot can't be written | `Healthy`, and none is begun for [`COMPACTION_RETRY_INTERVAL`] |
//! | `Healthy`, `Compacting` | an append fails, a snapshot is queued | `Repairing`: appends queue behind it |
//! | `Repairing` | the snapshot is written | `Healthy` |
//! | `Repairing` | the snapshot can't be written | `Broken`: nothing is appended |
//! | `Broken` | the next snapshot is queued | `Repairing` |

use std::time::Duration;

/// Length in bytes from which the log is replaced by a snapshot, if it is twice as long as the last snapshot
/// too.
pub const COMPACTION_BYTES: u64 = 8 << 20;
/// Interval between a compaction that failed and the next one.
pub const COMPACTION_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// State of the table above.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Records are appended.
    Healthy,
    /// A snapshot that replaces the log is queued; records are appended behind it.
    Compacting,
    /// An append and a repair have failed: no record is appended.
    Broken,
    /// A snapshot that has every record is queued; records are appended behind it.
    Repairing,
}

/// Whether the journal is healthy, being compacted, or being repaired.
#[derive(Debug)]
pub struct JournalHealth {
    phase: Phase,
    /// Bytes of the last snapshot.
    snapshot_bytes: u64,
    /// Earliest time of the next compaction, on the clock of [`JournalHealth::is_compaction_due`]. Repairs
    /// don't wait for it.
    not_before: Duration,
}

impl JournalHealth {
    /// The state of a journal that has just been opened.
    pub fn new() -> JournalHealth {
        JournalHealth {
            phase: Phase::Healthy,
            snapshot_bytes: 0,
            not_before: Duration::ZERO,
        }
    }

    /// Whether records may be appended.
    pub fn accepts_records(&self) -> bool {
        self.phase != Phase::Broken
    }

    /// Whether no append has failed since the last repair.
    pub fn is_healthy(&self) -> bool {
        matches!(self.phase, Phase::Healthy | Phase::Compacting)
    }

    /// Whether a log of `log_bytes` bytes is to be compacted at `now`, the time since the process started.
    pub fn is_compaction_due(&self, now: Duration, log_bytes: u64) -> bool {
        let is_long = log_bytes > COMPACTION_BYTES.max(2 * self.snapshot_bytes);
        is_long && self.phase == Phase::Healthy && now >= self.not_before
    }

    /// Records that a snapshot of `snapshot_bytes` bytes is queued, to replace the log.
    pub fn begin_compaction(&mut self, snapshot_bytes: u64) {
        self.snapshot_bytes = snapshot_bytes;
        self.phase = Phase::Compacting;
    }

    /// Records that the snapshot of a compaction is written, or superseded.
    pub fn end_compaction(&mut self) {
        if self.phase == Phase::Compacting {
            self.phase = Phase::Healthy;
        }
    }

    /// Records that the snapshot of a compaction can't be written.
    pub fn fail_compaction(&mut self, now: Duration) {
        self.not_before = now + COMPACTION_RETRY_INTERVAL;
        self.end_compaction();
    }

    /// Records that the snapshot of a repair can't be written.
    pub fn fail_repair(&mut self) {
        self.phase = Phase::Broken;
    }

    /// Records that a snapshot of `snapshot_bytes` bytes, with all records so far, is queued.
    pub fn begin_repair(&mut self, snapshot_bytes: u64) {
        self.snapshot_bytes = snapshot_bytes;
        self.phase = Phase::Repairing;
    }

    /// Records that the snapshot of a repair is written.
    pub fn end_repair(&mut self) {
        if self.phase == Phase::Repairing {
            self.phase = Phase::Healthy;
        }
    }
}

impl Default for JournalHealth {
    fn default() -> JournalHealth {
        JournalHealth::new()
    }
}
