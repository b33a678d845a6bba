//! Asynchronous journal, which runs the engine on a separate thread so that callers do not block on the disk.

mod disk_thread;
mod queue;

use std::future::Future;
use std::path::Path;
use std::sync::Arc;
use std::sync::mpsc::{Sender, channel};
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use tokio::sync::oneshot;

use crate::disk::{Disk, FileDisk};
use crate::engine::Engine;
use crate::error::{DiskOperation, JournalError};
use crate::recovery::Recovered;
use crate::slot::Slot;
use crate::synced::Synced;

use queue::{QueueState, Reply, Request};

/// Stack size of the journal's thread in bytes.
const STACK_BYTES: usize = 256 << 10;

/// Limits of a journal.
#[derive(Debug, Clone, Copy)]
pub struct JournalOptions {
    /// Limit on the total bytes of both slots. Default: 100 MiB.
    pub max_bytes: u64,
    /// Limit on the bytes of queued, unsynced records. Appends that exceed it fail with
    /// [`JournalError::Overloaded`], except that one record of any size is accepted while no bytes are queued.
    /// Default: 16 MiB.
    pub max_queued_bytes: usize,
}

impl Default for JournalOptions {
    fn default() -> JournalOptions {
        JournalOptions {
            max_bytes: 100 << 20,
            max_queued_bytes: 16 << 20,
        }
    }
}

/// Durable state of one process. After it is dropped, its thread executes the queued requests and exits.
#[derive(Debug)]
pub struct Journal {
    requests: Sender<Request>,
    queue_state: Arc<Mutex<QueueState>>,
    max_queued_bytes: usize,
}

impl Journal {
    /// Opens the journal in `folder` and recovers its state. Blocks on disk I/O.
    ///
    /// # Errors
    /// See [`JournalError`]. After [`JournalError::Corrupt`], [`Journal::discard`] empties the journal so that it
    /// can be opened again.
    pub fn open(
        folder: &Path,
        options: JournalOptions,
    ) -> Result<(Journal, Recovered), JournalError> {
        Journal::with_disk(Box::new(FileDisk::open(folder)?), options)
    }

    /// Opens the journal on `disk` and recovers its state. Blocks on disk I/O.
    ///
    /// # Errors
    /// See [`JournalError`].
    pub fn with_disk(
        disk: Box<dyn Disk>,
        options: JournalOptions,
    ) -> Result<(Journal, Recovered), JournalError> {
        let (engine, recovered) = Engine::open(disk, options.max_bytes)?;
        let queue_state = Arc::new(Mutex::new(QueueState::default()));
        queue_state.lock().log_bytes = engine.log_bytes();
        let (requests, queue) = channel();
        let shared = Arc::clone(&queue_state);
        std::thread::Builder::new()
            .name("journal".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || disk_thread::run(engine, &queue, &shared))
            .map_err(|error| JournalError::Open {
                path: "journal thread".into(),
                kind: error.kind(),
            })?;
        let max_queued_bytes = options.max_queued_bytes;
        Ok((
            Journal {
                requests,
                queue_state,
                max_queued_bytes,
            },
            recovered,
        ))
    }

    /// Deletes all state of the journal in `folder`, for use after [`JournalError::Corrupt`]. Blocks on disk I/O.
    ///
    /// # Errors
    /// [`JournalError::Open`] or [`JournalError::Io`].
    pub fn discard(folder: &Path) -> Result<(), JournalError> {
        Journal::discard_disk(&mut FileDisk::open(folder)?)
    }

    /// Deletes all state of the journal on `disk`, for use after [`JournalError::Corrupt`]. Blocks on disk I/O.
    ///
    /// # Errors
    /// [`JournalError::Io`].
    pub fn discard_disk(disk: &mut dyn Disk) -> Result<(), JournalError> {
        for slot in Slot::ALL {
            let emptied = disk.truncate(slot, 0).and_then(|()| disk.sync(slot));
            emptied.map_err(|error| JournalError::Io {
                slot,
                operation: DiskOperation::Discard,
                kind: error.kind(),
            })?;
        }
        Ok(())
    }

    /// Queues `record` before this function returns, in the order of calls. The future completes when the
    /// record is synced. The record is written even if the future is never polled. Records that are queued at
    /// the same time share one sync, up to the size of a batch.
    ///
    /// # Errors
    /// [`JournalError::Full`], [`JournalError::Io`], [`JournalError::Overloaded`] or [`JournalError::Closed`].
    /// After [`JournalError::Io`], a restart may still recover the record.
    pub fn append(
        &self,
        record: Vec<u8>,
    ) -> impl Future<Output = Result<Synced, JournalError>> + Send + use<> {
        let (reply, outcome) = oneshot::channel();
        let queued = self.enqueue(record, reply);
        await_reply(queued, outcome)
    }

    /// Queues a snapshot, which must include all records appended before this call. The future completes when
    /// the snapshot is synced and the log has only the records that were appended after this call.
    ///
    /// # Errors
    /// [`JournalError::Full`], [`JournalError::Io`], [`JournalError::Superseded`] or [`JournalError::Closed`].
    /// The journal continues with its previous snapshot and log.
    pub fn replace(
        &self,
        snapshot: Vec<u8>,
    ) -> impl Future<Output = Result<Synced, JournalError>> + Send + use<> {
        let (reply, outcome) = oneshot::channel();
        let queued = self.requests.send(Request::Replace { snapshot, reply });
        await_reply(queued.map_err(|_| JournalError::Closed), outcome)
    }

    /// Bytes of the log since the last snapshot. Callers use it to decide when to call [`Journal::replace`].
    #[must_use]
    pub fn log_bytes(&self) -> u64 {
        self.queue_state.lock().log_bytes
    }

    /// Time since the oldest unsynced record was queued, or since the disk began to write the current chunk of a
    /// snapshot, whichever is longer. Zero if there is no unsynced record and no chunk is being written. The
    /// time of a record may be overstated by the duration of one batch.
    #[must_use]
    pub fn stalled_for(&self) -> Duration {
        self.queue_state
            .lock()
            .busy_since()
            .map_or(Duration::ZERO, |since| since.elapsed())
    }

    fn enqueue(&self, record: Vec<u8>, reply: Reply) -> Result<(), JournalError> {
        let mut queue_state = self.queue_state.lock();
        queue_state.record_append(record.len(), self.max_queued_bytes, Instant::now())?;
        // Sent under the lock, so that records are queued in the order in which they were counted.
        self.requests
            .send(Request::Append { record, reply })
            .map_err(|_| JournalError::Closed)
    }
}

async fn await_reply(
    queued: Result<(), JournalError>,
    outcome: oneshot::Receiver<Result<Synced, JournalError>>,
) -> Result<Synced, JournalError> {
    queued?;
    outcome.await.unwrap_or(Err(JournalError::Closed))
}
