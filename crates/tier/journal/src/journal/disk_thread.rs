//! Disk thread of the journal: group commit of records, and log replacement in chunks between batches.

use std::sync::mpsc::Receiver;
use std::time::Instant;

use parking_lot::Mutex;

use super::queue::{QueueState, Reply, Request};
use crate::engine::Engine;
use crate::error::JournalError;
use crate::synced::Synced;

/// No record is added to a batch once its records total this many bytes.
const MAX_BATCH_BYTES: usize = 4 << 20;

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

/// A snapshot that is queued to replace the log.
struct QueuedSnapshot {
    snapshot: Vec<u8>,
    reply: Reply,
}

/// Requests of one iteration of the disk thread. The batch is written before the snapshot is started.
#[derive(Default)]
struct Work {
    batch: Batch,
    snapshot: Option<QueuedSnapshot>,
}

/// Executes requests until all senders are dropped and the queue and any replacement are finished.
pub(super) fn run(mut engine: Engine, queue: &Receiver<Request>, queue_state: &Mutex<QueueState>) {
    // Reply of the replacement in progress.
    let mut replacement_reply: Option<Reply> = None;
    loop {
        let first = if replacement_reply.is_some() {
            queue.try_recv().ok()
        } else {
            queue.recv().ok()
        };
        if first.is_none() && replacement_reply.is_none() {
            return;
        }
        let started = Instant::now();
        let work = collect_work(first, queue);
        let appended_bytes = work.batch.bytes;
        write_batch(&mut engine, work.batch, started, queue_state);
        if let Some(queued) = work.snapshot {
            // The newer snapshot includes all records of the one in progress.
            if let Some(superseded) = replacement_reply.take() {
                let _ = superseded.send(Err(JournalError::Superseded));
            }
            replacement_reply = begin_replacement(&mut engine, queued);
        }
        replacement_reply = replacement_reply.and_then(|reply| {
            continue_replacement(&mut engine, reply, appended_bytes, queue_state)
        });
    }
}

/// Collects queued requests without blocking, until the batch is full or a snapshot was taken from the queue.
fn collect_work(first: Option<Request>, queue: &Receiver<Request>) -> Work {
    let mut work = Work::default();
    let mut next = first;
    while let Some(request) = next {
        match request {
            Request::Append { record, reply } => work.batch.push(record, reply),
            Request::Replace { snapshot, reply } => {
                work.snapshot = Some(QueuedSnapshot { snapshot, reply });
                return work;
            }
        }
        next = if work.batch.bytes < MAX_BATCH_BYTES {
            queue.try_recv().ok()
        } else {
            None
        };
    }
    work
}

fn write_batch(
    engine: &mut Engine,
    batch: Batch,
    started: Instant,
    queue_state: &Mutex<QueueState>,
) {
    if batch.records.is_empty() {
        return;
    }
    let outcome = engine.append_batch(&batch.records);
    {
        let mut queue_state = queue_state.lock();
        queue_state.record_batch(batch.records.len(), batch.bytes, started);
        queue_state.log_bytes = engine.log_bytes();
    }
    for reply in batch.replies {
        let receipt = match &outcome {
            Ok(_) => Ok(Synced::receipt()),
            Err(error) => Err(error.clone()),
        };
        let _ = reply.send(receipt);
    }
}

/// Returns the reply to send when the replacement finishes. `None` if it failed to start, which is reported at
/// once.
fn begin_replacement(engine: &mut Engine, queued: QueuedSnapshot) -> Option<Reply> {
    match engine.begin_replacement(queued.snapshot) {
        Ok(()) => Some(queued.reply),
        Err(error) => {
            let _ = queued.reply.send(Err(error));
            None
        }
    }
}

/// Writes chunks of the snapshot: at least one, and at least as many bytes as the last batch appended. This
/// limits the records appended during a replacement to the snapshot's length plus one batch. Returns `reply`
/// while chunks remain.
fn continue_replacement(
    engine: &mut Engine,
    reply: Reply,
    appended_bytes: usize,
    queue_state: &Mutex<QueueState>,
) -> Option<Reply> {
    let mut written = 0;
    loop {
        queue_state.lock().chunk_started = Some(Instant::now());
        let outcome = engine.continue_replacement();
        queue_state.lock().chunk_started = None;
        if let Some(outcome) = outcome {
            queue_state.lock().log_bytes = engine.log_bytes();
            let _ = reply.send(outcome);
            return None;
        }
        written += engine.chunk_bytes();
        if written >= appended_bytes {
            return Some(reply);
        }
    }
}
