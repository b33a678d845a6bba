//! Plans changes of the storage view at the head of the chain, from the announcements of the storage machines.
//! Each change is submitted to the member and committed in the same way as a configuration.

use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use parking_lot::Mutex;
use woadreach_rpc::{Client, Router, ServiceId};
use woadreach_storage::announce::{Announcement, Announcements, handler};
use woadreach_storage::message::{MessageError, decode};
use woadreach_storage::view::plan;

use crate::member_driver::MemberDriver;
use crate::order::execution::submit_storage_view;
use crate::order::retire::decode_view;

/// Interval between plans while this machine is the head.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between checks of a machine that is not the head whether it has become the head.
const IDLE_INTERVAL: Duration = Duration::from_millis(250);
/// Time limit for the commit of a change. The next plan starts from the latest view, with or without the change.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(2);

/// Returns whether the announcement of the storage machine at `announcing`, received from `peer`, was forwarded by a
/// core machine. A storage machine on the host of a core machine has the same IP address as that core machine, so an
/// announcement from the storage machine's own IP address does not count as forwarded.
#[must_use]
pub fn is_forwarded(
    peer: SocketAddr,
    announcing: SocketAddr,
    core_machines: &[SocketAddrV4],
) -> bool {
    let is_core = core_machines
        .iter()
        .any(|machine| SocketAddr::V4(*machine).ip() == peer.ip());
    is_core && announcing.ip() != peer.ip()
}

/// Plans the storage view while this machine is the head.
pub struct StoragePlanner {
    driver: Arc<MemberDriver>,
    rpc: Client,
    announcements: Arc<Mutex<Announcements>>,
    seeds: Vec<SocketAddr>,
    /// Number of storage machines that may fail at the same time.
    tolerated_losses: usize,
    /// Epoch of the last storage view that could not be decoded; 0 before the first.
    unreadable_epoch: AtomicU64,
}

impl StoragePlanner {
    /// Creates the planner of this core machine. `seeds` are the core machines to which storage machines send their
    /// announcements while they know no others. `tolerated_losses` is the number of storage machines that may fail at
    /// the same time.
    pub fn new(
        driver: Arc<MemberDriver>,
        rpc: Client,
        seeds: Vec<SocketAddr>,
        tolerated_losses: usize,
    ) -> Arc<StoragePlanner> {
        let announcements = Arc::new(Mutex::new(Announcements::new(Instant::now())));
        let unreadable_epoch = AtomicU64::new(0);
        Arc::new(StoragePlanner {
            driver,
            rpc,
            announcements,
            seeds,
            tolerated_losses,
            unreadable_epoch,
        })
    }

    /// Registers the handler of announcements from storage machines.
    pub fn handlers(self: &Arc<Self>, router: Router) -> Router {
        let planner = Arc::clone(self);
        let driver = Arc::clone(&self.driver);
        let receive = handler(Arc::clone(&self.announcements), move || {
            driver.status().in_quorum
        });
        router.route_checked(ServiceId::ANNOUNCE, move |peer, body: Bytes| {
            planner.forward_to_head(peer, &body);
            receive(peer, body)
        })
    }

    /// Forwards an announcement to the head if the head is not a seed, because storage machines may know only the
    /// seeds. Does not forward an announcement that another core machine has already forwarded.
    fn forward_to_head(&self, peer: SocketAddr, body: &Bytes) {
        let status = self.driver.status();
        let Some(head) = status.head.map(|head| SocketAddr::V4(head.address)) else {
            return;
        };
        let Ok(announcement) = decode::<Announcement>(body) else {
            return;
        };
        let is_forwarded = is_forwarded(peer, announcement.member.address, &status.core_machines);
        if !status.is_head && !is_forwarded && !self.seeds.contains(&head) {
            self.rpc.notify(head, ServiceId::ANNOUNCE, body.to_vec());
        }
    }

    /// Plans changes of the storage view until the future is dropped.
    pub async fn run(self: Arc<Self>) {
        loop {
            let is_head = self.driver.status().is_head;
            tokio::time::sleep(if is_head {
                PLAN_INTERVAL
            } else {
                IDLE_INTERVAL
            })
            .await;
            if is_head {
                self.advance().await;
            }
        }
    }

    /// Logs, once per epoch, that planning is skipped because the stored view cannot be decoded.
    fn log_unreadable(&self, storage_epoch: u64, error: MessageError) {
        if self.unreadable_epoch.swap(storage_epoch, Ordering::Relaxed) != storage_epoch {
            tracing::error!(
                storage_epoch,
                %error,
                "storage view planning skipped, stored view not decoded"
            );
        }
    }

    /// Plans the next storage view from the latest view and the announcements, and submits it if there is a change.
    async fn advance(&self) {
        let stored = self.driver.latest_storage_view();
        let expected_epoch = stored.as_ref().map_or(0, |stored| stored.epoch);
        let view = match decode_view(stored.as_ref()) {
            Ok(view) => view,
            Err(error) => return self.log_unreadable(expected_epoch, error),
        };
        let planned = plan(
            Instant::now(),
            &view,
            &self.announcements.lock(),
            self.tolerated_losses,
        );
        let Some(next) = planned else { return };
        tracing::info!(
            storage_epoch = next.epoch,
            current = next.current.len(),
            next = next.next.as_ref().map(Vec::len),
            "storage view planned"
        );
        let submitted = submit_storage_view(&self.driver, expected_epoch, &next);
        if tokio::time::timeout(SUBMIT_TIMEOUT, submitted)
            .await
            .is_err()
        {
            tracing::warn!(storage_epoch = next.epoch, "storage view commit timed out");
        }
    }
}
