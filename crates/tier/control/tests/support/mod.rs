//! Helpers that start one core machine with a real driver and journal.

#![allow(dead_code)]

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::Path;
use std::sync::Arc;

use woadreach_chain::{FailureDomain, MemberOptions, Tolerance};
use woadreach_control::durable_log::{RecoveredMember, encode_snapshot, recover};
use woadreach_control::member_driver::{MemberDriver, new_durable};
use woadreach_control::order::service::OrderService;
use woadreach_journal::{Journal, JournalOptions, Recovered};
use woadreach_rpc::{Client, ClientOptions};

pub(crate) const ADDRESS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1);
/// Identity of the member on a new disk.
pub(crate) const IDENTITY: u64 = 7;

/// Starts a core of one machine, and waits until it is the head.
pub(crate) async fn start_core(folder: &Path) -> (Arc<MemberDriver>, Arc<OrderService>) {
    let driver = start_member(folder, vec![ADDRESS]).await;
    wait_until_head(&driver).await;
    let orders = Arc::new(order_service(Arc::clone(&driver)));
    (driver, orders)
}

/// Waits until the member is the head.
pub(crate) async fn wait_until_head(driver: &MemberDriver) {
    let mut changes = driver.changes();
    while !driver.status().is_head {
        changes.changed().await.expect("the driver runs");
    }
}

/// Yields to other tasks until `condition` is true.
pub(crate) async fn wait_until(condition: impl Fn() -> bool) {
    while !condition() {
        tokio::task::yield_now().await;
    }
}

pub(crate) fn order_service(driver: Arc<MemberDriver>) -> OrderService {
    OrderService::new(
        driver,
        Client::new(ClientOptions::default()),
        SocketAddr::V4(ADDRESS),
        0,
    )
}

/// Starts a core machine with these seeds.
pub(crate) async fn start_member(folder: &Path, seeds: Vec<SocketAddrV4>) -> Arc<MemberDriver> {
    let options = member_options(seeds);
    let (journal, found) = Journal::open(folder, JournalOptions::default()).expect("a journal");
    let recovered = recover_or_initialize(&journal, found, &options, IDENTITY).await;
    MemberDriver::start(
        options,
        recovered,
        journal,
        Client::new(ClientOptions::default()),
    )
}

/// Options of a core machine that tolerates no failures.
pub(crate) fn member_options(seeds: Vec<SocketAddrV4>) -> MemberOptions {
    MemberOptions {
        address: ADDRESS,
        seeds,
        tolerance: Tolerance::default(),
        failure_domain: FailureDomain::default(),
        random_seed: 1,
    }
}

/// Recovers the state from the journal. Initializes an empty journal with the snapshot of a new member.
pub(crate) async fn recover_or_initialize(
    journal: &Journal,
    found: Recovered,
    options: &MemberOptions,
    identity: u64,
) -> RecoveredMember {
    if found.snapshot.is_some() {
        return recover_found(found);
    }
    let durable = new_durable(true, options, identity);
    let _receipt = journal
        .replace(encode_snapshot(0, &durable))
        .await
        .expect("a sync");
    RecoveredMember { durable, number: 0 }
}

/// Recovers the state from a journal that contains a snapshot.
pub(crate) fn recover_found(found: Recovered) -> RecoveredMember {
    recover(&found.snapshot.expect("a snapshot"), &found.records).expect("own records")
}
