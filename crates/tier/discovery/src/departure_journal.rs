//! Journal of the departures on a core machine's disk, and the task of [`CoreDiscovery`](crate::CoreDiscovery) that
//! writes them. The [`departure_log`](crate::departure_log) in the registry says which ones are not on disk.
//!
//! One batch is written at a time. Departures that are recorded meanwhile share the next write and sync. After a failed
//! write, a snapshot of all departures in the registry replaces the log, with retries until that succeeds. So does one
//! when the log is long or old ([`departure_compaction`](crate::departure_compaction)); batches are appended meanwhile.

use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, timeout_at};
use woadreach_journal::{Journal, JournalError, Recovered, Synced};

use crate::core_state::CoreState;
use crate::departure_compaction::{DepartureCompaction, LogState, RETRY_INTERVAL};
use crate::departure_record::{DepartureRecordError, decode_departures, encode_departures};
use crate::status::IdentifiedStatus;

/// Interval at which an idle machine checks whether its log has to be compacted.
const COMPACTION_CHECK_INTERVAL: Duration = Duration::from_secs(10);

/// Completes when a snapshot is synced, or when its write fails.
type SnapshotFuture = Pin<Box<dyn Future<Output = Result<Synced, JournalError>> + Send>>;

/// Departures on the disk of a core machine, opened at the start of the process.
#[derive(Debug)]
pub struct DepartureJournal {
    journal: Journal,
    /// Departures that the disk had at the start of the process.
    recovered: Vec<IdentifiedStatus>,
}

impl DepartureJournal {
    /// Decodes the departures that `journal` had when it was opened.
    ///
    /// # Errors
    /// [`DepartureRecordError`] if a record has another version or form.
    pub fn new(journal: Journal, found: &Recovered) -> Result<Self, DepartureRecordError> {
        let mut recovered = Vec::new();
        for record in found.snapshot.iter().chain(&found.records) {
            recovered.extend(decode_departures(record)?);
        }
        Ok(Self { journal, recovered })
    }

    /// Number of statuses that were read from the disk at the start of the process.
    pub fn recovered_count(&self) -> usize {
        self.recovered.len()
    }
}

/// Writes the departures of one registry.
pub(crate) struct DepartureWriter {
    journal: Journal,
    /// Number up to which departures are synced.
    synced_number: watch::Sender<u64>,
    /// Wakes the task that writes queued departures.
    queued: Notify,
}

impl DepartureWriter {
    /// Creates the writer, and returns the departures that the disk has.
    pub(crate) fn new(departures: DepartureJournal) -> (Self, Vec<IdentifiedStatus>) {
        let writer = Self {
            journal: departures.journal,
            synced_number: watch::channel(0).0,
            queued: Notify::new(),
        };
        (writer, departures.recovered)
    }

    /// Bytes of the log since the last snapshot.
    pub(crate) fn log_bytes(&self) -> u64 {
        self.journal.log_bytes()
    }

    /// Wakes the task that writes queued departures.
    pub(crate) fn wake(&self) {
        self.queued.notify_one();
    }

    /// Waits until departures up to `number` are synced, until `deadline` at most. Returns whether they are.
    pub(crate) fn wait_until_synced(
        &self,
        number: u64,
        deadline: Instant,
    ) -> impl Future<Output = bool> + Send + use<> {
        let mut synced_number = self.synced_number.subscribe();
        async move {
            let synced = synced_number.wait_for(|synced| *synced >= number);
            matches!(timeout_at(deadline, synced).await, Ok(Ok(_)))
        }
    }

    /// Writes the departures that `state` queues, until the future is dropped.
    pub(crate) async fn run(&self, state: &Mutex<CoreState>) {
        let started = Instant::now();
        let mut compaction = DepartureCompaction::default();
        let mut running = None;
        loop {
            self.write_queued(state).await;
            let log = self.log_state(state);
            if compaction.is_due(started.elapsed(), log) {
                let snapshot = self.queue_snapshot(state);
                compaction.begin(started.elapsed(), log, snapshot.bytes);
                running = Some(snapshot.written);
            }
            tokio::select! {
                () = self.queued.notified() => {}
                () = tokio::time::sleep(COMPACTION_CHECK_INTERVAL) => {}
                outcome = finish(&mut running) => match outcome {
                    Ok(_) | Err(JournalError::Superseded) => compaction.end(),
                    Err(error) => {
                        tracing::warn!(%error, "compaction of departures failed");
                        compaction.fail(started.elapsed());
                    }
                }
            }
        }
    }

    fn log_state(&self, state: &Mutex<CoreState>) -> LogState {
        let dropped_departures = state.lock().registry().departure_log().dropped_count();
        LogState {
            log_bytes: self.journal.log_bytes(),
            dropped_departures,
        }
    }

    /// Writes batches until no departure is queued.
    async fn write_queued(&self, state: &Mutex<CoreState>) {
        loop {
            let (number, written) = {
                // The record is queued under the lock, so that no snapshot without it is queued behind it.
                let mut state = state.lock();
                let Some(batch) = state.next_departures() else {
                    return;
                };
                let record = encode_departures(batch.departures);
                (batch.number, self.journal.append(record))
            };
            match written.await {
                Ok(receipt) => self.report_synced(state, number, receipt),
                Err(error) => {
                    tracing::warn!(%error, "departures not written");
                    self.repair(state).await;
                }
            }
        }
    }

    /// Replaces the log by a snapshot, and retries until that succeeds.
    async fn repair(&self, state: &Mutex<CoreState>) {
        loop {
            let snapshot = self.queue_snapshot(state);
            match snapshot.written.await {
                Ok(receipt) => {
                    tracing::info!("departures written after a failure");
                    return self.report_synced(state, snapshot.number, receipt);
                }
                Err(error) => {
                    tracing::warn!(%error, "snapshot of departures not written");
                    tokio::time::sleep(RETRY_INTERVAL).await;
                }
            }
        }
    }

    /// Queues a snapshot of all departures in the registry, which replaces the log.
    fn queue_snapshot(&self, state: &Mutex<CoreState>) -> QueuedSnapshot {
        // Queued under the lock, so that the snapshot has every record that was queued before it.
        let state = state.lock();
        let batch = state.departure_snapshot();
        let snapshot = encode_departures(batch.departures);
        QueuedSnapshot {
            number: batch.number,
            bytes: snapshot.len() as u64,
            written: Box::pin(self.journal.replace(snapshot)),
        }
    }

    /// Publishes that all departures up to `number` are synced. `_receipt` proves that the sync took place.
    fn report_synced(&self, state: &Mutex<CoreState>, number: u64, _receipt: Synced) {
        state.lock().record_departures_synced(number);
        self.synced_number.send_replace(number);
    }
}

/// A snapshot that is queued to replace the log.
struct QueuedSnapshot {
    /// Number of the last departure that the snapshot has.
    number: u64,
    /// Length of the snapshot.
    bytes: u64,
    written: SnapshotFuture,
}

/// Waits until the compaction that is running, if any, is written or has failed, and removes it.
async fn finish(running: &mut Option<SnapshotFuture>) -> Result<Synced, JournalError> {
    let Some(written) = running else {
        return std::future::pending().await;
    };
    let outcome = written.await;
    *running = None;
    outcome
}
