//! Load shedding: rejection of calls on arrival while all replicas of a service are full.

mod common;

use common::{Driver, End, call, non_idempotent_call, replicas, service};
use woadreach_scheduler::{Action, Call, Outcome, ServerLoad};

const FULL: ServerLoad = ServerLoad {
    running: 6,
    waiting: 20,
    slots: 6,
};
const HALF: ServerLoad = ServerLoad {
    running: 3,
    waiting: 0,
    slots: 6,
};

/// A call of `program`, whose deadline is `time` seconds from `now`.
fn program_call(now: f64, id: u64, program: u64, time: f64) -> Call {
    Call {
        program: Some(program),
        program_deadline: Some(now + time),
        ..non_idempotent_call(now, id)
    }
}

/// Two replicas that report `load`, with an unloaded latency of 0.1 s and recent latencies of 1 s.
fn loaded(load: ServerLoad) -> Driver {
    let mut driver = Driver::new(1, service(), &replicas(&["a", "b"]));
    let answer = |driver: &mut Driver, ids: std::ops::Range<u64>, latency: f64| {
        for id in ids {
            for id in [2 * id, 2 * id + 1] {
                driver.submit(Call {
                    target_latency: 10.0,
                    ..non_idempotent_call(driver.now, id)
                });
            }
            driver.advance(latency);
            driver.attempt_ended_with_load(2 * id, 0, Outcome::Answered, Some(load));
            driver.attempt_ended_with_load(2 * id + 1, 0, Outcome::Answered, Some(load));
        }
    };
    answer(&mut driver, 1..40, 0.1);
    // One call stays in flight at each replica, so that the slow answers do not count as unloaded latencies.
    for id in [1_000, 1_001] {
        driver.submit(Call {
            deadline: driver.now + 1e3,
            ..non_idempotent_call(driver.now, id)
        });
    }
    answer(&mut driver, 100..140, 1.0);
    driver
}

fn is_rejected(actions: &[Action]) -> bool {
    matches!(actions, [Action::Refuse { .. }])
}

#[test]
fn a_call_of_a_new_program_that_would_be_late_is_rejected() {
    let mut driver = loaded(FULL);
    let actions = driver.submit(program_call(driver.now, 5_000, 1, 0.5));
    assert!(is_rejected(&actions), "{actions:?}");
    let Action::Refuse { retry_after, .. } = actions[0] else {
        unreachable!()
    };
    assert!(
        (0.5..=5.0 / 3.0).contains(&retry_after),
        "until a replica may have capacity: {retry_after}"
    );
    assert!(
        !is_rejected(&driver.submit(program_call(driver.now, 5_001, 2, 20.0))),
        "a program with enough slack is accepted"
    );
}

#[test]
fn calls_of_programs_in_progress_are_accepted() {
    let mut driver = loaded(FULL);
    let mut before = program_call(driver.now, 5_000, 1, 0.5);
    before.program_deadline = Some(driver.now + 50.0);
    driver.submit(before);
    driver.attempt_ended_with_load(5_000, 0, Outcome::Answered, Some(FULL));
    assert!(!is_rejected(
        &driver.submit(program_call(driver.now, 5_001, 1, 0.5))
    ));
}

#[test]
fn calls_of_lower_priority_are_rejected_first() {
    let mut driver = loaded(FULL);
    let slack = 2.6; // half of it is slack, 1.3 s: above the delay, but half of the slack is below it
    driver.submit(Call {
        priority: 0,
        ..program_call(driver.now, 5_000, 1, slack)
    });
    assert_eq!(driver.end(5_000), None);
    let actions = driver.submit(Call {
        priority: 1,
        ..program_call(driver.now, 5_001, 2, slack)
    });
    assert!(is_rejected(&actions), "{actions:?}");
}

#[test]
fn no_call_is_rejected_while_replicas_have_free_slots() {
    let mut driver = loaded(HALF);
    for id in 5_000..5_020 {
        let actions = driver.submit(program_call(driver.now, id, id, 0.01));
        assert!(matches!(actions[..], [Action::Send { .. }]), "{actions:?}");
    }
}

#[test]
fn an_expired_load_report_causes_no_rejection() {
    let mut driver = loaded(FULL);
    driver.advance(1.5);
    assert!(!is_rejected(
        &driver.submit(program_call(driver.now, 5_000, 1, 0.5))
    ));
}

#[test]
fn idempotent_calls_are_not_hedged_while_all_replicas_are_full() {
    let mut driver = loaded(FULL);
    let with_long_target = |call: Call| Call {
        target_latency: 10.0,
        ..call
    };
    driver.submit(with_long_target(call(driver.now, 5_000)));
    for id in (6_000..6_200).step_by(2) {
        for id in [id, id + 1] {
            driver.submit(with_long_target(non_idempotent_call(driver.now, id)));
        }
        driver.advance(0.02);
        for id in [id, id + 1] {
            driver.attempt_ended_with_load(id, 0, Outcome::Answered, Some(FULL));
        }
    }
    assert_eq!(driver.sent_to(5_000).len(), 1);
    assert_eq!(driver.end(5_000), None::<End>);
}
