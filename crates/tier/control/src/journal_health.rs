//! State machine of the journal's maintenance: decides when a snapshot replaces the log, and how the journal
//! recovers from a failed append.
//!
//! | state | event | next |
//! | --- | --- | --- |
//! | `Healthy` | the log exceeds the compaction threshold | `Compacting`: appends continue |
//! | `Compacting` | the snapshot is written, or superseded by a newer snapshot | `Healthy` |
//! | `Compacting` | writing the snapshot fails | `Healthy`; no compaction for [`COMPACTION_RETRY_INTERVAL`] |
//! | `Healthy`, `Compacting` | an append fails and a snapshot is queued | `Repairing`: appends queue behind it |
//! | `Repairing` | the snapshot is written | `Healthy` |
//! | `Repairing` | writing the snapshot fails | `Broken`: no record is appended |
//! | `Broken` | the next snapshot is queued | `Repairing` |

use std::time::Duration;

/// Length in bytes above which a snapshot replaces the log, if the log is also more than twice as long as the
/// last snapshot.
pub const COMPACTION_BYTES: u64 = 8 << 20;
/// Minimum interval between a failed compaction and the next one.
pub const COMPACTION_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// State in the table at the head of this module.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Records are appended, and no snapshot is queued.
    Healthy,
    /// A snapshot that replaces the log is queued; records are appended behind it.
    Compacting,
    /// An append and the last repair have failed. No record is appended until the next repair begins.
    Broken,
    /// A snapshot that includes every earlier record is queued; records are appended behind it.
    Repairing,
}

/// Tracks whether the journal is healthy, is being compacted, is being repaired, or is broken.
#[derive(Debug)]
pub struct JournalHealth {
    phase: Phase,
    /// Size in bytes of the last snapshot queued by this process; 0 before the first.
    snapshot_bytes: u64,
    /// Earliest time of the next compaction, since the start of the process. Does not delay repairs.
    next_compaction_time: Duration,
}

impl JournalHealth {
    /// Creates the state of a newly opened journal.
    pub fn new() -> JournalHealth {
        JournalHealth {
            phase: Phase::Healthy,
            snapshot_bytes: 0,
            next_compaction_time: Duration::ZERO,
        }
    }

    /// Returns whether records may be appended.
    pub fn accepts_records(&self) -> bool {
        self.phase != Phase::Broken
    }

    /// Returns whether no append has failed since the last completed repair.
    pub fn is_healthy(&self) -> bool {
        matches!(self.phase, Phase::Healthy | Phase::Compacting)
    }

    /// Returns whether a log of `log_bytes` bytes must be compacted at `now`, the time since the start of the
    /// process.
    pub fn is_compaction_due(&self, now: Duration, log_bytes: u64) -> bool {
        let is_long = log_bytes > COMPACTION_BYTES.max(2 * self.snapshot_bytes);
        is_long && self.phase == Phase::Healthy && now >= self.next_compaction_time
    }

    /// Records that a snapshot of `snapshot_bytes` bytes has been queued to replace the log.
    pub fn begin_compaction(&mut self, snapshot_bytes: u64) {
        self.snapshot_bytes = snapshot_bytes;
        self.phase = Phase::Compacting;
    }

    /// Records that the snapshot of a compaction has been written or superseded.
    pub fn end_compaction(&mut self) {
        if self.phase == Phase::Compacting {
            self.phase = Phase::Healthy;
        }
    }

    /// Records that writing the snapshot of a compaction failed at `now`, the time since the start of the process.
    pub fn fail_compaction(&mut self, now: Duration) {
        self.next_compaction_time = now + COMPACTION_RETRY_INTERVAL;
        self.end_compaction();
    }

    /// Records that writing the snapshot of a repair failed.
    pub fn fail_repair(&mut self) {
        self.phase = Phase::Broken;
    }

    /// Records that a repair has queued a snapshot of `snapshot_bytes` bytes that includes all records so far.
    pub fn begin_repair(&mut self, snapshot_bytes: u64) {
        self.snapshot_bytes = snapshot_bytes;
        self.phase = Phase::Repairing;
    }

    /// Records that the snapshot of a repair has been written.
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
