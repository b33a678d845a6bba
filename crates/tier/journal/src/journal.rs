//! The engine on a thread of its own, with group commit.

use std::future::Future;
use std::path::Path;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use tokio::sync::oneshot;

use crate::disk::{Disk, FileDisk, Slot};
use crate::engine::{Engine, Synced};
use crate::error::JournalError;
use crate::recovery::Recovered;

/// Most bytes that go into one frame.
const MAX_FRAME_BYTES: usize = 4 << 20;

/// Bounds of a journal.
#[derive(Debug, Clone, Copy)]
pub struct JournalOptions {
    /// Most bytes of both files together.
    pub max_bytes: u64,
    /// Most bytes that may wait for the disk before appends are refused.
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

type Reply = oneshot::Sender<Result<Synced, JournalError>>;

enum Request {
    Append { record: Vec<u8>, reply: Reply },
    Replace { snapshot: Vec<u8>, reply: Reply },
}

/// State shared by callers and the disk thread.
#[derive(Debug, Default)]
struct Progress {
    waiting_appends: usize,
    waiting_bytes: usize,
    oldest: Option<Instant>,
    /// Start of what the disk is doing for a snapshot.
    piece_begun: Option<Instant>,
    log_bytes: u64,
}

/// Durable state of one process. Dropping it ends its thread once what is queued has been written.
#[derive(Debug)]
pub struct Journal {
    requests: Sender<Request>,
    progress: Arc<Mutex<Progress>>,
    max_queued_bytes: usize,
}

impl Journal {
    /// Opens the journal in `folder` and reads what it holds. Blocks on the disk.
    ///
    /// # Errors
    /// See [`JournalError`]; after [`JournalError::Corrupt`], [`Journal::discard`] makes an empty one.
    pub fn open(
        folder: &Path,
        options: JournalOptions,
    ) -> Result<(Journal, Recovered), JournalError> {
        Journal::with_disk(Box::new(FileDisk::open(folder)?), options)
    }

    /// Opens a journal on any [`Disk`].
    ///
    /// # Errors
    /// See [`JournalError`].
    pub fn with_disk(
        disk: Box<dyn Disk>,
        options: JournalOptions,
    ) -> Result<(Journal, Recovered), JournalError> {
        let (engine, recovered) = Engine::open(disk, options.max_bytes)?;
        let progress = Arc::new(Mutex::new(Progress::default()));
        progress.lock().log_bytes = engine.log_bytes();
        let (requests, queue) = channel();
        let shared = Arc::clone(&progress);
        std::thread::Builder::new()
            .name("journal".to_owned())
            .stack_size(256 << 10)
            .spawn(move || run(engine, &queue, &shared))
            .map_err(|error| JournalError::Open {
                path: "journal thread".into(),
                kind: error.kind(),
            })?;
        let max_queued_bytes = options.max_queued_bytes;
        Ok((
            Journal {
                requests,
                progress,
                max_queued_bytes,
            },
            recovered,
        ))
    }

    /// Empties the journal in `folder`, for a disk whose content cannot be trusted any more.
    ///
    /// # Errors
    /// [`JournalError::Open`] or [`JournalError::Io`].
    pub fn discard(folder: &Path) -> Result<(), JournalError> {
        let mut disk = FileDisk::open(folder)?;
        for slot in Slot::ALL {
            let emptied = disk.truncate(slot, 0).and_then(|()| disk.sync(slot));
            emptied.map_err(|error| JournalError::Io {
                slot,
                operation: "discard",
                kind: error.kind(),
            })?;
        }
        Ok(())
    }

    /// Queues `record` at once, in the order of calls; the future ends when it is synced. All records that
    /// wait meanwhile share one sync.
    ///
    /// # Errors
    /// [`JournalError::Full`] and [`JournalError::Io`] (after the latter the record may still appear after a
    /// restart), [`JournalError::Overloaded`], [`JournalError::Closed`].
    pub fn append(
        &self,
        record: Vec<u8>,
    ) -> impl Future<Output = Result<Synced, JournalError>> + Send + use<> {
        let (reply, outcome) = oneshot::channel();
        let queued = self.enqueue(record, reply);
        wait(queued, outcome)
    }

    /// Queues a snapshot, which must hold everything appended before this call; the future ends when it is
    /// synced and the log is empty.
    ///
    /// # Errors
    /// As for [`Journal::append`]; the journal goes on with its old snapshot and log.
    pub fn replace(
        &self,
        snapshot: Vec<u8>,
    ) -> impl Future<Output = Result<Synced, JournalError>> + Send + use<> {
        let (reply, outcome) = oneshot::channel();
        let queued = self.requests.send(Request::Replace { snapshot, reply });
        wait(queued.map_err(|_| JournalError::Closed), outcome)
    }

    /// Bytes of the log since the last snapshot; when they exceed the snapshot, it is time to replace it.
    #[must_use]
    pub fn log_bytes(&self) -> u64 {
        self.progress.lock().log_bytes
    }

