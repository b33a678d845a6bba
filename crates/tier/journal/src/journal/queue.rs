//! What callers and the disk thread share: requests, and the state of the queue.

use std::time::Instant;

use tokio::sync::oneshot;

use crate::error::JournalError;
use crate::synced::Synced;

pub(super) type Reply = oneshot::Sender<Result<Synced, JournalError>>;

/// A request to the disk thread.
pub(super) enum Request {
    Append { record: Vec<u8>, reply: Reply },
    Replace { snapshot: Vec<u8>, reply: Reply },
}

/// State of the queue and of the disk.
#[derive(Debug, Default)]
pub(super) struct QueueState {
    /// Records that are not synced.
    queued_records: usize,
    /// Bytes of those records.
    queued_bytes: usize,
    /// A time not after the one at which the oldest of those records was queued; `None` if there are none.
    oldest: Option<Instant>,
    /// When the disk began to write the present chunk of a snapshot.
    pub(super) chunk_started: Option<Instant>,
    /// Bytes of the log since the last snapshot.
    pub(super) log_bytes: u64,
}

impl QueueState {
    /// Counts a record of `bytes` bytes that is queued at `now`.
    ///
    /// # Errors
    /// [`JournalError::Overloaded`] if others wait already, and more than `max_queued_bytes` would wait with
    /// it.
    pub(super) fn record_append(
        &mut self,
        bytes: usize,
        max_queued_bytes: usize,
        now: Instant,
    ) -> Result<(), JournalError> {
        if self.queued_bytes > 0 && self.queued_bytes + bytes > max_queued_bytes {
            return Err(JournalError::Overloaded {
                queued: self.queued_bytes,
            });
        }
        self.queued_records += 1;
        self.queued_bytes += bytes;
        self.oldest.get_or_insert(now);
        Ok(())
    }

    /// Counts a batch as done. All records that still wait must have been queued after `batch_started`.
    pub(super) fn record_batch(&mut self, records: usize, bytes: usize, batch_started: Instant) {
        self.queued_records -= records;
        self.queued_bytes -= bytes;
        self.oldest = (self.queued_records > 0).then_some(batch_started);
    }

    /// Since when a record has waited, or the disk has been busy with a chunk.
    pub(super) fn busy_since(&self) -> Option<Instant> {
        self.oldest.into_iter().chain(self.chunk_started).min()
    }
}
