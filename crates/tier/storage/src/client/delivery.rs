//! Writes in flight to each storage machine, with their retries.
//!
//! A machine that fails to answer is sent one request at a time until it answers again. Writes that it misses in the
//! meantime are held in a bounded queue. This limits the cost of a slow or failed machine, and a machine that recovers
//! receives the writes that it missed.
//!
//! ```text
//! responsive   -> unresponsive  an attempt fails; the write is queued and a probe starts
//! unresponsive -> unresponsive  the probe succeeds; the queued writes are sent
//! unresponsive -> responsive    every queued write was answered, has expired or was dropped from the full queue
//! ```

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use tokio::sync::mpsc::UnboundedSender;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use super::StorageClient;
use super::exchange::EncodedRequest;
use crate::message::Answer;
use crate::view::StorageMember;

/// Timeout of one attempt; long enough for several slow syncs.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(500);
/// Backoff before the first retry at an unresponsive machine; doubled for each further retry.
const INITIAL_BACKOFF: Duration = Duration::from_millis(60);
/// Upper bound of the backoff between retries.
const MAX_BACKOFF: Duration = Duration::from_millis(480);
/// Time after which a missed write is no longer retried.
const MISSED_WRITE_RETENTION: Duration = Duration::from_secs(10);
/// Upper bound of the queue of missed writes of one machine, in bytes.
const MAX_MISSED_BYTES: usize = 2 << 20;
/// Number of missed writes that are sent concurrently once a machine answers again.
const MAX_CONCURRENT_RETRIES: usize = 64;

/// Answer of one machine to a write.
pub(super) struct MachineAnswer {
    /// Epoch under which the write was sent.
    pub(super) epoch: u64,
    /// Disk of the machine.
    pub(super) disk: u64,
    /// Answer of the machine.
    pub(super) answer: Answer,
}

/// Receives the answers to a write.
pub(super) type AnswerSender = UnboundedSender<MachineAnswer>;

/// One write for one machine.
pub(super) struct Delivery {
    /// Epoch under which the write is sent.
    epoch: u64,
    request: EncodedRequest,
    answers: AnswerSender,
    /// Time at which the delivery began.
    since: Instant,
}

impl Delivery {
    pub(super) fn new(epoch: u64, request: EncodedRequest, answers: AnswerSender) -> Delivery {
        Delivery {
            epoch,
            request,
            answers,
            since: Instant::now(),
        }
    }
}

/// Writes that an unresponsive machine has missed, oldest first.
#[derive(Default)]
struct MissedWrites {
    queue: VecDeque<Delivery>,
    /// Bytes of the requests in `queue`.
    bytes: usize,
}

impl MissedWrites {
    fn push(&mut self, delivery: Delivery) {
        self.bytes += delivery.request.len();
        self.queue.push_back(delivery);
        while self.bytes > MAX_MISSED_BYTES {
            self.pop();
        }
    }

    fn pop(&mut self) -> Option<Delivery> {
        let delivery = self.queue.pop_front()?;
        self.bytes -= delivery.request.len();
        Some(delivery)
    }

    fn remove_expired(&mut self) {
        while self
            .queue
            .front()
            .is_some_and(|delivery| delivery.since.elapsed() > MISSED_WRITE_RETENTION)
        {
            self.pop();
        }
    }
}

/// Missed writes of the unresponsive machines, by disk.
#[derive(Default)]
pub(super) struct MissedWritesByDisk {
    by_disk: HashMap<u64, MissedWrites>,
}

/// Whether a machine has to be sent a write again.
enum AttemptOutcome {
    /// The machine has stored the write, or refused it in a way that no retry changes.
    Completed,
    /// The attempt failed; the write must be retried.
    Retry(Delivery),
}

impl StorageClient {
    /// Delivers a write to one machine in the background.
    pub(super) fn deliver(&self, member: &StorageMember, delivery: Delivery) {
        let mut missed_writes = self.shared.missed_writes.lock();
        if let Some(missed) = missed_writes.by_disk.get_mut(&member.disk) {
            missed.push(delivery);
            return;
        }
        drop(missed_writes);
        let (client, member) = (self.clone(), member.clone());
        tokio::spawn(async move {
            if let AttemptOutcome::Retry(delivery) =
                client.attempt_delivery(&member, delivery).await
            {
                client.queue_for_retry(member, delivery);
            }
        });
    }

    async fn attempt_delivery(&self, member: &StorageMember, delivery: Delivery) -> AttemptOutcome {
        match self
            .exchange(member, &delivery.request, ATTEMPT_TIMEOUT)
            .await
        {
            Ok(Answer::Failed | Answer::Behind) | Err(_) => AttemptOutcome::Retry(delivery),
            Ok(answer) => {
                // The receiver is dropped once the write is durable or has failed.
                let _ = delivery.answers.send(MachineAnswer {
                    epoch: delivery.epoch,
                    disk: member.disk,
                    answer,
                });
                AttemptOutcome::Completed
            }
        }
    }

    fn queue_for_retry(&self, member: StorageMember, delivery: Delivery) {
        let mut missed_writes = self.shared.missed_writes.lock();
        let probed = missed_writes.by_disk.contains_key(&member.disk);
        missed_writes
            .by_disk
            .entry(member.disk)
            .or_default()
            .push(delivery);
        if !probed {
            let client = self.clone();
            tokio::spawn(async move { client.probe(member).await });
        }
    }

    /// Retries the oldest write that an unresponsive machine has missed until one succeeds, then sends the rest.
    async fn probe(&self, member: StorageMember) {
        let mut backoff = INITIAL_BACKOFF;
        let mut concurrent = 1;
        loop {
            let deliveries = self.take_oldest_missed(member.disk, concurrent);
            if deliveries.is_empty() {
                return;
            }
            if self.attempt_all(&member, deliveries).await {
                backoff = INITIAL_BACKOFF;
                concurrent = MAX_CONCURRENT_RETRIES;
            } else {
                concurrent = 1;
                sleep(backoff).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
    }

    /// Attempts some missed writes concurrently and returns whether all were answered.
    async fn attempt_all(&self, member: &StorageMember, deliveries: Vec<Delivery>) -> bool {
        let mut attempts = JoinSet::new();
        for delivery in deliveries {
            let (client, member) = (self.clone(), member.clone());
            attempts.spawn(async move { client.attempt_delivery(&member, delivery).await });
        }
        let mut all_answered = true;
        while let Some(outcome) = attempts.join_next().await {
            if let Ok(AttemptOutcome::Retry(delivery)) = outcome {
                self.requeue(member.disk, delivery);
                all_answered = false;
            }
        }
        all_answered
    }

    /// Removes the oldest missed writes from the queue; if there are none, marks the machine as responsive.
    fn take_oldest_missed(&self, disk: u64, limit: usize) -> Vec<Delivery> {
        let mut missed_writes = self.shared.missed_writes.lock();
        let Some(missed) = missed_writes.by_disk.get_mut(&disk) else {
            return Vec::new();
        };
        missed.remove_expired();
        let deliveries: Vec<Delivery> = std::iter::from_fn(|| missed.pop()).take(limit).collect();
        if deliveries.is_empty() {
            missed_writes.by_disk.remove(&disk);
        }
        deliveries
    }

    fn requeue(&self, disk: u64, delivery: Delivery) {
        let mut missed_writes = self.shared.missed_writes.lock();
        let missed = missed_writes.by_disk.entry(disk).or_default();
        missed.bytes += delivery.request.len();
        missed.queue.push_front(delivery);
    }
}
