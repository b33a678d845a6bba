//! Load shedding: which calls are rejected on arrival when all replicas of a service are full.

mod common;

use common::{Driver, End, call, replicas, service, unsafe_call};
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

/// A program's call, with `time` seconds until the program should end.
fn program_call(now: f64, id: u64, program: u64, time: f64) -> Call {
    Call {
        program: Some(program),
        program_deadline: Some(now + time),
        ..unsafe_call(now, id)
    }
}

/// Two replicas whose unloaded answers take 0.1 s, and whose recent answers took 1 s; they report `load`.
fn loaded(load: ServerLoad) -> Driver {
    let mut driver = Driver::new(1, service(), &replicas(&["a", "b"]));
    let answer = |driver: &mut Driver, ids: std::ops::Range<u64>, latency: f64| {
        for id in ids {
            for id in [2 * id, 2 * id + 1] {
                driver.submit(Call {
                    target_latency: 10.0,
                    ..unsafe_call(driver.now, id)
                });
            }
            driver.advance(latency);
            driver.attempt_ended_with_load(2 * id, 0, Outcome::Answered, Some(load));
            driver.attempt_ended_with_load(2 * id + 1, 0, Outcome::Answered, Some(load));
        }
    };
    answer(&mut driver, 1..40, 0.1);
    // One call stays in flight at each replica, so that no slow answer is an unloaded sample.
    for id in [1_000, 1_001] {
        driver.submit(Call {
            deadline: driver.now + 1e3,
            ..unsafe_call(driver.now, id)
        });
    }
    answer(&mut driver, 100..140, 1.0);
    driver
}

fn is_refused(actions: &[Action]) -> bool {
    matches!(actions, [Action::Refuse { .. }])
}

#[test]
fn a_new_program_that_would_be_late_is_refused_at_once() {
    let mut driver = loaded(FULL);
    let refused = driver.submit(program_call(driver.now, 5_000, 1, 0.5));
    assert!(is_refused(&refused), "{refused:?}");
    let Action::Refuse { retry_after, .. } = refused[0] else {
        unreachable!()
    };
    assert!(
        (0.5..=5.0 / 3.0).contains(&retry_after),
        "when a place may be free: {retry_after}"
    );
    assert!(
        !is_refused(&driver.submit(program_call(driver.now, 5_001, 2, 20.0))),
        "this one can wait"
    );
}

#[test]
fn a_program_in_progress_goes_before_new_ones() {
    let mut driver = loaded(FULL);
    let mut before = program_call(driver.now, 5_000, 1, 0.5);
    before.program_deadline = Some(driver.now + 50.0);
    driver.submit(before);
    driver.attempt_ended_with_load(5_000, 0, Outcome::Answered, Some(FULL));
    assert!(!is_refused(
        &driver.submit(program_call(driver.now, 5_001, 1, 0.5))
    ));
}

#[test]
fn less_urgent_calls_are_refused_before_urgent_ones() {
    let mut driver = loaded(FULL);
    let slack = 2.6; // half of the time is work: 1.3 s is slack, half of it under the delay
    driver.submit(Call {
        priority: 0,
        ..program_call(driver.now, 5_000, 1, slack)
    });
    assert_eq!(driver.end(5_000), None);
    let refused = driver.submit(Call {
        priority: 1,
        ..program_call(driver.now, 5_001, 2, slack)
    });
    assert!(is_refused(&refused), "{refused:?}");
}

#[test]
fn nothing_is_refused_while_places_are_free() {
    let mut driver = loaded(HALF);
    for id in 5_000..5_020 {
        let actions = driver.submit(program_call(driver.now, id, id, 0.01));
        assert!(matches!(actions[..], [Action::Send { .. }]), "{actions:?}");
    }
}

#[test]
fn an_expired_load_report_rejects_nothing() {
    let mut driver = loaded(FULL);
    driver.advance(1.5);
    assert!(!is_refused(
        &driver.submit(program_call(driver.now, 5_000, 1, 0.5))
    ));
}

#[test]
fn safe_calls_are_not_hedged_while_all_replicas_are_full() {
    let mut driver = loaded(FULL);
    let patient = |call: Call| Call {
        target_latency: 10.0,
        ..call
    };
    driver.submit(patient(call(driver.now, 5_000)));
    for id in (6_000..6_200).step_by(2) {
        for id in [id, id + 1] {
            driver.submit(patient(unsafe_call(driver.now, id)));
        }
        driver.advance(0.02);
        for id in [id, id + 1] {
            driver.attempt_ended_with_load(id, 0, Outcome::Answered, Some(FULL));
        }
    }
    assert_eq!(driver.sent_to(5_000).len(), 1);
    assert_eq!(driver.end(5_000), None::<End>);
}
