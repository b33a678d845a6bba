//! Merging of the statuses from three core machines at an observer.

mod common;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use common::{draining, heartbeat};
use quickcheck::{Arbitrary, Gen, quickcheck};
use woadreach_discovery::messages::{RegistryResponse, StatusEntry};
use woadreach_discovery::registry::RegistryVersion;
use woadreach_discovery::replica_table::{ReplicaTable, UNLISTED_TIMEOUT};
use woadreach_discovery::{Departure, ReplicaRecord, ReplicaStatus};

fn machine(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7380))
}

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn response(incarnation: u64, reset: bool, statuses: &[(&str, ReplicaStatus)]) -> RegistryResponse {
    RegistryResponse {
        version: RegistryVersion {
            incarnation,
            revision: 1,
            dropped_tombstone_revision: 0,
        },
        warming: false,
        reset,
        has_more: false,
        statuses: statuses
            .iter()
            .map(|(id, status)| StatusEntry::new((*id).to_owned(), status))
            .collect(),
    }
}

fn ready(id: &str, sequence: u64) -> ReplicaStatus {
    ReplicaStatus::Registered(ReplicaRecord::new(id, heartbeat(1, sequence)))
}

fn unresponsive(sequence: u64) -> ReplicaStatus {
    ReplicaStatus::Departed {
        sequence,
        departure: Departure::Unresponsive,
    }
}

/// Table after the complete list of one machine, which contains the replica `r` with this sequence number.
fn table_with_replica(sequence: u64) -> ReplicaTable {
    let mut table = ReplicaTable::default();
    table.apply(
        seconds(0),
        machine(1),
        true,
        response(1, true, &[("r", ready("r", sequence))]),
    );
    table
}

#[test]
fn a_list_without_a_replica_removes_it_only_after_the_unlisted_timeout() {
    let mut table = table_with_replica(1);
    // The machine has restarted and has received no heartbeat of the replica.
    let empty = |incarnation| response(incarnation, true, &[]);
    table.apply(seconds(1), machine(1), true, empty(2));
    assert!(!table.sweep(seconds(1)));
    let almost = seconds(1) + UNLISTED_TIMEOUT;
    table.apply(almost, machine(1), true, empty(2));
    assert!(!table.sweep(almost));
    assert!(table.sweep(almost + seconds(1)));
    assert!(table.replicas().is_empty());
}

#[test]
fn lists_of_machines_that_are_warming_or_out_of_quorum_remove_nothing() {
    let mut table = table_with_replica(1);
    for second in 1..60 {
        table.apply(seconds(second), machine(1), false, response(2, true, &[]));
        assert!(!table.sweep(seconds(second)));
    }
    assert_eq!(table.replicas().len(), 1);
}

#[test]
fn an_expiry_removes_a_replica_and_a_later_heartbeat_restores_it() {
    let mut table = table_with_replica(5);
    assert!(table.apply(
        seconds(1),
        machine(2),
        true,
        response(1, true, &[("r", unresponsive(6))])
    ));
    assert!(table.replicas().is_empty());
    assert!(!table.apply(
        seconds(2),
        machine(3),
        true,
        response(1, true, &[("r", ready("r", 6))])
    ));
    assert!(table.apply(
        seconds(3),
        machine(3),
        true,
        response(1, false, &[("r", ready("r", 7))])
    ));
    assert_eq!(table.replicas()["r"].heartbeat.sequence, 7);
}

#[test]
fn a_heartbeat_without_changes_does_not_change_the_table() {
    let mut table = ReplicaTable::default();
    assert!(table.apply(
        seconds(0),
        machine(1),
        true,
        response(1, true, &[("r", ready("r", 5))])
    ));
    assert!(!table.apply(
        seconds(1),
        machine(2),
        true,
        response(1, true, &[("r", ready("r", 6))])
    ));
}

/// Status of a replica as received from one core machine.
#[derive(Clone, Debug)]
struct ReceivedStatus {
    machine: u8,
    replica: u8,
    status: ReplicaStatus,
}

impl Arbitrary for ReceivedStatus {
    fn arbitrary(generator: &mut Gen) -> Self {
        let replica = u8::arbitrary(generator) % 4;
        let id = replica.to_string();
        // The content depends only on id and sequence, because a replica sends one heartbeat per sequence number.
        let sequence = u64::from(u8::arbitrary(generator) % 12);
        let status = match u8::arbitrary(generator) % 6 {
            0 => ReplicaStatus::deregistered(),
            1 => unresponsive(sequence),
            2 => ReplicaStatus::Departed {
                sequence,
                departure: Departure::Superseded,
            },
            _ if sequence % 3 == 2 => {
                ReplicaStatus::Registered(ReplicaRecord::new(&id, draining(1, sequence)))
            }
            _ => ready(&id, sequence),
        };
        Self {
            machine: u8::arbitrary(generator) % 3,
            replica,
            status,
        }
    }
}

fn table_of<'a>(received: impl Iterator<Item = &'a ReceivedStatus>) -> ReplicaTable {
    let mut table = ReplicaTable::default();
    for entry in received {
        let id = entry.replica.to_string();
        let statuses = [(id.as_str(), entry.status.clone())];
        table.apply(
            seconds(0),
            machine(entry.machine),
            true,
            response(1, false, &statuses),
        );
    }
    table
}

quickcheck! {
    /// Oracle: the status with the highest sequence number wins; with equal numbers, a departure wins over a record.
    fn any_order_and_repetition_yields_the_same_replicas(received: Vec<ReceivedStatus>, order: Vec<usize>) -> bool {
        let mut shuffled: Vec<&ReceivedStatus> = received.iter().collect();
        for (index, other) in order.iter().enumerate().take(shuffled.len()) {
            let other = other % shuffled.len();
            shuffled.swap(index, other);
        }
        let again: Vec<&ReceivedStatus> = shuffled.iter().chain(shuffled.iter().rev()).copied().collect();
        let mut expected: BTreeMap<String, &ReplicaRecord> = BTreeMap::new();
        for replica in 0..4 {
            let own = received.iter().filter(|entry| entry.replica == replica);
            let key = |status: &ReplicaStatus| (status.sequence(), status.record().is_none());
            let newest = own.max_by_key(|entry| key(&entry.status));
            if let Some(record) = newest.and_then(|entry| entry.status.record()) {
                expected.insert(record.id.clone(), record);
            }
        }
        [table_of(received.iter()), table_of(again.into_iter())].iter().all(|table| {
            table.replicas().len() == expected.len()
                && table.replicas().iter().all(|(id, record)| expected[id].has_same_content(record))
        })
    }
}
