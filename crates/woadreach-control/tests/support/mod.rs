//! One core machine that is the whole core, with a real journal.

#![allow(dead_code)]

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::Path;
use std::sync::Arc;

use woadreach_chain::{MemberOptions, Place, Tolerance};
use woadreach_control::durable_log::{RecoveredMember, encode_snapshot, recover};
use woadreach_control::member_driver::{MemberDriver, new_durable};
use woadreach_control::order::OrderService;
use woadreach_journal::{Journal, JournalOptions};
use woadreach_rpc::{Client, ClientOptions};

pub const ADDRESS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1);

/// A core machine that is the whole core, once it is the head.
pub async fn start_core(folder: &Path) -> (Arc<MemberDriver>, Arc<OrderService>) {
    let options = MemberOptions {
        address: ADDRESS,
        seeds: vec![ADDRESS],
        tolerance: Tolerance::default(),
        place: Place::default(),
        random_seed: 1,
    };
    let (journal, found) = Journal::open(folder, JournalOptions::default()).expect("a journal");
    let recovered = match &found.snapshot {
        Some(snapshot) => recover(snapshot, &found.records).expect("own records"),
        None => {
            let durable = new_durable(true, &options, 7);
            let _receipt = journal.replace(encode_snapshot(0, &durable)).await.expect("a sync");
            RecoveredMember { durable, number: 0 }
        }
    };
    let rpc = Client::new(ClientOptions::default());
    let driver = MemberDriver::start(options, recovered, journal, rpc.clone());
    let mut changes = driver.changes();
    while !driver.status().is_head {
        changes.changed().await.expect("the driver runs");
    }
    let orders = Arc::new(OrderService::new(Arc::clone(&driver), rpc, SocketAddr::V4(ADDRESS), 0));
    (driver, orders)
}
