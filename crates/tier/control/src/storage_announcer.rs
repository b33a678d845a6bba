//! Sends the announcements of a storage machine to the core machines.

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

/// Time without an answer from a core machine in quorum after which this machine counts as partitioned.
const PARTITION_TIMEOUT: Duration = Duration::from_millis(1_800);
/// Time limit for the answer to an announcement.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// Announces this machine to the core at intervals, and immediately when a pull is complete or a shutdown begins.
///
/// Each announcement is sent to every core machine. One of them, the responder, must answer whether it is in quorum.
/// If no responder in quorum has answered for [`PARTITION_TIMEOUT`], this machine was partitioned and may have
/// missed records.
pub(crate) struct StorageAnnouncer<'a> {
    server: &'a Server,
    rpc: &'a Client,
    /// Core machines that receive announcements while `control` contains none.
    seeds: watch::Receiver<Vec<SocketAddr>>,
    control: watch::Receiver<Arc<ControlSnapshot>>,
    /// Index of the next responder, modulo the number of core machines. Incremented after each missing answer.
    next_responder: usize,
    /// Time of the last answer from a core machine in quorum; at first, the start of the announcer.
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

    /// Sends announcements until the future is dropped.
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

    /// Sends one announcement. Returns whether the responder has answered that it is in quorum.
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

    /// After an answer, requests a pull if this machine was partitioned before it. Without an answer, selects
    /// another responder.
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
