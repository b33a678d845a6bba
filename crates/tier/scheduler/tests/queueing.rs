//! Queueing: when calls are queued, the order in which they are sent, and the limit on their time in the queue.

mod common;

use std::ops::RangeInclusive;

use common::{Driver, End, call, non_idempotent_call, replicas, service};
use woadreach_scheduler::{Action, Call, CallKind, Outcome, PrefixPart};

const FULL: Outcome = Outcome::NotExecuted { retry_after: None };

fn sent(actions: &[Action]) -> Vec<u64> {
    let call = |action: &Action| match action {
        Action::Send { call, .. } => Some(call.0),
        _ => None,
    };
    actions.iter().filter_map(call).collect()
}

/// Sends these calls to the only replica, which rejects the last one as full. The last call then ends.
fn fill_replica(driver: &mut Driver, ids: RangeInclusive<u64>) {
    let last = *ids.end();
    for id in ids {
        driver.submit(Call {
            max_replicas: 1,
            ..non_idempotent_call(driver.now, id)
        });
    }
    driver.attempt_ended(last, 0, FULL);
    driver.call_ended(last);
}

/// One replica under backpressure: it has rejected a call as full while four others were in flight. Another call has
/// been sent since, so that five are in flight and further calls are queued.
fn replica_with_queue() -> Driver {
    let mut driver = Driver::new(1, service(), &replicas(&["a"]));
    fill_replica(&mut driver, 1..=5);
    driver.submit(non_idempotent_call(driver.now, 6));
    assert_eq!(
        driver.sent_to(6),
        ["a"],
        "four calls are in flight, no more than at the rejection"
    );
    driver
}

#[test]
fn no_call_is_queued_before_a_rejection_or_time_out() {
    let mut driver = Driver::new(1, service(), &replicas(&["a"]));
    for id in 1..=100 {
        assert_eq!(driver.submit(non_idempotent_call(driver.now, id)).len(), 1);
    }
}

#[test]
fn a_rejection_limits_calls_to_the_number_then_in_flight() {
    let mut driver = replica_with_queue();
    assert!(driver.submit(non_idempotent_call(driver.now, 7)).is_empty());
    assert!(driver.sent_to(7).is_empty());
    assert_eq!(sent(&driver.attempt_ended(1, 0, Outcome::Answered)), [7]);
}

#[test]
fn a_time_out_limits_calls_too() {
    let mut driver = Driver::new(1, service(), &replicas(&["a"]));
    for id in 1..=4 {
        driver.submit(non_idempotent_call(driver.now, id));
    }
    driver.attempt_ended(4, 0, Outcome::TimedOut);
    driver.submit(non_idempotent_call(driver.now, 5));
    assert!(driver.submit(non_idempotent_call(driver.now, 6)).is_empty());
}

#[test]
fn queued_calls_are_sent_by_queuing_deadline() {
    let mut driver = replica_with_queue();
    let targets = [(7, 0.9), (8, 0.3), (9, 0.6)];
    for (id, target_latency) in targets {
        driver.submit(Call {
            target_latency,
            ..non_idempotent_call(driver.now, id)
        });
    }
    let mut order = Vec::new();
    for id in [1, 2, 3] {
        order.extend(sent(&driver.attempt_ended(id, 0, Outcome::Answered)));
    }
    assert_eq!(order, [8, 9, 7]);
}

/// Three programs start at the same time: the first is on time, the second was delayed by a slow answer, and the third
/// has passed its deadline. Their next calls must be sent in order of urgency.
#[test]
fn calls_of_delayed_programs_are_sent_first() {
    let mut driver = Driver::new(1, service(), &replicas(&["a"]));
    let start = driver.now;
    let of_program = |now: f64, id: u64, program: u64, time: f64| Call {
        program: Some(program),
        program_deadline: Some(start + time),
        ..non_idempotent_call(now, id)
    };
    let times = [(1, 4.0), (2, 4.0), (3, 1.0)];
    for (program, time) in times {
        driver.submit(of_program(start, program, program, time));
    }
    driver.advance(0.025);
    driver.attempt_ended(1, 0, Outcome::Answered);
    driver.advance(1.0);
    driver.attempt_ended(2, 0, Outcome::Answered);
    driver.attempt_ended(3, 0, Outcome::Answered);
    fill_replica(&mut driver, 10..=14);
    driver.submit(non_idempotent_call(driver.now, 15));
    for (program, time) in times {
        driver.submit(of_program(driver.now, 20 + program, program, time));
    }
    let mut order = Vec::new();
    for id in [10, 11, 12] {
        order.extend(sent(&driver.attempt_ended(id, 0, Outcome::Answered)));
    }
    assert_eq!(order, [23, 22, 21], "past its deadline, delayed, on time");
}

