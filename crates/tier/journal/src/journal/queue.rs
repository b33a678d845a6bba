//! Requests and queue state that callers share with the disk thread.

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
    /// Number of records that are queued and not yet synced.
    queued_records: usize,
    /// Bytes of the records that are queued and not yet synced.
    queued_bytes: usize,
    /// Lower bound on the time at which the oldest unsynced record was queued. `None` if all are synced.
    oldest_queued_at: Option<Instant>,
    /// When the disk began to write the current chunk of a snapshot. `None` between chunks.
    pub(super) chunk_started: Option<Instant>,
    /// Bytes of the log since the last snapshot, updated by the disk thread.
    pub(super) log_bytes: u64,
}

impl QueueState {
    /// Counts a record of `bytes` bytes that is queued at `now`. A record of any size is accepted while no bytes
    /// are queued.
    ///
    /// # Errors
    /// [`JournalError::Overloaded`] if bytes are queued already and the record would raise them above
    /// `max_queued_bytes`.
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
        self.oldest_queued_at.get_or_insert(now);
        Ok(())
    }

    /// Removes a finished batch from the counts. Records that remain were queued after `batch_started`.
    pub(super) fn record_batch(&mut self, records: usize, bytes: usize, batch_started: Instant) {
        self.queued_records -= records;
        self.queued_bytes -= bytes;
        self.oldest_queued_at = (self.queued_records > 0).then_some(batch_started);
    }

    /// The earlier of the oldest unsynced record's time and the start of the current chunk.
    pub(super) fn busy_since(&self) -> Option<Instant> {
        self.oldest_queued_at
            .into_iter()
            .chain(self.chunk_started)
            .min()
    }
}
