//! Writes under way to each storage machine.
//!
//! A machine that fails to answer gets one request at a time until it answers again; what it misses meanwhile
//! waits in a bounded queue, so that a slow or dead machine costs little and a returning one catches up.
//!
//! ```text
//! answering -> silent     a try fails; the write is queued and a prober starts
//! silent    -> answering  the prober's try succeeds; what is queued is sent
//! silent    -> answering  the queue has run out of age
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

/// How long one try waits for a machine's answer: several slow syncs.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause before the first new try at a silent machine; it doubles.
const INITIAL_BACKOFF: Duration = Duration::from_millis(60);
/// Longest pause between tries.
const MAX_BACKOFF: Duration = Duration::from_millis(480);
/// How long a write is kept for a silent machine.
const MISSED_WRITE_RETENTION: Duration = Duration::from_secs(10);
/// Most bytes that are kept for a silent machine.
const MAX_MISSED_BYTES: usize = 2 << 20;

/// Missed writes that are sent side by side once a machine answers again.
const MAX_CONCURRENT_RETRIES: usize = 64;

/// Where the answers of a write go: epoch, disk and answer.
pub(super) type Sender = UnboundedSender<(u64, u64, Answer)>;

/// One write for one machine.
pub(super) struct Delivery {
    epoch: u64,
    request: EncodedRequest,
    answers: Sender,
    since: Instant,
}

impl Delivery {
    pub(super) fn new(epoch: u64, request: EncodedRequest, answers: Sender) -> Delivery {
        Delivery {
            epoch,
            request,
            answers,
            since: Instant::now(),
        }
    }
}

/// Writes that a silent machine has missed.
#[derive(Default)]
struct Missed {
    queue: VecDeque<Delivery>,
    bytes: usize,
}

impl Missed {
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

    fn drop_old(&mut self) {
        while self
            .queue
            .front()
            .is_some_and(|delivery| delivery.since.elapsed() > MISSED_WRITE_RETENTION)
        {
            self.pop();
        }
    }
}

/// Machines that do not answer at present, by disk.
#[derive(Default)]
pub(super) struct UnresponsivePeers {
    missed: HashMap<u64, Missed>,
}

/// Outcome of one try.
enum Try {
    /// The machine has answered for good: stored, or refused in a way that no new try changes.
    Done,
    Again(Delivery),
}

impl StorageClient {
    /// Brings a write to one machine, in the background.
    pub(super) fn deliver(&self, member: &StorageMember, delivery: Delivery) {
        let mut silent = self.shared.silent.lock();
        if let Some(missed) = silent.missed.get_mut(&member.disk) {
            missed.push(delivery);
            return;
        }
        drop(silent);
        let (client, member) = (self.clone(), member.clone());
        tokio::spawn(async move {
            if let Try::Again(delivery) = client.attempt_delivery(&member, delivery).await {
                client.queue_for_retry(member, delivery);
            }
        });
    }

    async fn attempt_delivery(&self, member: &StorageMember, delivery: Delivery) -> Try {
        match self
            .exchange(member, &delivery.request, ATTEMPT_TIMEOUT)
            .await
        {
            Ok(Answer::Failed | Answer::Behind) | Err(_) => Try::Again(delivery),
            Ok(answer) => {
                let _ = delivery.answers.send((delivery.epoch, member.disk, answer));
                Try::Done
            }
        }
    }

    fn queue_for_retry(&self, member: StorageMember, delivery: Delivery) {
        let mut silent = self.shared.silent.lock();
        let probed = silent.missed.contains_key(&member.disk);
        silent.missed.entry(member.disk).or_default().push(delivery);
        if !probed {
            let client = self.clone();
            tokio::spawn(async move { client.probe(member).await });
        }
    }

    /// Tries the oldest write that a silent machine has missed until one succeeds, then sends the rest.
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

    /// Tries some missed writes side by side; whether all were answered.
    async fn attempt_all(&self, member: &StorageMember, deliveries: Vec<Delivery>) -> bool {
        let mut tries = JoinSet::new();
        for delivery in deliveries {
            let (client, member) = (self.clone(), member.clone());
            tries.spawn(async move { client.attempt_delivery(&member, delivery).await });
        }
        let mut all_answered = true;
        while let Some(outcome) = tries.join_next().await {
            if let Ok(Try::Again(delivery)) = outcome {
                self.requeue(member.disk, delivery);
                all_answered = false;
            }
        }
        all_answered
    }

    /// The oldest missed writes; without any the machine counts as answering again.
    fn take_oldest_missed(&self, disk: u64, limit: usize) -> Vec<Delivery> {
        let mut silent = self.shared.silent.lock();
        let Some(missed) = silent.missed.get_mut(&disk) else {
            return Vec::new();
        };
        missed.drop_old();
        let deliveries: Vec<Delivery> = std::iter::from_fn(|| missed.pop()).take(limit).collect();
        if deliveries.is_empty() {
            silent.missed.remove(&disk);
        }
        deliveries
    }

    fn requeue(&self, disk: u64, delivery: Delivery) {
        let mut silent = self.shared.silent.lock();
        let missed = silent.missed.entry(disk).or_default();
        missed.bytes += delivery.request.len();
        missed.queue.push_front(delivery);
    }
}
