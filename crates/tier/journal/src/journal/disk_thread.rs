//! The thread that writes: group commit of records, and replacement of the log between the batches.

use std::sync::mpsc::Receiver;
use std::time::Instant;

use parking_lot::Mutex;

use super::queue::{QueueState, Reply, Request};
use crate::engine::Engine;
use crate::error::JournalError;
use crate::synced::Synced;

/// Bytes of records from which a batch takes no further record.
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

/// A snapshot that is to replace the log.
struct QueuedSnapshot {
    snapshot: Vec<u8>,
    reply: Reply,
}

/// Requests that are executed in one go: the batch first, and then the snapshot.
#[derive(Default)]
struct Work {
    batch: Batch,
    snapshot: Option<QueuedSnapshot>,
}

/// Executes requests until their senders are dropped and nothing remains to be done.
pub(super) fn run(mut engine: Engine, queue: &Receiver<Request>, queue_state: &Mutex<QueueState>) {
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
        let work = collect_work(first, queue);
        let appended_bytes = work.batch.bytes;
        write_batch(&mut engine, work.batch, started, queue_state);
        if let Some(queued) = work.snapshot {
            // The newer snapshot holds everything that the one under way does.
            if let Some(superseded) = replacing.take() {
                let _ = superseded.send(Err(JournalError::Superseded));
            }
            replacing = begin_replacement(&mut engine, queued);
        }
        replacing = replacing.and_then(|reply| {
            continue_replacement(&mut engine, reply, appended_bytes, queue_state)
        });
    }
}

/// Collects the requests that wait, up to the size of a batch or to a snapshot.
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

/// Returns the reply that is due at the end, unless the replacement can't begin.
fn begin_replacement(engine: &mut Engine, queued: QueuedSnapshot) -> Option<Reply> {
    match engine.begin_replacement(queued.snapshot) {
        Ok(()) => Some(queued.reply),
        Err(error) => {
            let _ = queued.reply.send(Err(error));
            None
        }
    }
}

/// Writes at least one chunk, and at least as many bytes as were just appended. So no more is appended during
/// a replacement than the snapshot's length and one batch. Returns `reply` while chunks remain.
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
