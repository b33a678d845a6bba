//! Ejection and restoration of replicas that fail, are slow or are unresponsive.

mod common;

use common::{Driver, call, non_idempotent_call, replicas, service};
use woadreach_scheduler::{Action, Call, CallKind, Outcome};

/// Submits 20 idempotent calls a second. If `fails`, the replica `bad` fails the calls that it receives. Returns the
/// number of calls that were sent to `bad` first.
fn send_with_failing_replica(driver: &mut Driver, ids: std::ops::Range<u64>, fails: bool) -> usize {
    let mut is_first_at_failing = 0;
    for id in ids {
        driver.submit(call(driver.now, id));
        let is_at_failing = driver.sent_to(id) == ["bad"];
        is_first_at_failing += usize::from(is_at_failing);
        let outcome = if is_at_failing && fails {
            Outcome::ReplicaError
        } else {
            Outcome::Answered
        };
        driver.attempt_ended(id, 0, outcome);
        if driver.end(id).is_none() {
            driver.attempt_ended(id, 1, Outcome::Answered);
        }
        driver.advance(0.05);
    }
    is_first_at_failing
}

#[test]
fn a_failing_replica_is_ejected_and_restored_by_probes() {
    let mut driver = Driver::new(1, service(), &replicas(&["good", "bad"]));
    let while_failing = send_with_failing_replica(&mut driver, 1..401, true);
    assert!(
        (4..=16).contains(&while_failing),
        "a probe every few seconds for 20 s: {while_failing}"
    );
    let while_good = send_with_failing_replica(&mut driver, 401..801, false);
    assert!(
        while_good > 100,
        "restored after the first successful probes: {while_good}"
    );
}

#[test]
fn non_idempotent_calls_are_not_used_as_probes_soon_after_a_failure() {
    let mut driver = Driver::new(1, service(), &replicas(&["good", "bad"]));
    send_with_failing_replica(&mut driver, 1..101, true);
    for id in 101..=150 {
        driver.submit(non_idempotent_call(driver.now, id));
        assert_eq!(driver.sent_to(id), ["good"]);
        driver.attempt_ended(id, 0, Outcome::Answered);
        driver.advance(0.01);
    }
}

#[test]
fn failing_replicas_are_used_if_there_are_no_others() {
    let mut driver = Driver::new(1, service(), &replicas(&["a", "b"]));
    for id in 1..=30 {
        driver.submit(non_idempotent_call(driver.now, id));
        assert_eq!(driver.sent_to(id).len(), 1, "call {id}");
        driver.attempt_ended(id, 0, Outcome::ReplicaError);
        driver.advance(0.05);
    }
}

#[test]
fn an_unreachable_replica_is_ejected_at_once() {
    for seed in 0..20 {
        let mut driver = Driver::new(seed, service(), &replicas(&["a", "b"]));
        for id in 1..=10 {
            driver.submit(non_idempotent_call(driver.now, id));
            driver.attempt_ended(id, 0, Outcome::Answered);
        }
        driver.submit(non_idempotent_call(driver.now, 11));
        let down = driver.sent_to(11)[0].clone();
        driver.attempt_ended(11, 0, Outcome::Unreachable);
        driver.attempt_ended(11, 1, Outcome::Answered);
        for id in 12..=20 {
            driver.submit(non_idempotent_call(driver.now, id));
            assert_ne!(driver.sent_to(id)[0], down);
            driver.attempt_ended(id, 0, Outcome::Answered);
        }
        driver.advance(1.1);
        driver.submit(non_idempotent_call(driver.now, 21));
        assert_eq!(
            driver.sent_to(21)[0],
            down,
            "a probe: no attempt at the replica ran, so any call may be used"
        );
    }
}

#[test]
fn a_replica_that_broke_a_connection_receives_no_non_idempotent_calls() {
    for seed in 0..20 {
        let mut driver = Driver::new(seed, service(), &replicas(&["a", "b"]));
        for id in 1..=20 {
            driver.submit(non_idempotent_call(driver.now, id));
            driver.attempt_ended(id, 0, Outcome::Answered);
        }
        driver.submit(non_idempotent_call(driver.now, 21));
        let broken = driver.sent_to(21)[0].clone();
        driver.attempt_ended(
            21,
            0,
            Outcome::Broken {
                sent: true,
                events: 0,
            },
        );
        for id in 22..=60 {
            driver.advance(0.1);
            driver.submit(non_idempotent_call(driver.now, id));
            assert_ne!(driver.sent_to(id)[0], broken);
            driver.attempt_ended(id, 0, Outcome::Answered);
        }
    }
}

/// A replica that never responds to one call but answers later ones must be ejected long before that call times out.
#[test]
fn a_replica_that_lost_a_call_is_ejected() {
    let mut driver = Driver::new(1, service(), &replicas(&["a", "b"]));
    for id in 1..=40 {
        driver.submit(non_idempotent_call(driver.now, id));
        driver.advance(0.1);
        driver.attempt_ended(id, 0, Outcome::Answered);
    }
    driver.submit(non_idempotent_call(driver.now, 100));
    let lossy = driver.sent_to(100)[0].clone();
    let mut later_there = 0;
    for id in (101..=160).step_by(4) {
        driver.advance(0.01);
        for id in id..id + 4 {
            driver.submit(non_idempotent_call(driver.now, id));
            later_there += usize::from(driver.sent_to(id)[0] == lossy);
        }
        driver.advance(0.1);
        for id in id..id + 4 {
            driver.attempt_ended(id, 0, Outcome::Answered);
        }
    }
    assert!(
        (2..=14).contains(&later_there),
        "no calls after about 0.5 s: {later_there} of 60"
    );
    assert_eq!(
        driver.end(100),
        None,
        "the lost call is not idempotent and stays in flight"
    );
}

