//! Retries and hedges, and how a call ends that is not retried.

mod common;

use common::{Driver, End, call, replicas, service};
use woadreach_scheduler::{Action, Call, CallKind, FailReason, Outcome};

const SAFE: CallKind = CallKind::Idempotent;
const UNSAFE: CallKind = CallKind::NonIdempotent;
const STREAM: CallKind = CallKind::Streaming { resumable: false };
const RESUMABLE: CallKind = CallKind::Streaming { resumable: true };

const FULL: Outcome = Outcome::NotExecuted { retry_after: None };
const LOST: Outcome = Outcome::Broken {
    sent: true,
    events: 0,
};
const BROKEN_MIDWAY: Outcome = Outcome::Broken {
    sent: true,
    events: 3,
};
const BROKEN_UNSENT: Outcome = Outcome::Broken {
    sent: false,
    events: 0,
};

#[derive(Debug, PartialEq)]
enum Next {
    Again,
    Refused,
    Failed(FailReason),
}

fn next(kind: CallKind, max_replicas: u32, first: Outcome) -> Next {
    let mut driver = Driver::new(1, service(), &replicas(&["a", "b"]));
    driver.submit(Call {
        kind,
        max_replicas,
        ..call(driver.now, 1)
    });
    match driver.attempt_ended(1, 0, first)[..] {
        [Action::Send { .. }] => Next::Again,
        [Action::Refuse { .. }] => Next::Refused,
        [Action::Fail { reason, .. }] => Next::Failed(reason),
        ref other => panic!("{other:?}"),
    }
}

#[test]
fn what_follows_a_first_attempt() {
    use FailReason::{MayHaveRun, ReplicaError, TimedOut};
    let cases = [
        (SAFE, 2, FULL, Next::Again),
        (SAFE, 2, Outcome::ReplicaError, Next::Again),
        (SAFE, 2, LOST, Next::Again),
        (SAFE, 1, LOST, Next::Failed(MayHaveRun)),
        (SAFE, 1, Outcome::ReplicaError, Next::Failed(ReplicaError)),
        (SAFE, 1, Outcome::TimedOut, Next::Failed(TimedOut)),
        (SAFE, 1, BROKEN_UNSENT, Next::Again),
        (RESUMABLE, 2, BROKEN_MIDWAY, Next::Again),
        (RESUMABLE, 1, BROKEN_MIDWAY, Next::Failed(MayHaveRun)),
        (UNSAFE, 2, FULL, Next::Again),
        (UNSAFE, 2, Outcome::Misdirected, Next::Again),
        (UNSAFE, 1, Outcome::Misdirected, Next::Again),
        (UNSAFE, 1, Outcome::Unreachable, Next::Again),
        (UNSAFE, 1, Outcome::NeverSent, Next::Again),
        (UNSAFE, 1, BROKEN_UNSENT, Next::Again),
        (UNSAFE, 2, LOST, Next::Failed(MayHaveRun)),
        (UNSAFE, 2, Outcome::TimedOut, Next::Failed(TimedOut)),
        (UNSAFE, 2, Outcome::ReplicaError, Next::Failed(ReplicaError)),
        (STREAM, 2, FULL, Next::Again),
        (STREAM, 2, BROKEN_MIDWAY, Next::Failed(MayHaveRun)),
        (STREAM, 2, LOST, Next::Failed(MayHaveRun)),
        (STREAM, 2, BROKEN_UNSENT, Next::Again),
    ];
    for (kind, max_replicas, first, expected) in cases {
        assert_eq!(
            next(kind, max_replicas, first),
            expected,
            "{kind:?}, {max_replicas}, {first:?}"
        );
    }
}

#[test]
fn a_call_for_one_replica_goes_back_to_it_after_a_pause() {
    let mut driver = Driver::new(1, service(), &replicas(&["a", "b"]));
    driver.submit(Call {
        kind: UNSAFE,
        max_replicas: 1,
        ..call(driver.now, 1)
    });
    assert!(driver.attempt_ended(1, 0, FULL).is_empty());
    assert!(driver.advance(0.02).is_empty());
    assert!(matches!(
        driver.advance(0.02)[..],
        [Action::Send { attempt: 1, .. }]
    ));
    let there = driver.sent_to(1);
    assert_eq!(there[0], there[1]);
}

#[test]
fn what_a_replica_asks_is_heeded() {
    let mut driver = Driver::new(1, service(), &replicas(&["a"]));
    driver.submit(Call {
        kind: UNSAFE,
        ..call(driver.now, 1)
    });
    driver.attempt_ended(
        1,
        0,
        Outcome::NotExecuted {
            retry_after: Some(0.5),
        },
    );
    assert!(driver.advance(0.49).is_empty());
    assert_eq!(driver.advance(0.02).len(), 1);
}

