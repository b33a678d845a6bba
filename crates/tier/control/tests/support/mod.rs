//! One core machine with a real journal.

#![allow(dead_code)]

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::Path;
use std::sync::Arc;

use woadreach_chain::{FailureDomain, MemberOptions, Tolerance};
use woadreach_control::durable_log::{RecoveredMember, encode_snapshot, recover};
use woadreach_control::member_driver::{MemberDriver, new_durable};
use woadreach_control::order::service::OrderService;
use woadreach_journal::{Journal, JournalOptions};
use woadreach_rpc::{Client, ClientOptions};

pub(crate) const ADDRESS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1);

/// A core of one machine, once it is the head.
pub(crate) async fn start_core(folder: &Path) -> (Arc<MemberDriver>, Arc<OrderService>) {
    let driver = start_member(folder, vec![ADDRESS]).await;
    let mut changes = driver.changes();
    while !driver.status().is_head {
        changes.changed().await.expect("the driver runs");
    }
    let orders = Arc::new(order_service(Arc::clone(&driver)));
    (driver, orders)
}

pub(crate) fn order_service(driver: Arc<MemberDriver>) -> OrderService {
    OrderService::new(
        driver,
        Client::new(ClientOptions::default()),
        SocketAddr::V4(ADDRESS),
        0,
    )
}

/// A core machine with these seeds.
pub(crate) async fn start_member(folder: &Path, seeds: Vec<SocketAddrV4>) -> Arc<MemberDriver> {
    let options = MemberOptions {
        address: ADDRESS,
        seeds,
        tolerance: Tolerance::default(),
        failure_domain: FailureDomain::default(),
        random_seed: 1,
    };
    let (journal, found) = Journal::open(folder, JournalOptions::default()).expect("a journal");
    let recovered = match &found.snapshot {
        Some(snapshot) => recover(snapshot, &found.records).expect("own records"),
        None => {
            let durable = new_durable(true, &options, 7);
            let _receipt = journal
                .replace(encode_snapshot(0, &durable))
                .await
                .expect("a sync");
            RecoveredMember { durable, number: 0 }
        }
    };
    MemberDriver::start(
        options,
        recovered,
        journal,
        Client::new(ClientOptions::default()),
    )
}
