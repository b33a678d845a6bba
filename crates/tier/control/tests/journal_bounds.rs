//! Thousands of changes on one core machine that is the whole core: its journal stays short, and whatever was
//! acknowledged is there after a loss of power at any moment, in the middle of a snapshot too.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use oorandom::Rand64;
use woadreach_chain::{
    Blob, Command, FailureDomain, MemberOptions, PutConfiguration, Reply, Request,
    TakenConfiguration, Tolerance,
};
use woadreach_control::durable_log::{RecoveredMember, encode_snapshot, recover};
use woadreach_control::member_driver::{MemberDriver, new_durable};
use woadreach_journal::{Journal, JournalOptions, SimulatedDisk, Survival};
use woadreach_rpc::{Client, ClientOptions};

const ADDRESS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1);
/// 80 hundredths of a disk of 128 MB.
const SHARE: u64 = (128 << 20) / 100 * 80;
const SMALL: usize = 10 << 10;
const LARGE: usize = 4 << 20;

fn options() -> MemberOptions {
    MemberOptions {
        address: ADDRESS,
        seeds: vec![ADDRESS],
        tolerance: Tolerance::default(),
        failure_domain: FailureDomain::default(),
        random_seed: 1,
    }
}

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

fn taken(generation: u64) -> TakenConfiguration {
    TakenConfiguration {
        generation,
        digest: change(generation, 0).digest,
    }
}

/// What one life of the machine came to.
struct Life {
    /// Generation of the last change that was acknowledged.
    acknowledged: u64,
    /// Most bytes of the disk that were in use after a change.
    most_used: usize,
}

/// Starts a machine on `disk` and changes the configuration `count` times, or until the power is cut at
/// change `cut` of the disk.
async fn live(disk: &SimulatedDisk, count: u64, bytes: usize, cut: Option<u64>) -> Life {
    let journal_options = JournalOptions {
        max_bytes: SHARE,
        max_queued_bytes: 64 << 20,
    };
    let (journal, found) =
        Journal::with_disk(Box::new(disk.clone()), journal_options).expect("a readable disk");
    let recovered = match &found.snapshot {
        Some(snapshot) => recover(snapshot, &found.records).expect("own records"),
        None => {
            let durable = new_durable(true, &options(), 7);
            let _receipt = journal
                .replace(encode_snapshot(0, &durable))
                .await
                .expect("a sync");
            RecoveredMember { durable, number: 0 }
        }
    };
    let mut life = Life {
        acknowledged: recovered.durable.state.generation(),
        most_used: 0,
    };
    if let Some(cut) = cut {
        disk.cut_power(cut);
    }
    let is_dead = || cut.is_some_and(|cut| disk.changes() > cut);
    let driver = MemberDriver::start(
        options(),
        recovered,
        journal,
        Client::new(ClientOptions::default()),
    );
    until(|| driver.status().is_head || is_dead()).await;
    for generation in life.acknowledged + 1..=life.acknowledged + count {
        let asked = Arc::clone(&driver);
        let request = Request::Submit(Command::PutConfiguration(change(generation, bytes)));
        let order = tokio::spawn(async move { asked.request(request).await });
        until(|| order.is_finished() || is_dead()).await;
        if !order.is_finished() {
            break;
        }
        assert_eq!(order.await.expect("no panic"), Reply::Taken);
        life.acknowledged = generation;
        life.most_used = life.most_used.max(disk.used_bytes());
    }
    life
}

async fn until(condition: impl Fn() -> bool) {
    while !condition() {
        tokio::task::yield_now().await;
    }
}

/// One life on a runtime of its own, with which its tasks end.
fn run(disk: &SimulatedDisk, count: u64, bytes: usize, cut: Option<u64>) -> Life {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(live(disk, count, bytes, cut))
}

/// What a restart finds: the generation of the configuration, and the digests of all that were taken.
fn found(disk: &SimulatedDisk) -> (u64, Vec<TakenConfiguration>) {
    let (_, found) = Journal::with_disk(Box::new(disk.clone()), JournalOptions::default())
        .expect("a readable disk");
    let recovered =
        recover(&found.snapshot.expect("a snapshot"), &found.records).expect("own records");
    (
        recovered.durable.state.generation(),
        recovered.durable.state.taken,
    )
}

#[test]
fn three_thousand_small_changes_take_little_room() {
    let disk = SimulatedDisk::default();
    let life = run(&disk, 3000, SMALL, None);
    println!("most bytes in use: {}", life.most_used);
    assert_eq!(life.acknowledged, 3000);
    assert!(life.most_used <= 12 << 20, "{}", life.most_used);
    assert_eq!(found(&disk).0, 3000);
}

#[test]
fn sixty_large_changes_take_less_than_a_third_of_the_share() {
    let disk = SimulatedDisk::default();
    let life = run(&disk, 60, LARGE, None);
    println!("most bytes in use: {}", life.most_used);
    assert_eq!(life.acknowledged, 60);
    assert!(life.most_used as u64 <= SHARE / 3, "{}", life.most_used);
    assert_eq!(found(&disk).0, 60);
}

/// Cuts at random moments of one machine's lives; returns how many of them lost something acknowledged.
fn lives_with_cuts(lives: u64, ignores_syncs: bool) -> u64 {
    let mut random = Rand64::new(4);
    let mut disk = SimulatedDisk::default();
    run(&disk, 1, SMALL, None);
    let mut lost = 0;
    for number in 0..lives {
        let bytes = if number % 4 == 0 { LARGE } else { SMALL * 20 };
        if ignores_syncs {
            disk.set_fault(woadreach_journal::DiskFault::IgnoresSync);
        }
        let cut = disk.changes() + random.rand_range(1..200);
        let acknowledged = run(&disk, 100, bytes, Some(cut)).acknowledged;
        // The earlier life goes on with its own disk, if with any.
        disk = disk.copy();
        let outcomes: Vec<Survival> = (0..disk.unsynced_changes())
            .map(|_| Survival::ALL[random.rand_range(0..4) as usize])
            .collect();
        disk.return_power(outcomes);
        let (generation, digests) = found(&disk);
        let is_whole =
            generation >= acknowledged && digests.iter().copied().eq((1..=generation).map(taken));
        lost += u64::from(!is_whole);
    }
    lost
}

#[test]
fn nothing_acknowledged_is_lost_by_cuts_of_power() {
    assert_eq!(lives_with_cuts(24, false), 0);
}

#[test]
fn a_disk_that_ignores_syncs_is_found() {
    let found = std::panic::catch_unwind(|| lives_with_cuts(3, true));
    assert!(found.is_err() || found.is_ok_and(|lost| lost > 0));
}
