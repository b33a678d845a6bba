//! Queues: when calls are queued, in which order they are sent, and for how long they may wait.

mod common;

use std::ops::RangeInclusive;

use common::{Driver, End, call, replicas, service, unsafe_call};
use woadreach_scheduler::{Action, Call, CallKind, Outcome, PrefixPart};

const FULL: Outcome = Outcome::NotExecuted { retry_after: None };

fn sent(actions: &[Action]) -> Vec<u64> {
    let call = |action: &Action| match action {
        Action::Send { call, .. } => Some(call.0),
        _ => None,
    };
    actions.iter().filter_map(call).collect()
}

/// Sends these calls to the only replica, which answers the last one that it is full.
fn fill_replica(driver: &mut Driver, ids: RangeInclusive<u64>) {
    let last = *ids.end();
    for id in ids {
        driver.submit(Call {
            max_replicas: 1,
            ..unsafe_call(driver.now, id)
        });
    }
    driver.attempt_ended(last, 0, FULL);
    driver.call_ended(last);
}

/// One replica with four calls in flight, after it has answered the fifth that it is full: further calls are
/// queued.
fn replica_with_queue() -> Driver {
    let mut driver = Driver::new(1, service(), &replicas(&["a"]));
    fill_replica(&mut driver, 1..=5);
    driver.submit(unsafe_call(driver.now, 6));
    assert_eq!(
        driver.sent_to(6),
        ["a"],
        "four are out, as many as at the full answer"
    );
    driver
}

#[test]
fn nothing_is_queued_before_a_full_or_timed_out_answer() {
    let mut driver = Driver::new(1, service(), &replicas(&["a"]));
    for id in 1..=100 {
        assert_eq!(driver.submit(unsafe_call(driver.now, id)).len(), 1);
    }
}

#[test]
fn a_full_answer_holds_what_exceeds_the_calls_then_out() {
    let mut driver = replica_with_queue();
    assert!(driver.submit(unsafe_call(driver.now, 7)).is_empty());
    assert!(driver.sent_to(7).is_empty());
    assert_eq!(sent(&driver.attempt_ended(1, 0, Outcome::Answered)), [7]);
}

#[test]
fn a_timed_out_answer_holds_too() {
    let mut driver = Driver::new(1, service(), &replicas(&["a"]));
    for id in 1..=4 {
        driver.submit(unsafe_call(driver.now, id));
    }
    driver.attempt_ended(4, 0, Outcome::TimedOut);
    driver.submit(unsafe_call(driver.now, 5));
    assert!(driver.submit(unsafe_call(driver.now, 6)).is_empty());
}

#[test]
fn queued_calls_are_sent_by_queuing_deadline() {
    let mut driver = replica_with_queue();
    let targets = [(7, 0.9), (8, 0.3), (9, 0.6)];
    for (id, target_latency) in targets {
        driver.submit(Call {
            target_latency,
            ..unsafe_call(driver.now, id)
        });
    }
    let mut order = Vec::new();
    for id in [1, 2, 3] {
        order.extend(sent(&driver.attempt_ended(id, 0, Outcome::Answered)));
    }
    assert_eq!(order, [8, 9, 7]);
}