#[test]
fn a_call_is_queued_for_a_quarter_of_its_target_before_it_is_sent() {
    let mut driver = replica_with_queue();
    driver.submit(non_idempotent_call(driver.now, 7));
    assert!(driver.advance(0.0624).is_empty());
    assert_eq!(
        sent(&driver.advance(0.0002)),
        [7],
        "the call is sent despite backpressure at the limit of its time in the queue"
    );
}

#[test]
fn queued_calls_of_a_draining_replica_are_sent_elsewhere() {
    let mut driver = replica_with_queue();
    driver.submit(non_idempotent_call(driver.now, 7));
    let draining = woadreach_scheduler::ReplicaSpec {
        ready: false,
        ..common::replica("a")
    };
    driver.update_replicas(&[draining, common::replica("b")]);
    assert_eq!(driver.sent_to(7), ["b"]);
}

#[test]
fn queued_calls_of_a_departed_replica_are_sent_elsewhere() {
    let mut driver = replica_with_queue();
    driver.submit(non_idempotent_call(driver.now, 7));
    driver.update_replicas(&replicas(&["b"]));
    assert_eq!(driver.sent_to(7), ["b"]);
}

#[test]
fn a_call_without_any_replica_is_rejected_after_a_quarter_of_its_target() {
    let mut driver = Driver::new(1, service(), &[]);
    assert!(driver.submit(non_idempotent_call(driver.now, 1)).is_empty());
    driver.submit(non_idempotent_call(driver.now, 2));
    driver.advance(0.05);
    assert_eq!(driver.end(1), None);
    driver.advance(0.02);
    assert_eq!(driver.end(1), Some(End::Refused));
    driver.submit(non_idempotent_call(driver.now, 3));
    driver.update_replicas(&replicas(&["a"]));
    assert_eq!(
        driver.sent_to(3),
        ["a"],
        "sent to a replica registered within that time"
    );
}

#[test]
fn a_call_with_less_remaining_time_than_the_unloaded_tail_is_rejected_at_once() {
    let mut driver = Driver::new(1, service(), &replicas(&["a"]));
    for id in 1..=20 {
        driver.submit(non_idempotent_call(driver.now, id));
        driver.advance(0.2);
        driver.attempt_ended(id, 0, Outcome::Answered);
    }
    let deadline = driver.now + 0.15;
    let refused = driver.submit(Call {
        deadline,
        ..non_idempotent_call(driver.now, 21)
    });
    assert!(
        matches!(refused[..], [Action::Refuse { .. }]),
        "{refused:?}"
    );
    let deadline = driver.now + 0.25;
    assert_eq!(
        sent(&driver.submit(Call {
            deadline,
            ..non_idempotent_call(driver.now, 22)
        })),
        [22]
    );
}

/// A stream occupies a slot of its replica until its last event, so only its end allows another call.
#[test]
fn the_end_of_a_stream_and_not_its_first_event_releases_queued_calls() {
    let stream = |now, id| Call {
        kind: CallKind::Streaming { resumable: false },
        ..call(now, id)
    };
    let mut driver = Driver::new(1, service(), &replicas(&["a"]));
    for id in 1..=3 {
        driver.submit(stream(driver.now, id));
    }
    driver.attempt_ended(3, 0, FULL);
    driver.call_ended(3);
    driver.submit(stream(driver.now, 4));
    for id in [1, 2, 4] {
        driver.response_started(id, 0, None);
    }
    assert!(
        driver.submit(stream(driver.now, 5)).is_empty(),
        "all slots are still in use"
    );
    assert_eq!(sent(&driver.attempt_ended(1, 0, Outcome::Answered)), [5]);
}

/// All replicas reject a prompt that exceeds their KV cache, so the rejection does not show that a replica is full.
#[test]
fn the_rejection_of_a_prompt_that_exceeds_the_kv_cache_limits_no_calls() {
    let mut driver = Driver::new(1, common::engine_service(), &replicas(&["a"]));
    for id in 1..=2 {
        driver.submit(non_idempotent_call(driver.now, id));
    }
    let prefix = vec![PrefixPart {
        id: 1,
        tokens: 300_000,
    }];
    driver.submit(Call {
        prompt_tokens: 300_000,
        prefix,
        ..non_idempotent_call(driver.now, 3)
    });
    driver.attempt_ended(3, 0, FULL);
    driver.call_ended(3);
    for id in 4..=8 {
        assert_eq!(
            sent(&driver.submit(non_idempotent_call(driver.now, id))),
            [id]
        );
    }
}
