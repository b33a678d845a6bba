//! Retries and hedges, and the ends of calls that are not retried.

mod common;

use common::{Driver, End, call, replicas, service};
use woadreach_scheduler::{Action, Call, CallKind, FailReason, Outcome};

const IDEMPOTENT: CallKind = CallKind::Idempotent;
const NON_IDEMPOTENT: CallKind = CallKind::NonIdempotent;
const STREAM: CallKind = CallKind::Streaming { resumable: false };
const RESUMABLE: CallKind = CallKind::Streaming { resumable: true };

const FULL: Outcome = Outcome::NotExecuted { retry_after: None };
const BROKEN_UNANSWERED: Outcome = Outcome::Broken {
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

/// Action after the outcome of the first attempt.
#[derive(Debug, PartialEq)]
enum NextAction {
    Retry,
    Reject,
    Fail(FailReason),
}

fn next_action(kind: CallKind, max_replicas: u32, first: Outcome) -> NextAction {
    let mut driver = Driver::new(1, service(), &replicas(&["a", "b"]));
    driver.submit(Call {
        kind,
        max_replicas,
        ..call(driver.now, 1)
    });
    match driver.attempt_ended(1, 0, first)[..] {
        [Action::Send { .. }] => NextAction::Retry,
        [Action::Refuse { .. }] => NextAction::Reject,
        [Action::Fail { reason, .. }] => NextAction::Fail(reason),
        ref other => panic!("{other:?}"),
    }
}

#[test]
fn outcome_of_the_first_attempt_decides_on_a_retry() {
    use FailReason::{MayHaveRun, ReplicaError, TimedOut};
    use NextAction::{Fail, Retry};
    let cases = [
        (IDEMPOTENT, 2, FULL, Retry),
        (IDEMPOTENT, 2, Outcome::ReplicaError, Retry),
        (IDEMPOTENT, 2, BROKEN_UNANSWERED, Retry),
        (IDEMPOTENT, 1, BROKEN_UNANSWERED, Fail(MayHaveRun)),
        (IDEMPOTENT, 1, Outcome::ReplicaError, Fail(ReplicaError)),
        (IDEMPOTENT, 1, Outcome::TimedOut, Fail(TimedOut)),
        (IDEMPOTENT, 1, BROKEN_UNSENT, Retry),
        (RESUMABLE, 2, BROKEN_MIDWAY, Retry),
        (RESUMABLE, 1, BROKEN_MIDWAY, Fail(MayHaveRun)),
        (NON_IDEMPOTENT, 2, FULL, Retry),
        (NON_IDEMPOTENT, 2, Outcome::Misdirected, Retry),
        (NON_IDEMPOTENT, 1, Outcome::Misdirected, Retry),
        (NON_IDEMPOTENT, 1, Outcome::Unreachable, Retry),
        (NON_IDEMPOTENT, 1, Outcome::NeverSent, Retry),
        (NON_IDEMPOTENT, 1, BROKEN_UNSENT, Retry),
        (NON_IDEMPOTENT, 2, BROKEN_UNANSWERED, Fail(MayHaveRun)),
        (NON_IDEMPOTENT, 2, Outcome::TimedOut, Fail(TimedOut)),
        (NON_IDEMPOTENT, 2, Outcome::ReplicaError, Fail(ReplicaError)),
        (STREAM, 2, FULL, Retry),
        (STREAM, 2, BROKEN_MIDWAY, Fail(MayHaveRun)),
        (STREAM, 2, BROKEN_UNANSWERED, Fail(MayHaveRun)),
        (STREAM, 2, BROKEN_UNSENT, Retry),
    ];
    for (kind, max_replicas, first, expected) in cases {
        assert_eq!(
            next_action(kind, max_replicas, first),
            expected,
            "{kind:?}, max_replicas {max_replicas}, {first:?}"
        );
    }
}

#[test]
fn a_call_limited_to_one_replica_is_sent_there_again_after_a_backoff() {
    let mut driver = Driver::new(1, service(), &replicas(&["a", "b"]));
    driver.submit(Call {
        kind: NON_IDEMPOTENT,
        max_replicas: 1,
        ..call(driver.now, 1)
    });
    assert!(driver.attempt_ended(1, 0, FULL).is_empty());
    assert!(driver.advance(0.02).is_empty());
    assert!(matches!(
        driver.advance(0.02)[..],
        [Action::Send { attempt: 1, .. }]
    ));
    let sent_to = driver.sent_to(1);
    assert_eq!(sent_to[0], sent_to[1]);
}

#[test]
fn retry_after_of_a_replica_delays_the_next_attempt() {
    let mut driver = Driver::new(1, service(), &replicas(&["a"]));
    driver.submit(Call {
        kind: NON_IDEMPOTENT,
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
fn a_call_is_resent_three_times_and_then_rejected_in_time_for_a_client_retry() {
    let mut driver = Driver::new(1, service(), &replicas(&["a", "b"]));
    let start = driver.now;
    driver.submit(Call {
        kind: NON_IDEMPOTENT,
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
fn a_call_that_the_replica_always_rejects_is_rejected_with_retry_after() {
    let mut driver = Driver::new(1, service(), &replicas(&["a"]));
    driver.submit(Call {
        kind: NON_IDEMPOTENT,
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
        panic!("the last action is not a rejection")
    };
    assert!((0.05..=5.0 / 3.0).contains(retry_after), "{retry_after}");
}

#[test]
fn a_late_idempotent_call_is_hedged_once_and_the_answer_aborts_the_first_attempt() {
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
    let aborted = driver.attempt_ended(1, 1, Outcome::Answered);
    assert!(
        matches!(aborted[..], [Action::Abort { attempt: 0, .. }]),
        "{aborted:?}"
    );
    assert_eq!(driver.end(1), Some(End::Answered));
}

#[test]
fn no_hedge_is_sent_at_the_deadline() {
    let mut driver = Driver::new(1, service(), &replicas(&["a", "b"]));
    for id in 1..=40 {
        driver.submit(call(driver.now, id));
        driver.attempt_ended(id, 0, Outcome::Answered); // without delay, so that the unloaded tail is 0
    }
    // A hedge would be due after an eighth of the target, 0.03125 s, which is the deadline.
    let deadline = driver.now + 0.03125;
    driver.submit(Call {
        deadline,
        ..call(driver.now, 41)
    });
    assert!(driver.advance(1.0).is_empty());
}

#[test]
fn late_non_idempotent_calls_are_not_hedged() {
    for kind in [NON_IDEMPOTENT, STREAM] {
        let mut driver = Driver::new(1, service(), &replicas(&["a", "b"]));
        driver.submit(Call {
            kind,
            ..call(driver.now, 1)
        });
        assert!(driver.advance(4.9).is_empty(), "{kind:?}");
    }
}

#[test]
fn a_resumable_stream_is_moved_from_an_unresponsive_replica_only() {
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
    assert!(
        driver.advance(4.0).is_empty(),
        "the first event was received"
    );
}

#[test]
fn retries_are_a_bounded_share_of_first_attempts() {
    let mut driver = Driver::new(1, service(), &replicas(&["a", "b", "c"]));
    for id in 1..=400 {
        driver.submit(call(driver.now, id));
        for attempt in 0..4 {
            if driver.end(id).is_none() {
                driver.attempt_ended(id, attempt, BROKEN_UNANSWERED);
            }
        }
        driver.advance(0.01);
    }
    let attempts: usize = (1..=400).map(|id| driver.sent_to(id).len()).sum();
    assert!(
        (400 + 80..=400 + 101).contains(&attempts),
        "a fifth of the first attempts, and a burst of 20: {attempts}"
    );
}

#[test]
fn a_disconnected_client_causes_an_abort_and_no_further_actions() {
    let mut driver = Driver::new(1, service(), &replicas(&["a", "b"]));
    driver.submit(call(driver.now, 1));
    assert!(matches!(
        driver.call_ended(1)[..],
        [Action::Abort { attempt: 0, .. }]
    ));
    assert!(driver.attempt_ended(1, 0, Outcome::Answered).is_empty());
    assert!(driver.advance(10.0).is_empty());
}
