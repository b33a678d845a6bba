//! Periodic work of a storage machine: expiry, compaction of the journal, and detection of a process that has stalled.

use std::time::{Duration, Instant};

use woadreach_routing::rendezvous::{hash64, mix};

use super::Server;

/// Maximum gap between two calls of [`Server::upkeep`]; after a longer gap the process counts as stalled.
const PROCESS_STALL_THRESHOLD: Duration = Duration::from_millis(1_200);
/// Minimum length of a log that is compacted, in bytes.
const MIN_LOG_BYTES: u64 = 8 << 20;

/// State between two calls of [`Server::upkeep`].
#[derive(Debug)]
pub(super) struct Upkeep {
    last_run: Instant,
    /// Whether a snapshot is being written.
    compacting: bool,
    /// Length of the log, as a percentage of the live bytes, above which it is compacted. The percentage differs
    /// between machines, so that they do not compact at the same time.
    log_percent: u64,
}

impl Upkeep {
    pub(super) fn new(now: Instant, node: &str) -> Upkeep {
        let log_percent = 100 + mix(hash64(node.as_bytes(), 3)) % 100;
        Upkeep {
            last_run: now,
            compacting: false,
            log_percent,
        }
    }
}

impl Server {
    /// Expires records, compacts the journal if that is due, and requests a pull if the process was stalled since the
    /// last call. Must be called every [`ANNOUNCE_INTERVAL`](crate::announce::ANNOUNCE_INTERVAL).
    pub fn upkeep(&self) {
        let now = Instant::now();
        let last_run = std::mem::replace(&mut self.shared.upkeep.lock().last_run, now);
        if now.saturating_duration_since(last_run) > PROCESS_STALL_THRESHOLD {
            self.request_pull();
        }
        self.shared.node.lock().expire(self.now());
        self.compact_if_due();
    }

    fn compact_if_due(&self) {
        let live_bytes = self.shared.node.lock().store().bytes() as u64;
        let mut upkeep = self.shared.upkeep.lock();
        let max_log_bytes = MIN_LOG_BYTES.max(live_bytes) * upkeep.log_percent / 100;
        if upkeep.compacting || self.shared.journal.log_bytes() <= max_log_bytes {
            return;
        }
        upkeep.compacting = true;
        drop(upkeep);
        let snapshot = self.shared.node.lock().snapshot(self.now());
        let replaced = self.shared.journal.replace(snapshot);
        let server = self.clone();
        tokio::spawn(async move {
            if let Err(error) = replaced.await {
                tracing::warn!(%error, "journal compaction failed");
            }
            server.shared.upkeep.lock().compacting = false;
        });
    }
}
