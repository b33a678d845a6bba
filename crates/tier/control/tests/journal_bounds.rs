//! Thousands of changes on a core of one machine. Compaction must bound the size of the journal, and every
//! acknowledged change must survive a power loss at any time, including during a snapshot.

mod support;

use std::sync::Arc;

use oorandom::Rand64;
use support::{
    ADDRESS, IDENTITY, member_options, recover_found, recover_or_initialize, wait_until,
};
use woadreach_chain::{AppliedConfiguration, Blob, Command, PutConfiguration, Reply, Request};
use woadreach_control::member_driver::MemberDriver;
use woadreach_journal::{Journal, JournalOptions, SimulatedDisk, Survival};
use woadreach_rpc::{Client, ClientOptions};

/// 80 % of a disk of 128 MB.
const MAX_JOURNAL_BYTES: u64 = (128 << 20) / 100 * 80;
/// Size in bytes of a small configuration.
const SMALL_BYTES: usize = 10 << 10;
/// Size in bytes of a large configuration.
const LARGE_BYTES: usize = 4 << 20;

fn change(generation: u64, bytes: usize) -> PutConfiguration {
    let mut digest = [0; 16];
    digest[..8].copy_from_slice(&generation.to_le_bytes());
    let body = Blob::from(vec![generation as u8; bytes]);
    PutConfiguration {
        base: generation - 1,
        generation,
        digest,
        body,
    }
}

fn applied(generation: u64) -> AppliedConfiguration {
    AppliedConfiguration {
        generation,
        digest: change(generation, 0).digest,
    }
}

/// Result of one incarnation of the machine.
struct Incarnation {
    /// Generation of the last acknowledged change.
    acknowledged: u64,
    /// Maximum number of bytes in use on the disk, measured after each change.
    max_used: usize,
}

/// Starts a machine on `disk` and changes the configuration `count` times. Stops earlier if the disk reaches its
/// change number `power_loss`, at which the power is lost.
async fn run_changes(
    disk: &SimulatedDisk,
    count: u64,
    bytes: usize,
    power_loss: Option<u64>,
) -> Incarnation {
    let journal_options = JournalOptions {
        max_bytes: MAX_JOURNAL_BYTES,
        max_queued_bytes: 64 << 20,
    };
    let (journal, found) =
        Journal::with_disk(Box::new(disk.clone()), journal_options).expect("a readable disk");
    let options = member_options(vec![ADDRESS]);
    let recovered = recover_or_initialize(&journal, found, &options, IDENTITY).await;
    let mut incarnation = Incarnation {
        acknowledged: recovered.durable.state.generation(),
        max_used: 0,
    };
    if let Some(change) = power_loss {
        disk.lose_power_at(change);
    }
    let has_lost_power = || power_loss.is_some_and(|change| disk.changes() > change);
    let driver = MemberDriver::start(
        options,
        recovered,
        journal,
        Client::new(ClientOptions::default()),
    );
    wait_until(|| driver.status().is_head || has_lost_power()).await;
    for generation in incarnation.acknowledged + 1..=incarnation.acknowledged + count {
        let head = Arc::clone(&driver);
        let request = Request::Submit(Command::PutConfiguration(change(generation, bytes)));
        let order = tokio::spawn(async move { head.request(request).await });
        wait_until(|| order.is_finished() || has_lost_power()).await;
        if !order.is_finished() {
            break;
        }
        assert_eq!(order.await.expect("no panic"), Reply::Committed);
        incarnation.acknowledged = generation;
        incarnation.max_used = incarnation.max_used.max(disk.used_bytes());
    }
    incarnation
}

/// Runs one incarnation on a separate runtime. Dropping the runtime ends the tasks of the incarnation.
fn run(disk: &SimulatedDisk, count: u64, bytes: usize, power_loss: Option<u64>) -> Incarnation {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(run_changes(disk, count, bytes, power_loss))
}

/// Returns what a restart recovers: the generation of the configuration, and all applied configurations.
fn recover_state(disk: &SimulatedDisk) -> (u64, Vec<AppliedConfiguration>) {
    let (_, found) = Journal::with_disk(Box::new(disk.clone()), JournalOptions::default())
        .expect("a readable disk");
    let recovered = recover_found(found);
    (
        recovered.durable.state.generation(),
        recovered.durable.state.applied,
    )
}

#[test]
fn compaction_bounds_the_journal_over_three_thousand_small_changes() {
    let disk = SimulatedDisk::default();
    let incarnation = run(&disk, 3000, SMALL_BYTES, None);
    println!("maximum bytes in use: {}", incarnation.max_used);
    assert_eq!(incarnation.acknowledged, 3000);
    assert!(incarnation.max_used <= 12 << 20, "{}", incarnation.max_used);
    assert_eq!(recover_state(&disk).0, 3000);
}

#[test]
fn compaction_bounds_the_journal_over_sixty_large_changes() {
    let disk = SimulatedDisk::default();
    let incarnation = run(&disk, 60, LARGE_BYTES, None);
    println!("maximum bytes in use: {}", incarnation.max_used);
    assert_eq!(incarnation.acknowledged, 60);
    assert!(
        incarnation.max_used as u64 <= MAX_JOURNAL_BYTES / 3,
        "{}",
        incarnation.max_used
    );
    assert_eq!(recover_state(&disk).0, 60);
}

/// Loses power at a random change of the disk in each incarnation. Returns the number of incarnations after which an
/// acknowledged change was missing.
fn count_losses(incarnations: u64, ignores_syncs: bool) -> u64 {
    let mut random = Rand64::new(4);
    let mut disk = SimulatedDisk::default();
    run(&disk, 1, SMALL_BYTES, None);
    let mut lost = 0;
    for number in 0..incarnations {
        let bytes = if number % 4 == 0 {
            LARGE_BYTES
        } else {
            SMALL_BYTES * 20
        };
        if ignores_syncs {
            disk.set_fault(woadreach_journal::DiskFault::IgnoresSync);
        }
        let power_loss = disk.changes() + random.rand_range(1..200);
        let acknowledged = run(&disk, 100, bytes, Some(power_loss)).acknowledged;
        // Threads of the earlier incarnation may still write to the disk that they opened, so continue on a copy.
        disk = disk.fork();
        let outcomes: Vec<Survival> = (0..disk.unsynced_changes())
            .map(|_| Survival::ALL[random.rand_range(0..4) as usize])
            .collect();
        disk.restore_power(outcomes);
        let (generation, digests) = recover_state(&disk);
        let is_complete =
            generation >= acknowledged && digests.iter().copied().eq((1..=generation).map(applied));
        lost += u64::from(!is_complete);
    }
    lost
}

#[test]
fn acknowledged_changes_survive_a_power_loss_at_any_time() {
    assert_eq!(count_losses(24, false), 0);
}

#[test]
fn the_power_loss_check_detects_a_disk_that_ignores_syncs() {
    let found = std::panic::catch_unwind(|| count_losses(3, true));
    assert!(found.is_err() || found.is_ok_and(|lost| lost > 0));
}
