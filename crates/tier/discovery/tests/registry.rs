//! Registry of one core machine: order of heartbeats, incarnations, departures, expiry and revisions.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use common::{draining, heartbeat};
use quickcheck::{Arbitrary, Gen, quickcheck};
use woadreach_discovery::registry::{
    HeartbeatError, HeartbeatOutcome, MIN_TOMBSTONE_LIMIT, Refresh, RefreshResult, Registry,
    RegistryVersion, TOMBSTONE_TTL,
};
use woadreach_discovery::{Departure, Heartbeat, IdentifiedStatus, ReplicaStatus};

const REUSE_AFTER: Duration = Duration::from_secs(2);

fn registry() -> Registry {
    Registry::new(1, REUSE_AFTER)
}

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn present(registry: &Registry) -> Vec<String> {
    registry
        .replicas(Duration::ZERO)
        .map(|replica| replica.record.id.clone())
        .collect()
}

#[test]
fn a_stale_heartbeat_is_rejected_and_changes_nothing() {
    let mut registry = registry();
    assert_eq!(
        registry.heartbeat(seconds(0.0), "r", heartbeat(1, 5)),
        Ok(HeartbeatOutcome::Changed)
    );
    assert_eq!(
        registry.heartbeat(seconds(0.1), "r", draining(1, 6)),
        Ok(HeartbeatOutcome::Departing)
    );
    let before = (registry.status("r").cloned(), registry.version());
    let stale = HeartbeatError::Stale {
        id: "r".into(),
        sequence: 4,
        newest: 6,
    };
    assert_eq!(
        registry.heartbeat(seconds(0.2), "r", heartbeat(1, 4)),
        Err(stale)
    );
    assert!(
        registry
            .heartbeat(seconds(0.2), "r", heartbeat(1, 6))
            .is_err(),
        "the same sequence number with other content"
    );
    assert_eq!((registry.status("r").cloned(), registry.version()), before);
    assert_eq!(registry.counters().stale, 2);
}

#[test]
fn a_repeated_heartbeat_is_accepted_again() {
    let mut registry = registry();
    registry
        .heartbeat(seconds(0.0), "r", draining(1, 5))
        .unwrap();
    let version = registry.version();
    assert_eq!(
        registry.heartbeat(seconds(0.4), "r", draining(1, 5)),
        Ok(HeartbeatOutcome::Departing)
    );
    assert_eq!(registry.version(), version);
}

#[test]
fn heartbeats_without_changes_do_not_change_the_version() {
    let mut registry = registry();
    registry
        .heartbeat(seconds(0.0), "r", heartbeat(1, 1))
        .unwrap();
    let version = registry.version();
    for sequence in 2..50 {
        assert_eq!(
            registry.heartbeat(seconds(1.0), "r", heartbeat(1, sequence)),
            Ok(HeartbeatOutcome::Unchanged)
        );
    }
    assert_eq!(registry.version(), version);
}

#[test]
fn invalid_fields_are_rejected_with_the_name_of_the_field() {
    let mut registry = registry();
    let nameless = Heartbeat {
        service: String::new(),
        ..heartbeat(1, 1)
    };
    let error = HeartbeatError::InvalidField {
        id: "r".into(),
        field: "service",
    };
    assert_eq!(registry.heartbeat(seconds(0.0), "r", nameless), Err(error));
    assert_eq!(
        registry.heartbeat(seconds(0.0), "", heartbeat(1, 1)),
        Err(HeartbeatError::InvalidId { length: 0 })
    );
    let last = heartbeat(1, u64::MAX);
    assert!(
        registry.heartbeat(seconds(0.0), "r", last).is_err(),
        "u64::MAX is reserved for final departures"
    );
    assert_eq!(registry.counters().invalid, 3);
    assert_eq!(registry.registered_count(), 0);
}

#[test]
fn a_deregistered_replica_stays_departed() {
    let mut registry = registry();
    registry
        .heartbeat(seconds(0.0), "r", heartbeat(1, 1))
        .unwrap();
    let record = registry.status("r").cloned().unwrap();
    registry.deregister(seconds(1.0), "r").unwrap();
    let departed = HeartbeatError::Departed { id: "r".into() };
    assert_eq!(
        registry.heartbeat(seconds(1.1), "r", heartbeat(1, 9)),
        Err(departed)
    );
    assert!(
        !registry.merge(seconds(1.2), "r", record),
        "a delayed message of a core machine"
    );
    let refresh = Refresh {
        id: "r".into(),
        sequence: 9,
        digest: 0,
    };
    assert_eq!(
        registry.refresh(seconds(1.3), &refresh),
        RefreshResult::Known
    );
    assert_eq!(registry.registered_count(), 0);
    assert_eq!(
        registry.deregister(seconds(1.4), "r"),
        Ok(HeartbeatOutcome::Departing),
        "a repeated deregistration is acknowledged again"
    );
}

#[test]
fn an_unknown_replica_that_deregisters_is_not_registered_by_a_delayed_message() {
    let mut other = registry();
    other.heartbeat(seconds(0.0), "r", heartbeat(1, 1)).unwrap();
    let mut registry = registry();
    registry.deregister(seconds(0.0), "r").unwrap();
    registry.merge(seconds(0.1), "r", other.status("r").cloned().unwrap());
    assert_eq!(registry.registered_count(), 0);
}