#[test]
fn a_call_returns_three_times_and_is_refused_early_enough_for_another_try() {
    let mut driver = Driver::new(1, service(), &replicas(&["a", "b"]));
    let start = driver.now;
    driver.submit(Call {
        kind: UNSAFE,
        max_replicas: 1,
        ..call(driver.now, 1)
    });
    for attempt in 0..4 {
        driver.attempt_ended(1, attempt, FULL);
        driver.advance(0.15);
    }
    assert_eq!(driver.sent_to(1).len(), 4);
    assert_eq!(driver.end(1), Some(End::Refused));
    assert!(driver.now - start < 1.0);
}

#[test]
fn a_call_that_no_replica_takes_is_refused_at_last_with_an_advice() {
    let mut driver = Driver::new(1, service(), &replicas(&["a"]));
    driver.submit(Call {
        kind: UNSAFE,
        ..call(driver.now, 1)
    });
    for attempt in 0..20 {
        if driver.end(1).is_some() {
            break;
        }
        driver.attempt_ended(1, attempt, FULL);
        driver.advance(1.0);
    }
    assert_eq!(driver.end(1), Some(End::Refused));
    let Some(Action::Refuse { retry_after, .. }) = driver.trace.last() else {
        panic!("not refused")
    };
    assert!((0.05..=5.0 / 3.0).contains(retry_after), "{retry_after}");
}

#[test]
fn a_late_safe_call_is_hedged_once_and_the_answer_aborts_the_first_attempt() {
    let mut driver = Driver::new(1, service(), &replicas(&["a", "b", "c"]));
    driver.submit(Call {
        max_replicas: 3,
        ..call(driver.now, 1)
    });
    let hedges = driver.advance(2.0);
    assert!(
        matches!(hedges[..], [Action::Send { attempt: 1, .. }]),
        "{hedges:?}"
    );
    let dropped = driver.attempt_ended(1, 1, Outcome::Answered);
    assert!(
        matches!(dropped[..], [Action::Abort { attempt: 0, .. }]),
        "{dropped:?}"
    );
    assert_eq!(driver.end(1), Some(End::Answered));
}

#[test]
fn no_hedge_is_sent_when_the_time_is_up() {
    let mut driver = Driver::new(1, service(), &replicas(&["a", "b"]));
    for id in 1..=40 {
        driver.submit(call(driver.now, id));
        driver.attempt_ended(id, 0, Outcome::Answered); // at once: the unloaded tail is zero
    }
    // A hedge would be due after an eighth of the target, 0.03125 s: at the very end.
    let deadline = driver.now + 0.03125;
    driver.submit(Call {
        deadline,
        ..call(driver.now, 41)
    });
    assert!(driver.advance(1.0).is_empty());
}

#[test]
fn late_calls_that_are_not_idempotent_are_not_hedged() {
    for kind in [UNSAFE, STREAM] {
        let mut driver = Driver::new(1, service(), &replicas(&["a", "b"]));
        driver.submit(Call {
            kind,
            ..call(driver.now, 1)
        });
        assert!(driver.advance(4.9).is_empty(), "{kind:?}");
    }
}

#[test]
fn a_resumable_stream_leaves_an_unresponsive_replica_but_not_one_that_works() {
    let mut driver = Driver::new(1, service(), &replicas(&["a", "b"]));
    driver.submit(Call {
        kind: RESUMABLE,
        ..call(driver.now, 1)
    });
    let moved = driver.advance(1.0);
    assert!(matches!(
        moved[..],
        [
            Action::Abort { attempt: 0, .. },
            Action::Send { attempt: 1, .. }
        ]
    ));

    let mut driver = Driver::new(1, service(), &replicas(&["a", "b"]));
    driver.submit(Call {
        kind: RESUMABLE,
        ..call(driver.now, 2)
    });
    driver.response_started(2, 0, None);
    assert!(driver.advance(4.0).is_empty(), "its first event has come");
}

#[test]
fn retries_are_a_bounded_share_of_first_attempts() {
    let mut driver = Driver::new(1, service(), &replicas(&["a", "b", "c"]));
    for id in 1..=400 {
        driver.submit(call(driver.now, id));
        for attempt in 0..4 {
            if driver.end(id).is_none() {
                driver.attempt_ended(id, attempt, LOST);
            }
        }
        driver.advance(0.01);
    }
    let attempts: usize = (1..=400).map(|id| driver.sent_to(id).len()).sum();
    assert!(
        (400 + 80..=400 + 101).contains(&attempts),
        "a fifth and 20 more: {attempts}"
    );
}

#[test]
fn a_disconnected_client_gets_no_answer() {
    let mut driver = Driver::new(1, service(), &replicas(&["a", "b"]));
    driver.submit(call(driver.now, 1));
    assert!(matches!(
        driver.call_ended(1)[..],
        [Action::Abort { attempt: 0, .. }]
    ));
    assert!(driver.attempt_ended(1, 0, Outcome::Answered).is_empty());
    assert!(driver.advance(10.0).is_empty());
}
