//! Departures on the disk of a core machine: what is written, how much, and what a process that starts recovers.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use common::{FixedState, departure_journal, draining, heartbeat, settings};
use tokio::task::{JoinHandle, JoinSet};
use woadreach_discovery::departure_compaction::{
    COMPACTION_BYTES, DepartureCompaction, LogState, RETRY_INTERVAL,
};
use woadreach_discovery::departure_record::{
    DepartureRecordError, decode_departures, encode_departures,
};
use woadreach_discovery::registry::{Registry, TOMBSTONE_TTL};
use woadreach_discovery::{CoreDiscovery, ReplicaStatus};
use woadreach_journal::SimulatedDisk;
use woadreach_rpc::{Client, ClientOptions};

/// A core machine that is the only member of its view.
struct Machine {
    discovery: Arc<CoreDiscovery>,
    task: JoinHandle<()>,
}

impl Machine {
    fn start(disk: &SimulatedDisk) -> Self {
        let settings = settings("core-1", 1, 7380, &[1]);
        let committed = Arc::new(FixedState::new(vec![SocketAddr::from((
            [127, 0, 0, 1],
            7380,
        ))]));
        let rpc = Client::new(ClientOptions::default());
        let discovery = CoreDiscovery::new(&settings, 1, rpc, committed, departure_journal(disk));
        let task = tokio::spawn(Arc::clone(&discovery).run());
        Self { discovery, task }
    }

    /// Lets the replicas drain and deregister, all of them at the same time.
    async fn replace_all(&self, replicas: std::ops::Range<u32>) {
        let mut calls = JoinSet::new();
        for replica in replicas {
            let discovery = Arc::clone(&self.discovery);
            calls.spawn(async move {
                let id = format!("i-{replica:016x}");
                let heartbeat = draining(replica as u16, 7);
                discovery.heartbeat(&id, heartbeat).await.unwrap();
                discovery.deregister(&id).await.unwrap();
            });
        }
        while let Some(call) = calls.join_next().await {
            call.unwrap();
        }
    }
}

/// At most this many bytes may be on the disk: 15 % of 128 MB, the smallest disk of a core machine.
const MAX_DISK_BYTES: usize = 128_000_000 / 100 * 15;

#[tokio::test]
async fn departures_of_11000_replicas_share_syncs_stay_within_the_disk_and_are_recovered() {
    let disk = SimulatedDisk::default();
    let machine = Machine::start(&disk);
    let mut max_bytes = 0;
    for group in 0..55 {
        machine.replace_all(group * 200..(group + 1) * 200).await;
        max_bytes = max_bytes.max(disk.used_bytes());
    }
    machine.task.abort();
    let syncs = disk.operations().syncs;
    let started = Instant::now();
    let recovered = departure_journal(&disk.fork());
    let read_time = started.elapsed();
    println!(
        "{syncs} syncs, {max_bytes} bytes at most, {} statuses read in {read_time:?}",
        recovered.recovered_count()
    );
    assert!(syncs < 11_000, "{syncs} syncs for 22,000 departures");
    assert!(max_bytes < MAX_DISK_BYTES, "{max_bytes} bytes");
    let restarted = Machine::start(&disk.fork());
    assert_eq!(restarted.discovery.report().replicas, 0, "all have left");
    for replica in (0..11_000).step_by(100) {
        let id = format!("i-{replica:016x}");
        let late = restarted.discovery.heartbeat(&id, draining(1, 6)).await;
        assert!(late.is_err(), "{id}");
    }
}

/// A draining replica repeats its heartbeat until it ends. Only the first one is written.
#[tokio::test]
async fn repeated_heartbeats_of_a_draining_replica_are_written_once() {
    let disk = SimulatedDisk::default();
    let machine = Machine::start(&disk);
    let discovery = &machine.discovery;
    discovery.heartbeat("r1", draining(1, 1)).await.unwrap();
    let syncs = disk.operations().syncs;
    for sequence in 2..20 {
        let repeated = discovery.heartbeat("r1", draining(1, sequence));
        repeated.await.unwrap();
    }
    discovery.deregister("r1").await.unwrap();
    discovery.deregister("r1").await.unwrap();
    assert_eq!(disk.operations().syncs, syncs + 1, "the deregistration");
}

/// What a start recovers is on disk already, and is not written again.
#[test]
fn recovered_departures_are_not_queued_again() {
    let mut registry = Registry::new(1, Duration::from_secs(2));
    registry.deregister(Duration::ZERO, "r1").unwrap();
    let batch = registry.next_departures().expect("a queued departure");
    assert_eq!(batch.departures.len(), 1);
    let mut restarted = Registry::new(2, Duration::from_secs(2));
    restarted.restore_departures(Duration::ZERO, batch.departures);
    assert!(restarted.next_departures().is_none());
    assert_eq!(
        restarted.status("r1"),
        Some(&ReplicaStatus::deregistered()),
        "restored"
    );
}

