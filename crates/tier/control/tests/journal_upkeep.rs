//! Compaction and repair of the journal while writes continue.

mod support;

use std::future::Future;
use std::io;
use std::sync::Arc;

use parking_lot::{Condvar, Mutex};
use support::{
    ADDRESS, IDENTITY, member_options, recover_found, recover_or_initialize, wait_until,
    wait_until_head,
};
use tokio::task::JoinHandle;
use woadreach_chain::{Blob, Command, PutStorageView, Reply, Request};
use woadreach_control::member_driver::MemberDriver;
use woadreach_journal::{Disk, Journal, JournalOptions, SimulatedDisk, Slot};
use woadreach_rpc::{Client, ClientOptions};

/// Offset in bytes of the snapshot in a slot.
const SNAPSHOT_OFFSET: u64 = 33;
const VIEW_BYTES: usize = 1 << 20;

#[derive(Default)]
struct Gate {
    blocks_snapshots: bool,
    /// Whether the write of a snapshot is blocked now.
    is_blocking: bool,
    /// Number of snapshots whose write has begun.
    snapshots: usize,
}

/// Simulated disk that counts snapshots, and can block the write of a snapshot at its first byte.
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

    fn begin_snapshot(&self) {
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
            self.begin_snapshot();
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

/// Starts a core of one machine, and waits until it is the head.
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
    wait_until_head(&driver).await;
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

/// Submits the storage view of `epoch`. Returns when the head has accepted it, with the task that awaits the reply.
async fn submit(driver: &Arc<MemberDriver>, epoch: u64) -> JoinHandle<Reply> {
    let head = Arc::clone(driver);
    let order = tokio::spawn(async move { head.request(view(epoch)).await });
    wait_until(|| {
        driver
            .latest_storage_view()
            .is_some_and(|latest| latest.epoch >= epoch)
    })
    .await;
    order
}

async fn with_time_limit<T>(future: impl Future<Output = T>) -> T {
    tokio::time::timeout(std::time::Duration::from_secs(20), future)
        .await
        .expect("completion within the time limit")
}

#[tokio::test(flavor = "current_thread")]
async fn writes_continue_while_one_snapshot_replaces_the_log() {
    let disk = GateDisk::default();
    let driver = start(&disk).await;
    let before = disk.snapshots();
    disk.block_snapshots();
    let mut orders = Vec::new();
    let mut epoch = 0;
    while !disk.is_blocking() {
        epoch += 1;
        let order = submit(&driver, epoch).await;
        wait_until(|| order.is_finished() || disk.is_blocking()).await;
        orders.push(order);
    }
    for _ in 0..4 {
        epoch += 1;
        orders.push(submit(&driver, epoch).await);
    }
    disk.release();
    for order in orders {
        assert_eq!(
            with_time_limit(order).await.expect("no panic"),
            Reply::Committed
        );
    }
    assert_eq!(disk.snapshots() - before, 1);
}

#[tokio::test(flavor = "current_thread")]
async fn one_snapshot_repairs_the_journal_while_writes_continue() {
    let disk = GateDisk::default();
    let driver = start(&disk).await;
    let before = disk.snapshots();
    disk.block_snapshots();
    disk.disk.fail_change(disk.disk.changes());
    let mut orders = vec![submit(&driver, 1).await];
    with_time_limit(wait_until(|| disk.is_blocking())).await;
    for epoch in 2..=5 {
        orders.push(submit(&driver, epoch).await);
    }
    disk.release();
    for order in orders {
        assert_eq!(
            with_time_limit(order).await.expect("no panic"),
            Reply::Committed
        );
    }
    assert_eq!(disk.snapshots() - before, 1);
    drop(driver);
    let (_, found) =
        Journal::with_disk(Box::new(disk), JournalOptions::default()).expect("a journal");
    let recovered = recover_found(found);
    assert_eq!(recovered.durable.state.storage_epoch(), 5);
}

/// Guards against a stall going unreported because no append is queued: only a snapshot is being written.
#[tokio::test(flavor = "current_thread")]
async fn a_disk_stall_during_a_snapshot_is_reported() {
    let disk = GateDisk::default();
    let (journal, _) = Journal::with_disk(Box::new(disk.clone()), JournalOptions::default())
        .expect("an empty disk");
    disk.block_snapshots();
    let snapshot = journal.replace(vec![1; 9]);
    with_time_limit(wait_until(|| disk.is_blocking())).await;
    assert!(!journal.stalled_for().is_zero());
    disk.release();
    let _receipt = with_time_limit(snapshot).await.expect("a sync");
    with_time_limit(wait_until(|| journal.stalled_for().is_zero())).await;
}
