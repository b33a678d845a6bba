//! Records and snapshots of the member: appended, synced, compacted, and repaired after a failed append. The
//! member passes on what depends on a record once it is reported as synced from here.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use woadreach_chain::{Input, Record};
use woadreach_journal::{JournalError, Synced};

use super::{DriverState, MemberDriver};
use crate::durable_log::{encode_record, encode_snapshot};

/// Interval between two attempts to repair a failed journal.
const REPAIR_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Ends once a record or a snapshot is synced.
pub(super) type SyncFuture = Pin<Box<dyn Future<Output = Result<Synced, JournalError>> + Send>>;

/// A record that is queued in the journal and not known to be synced.
pub(super) struct PendingSync {
    /// Number of the record in the journal.
    number: u64,
    synced: SyncFuture,
}

impl MemberDriver {
    /// Appends a record. `member_number` is its number in this incarnation, from 1.
    pub(super) fn persist(&self, state: &mut DriverState, member_number: u64, record: &Record) {
        let number = state.recovered_number + member_number;
        state.last_number = number;
        if !state.journal_health.accepts_records() {
            // The member's state has the record, so the snapshot of the next repair contains it. Until then
            // nothing reports it as synced.
            return;
        }
        let synced = self.journal.append(encode_record(number, record));
        let pending = PendingSync {
            number,
            synced: Box::pin(synced),
        };
        // The receiving task lives as long as this driver.
        let _ = self.syncs.send(pending);
    }

    /// Replaces the log by a snapshot if it is long, while records are appended. Must be called when every
    /// record that the member has made is appended: one appended later would be in the snapshot already.
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
        // The receiving task lives as long as this driver.
        let _ = self
            .snapshots
            .send(Box::pin(self.journal.replace(snapshot)));
    }

    /// Awaits the snapshots that replace the log. One that is superseded by a repair's snapshot has not
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

    /// Awaits the syncs of records, and repairs the journal after one that fails.
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

    /// Notifies the member that all records up to `number` are synced, of which `_receipt` is the proof.
    fn report_synced(&self, number: u64, _receipt: Synced) {
        let recovered_number = {
            let mut state = self.state.lock();
            state.synced_records += 1;
            state.recovered_number
        };
        self.handle(Input::Synced(number - recovered_number));
    }

    /// Replaces the journal by a snapshot, again and again until that succeeds. The snapshot has every record
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

    /// Queues a snapshot of all records so far. Later records are appended behind it, and their syncs count
    /// only once the snapshot is synced: until then they may follow a gap.
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
