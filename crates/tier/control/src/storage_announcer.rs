//! Announcements of a storage machine to the core machines.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{Instant, sleep};
use woadreach_discovery::ControlSnapshot;
use woadreach_rpc::{Client, ServiceId};
use woadreach_storage::announce::{ANNOUNCE_INTERVAL, is_from_quorum};
use woadreach_storage::message::encode;
use woadreach_storage::server::Server;

/// Without an answer of a core machine in quorum for this long, this machine counts as partitioned.
const PARTITION_TIMEOUT: Duration = Duration::from_millis(1_800);
/// Limit on the time for the answer to an announcement.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// Announces this machine to the core, at intervals and at once when a pull has ended.
///
/// Each announcement goes to every core machine, and one of them is to answer whether it is in quorum. After
/// a time without such answers this machine was partitioned and may have missed records.
pub(crate) struct StorageAnnouncer<'a> {
    server: &'a Server,
    rpc: &'a Client,
    /// Core machines to announce to before any are known.
    seeds: watch::Receiver<Vec<SocketAddr>>,
    control: watch::Receiver<Arc<ControlSnapshot>>,
    /// Counts up to the core machine that is to answer next.
    next_responder: usize,
    last_answer: Instant,
}

impl<'a> StorageAnnouncer<'a> {
    pub(crate) fn new(
        server: &'a Server,
        rpc: &'a Client,
        seeds: watch::Receiver<Vec<SocketAddr>>,
        control: watch::Receiver<Arc<ControlSnapshot>>,
    ) -> StorageAnnouncer<'a> {
        StorageAnnouncer {
            server,
            rpc,
            seeds,
            control,
            next_responder: 0,
            last_answer: Instant::now(),
        }
    }

    /// Announces until the future is dropped.
    pub(crate) async fn run(mut self) {
        let mut announcement_changed = self.server.announcement_changed();
        loop {
            let pause = async {
                tokio::select! {
                    () = sleep(ANNOUNCE_INTERVAL) => self.server.upkeep(),
                    _ = announcement_changed.changed() => {}
                }
            };
            let (is_answered, ()) = tokio::join!(self.announce(), pause);
            self.record_outcome(is_answered);
        }
    }

    /// Sends one announcement. Returns whether a core machine in quorum has answered it.
    async fn announce(&self) -> bool {
        let core = self.core_machines();
        let announcement = encode(&self.server.announcement());
        let responder = self.next_responder % core.len().max(1);
        for (index, address) in core.iter().enumerate() {
            if index != responder {
                self.rpc
                    .notify(*address, ServiceId::ANNOUNCE, announcement.clone());
            }
        }
        let Some(address) = core.get(responder) else {
            return false;
        };
        let answer = self
            .rpc
            .call(*address, ServiceId::ANNOUNCE, announcement, ANSWER_TIMEOUT)
            .await;
        answer.is_ok_and(|answer| is_from_quorum(&answer))
    }

    fn core_machines(&self) -> Vec<SocketAddr> {
        let snapshot = self.control.borrow();
        if snapshot.core_machines.is_empty() {
            self.seeds.borrow().clone()
        } else {
            snapshot.core_machines.clone()
        }
    }

    /// After an answer, checks for a partition before it; without one, another core machine is to answer
    /// next.
    fn record_outcome(&mut self, is_answered: bool) {
        if !is_answered {
            self.next_responder = self.next_responder.wrapping_add(1);
            return;
        }
        let now = Instant::now();
        if now.saturating_duration_since(self.last_answer) > PARTITION_TIMEOUT {
            self.server.request_pull();
        }
        self.last_answer = now;
    }
}