    /// How long the oldest record that is not synced has waited, or the disk has been at one piece of a
    /// snapshot if that is longer; zero if there is neither.
    #[must_use]
    pub fn stalled_for(&self) -> Duration {
        let progress = self.progress.lock();
        let since = progress
            .oldest
            .into_iter()
            .chain(progress.piece_begun)
            .min();
        since.map_or(Duration::ZERO, |since| since.elapsed())
    }

    fn enqueue(&self, record: Vec<u8>, reply: Reply) -> Result<(), JournalError> {
        let bytes = record.len();
        let mut progress = self.progress.lock();
        if progress.waiting_bytes > 0 && progress.waiting_bytes + bytes > self.max_queued_bytes {
            return Err(JournalError::Overloaded {
                queued: progress.waiting_bytes,
            });
        }
        progress.waiting_appends += 1;
        progress.waiting_bytes += bytes;
        progress.oldest.get_or_insert_with(Instant::now);
        // Under the lock, so that the queue has the order in which callers were counted.
        self.requests
            .send(Request::Append { record, reply })
            .map_err(|_| JournalError::Closed)
    }
}

async fn wait(
    queued: Result<(), JournalError>,
    outcome: oneshot::Receiver<Result<Synced, JournalError>>,
) -> Result<Synced, JournalError> {
    queued?;
    outcome.await.unwrap_or(Err(JournalError::Closed))
}

/// Records that share one sync.
#[derive(Default)]
struct Batch {
    records: Vec<Vec<u8>>,
    replies: Vec<Reply>,
    bytes: usize,
}

impl Batch {
    fn push(&mut self, record: Vec<u8>, reply: Reply) {
        self.bytes += record.len();
        self.records.push(record);
        self.replies.push(reply);
    }
}

fn run(mut engine: Engine, queue: &Receiver<Request>, progress: &Mutex<Progress>) {
    let mut replacing: Option<Reply> = None;
    loop {
        let first = if replacing.is_some() {
            queue.try_recv().ok()
        } else {
            queue.recv().ok()
        };
        if first.is_none() && replacing.is_none() {
            return;
        }
        let started = Instant::now();
        let (batch, snapshot) = next_batch(first, queue);
        let appended = batch.bytes;
        commit(&mut engine, batch, started, progress);
        if let Some((snapshot, reply)) = snapshot {
            // A newer snapshot holds everything that the one before it does.
            if let Some(earlier) = replacing.take() {
                let _ = earlier.send(Err(JournalError::Superseded));
            }
            replacing = begin_replacement(&mut engine, snapshot, reply);
        }
        replacing = replacing
            .and_then(|reply| continue_replacement(&mut engine, reply, appended, progress));
    }
}

fn begin_replacement(engine: &mut Engine, snapshot: Vec<u8>, reply: Reply) -> Option<Reply> {
    match engine.begin_replacement(snapshot) {
        Ok(()) => Some(reply),
        Err(error) => {
            let _ = reply.send(Err(error));
            None
        }
    }
}

/// Writes at least one piece, and as many bytes as were just appended: so no more is appended during a
/// replacement than the snapshot is long, and one batch.
fn continue_replacement(
    engine: &mut Engine,
    reply: Reply,
    appended: usize,
    progress: &Mutex<Progress>,
) -> Option<Reply> {
    let mut written = 0;
    loop {
        progress.lock().piece_begun = Some(Instant::now());
        let outcome = engine.continue_replacement();
        progress.lock().piece_begun = None;
        if let Some(outcome) = outcome {
            progress.lock().log_bytes = engine.log_bytes();
            let _ = reply.send(outcome);
            return None;
        }
        written += engine.piece_bytes();
        if written >= appended {
            return Some(reply);
        }
    }
}

/// Collects what waits, up to a frame's size or a snapshot.
fn next_batch(
    first: Option<Request>,
    queue: &Receiver<Request>,
) -> (Batch, Option<(Vec<u8>, Reply)>) {
    let mut batch = Batch::default();
    let mut next = first;
    while let Some(request) = next {
        match request {
            Request::Append { record, reply } => batch.push(record, reply),
            Request::Replace { snapshot, reply } => return (batch, Some((snapshot, reply))),
        }
        next = if batch.bytes < MAX_FRAME_BYTES {
            queue.try_recv().ok()
        } else {
            None
        };
    }
    (batch, None)
}

fn commit(engine: &mut Engine, batch: Batch, started: Instant, progress: &Mutex<Progress>) {
    if batch.records.is_empty() {
        return;
    }
    let outcome = engine.commit(&batch.records);
    finish(engine, batch.replies.len(), batch.bytes, started, progress);
    for reply in batch.replies {
        let receipt = match &outcome {
            Ok(_) => Ok(Synced::receipt()),
            Err(error) => Err(error.clone()),
        };
        let _ = reply.send(receipt);
    }
}

/// Everything that still waits was queued after `started`.
fn finish(
    engine: &Engine,
    requests: usize,
    bytes: usize,
    started: Instant,
    progress: &Mutex<Progress>,
) {
    let mut progress = progress.lock();
    progress.waiting_appends -= requests;
    progress.waiting_bytes -= bytes;
    progress.oldest = (progress.waiting_appends > 0).then_some(started);
    progress.log_bytes = engine.log_bytes();
}
