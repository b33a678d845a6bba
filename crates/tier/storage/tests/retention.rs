//! What a stopped program finds when it goes on within its turns' retention, also after a restart.

use std::time::Duration;

use woadreach_storage::budget::Reservation;
use woadreach_storage::member::{Member, Step};
use woadreach_storage::message::{FencingToken, Operation, Request, Settlement};
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

/// Takes a request; the record that its answer waits for.
fn record(member: &mut Member, now: Duration, operation: Operation) -> Vec<u8> {
    let request = Request {
        fencing_token: FencingToken {
            epoch: 0,
            disk: DISK,
        },
        operation,
    };
    match member.handle(now, request) {
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

/// A machine with one turn that gave three tokens and one that never ended, and its journal.
fn stopped_program(retention: Duration) -> (Member, Vec<Vec<u8>>) {
    let (mut member, identity) = Member::create("store".to_owned(), DISK, 1);
    let settlement = Settlement {
        reservation: 1,
        delivered_tokens: 3,
    };
    let journal = vec![
        identity,
        record(&mut member, Duration::ZERO, reserve(1)),
        record(&mut member, Duration::ZERO, put("a", retention, settlement)),
        record(&mut member, Duration::ZERO, reserve(2)),
    ];
    (member, journal)
}

fn counted(member: &Member) -> Vec<Reservation> {
    member.store().reservations("program")
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

fn has_turn(member: &Member) -> bool {
    !member.store().chain("program", "a", usize::MAX).is_empty()
}

#[test]
fn turns_and_budget_are_there_for_the_whole_retention() {
    for seconds in [60, 600, 3_600] {
        let (mut member, _) = stopped_program(SECOND * seconds);
        member.expire(SECOND * seconds);
        assert!(has_turn(&member), "{seconds} s");
        assert_eq!(counted(&member), expected(), "{seconds} s");
        member.expire(SECOND * (seconds + 1_000));
        assert!(member.store().is_empty(), "{seconds} s");
    }
}

#[test]
fn a_restart_shortens_neither_the_retention_nor_what_is_counted() {
    for seconds in [60, 600] {
        let (_, journal) = stopped_program(SECOND * seconds);
        let back = Member::recover(Duration::ZERO, "store".to_owned(), 1, None, &journal);
        let mut back = back.expect("a journal that can be read");
        back.expire(SECOND * seconds);
        assert!(has_turn(&back), "{seconds} s");
        assert_eq!(counted(&back), expected(), "{seconds} s");
    }
}

#[test]
fn a_snapshot_keeps_the_time_that_is_left() {
    let (member, _) = stopped_program(SECOND * 60);
    let snapshot = member.snapshot(SECOND * 40);
    let back = Member::recover(Duration::ZERO, "store".to_owned(), 1, Some(&snapshot), &[]);
    let mut back = back.expect("a snapshot that can be read");
    back.expire(SECOND * 20);
    assert!(has_turn(&back));
    assert_eq!(counted(&back), expected());
    back.expire(SECOND * 26);
    assert!(!has_turn(&back));
    assert_eq!(counted(&back), expected(), "the budget is kept for longer");
}