/// A start must not restore departures of long ago, however short the log is: each of them would be sent to every edge
/// again, and would reject the heartbeats of a replica that uses the id again.
#[tokio::test]
async fn departures_that_the_registry_has_dropped_leave_the_disk() {
    let disk = SimulatedDisk::default();
    let machine = Machine::start(&disk);
    machine.discovery.deregister("old").await.unwrap();
    tokio::time::pause();
    let step = Duration::from_millis(250);
    for _ in 0..2 * TOMBSTONE_TTL.as_secs() * 4 {
        tokio::time::advance(step).await;
        tokio::task::yield_now().await;
    }
    tokio::time::resume();
    machine.discovery.deregister("new").await.unwrap();
    let compacted = async {
        while departure_journal(&disk.fork()).recovered_count() > 1 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    let compacted = tokio::time::timeout(Duration::from_secs(10), compacted).await;
    machine.task.abort();
    assert!(compacted.is_ok(), "the disk still has the old departure");
    let restarted = Machine::start(&disk.fork());
    let discovery = &restarted.discovery;
    assert!(discovery.heartbeat("old", heartbeat(1, 1)).await.is_ok());
    assert!(discovery.heartbeat("new", heartbeat(2, 1)).await.is_err());
}

#[test]
fn a_log_is_replaced_when_it_is_long_or_has_what_the_registry_dropped_long_ago() {
    let second = Duration::from_secs(1);
    let log = |log_bytes, dropped_departures| LogState {
        log_bytes,
        dropped_departures,
    };
    let mut compaction = DepartureCompaction::default();
    assert!(!compaction.is_due(second, log(COMPACTION_BYTES, 0)));
    assert!(compaction.is_due(second, log(COMPACTION_BYTES + 1, 0)));
    assert!(!compaction.is_due(second, log(1, 1)), "compacted recently");
    assert!(!compaction.is_due(TOMBSTONE_TTL, log(1, 0)), "none dropped");
    assert!(compaction.is_due(TOMBSTONE_TTL, log(0, 1)), "a snapshot");

    let snapshot_bytes = 2 * COMPACTION_BYTES;
    compaction.begin(TOMBSTONE_TTL, log(1, 1), snapshot_bytes);
    assert!(!compaction.is_due(2 * TOMBSTONE_TTL, log(2 * snapshot_bytes, 2)));
    compaction.end();
    assert!(!compaction.is_due(2 * TOMBSTONE_TTL, log(snapshot_bytes, 1)));
    assert!(compaction.is_due(2 * TOMBSTONE_TTL, log(snapshot_bytes + 1, 1)));
    assert!(compaction.is_due(2 * TOMBSTONE_TTL, log(1, 2)));

    compaction.begin(2 * TOMBSTONE_TTL, log(1, 2), snapshot_bytes);
    compaction.fail(2 * TOMBSTONE_TTL);
    assert!(!compaction.is_due(2 * TOMBSTONE_TTL, log(1, 2)));
    assert!(compaction.is_due(2 * TOMBSTONE_TTL + RETRY_INTERVAL, log(1, 2)));
}

/// A disk that stands still for long must not cost memory without limit.
#[test]
fn departures_whose_tombstones_are_dropped_do_not_wait_for_the_disk() {
    let mut registry = Registry::new(1, Duration::from_secs(2));
    registry.deregister(Duration::ZERO, "r1").unwrap();
    let _taken_by_a_stalled_disk = registry.next_departures();
    registry.deregister(Duration::ZERO, "r2").unwrap();
    assert_eq!(registry.departure_log().unsynced_count(), 2);
    registry.drop_tombstones(TOMBSTONE_TTL + Duration::from_secs(1));
    assert_eq!(registry.departure_log().unsynced_count(), 0);
    assert!(registry.next_departures().is_none());
}

#[test]
fn records_of_another_version_or_form_are_rejected_with_the_reason() {
    let mut registry = Registry::new(1, Duration::from_secs(2));
    registry.deregister(Duration::ZERO, "r1").unwrap();
    let record = encode_departures(registry.all_departures().departures);
    assert!(matches!(
        decode_departures(&[]),
        Err(DepartureRecordError::UnsupportedVersion { version: None })
    ));
    let other_version = [&[9], &record[1..]].concat();
    assert!(matches!(
        decode_departures(&other_version),
        Err(DepartureRecordError::UnsupportedVersion { version: Some(9) })
    ));
    for length in 1..record.len() {
        assert!(matches!(
            decode_departures(&record[..length]),
            Err(DepartureRecordError::MalformedRecord { .. })
        ));
    }
}