#[test]
fn an_unresponsive_replica_receives_no_more_calls() {
    for seed in 0..20 {
        let mut driver = Driver::new(seed, service(), &replicas(&["a", "b"]));
        driver.submit(non_idempotent_call(driver.now, 1));
        let unresponsive = driver.sent_to(1)[0].clone();
        driver.advance(0.3);
        // The other replica is chosen although it has more calls in flight.
        for id in 2..=4 {
            driver.submit(non_idempotent_call(driver.now, id));
            assert_ne!(driver.sent_to(id)[0], unresponsive);
        }
    }
}

/// Two of three replicas become ten times as slow. If both were excluded, all calls would overload the third.
#[test]
fn slow_replicas_are_used_if_most_replicas_are_slow() {
    let mut driver = Driver::new(1, service(), &replicas(&["a", "b", "c"]));
    let round = |driver: &mut Driver, from: u64, slow: f64| {
        let ids: Vec<u64> = (from..from + 6).collect();
        for id in &ids {
            driver.submit(non_idempotent_call(driver.now, *id));
        }
        let (of_c, others): (Vec<u64>, Vec<u64>) =
            ids.iter().partition(|id| driver.sent_to(**id) == ["c"]);
        for (ids, latency) in [(&of_c, 0.1), (&others, slow)] {
            driver.advance(latency);
            for id in ids {
                driver.attempt_ended(*id, 0, Outcome::Answered);
            }
        }
        of_c.len()
    };
    for n in 0..20 {
        round(&mut driver, 1 + 6 * n, 0.0);
    }
    let at_c: Vec<usize> = (20..40)
        .map(|n| round(&mut driver, 1 + 6 * n, 1.0))
        .collect();
    assert_eq!(at_c, [2; 20]);
}

#[test]
fn a_resumable_stream_overtaken_by_two_later_ones_is_sent_elsewhere() {
    let stream = |now, id| Call {
        kind: CallKind::Streaming { resumable: true },
        ..call(now, id)
    };
    let mut driver = Driver::new(1, service(), &replicas(&["a"]));
    driver.submit(stream(driver.now, 1));
    driver.update_replicas(&replicas(&["a", "b"]));
    driver.advance(0.01);
    driver.submit(stream(driver.now, 2));
    for id in 3..=6 {
        driver.submit(stream(driver.now, id));
    }
    driver.advance(0.1);
    let overtaking: Vec<u64> = (3..=6).filter(|id| driver.sent_to(*id) == ["a"]).collect();
    assert_eq!(overtaking.len(), 2);
    for id in overtaking {
        driver.response_started(id, 0, None);
    }
    driver.response_started(2, 0, None);
    let moved = driver.advance(0.3);
    let of_first = |action: &&Action| matches!(action, Action::Send { call, .. } if call.0 == 1);
    assert_eq!(moved.iter().filter(of_first).count(), 1, "{moved:?}");
    assert_eq!(driver.sent_to(1), ["a", "b"]);
}

#[test]
fn a_resumable_stream_overtaken_by_one_later_stream_is_not_moved() {
    let stream = |now, id| Call {
        kind: CallKind::Streaming { resumable: true },
        ..call(now, id)
    };
    let mut driver = Driver::new(1, service(), &replicas(&["a"]));
    driver.submit(stream(driver.now, 1));
    driver.advance(0.01);
    driver.submit(stream(driver.now, 2));
    driver.update_replicas(&replicas(&["a", "b"]));
    driver.advance(0.1);
    driver.response_started(2, 0, None);
    driver.advance(2.0);
    assert_eq!(
        driver.sent_to(1),
        ["a"],
        "one overtaking stream does not show that the first is lost"
    );
}

/// One of six replicas becomes eight times as slow. Its responses are too few to raise the late threshold.
#[test]
fn a_slow_replica_is_ejected() {
    let mut driver = Driver::new(1, service(), &replicas(&["a", "b", "c", "d", "e", "slow"]));
    let mut at_slow = Vec::new();
    for round in 0..100 {
        let ids: Vec<u64> = (1 + 6 * round..7 + 6 * round).collect();
        for id in &ids {
            driver.submit(non_idempotent_call(driver.now, *id));
        }
        let (slow, sound): (Vec<u64>, Vec<u64>) =
            ids.iter().partition(|id| driver.sent_to(**id) == ["slow"]);
        at_slow.push(slow.len());
        for (ids, latency) in [(sound, 0.1), (slow, if round < 20 { 0.0 } else { 0.7 })] {
            driver.advance(latency);
            for id in ids {
                driver.attempt_ended(id, 0, Outcome::Answered);
            }
        }
    }
    let late: usize = at_slow[60..].iter().sum();
    assert!(late <= 8, "a probe every few seconds: {at_slow:?}");
}