/// Three programs with the same time at their start. One has lost time to a slow answer, and one is late.
#[test]
fn programs_that_lost_time_leave_first() {
    let mut driver = Driver::new(1, service(), &replicas(&["a"]));
    let start = driver.now;
    let of_program = |now: f64, id: u64, program: u64, time: f64| Call {
        program: Some(program),
        program_deadline: Some(start + time),
        ..unsafe_call(now, id)
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
    driver.submit(unsafe_call(driver.now, 15));
    for (program, time) in times {
        driver.submit(of_program(driver.now, 20 + program, program, time));
    }
    let mut order = Vec::new();
    for id in [10, 11, 12] {
        order.extend(sent(&driver.attempt_ended(id, 0, Outcome::Answered)));
    }
    assert_eq!(
        order,
        [23, 22, 21],
        "the late one, the one that lost time, the one that didn't"
    );
}

#[test]
fn a_call_is_queued_for_a_quarter_of_its_target_before_it_is_sent() {
    let mut driver = replica_with_queue();
    driver.submit(unsafe_call(driver.now, 7));
    assert!(driver.advance(0.0624).is_empty());
    assert_eq!(
        sent(&driver.advance(0.0002)),
        [7],
        "then it is offered all the same"
    );
}

#[test]
fn queued_calls_of_a_draining_replica_go_elsewhere() {
    let mut driver = replica_with_queue();
    driver.submit(unsafe_call(driver.now, 7));
    let drains = woadreach_scheduler::ReplicaSpec {
        ready: false,
        ..common::replica("a")
    };
    driver.list(&[drains, common::replica("b")]);
    assert_eq!(driver.sent_to(7), ["b"]);
}

#[test]
fn queued_calls_of_a_departed_replica_go_elsewhere() {
    let mut driver = replica_with_queue();
    driver.submit(unsafe_call(driver.now, 7));
    driver.list(&replicas(&["b"]));
    assert_eq!(driver.sent_to(7), ["b"]);
}

#[test]
fn a_call_without_any_replica_waits_a_quarter_of_its_target_and_is_refused() {
    let mut driver = Driver::new(1, service(), &[]);
    assert!(driver.submit(unsafe_call(driver.now, 1)).is_empty());
    driver.submit(unsafe_call(driver.now, 2));
    driver.advance(0.05);
    assert_eq!(driver.end(1), None);
    driver.advance(0.02);
    assert_eq!(driver.end(1), Some(End::Refused));
    driver.submit(unsafe_call(driver.now, 3));
    driver.list(&replicas(&["a"]));
    assert_eq!(driver.sent_to(3), ["a"], "one that comes in time takes it");
}

#[test]
fn a_call_with_less_remaining_time_than_the_unloaded_tail_is_rejected_at_once() {
    let mut driver = Driver::new(1, service(), &replicas(&["a"]));
    for id in 1..=20 {
        driver.submit(unsafe_call(driver.now, id));
        driver.advance(0.2);
        driver.attempt_ended(id, 0, Outcome::Answered);
    }
    let deadline = driver.now + 0.15;
    let refused = driver.submit(Call {
        deadline,
        ..unsafe_call(driver.now, 21)
    });
    assert!(
        matches!(refused[..], [Action::Refuse { .. }]),
        "{refused:?}"
    );
    let deadline = driver.now + 0.25;
    assert_eq!(
        sent(&driver.submit(Call {
            deadline,
            ..unsafe_call(driver.now, 22)
        })),
        [22]
    );
}

/// A stream occupies a slot from its first event to its last: only its end frees it.
#[test]
fn for_streams_the_end_and_not_the_first_event_releases_queued_calls() {
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
        "all places are still taken"
    );
    assert_eq!(sent(&driver.attempt_ended(1, 0, Outcome::Answered)), [5]);
}

/// All replicas reject a prompt that exceeds their KV cache, which implies nothing about their queues.
#[test]
fn a_full_answer_to_a_prompt_beyond_the_memory_holds_nothing() {
    let mut driver = Driver::new(1, common::engine_service(), &replicas(&["a"]));
    for id in 1..=2 {
        driver.submit(unsafe_call(driver.now, id));
    }
    let prefix = vec![PrefixPart {
        id: 1,
        tokens: 300_000,
    }];
    driver.submit(Call {
        prompt_tokens: 300_000,
        prefix,
        ..unsafe_call(driver.now, 3)
    });
    driver.attempt_ended(3, 0, FULL);
    driver.call_ended(3);
    for id in 4..=8 {
        assert_eq!(sent(&driver.submit(unsafe_call(driver.now, id))), [id]);
    }
}
