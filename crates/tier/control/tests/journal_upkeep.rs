//! The log's replacement by a snapshot, and the repair of a journal, while writes go on.

mod support;

use std::future::Future;
use std::io;
use std::sync::Arc;

use parking_lot::{Condvar, Mutex};
use support::{
    ADDRESS, IDENTITY, member_options, recover_found, recover_or_initialize, until, until_head,
};
use tokio::task::JoinHandle;
use woadreach_chain::{Blob, Command, PutStorageView, Reply, Request};
use woadreach_control::member_driver::MemberDriver;
use woadreach_journal::{Disk, Journal, JournalOptions, SimulatedDisk, Slot};
use woadreach_rpc::{Client, ClientOptions};

/// Where a snapshot begins in a slot.
const SNAPSHOT_OFFSET: u64 = 33;
const VIEW_BYTES: usize = 1 << 20;

#[derive(Default)]
struct Gate {
    blocks_snapshots: bool,
    is_blocking: bool,
    snapshots: usize,
}

/// A disk that counts the snapshots that are begun, and can block them at their first byte.
#[derive(Clone, Default)]
struct GateDisk {
    disk: SimulatedDisk,
    gate: Arc<(Mutex<Gate>, Condvar)>,
}

impl GateDisk {
    fn block_snapshots(&self) {
        self.gate.0.lock().blocks_snapshots = true;
    }

    fn release(&self) {
        self.gate.0.lock().blocks_snapshots = false;
        self.gate.1.notify_all();
    }

    fn is_blocking(&self) -> bool {
        self.gate.0.lock().is_blocking
    }

    fn snapshots(&self) -> usize {
        self.gate.0.lock().snapshots
    }

    fn pass(&self) {
        let mut gate = self.gate.0.lock();
        gate.snapshots += 1;
        while gate.blocks_snapshots {
            gate.is_blocking = true;
            self.gate.1.wait(&mut gate);
        }
        gate.is_blocking = false;
    }
}

impl Disk for GateDisk {
    fn read(&mut self, slot: Slot) -> io::Result<Vec<u8>> {
        self.disk.read(slot)
    }

    fn write(&mut self, slot: Slot, offset: u64, bytes: &[u8]) -> io::Result<()> {
        if offset == SNAPSHOT_OFFSET {
            self.pass();
        }
        self.disk.write(slot, offset, bytes)
    }

    fn truncate(&mut self, slot: Slot, length: u64) -> io::Result<()> {
        self.disk.truncate(slot, length)
    }

    fn sync(&mut self, slot: Slot) -> io::Result<()> {
        self.disk.sync(slot)
    }
}

/// A core of one machine, once it is the head.
async fn start(disk: &GateDisk) -> Arc<MemberDriver> {
    let (journal, found) = Journal::with_disk(Box::new(disk.clone()), JournalOptions::default())
        .expect("an empty disk");
    let options = member_options(vec![ADDRESS]);
    let recovered = recover_or_initialize(&journal, found, &options, IDENTITY).await;
    let driver = MemberDriver::start(
        options,
        recovered,
        journal,
        Client::new(ClientOptions::default()),
    );
    until_head(&driver).await;
    driver
}

fn view(epoch: u64) -> Request {
    let bytes = Blob::from(vec![epoch as u8; VIEW_BYTES]);
    Request::Submit(Command::PutStorageView(PutStorageView {
        expected_epoch: epoch - 1,
        epoch,
        bytes,
    }))
}

/// Submits the storage view of `epoch`; returns when the head has accepted it, with the reply to come.
async fn submit(driver: &Arc<MemberDriver>, epoch: u64) -> JoinHandle<Reply> {
    let head = Arc::clone(driver);
    let order = tokio::spawn(async move { head.request(view(epoch)).await });
    until(|| {
        driver
            .latest_storage_view()
            .is_some_and(|latest| latest.epoch >= epoch)
    })
    .await;
    order
}

async fn within<T>(future: impl Future<Output = T>) -> T {
    tokio::time::timeout(std::time::Duration::from_secs(20), future)
        .await
        .expect("an end in time")
}

#[tokio::test(flavor = "current_thread")]
async fn writes_go_on_while_the_log_is_replaced_by_one_snapshot() {
    let disk = GateDisk::default();
    let driver = start(&disk).await;
    let before = disk.snapshots();
    disk.block_snapshots();
    let mut orders = Vec::new();
    let mut epoch = 0;
    while !disk.is_blocking() {
        epoch += 1;
        let order = submit(&driver, epoch).await;
        until(|| order.is_finished() || disk.is_blocking()).await;
        orders.push(order);
    }
    for _ in 0..4 {
        epoch += 1;
        orders.push(submit(&driver, epoch).await);
    }
    disk.release();
    for order in orders {
        assert_eq!(within(order).await.expect("no panic"), Reply::Committed);
    }
    assert_eq!(disk.snapshots() - before, 1);
}

#[tokio::test(flavor = "current_thread")]
async fn one_snapshot_repairs_the_journal_while_writes_go_on() {
    let disk = GateDisk::default();
    let driver = start(&disk).await;
    let before = disk.snapshots();
    disk.block_snapshots();
    disk.disk.fail_change(disk.disk.changes());
    let mut orders = vec![submit(&driver, 1).await];
    within(until(|| disk.is_blocking())).await;
    for epoch in 2..=5 {
        orders.push(submit(&driver, epoch).await);
    }
    disk.release();
    for order in orders {
        assert_eq!(within(order).await.expect("no panic"), Reply::Committed);
    }
    assert_eq!(disk.snapshots() - before, 1);
    drop(driver);
    let (_, found) =
        Journal::with_disk(Box::new(disk), JournalOptions::default()).expect("a journal");
    let recovered = recover_found(found);
    assert_eq!(recovered.durable.state.storage_epoch(), 5);
}

/// The disk stalls although no append is queued.
#[tokio::test(flavor = "current_thread")]
async fn a_disk_that_stalls_in_a_snapshot_is_noticed() {
    let disk = GateDisk::default();
    let (journal, _) = Journal::with_disk(Box::new(disk.clone()), JournalOptions::default())
        .expect("an empty disk");
    disk.block_snapshots();
    let snapshot = journal.replace(vec![1; 9]);
    within(until(|| disk.is_blocking())).await;
    assert!(!journal.stalled_for().is_zero());
    disk.release();
    let _receipt = within(snapshot).await.expect("a sync");
    within(until(|| journal.stalled_for().is_zero())).await;
}
