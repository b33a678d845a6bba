//! When the log is replaced by a snapshot, and what a failed append does to the journal.
//!
//! | state | event | next |
//! | --- | --- | --- |
//! | `Whole` | the log is long | `Compacting`: appends go on |
//! | `Compacting` | the snapshot is written, or gives way to a newer one | `Whole` |
//! | `Compacting` | the snapshot can't be written | `Whole`, and none is tried for [`RETRY_PAUSE`] |
//! | `Whole`, `Compacting`, `Repairing` | an append or the repair fails | `Broken`: nothing is appended |
//! | `Broken` | a snapshot of everything is queued | `Repairing`: appends queue behind it |
//! | `Repairing` | the snapshot is written | `Whole` |

use std::time::Duration;

/// The log is replaced by a snapshot when it is longer than this and twice as long as the last snapshot.
pub const COMPACTION_BYTES: u64 = 8 << 20;
/// Pause after a snapshot that could not be written.
pub const RETRY_PAUSE: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Whole,
    Compacting,
    Broken,
    Repairing,
}

/// What is being done about the length and the soundness of the journal.
#[derive(Debug)]
pub struct Compaction {
    phase: Phase,
    snapshot_bytes: u64,
    /// No snapshot is tried before, unless for a repair.
    not_before: Duration,
}

impl Compaction {
    /// Of a journal that has just been opened.
    pub fn new() -> Compaction {
        Compaction {
            phase: Phase::Whole,
            snapshot_bytes: 0,
            not_before: Duration::ZERO,
        }
    }

    /// Whether records may be appended.
    pub fn takes_records(&self) -> bool {
        self.phase != Phase::Broken
    }

    /// Whether everything that is appended gets synced, as far as known.
    pub fn is_sound(&self) -> bool {
        matches!(self.phase, Phase::Whole | Phase::Compacting)
    }

    /// Whether a log of `log_bytes` is to be replaced now.
    pub fn is_due(&self, now: Duration, log_bytes: u64) -> bool {
        let is_long = log_bytes > COMPACTION_BYTES.max(2 * self.snapshot_bytes);
        is_long && self.phase == Phase::Whole && now >= self.not_before
    }

    /// A snapshot is queued that is to replace the log.
    pub fn begin(&mut self, snapshot_bytes: u64) {
        self.snapshot_bytes = snapshot_bytes;
        self.phase = Phase::Compacting;
    }

    /// The snapshot that was to replace the log is written, or has given way.
    pub fn end(&mut self) {
        if self.phase == Phase::Compacting {
            self.phase = Phase::Whole;
        }
    }

    /// The snapshot that was to replace the log can't be written.
    pub fn fail(&mut self, now: Duration) {
        self.not_before = now + RETRY_PAUSE;
        self.end();
    }

    /// An append, or the snapshot of a repair, has failed.
    pub fn break_off(&mut self) {
        self.phase = Phase::Broken;
    }

    /// A snapshot of everything so far is queued.
    pub fn begin_repair(&mut self, snapshot_bytes: u64) {
        self.snapshot_bytes = snapshot_bytes;
        self.phase = Phase::Repairing;
    }

    /// The snapshot of everything is written.
    pub fn end_repair(&mut self) {
        if self.phase == Phase::Repairing {
            self.phase = Phase::Whole;
        }
    }
}

impl Default for Compaction {
    fn default() -> Compaction {
        Compaction::new()
    }
}
