//! Persistence of the member's records and snapshots: append, sync, compaction, and repair after a failed append.
//! The member sends what depends on a record only after this module has reported the record as synced.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use woadreach_chain::{Input, Record};
use woadreach_journal::{JournalError, Synced};

use super::{DriverState, MemberDriver};
use crate::durable_log::{encode_record, encode_snapshot};

/// Interval between attempts to repair the journal after a failed append.
const REPAIR_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Completes when a record or a snapshot is synced, or when its write fails.
pub(super) type SyncFuture = Pin<Box<dyn Future<Output = Result<Synced, JournalError>> + Send>>;

/// A record or repair snapshot that is queued in the journal and not known to be synced.
pub(super) struct PendingSync {
    /// Journal number of the record, or of the last record in the snapshot.
    number: u64,
    synced: SyncFuture,
}

impl MemberDriver {
    /// Appends a record. `member_number` is the number of the record in this incarnation, starting at 1.
    pub(super) fn persist(&self, state: &mut DriverState, member_number: u64, record: &Record) {
        let number = state.recovered_number + member_number;
        state.last_number = number;
        if !state.journal_health.accepts_records() {
            // The state of the member includes the record, so the snapshot of the next repair contains it. The
            // record is not reported as synced before that snapshot is.
            return;
        }
        let synced = self.journal.append(encode_record(number, record));
        let pending = PendingSync {
            number,
            synced: Box::pin(synced),
        };
        // The receiving task runs as long as this driver exists, so the send succeeds.
        let _ = self.syncs.send(pending);
    }

    /// Queues a snapshot to replace the log if compaction is due; records are appended meanwhile. Must be called
    /// only when every record that the member has created is appended: the snapshot includes all of them, and a
    /// record appended later would duplicate its content.
    pub(super) fn compact_if_due(&self, state: &mut DriverState) {
        let now = self.started.elapsed();
        if !state
            .journal_health
            .is_compaction_due(now, self.journal.log_bytes())
        {
            return;
        }
        let snapshot = encode_snapshot(state.last_number, state.member.durable());
        state.journal_health.begin_compaction(snapshot.len() as u64);
        // The receiving task runs as long as this driver exists, so the send succeeds.
        let _ = self
            .snapshots
            .send(Box::pin(self.journal.replace(snapshot)));
    }

    /// Awaits the snapshots that replace the log. A snapshot superseded by that of a repair does not count as
    /// failed.
    pub(super) async fn await_snapshots(
        self: Arc<Self>,
        mut pending: mpsc::UnboundedReceiver<SyncFuture>,
    ) {
        while let Some(replaced) = pending.recv().await {
            let outcome = replaced.await;
            let mut state = self.state.lock();
            match outcome {
                Ok(_) | Err(JournalError::Superseded) => state.journal_health.end_compaction(),
                Err(error) => {
                    tracing::warn!(%error, "journal compaction failed");
                    state.journal_health.fail_compaction(self.started.elapsed());
                }
            }
        }
    }

    /// Awaits the syncs of records, and repairs the journal if an append fails.
    pub(super) async fn await_syncs(
        self: Arc<Self>,
        mut pending: mpsc::UnboundedReceiver<PendingSync>,
    ) {
        while let Some(PendingSync { number, synced }) = pending.recv().await {
            match synced.await {
                Ok(receipt) => self.report_synced(number, receipt),
                Err(error) => {
                    tracing::warn!(%error, number, "journal append failed");
                    self.repair(&mut pending).await;
                }
            }
        }
    }

    /// Notifies the member that all records up to `number` are synced. `_receipt` proves that the sync took place.
    fn report_synced(&self, number: u64, _receipt: Synced) {
        let recovered_number = {
            let mut state = self.state.lock();
            state.synced_records += 1;
            state.recovered_number
        };
        self.handle(Input::Synced(number - recovered_number));
    }

    /// Replaces the journal by a snapshot, and retries until that succeeds. The snapshot includes every record
    /// that was queued behind the failed one.
    async fn repair(&self, pending: &mut mpsc::UnboundedReceiver<PendingSync>) {
        loop {
            let PendingSync { number, synced } = self.begin_repair(pending);
            match synced.await {
                Ok(receipt) => {
                    self.state.lock().journal_health.end_repair();
                    tracing::info!(number, "journal repaired");
                    return self.report_synced(number, receipt);
                }
                Err(error) => {
                    tracing::warn!(%error, "journal repair failed");
                    self.state.lock().journal_health.fail_repair();
                    tokio::time::sleep(REPAIR_RETRY_INTERVAL).await;
                }
            }
        }
    }

    /// Queues a snapshot of all records so far. Later records are appended behind it, and their syncs are reported
    /// only after the snapshot is synced, because they may follow a gap until then.
    fn begin_repair(&self, pending: &mut mpsc::UnboundedReceiver<PendingSync>) -> PendingSync {
        let mut state = self.state.lock();
        while pending.try_recv().is_ok() {}
        let number = state.last_number;
        let snapshot = encode_snapshot(number, state.member.durable());
        state.journal_health.begin_repair(snapshot.len() as u64);
        PendingSync {
            number,
            synced: Box::pin(self.journal.replace(snapshot)),
        }
    }
}
