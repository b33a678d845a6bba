//! Turns and budget of a program that continues within the retention of its turns, also after a machine restarts.

use std::time::Duration;

use woadreach_storage::budget::Reservation;
use woadreach_storage::message::{FencingToken, Operation, Request, Settlement};
use woadreach_storage::node::{Step, StorageNode};
use woadreach_storage::turn::TurnRecord;

const DISK: u64 = 7;
const MAX_TOKENS: u64 = 30;
const SECOND: Duration = Duration::from_secs(1);

fn turn(request_id: &str, retention: Duration) -> TurnRecord {
    TurnRecord {
        program: "program".to_owned(),
        session: "session".to_owned(),
        request_id: request_id.to_owned(),
        previous: None,
        retention_ms: retention.as_millis() as u64,
        content: vec![0; 4],
    }
}

/// Handles a request and returns the record that must be synced before the request is answered.
fn record_of(node: &mut StorageNode, now: Duration, operation: Operation) -> Vec<u8> {
    let request = Request {
        fencing_token: FencingToken {
            epoch: 0,
            disk: DISK,
        },
        operation,
    };
    match node.handle(now, request) {
        Step::Persist { record, .. } => record,
        other => panic!("expected a record to persist, got {other:?}"),
    }
}

fn reserve(reservation: u64) -> Operation {
    Operation::Reserve {
        program: "program".to_owned(),
        reservation,
        max_tokens: MAX_TOKENS,
    }
}

fn put(request_id: &str, retention: Duration, settlement: Settlement) -> Operation {
    let turns = vec![turn(request_id, retention)];
    Operation::PutTurns {
        program: "program".to_owned(),
        turns,
        settlement: Some(settlement),
    }
}

/// Returns a machine and its journal: one turn delivered three tokens, another turn's reservation is not settled.
fn machine_with_paused_program(retention: Duration) -> (StorageNode, Vec<Vec<u8>>) {
    let (mut node, identity) = StorageNode::create("store".to_owned(), DISK, 1);
    let settlement = Settlement {
        reservation: 1,
        delivered_tokens: 3,
    };
    let journal = vec![
        identity,
        record_of(&mut node, Duration::ZERO, reserve(1)),
        record_of(&mut node, Duration::ZERO, put("a", retention, settlement)),
        record_of(&mut node, Duration::ZERO, reserve(2)),
    ];
    (node, journal)
}

fn reservations(node: &StorageNode) -> Vec<Reservation> {
    node.store().reservations("program")
}

fn expected_reservations() -> [Reservation; 2] {
    [
        Reservation {
            id: 1,
            tokens: 3,
            settled: true,
        },
        Reservation {
            id: 2,
            tokens: MAX_TOKENS,
            settled: false,
        },
    ]
}

fn has_turn(node: &StorageNode) -> bool {
    !node.store().chain("program", "a", usize::MAX).is_empty()
}

#[test]
fn turns_and_budget_are_stored_until_the_retention_has_passed() {
    for seconds in [60, 600, 3_600] {
        let (mut node, _) = machine_with_paused_program(SECOND * seconds);
        node.expire(SECOND * seconds);
        assert!(has_turn(&node), "{seconds} s");
        assert_eq!(reservations(&node), expected_reservations(), "{seconds} s");
        node.expire(SECOND * (seconds + 1_000));
        assert!(node.store().is_empty(), "{seconds} s");
    }
}

#[test]
fn a_restart_preserves_the_retention_and_the_reservations() {
    for seconds in [60, 600] {
        let (_, journal) = machine_with_paused_program(SECOND * seconds);
        let recovered = StorageNode::recover(Duration::ZERO, "store".to_owned(), 1, None, &journal);
        let mut recovered = recovered.expect("the journal is readable");
        recovered.expire(SECOND * seconds);
        assert!(has_turn(&recovered), "{seconds} s");
        assert_eq!(
            reservations(&recovered),
            expected_reservations(),
            "{seconds} s"
        );
    }
}

#[test]
fn a_snapshot_preserves_the_remaining_retention() {
    let (node, _) = machine_with_paused_program(SECOND * 60);
    let snapshot = node.snapshot(SECOND * 40);
    let recovered =
        StorageNode::recover(Duration::ZERO, "store".to_owned(), 1, Some(&snapshot), &[]);
    let mut recovered = recovered.expect("the snapshot is readable");
    recovered.expire(SECOND * 20);
    assert!(has_turn(&recovered));
    assert_eq!(reservations(&recovered), expected_reservations());
    recovered.expire(SECOND * 26);
    assert!(!has_turn(&recovered));
    assert_eq!(
        reservations(&recovered),
        expected_reservations(),
        "the budget is retained longer than the turns"
    );
}
