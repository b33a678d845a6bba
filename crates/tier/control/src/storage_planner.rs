//! Changes of the storage view: planned by the head of the chain from what the storage machines announce, and
//! committed like a configuration from the request to the member on.

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

/// Interval between two plans.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which a machine that isn't the head checks whether it has become the head.
const IDLE_INTERVAL: Duration = Duration::from_millis(250);
/// Limit on the time for a change to be committed; the next plan starts from whatever became of it.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(2);

/// Whether `peer`, which has sent the announcement of the storage machine at `announcing`, is a core machine that has
/// forwarded it. A storage machine that runs on a core machine's host has the same address as that.
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
    /// How many storage machines may be lost at once.
    tolerated_losses: usize,
    /// Epoch of the last storage view that could not be read.
    unreadable_epoch: AtomicU64,
}

impl StoragePlanner {
    /// Creates the planner of this core machine. `seeds` are the core machines that storage machines announce
    /// themselves to; `tolerated_losses` is how many storage machines may be lost at once.
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

    /// Adds the handler of the storage machines' announcements.
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

    /// Forwards an announcement to the head if the head is no seed, since storage machines may know the seeds
    /// only. One that another core machine has forwarded is not forwarded again.
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

    /// Plans until the future is dropped.
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

    /// Logs, once an epoch, that no plan is made on a view that can't be decoded.
    fn log_unreadable(&self, storage_epoch: u64, error: MessageError) {
        if self.unreadable_epoch.swap(storage_epoch, Ordering::Relaxed) != storage_epoch {
            tracing::error!(
                storage_epoch,
                %error,
                "storage view planning skipped, stored view not decoded"
            );
        }
    }

    /// Plans the next view from the latest one and the announcements, and submits it.
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
