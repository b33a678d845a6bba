//! What a stopped program finds when it continues within its turns' retention, also after a restart.

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

/// Handles a request and returns the record that its answer waits for.
fn record(node: &mut StorageNode, now: Duration, operation: Operation) -> Vec<u8> {
    let request = Request {
        fencing_token: FencingToken {
            epoch: 0,
            disk: DISK,
        },
        operation,
    };
    match node.handle(now, request) {
        Step::Persist { record, .. } => record,
        other => panic!("nothing to sync: {other:?}"),
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

/// A machine with one turn that delivered three tokens and one that never ended, and its journal.
fn stopped_program(retention: Duration) -> (StorageNode, Vec<Vec<u8>>) {
    let (mut node, identity) = StorageNode::create("store".to_owned(), DISK, 1);
    let settlement = Settlement {
        reservation: 1,
        delivered_tokens: 3,
    };
    let journal = vec![
        identity,
        record(&mut node, Duration::ZERO, reserve(1)),
        record(&mut node, Duration::ZERO, put("a", retention, settlement)),
        record(&mut node, Duration::ZERO, reserve(2)),
    ];
    (node, journal)
}

fn reservations(node: &StorageNode) -> Vec<Reservation> {
    node.store().reservations("program")
}

fn expected() -> [Reservation; 2] {
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
        let (mut node, _) = stopped_program(SECOND * seconds);
        node.expire(SECOND * seconds);
        assert!(has_turn(&node), "{seconds} s");
        assert_eq!(reservations(&node), expected(), "{seconds} s");
        node.expire(SECOND * (seconds + 1_000));
        assert!(node.store().is_empty(), "{seconds} s");
    }
}

#[test]
fn a_restart_shortens_neither_the_retention_nor_what_is_counted() {
    for seconds in [60, 600] {
        let (_, journal) = stopped_program(SECOND * seconds);
        let back = StorageNode::recover(Duration::ZERO, "store".to_owned(), 1, None, &journal);
        let mut back = back.expect("a journal that can be read");
        back.expire(SECOND * seconds);
        assert!(has_turn(&back), "{seconds} s");
        assert_eq!(reservations(&back), expected(), "{seconds} s");
    }
}

#[test]
fn a_snapshot_preserves_the_remaining_retention() {
    let (node, _) = stopped_program(SECOND * 60);
    let snapshot = node.snapshot(SECOND * 40);
    let back = StorageNode::recover(Duration::ZERO, "store".to_owned(), 1, Some(&snapshot), &[]);
    let mut back = back.expect("a snapshot that can be read");
    back.expire(SECOND * 20);
    assert!(has_turn(&back));
    assert_eq!(reservations(&back), expected());
    back.expire(SECOND * 26);
    assert!(!has_turn(&back));
    assert_eq!(
        reservations(&back),
        expected(),
        "the budget is kept for longer"
    );
}