#[test]
fn an_unresponsive_replica_expires_and_a_later_heartbeat_restores_it() {
    let mut registry = registry();
    registry
        .heartbeat(seconds(0.0), "r", heartbeat(1, 3))
        .unwrap();
    assert!(registry.expire(seconds(4.0), seconds(4.2)).is_empty());
    assert_eq!(registry.expire(seconds(4.3), seconds(4.2)), ["r"]);
    let expired = ReplicaStatus::Departed {
        sequence: 3,
        departure: Departure::Unresponsive,
    };
    assert_eq!(registry.status("r"), Some(&expired));
    assert!(
        registry
            .heartbeat(seconds(4.4), "r", heartbeat(1, 3))
            .is_err(),
        "a delayed heartbeat is rejected"
    );
    assert_eq!(
        registry.heartbeat(seconds(5.0), "r", heartbeat(1, 4)),
        Ok(HeartbeatOutcome::Changed)
    );
    assert_eq!(registry.registered_count(), 1);
}

#[test]
fn an_expiry_older_than_the_newest_heartbeat_is_refuted() {
    let mut registry = registry();
    registry
        .heartbeat(seconds(0.0), "r", heartbeat(1, 8))
        .unwrap();
    let version = registry.version();
    let expiry = ReplicaStatus::Departed {
        sequence: 5,
        departure: Departure::Unresponsive,
    };
    assert!(registry.merge(seconds(0.1), "r", expiry));
    let changes = registry.changes_since(version, 10);
    assert_eq!(
        changes.statuses,
        [IdentifiedStatus {
            id: "r".to_owned(),
            status: registry.status("r").cloned().unwrap(),
        }]
    );
    assert_eq!(registry.registered_count(), 1);
}

#[test]
fn a_new_incarnation_at_the_same_address_supersedes_only_an_unresponsive_one() {
    let mut registry = registry();
    registry
        .heartbeat(seconds(0.0), "old", heartbeat(1, 7))
        .unwrap();
    let other_service = Heartbeat {
        service: "other".into(),
        ..heartbeat(1, 1)
    };
    registry
        .heartbeat(seconds(0.5), "early", other_service.clone())
        .unwrap();
    assert_eq!(
        present(&registry),
        ["early", "old"],
        "both have sent a heartbeat recently"
    );
    registry
        .heartbeat(seconds(2.2), "new", other_service)
        .unwrap();
    assert_eq!(present(&registry), ["new"]);
    assert_eq!(registry.counters().superseded, 2);
    assert!(
        registry
            .heartbeat(seconds(2.3), "old", heartbeat(1, 7))
            .is_err(),
        "a delayed heartbeat"
    );
    assert_eq!(present(&registry), ["new"]);
}

#[test]
fn a_refresh_with_unknown_content_cannot_be_applied() {
    let mut sender = registry();
    let mut receiver = registry();
    sender
        .heartbeat(seconds(0.0), "r", heartbeat(1, 1))
        .unwrap();
    let refresh = |sender: &Registry| sender.refresh_for("r").unwrap();
    assert_eq!(
        receiver.refresh(seconds(0.1), &refresh(&sender)),
        RefreshResult::Unknown
    );
    receiver.merge(seconds(0.2), "r", sender.status("r").cloned().unwrap());
    sender
        .heartbeat(seconds(1.0), "r", heartbeat(1, 2))
        .unwrap();
    assert_eq!(
        receiver.refresh(seconds(1.1), &refresh(&sender)),
        RefreshResult::Known
    );
    assert_eq!(receiver.status("r"), sender.status("r"));
    sender.heartbeat(seconds(2.0), "r", draining(1, 3)).unwrap();
    sender.heartbeat(seconds(2.1), "r", draining(1, 4)).unwrap();
    assert_eq!(
        receiver.refresh(seconds(2.2), &refresh(&sender)),
        RefreshResult::Unknown
    );
    assert_eq!(receiver.status("r").map(ReplicaStatus::sequence), Some(2));
}

#[test]
fn tombstones_are_retained_for_their_ttl_and_limited_in_number() {
    let mut registry = registry();
    registry.deregister(seconds(0.0), "r").unwrap();
    registry.drop_tombstones(TOMBSTONE_TTL);
    assert!(registry.status("r").is_some());
    let before = registry.version();
    registry.drop_tombstones(TOMBSTONE_TTL + seconds(1.0));
    assert!(registry.status("r").is_none());
    assert!(
        !registry.changes_since(before, 10).reset,
        "the receiver has already received the tombstone"
    );

    for number in 0..MIN_TOMBSTONE_LIMIT + 10 {
        registry
            .deregister(TOMBSTONE_TTL, &format!("t{number}"))
            .unwrap();
    }
    registry.drop_tombstones(TOMBSTONE_TTL);
    assert!(
        registry.status("t9").is_none(),
        "the oldest are dropped first"
    );
    assert!(registry.status("t10").is_some());
}

#[test]
fn a_receiver_with_a_version_before_a_dropped_tombstone_gets_the_complete_list_in_parts() {
    let mut registry = registry();
    registry
        .heartbeat(seconds(0.0), "gone", heartbeat(9, 1))
        .unwrap();
    let early = registry.version();
    registry.deregister(seconds(1.0), "gone").unwrap();
    for port in 1..=7 {
        registry
            .heartbeat(seconds(2.0), &format!("r{port}"), heartbeat(port, 1))
            .unwrap();
    }
    registry.drop_tombstones(seconds(2.0) + TOMBSTONE_TTL);
    let mut version = early;
    let mut listed = Vec::new();
    for part in 0..4 {
        let changes = registry.changes_since(version, 2);
        assert_eq!(changes.reset, part == 0);
        assert_eq!(changes.has_more, part < 3);
        version = changes.version;
        listed.extend(changes.statuses.into_iter().map(|changed| changed.id));
    }
    assert_eq!(listed.len(), 7);
    assert!(registry.changes_since(version, 2).statuses.is_empty());
}

#[test]
fn a_receiver_of_another_incarnation_gets_the_complete_list() {
    let mut registry = registry();
    registry
        .heartbeat(seconds(0.0), "r", heartbeat(1, 1))
        .unwrap();
    let foreign = RegistryVersion {
        incarnation: 9,
        revision: 900,
        dropped_tombstone_revision: 0,
    };
    let changes = registry.changes_since(foreign, 10);
    assert!(changes.reset && changes.statuses.len() == 1);
}

/// Request of a replica to the registry.
#[derive(Clone, Debug)]
enum Step {
    Heartbeat {
        replica: u8,
        sequence: u8,
        is_draining: bool,
    },
    Deregister {
        replica: u8,
    },
}

impl Arbitrary for Step {
    fn arbitrary(generator: &mut Gen) -> Self {
        let replica = u8::arbitrary(generator) % 4;
        if u8::arbitrary(generator) % 8 == 0 {
            return Self::Deregister { replica };
        }
        let sequence = u8::arbitrary(generator) % 16;
        Self::Heartbeat {
            replica,
            sequence,
            is_draining: bool::arbitrary(generator),
        }
    }
}

/// Expected state of each replica: sequence number of its latest update and whether it is draining. `None` once it has
/// deregistered.
type Oracle = BTreeMap<u8, Option<(u8, bool)>>;

/// Applies a step to the oracle. Returns whether the registry has to accept it.
fn oracle_accepts(oracle: &mut Oracle, step: &Step) -> bool {
    match *step {
        Step::Deregister { replica } => {
            oracle.insert(replica, None);
            true
        }
        Step::Heartbeat {
            replica,
            sequence,
            is_draining,
        } => {
            let update = (sequence, is_draining);
            match oracle.get(&replica) {
                Some(None) => false,
                Some(Some(known)) if *known != update && known.0 >= sequence => false,
                _ => {
                    oracle.insert(replica, Some(update));
                    true
                }
            }
        }
    }
}

quickcheck! {
    fn registry_and_follower_match_the_latest_update_of_each_replica(steps: Vec<Step>) -> bool {
        let mut registry = registry();
        let mut follower = empty_follower();
        let mut version = RegistryVersion::default();
        let mut oracle = Oracle::new();
        for step in &steps {
            let expected = oracle_accepts(&mut oracle, step);
            let is_accepted = match *step {
                Step::Deregister { replica } => registry.deregister(seconds(0.0), &replica.to_string()).is_ok(),
                Step::Heartbeat { replica, sequence, is_draining } => {
                    let make = if is_draining { draining } else { heartbeat };
                    let heartbeat = make(u16::from(replica) + 1, u64::from(sequence));
                    registry.heartbeat(seconds(0.0), &replica.to_string(), heartbeat).is_ok()
                }
            };
            if is_accepted != expected {
                return false;
            }
            // The follower requests one status at a time.
            let changes = registry.changes_since(version, 1);
            version = changes.version;
            follower.extend(by_id(changes.statuses));
        }
        loop {
            let changes = registry.changes_since(version, 1);
            version = changes.version;
            follower.extend(by_id(changes.statuses));
            if !changes.has_more {
                break;
            }
        }
        oracle.iter().all(|(replica, update)| {
            let status = registry.status(&replica.to_string());
            let followed = follower.get(&replica.to_string());
            let same = match (status, followed) {
                (Some(ReplicaStatus::Registered(one)), Some(ReplicaStatus::Registered(two))) => {
                    one.has_same_content(two)
                }
                (one, two) => one == two,
            };
            let record = status.and_then(ReplicaStatus::record);
            same && record.map(|record| record.heartbeat.sequence) == update.map(|update| u64::from(update.0))
        })
    }
}

fn by_id(statuses: Vec<IdentifiedStatus>) -> impl Iterator<Item = (String, ReplicaStatus)> {
    let statuses = statuses.into_iter();
    statuses.map(|changed| (changed.id, changed.status))
}

fn empty_follower() -> BTreeMap<String, ReplicaStatus> {
    BTreeMap::new()
}
