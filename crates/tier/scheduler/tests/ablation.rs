//! Mechanisms that are switched off: each by its name alone, and no rule of a call breaks without it.

mod common;

use std::sync::{Mutex, MutexGuard, PoisonError};

use common::{Driver, call, replicas, service, unsafe_call};
use woadreach_scheduler::{Mechanism, Outcome, switch_all_on, switch_off};

/// The switches belong to the whole process, so that only one test may use them at a time.
static SWITCHES: Mutex<()> = Mutex::new(());

/// Switches that are on again at the end.
struct Switches(#[expect(dead_code, reason = "held until the test ends")] MutexGuard<'static, ()>);

impl Switches {
    fn without(mechanisms: &[Mechanism]) -> Switches {
        let guard = SWITCHES.lock().unwrap_or_else(PoisonError::into_inner);
        switch_all_on();
        mechanisms.iter().copied().for_each(switch_off);
        Switches(guard)
    }
}

impl Drop for Switches {
    fn drop(&mut self) {
        switch_all_on();
    }
}

#[test]
fn each_mechanism_has_a_name_of_its_own() {
    for mechanism in Mechanism::ALL {
        assert_eq!(Mechanism::from_name(mechanism.as_str()), Some(mechanism));
    }
    assert_eq!(Mechanism::from_name("gravity"), None);
}

/// Calls that a run has in flight before the oldest of them is answered.
const IN_FLIGHT: u64 = 12;

/// Calls of a run with a replica that fails, one that never answers and one that refuses, 100 a second; the driver checks
/// every action against the rules. Returns what became of all calls, to tell runs apart.
fn play(seed: u64) -> String {
    let mut driver = Driver::new(seed, service(), &replicas(&["good", "bad", "mute", "full"]));
    for newest in 1..=250 {
        if newest % 3 == 0 {
            driver.submit(unsafe_call(driver.now, newest));
        } else {
            driver.submit(call(driver.now, newest));
        }
        driver.advance(0.01);
        for (id, attempt) in driver.out() {
            if id + IN_FLIGHT > newest {
                continue;
            }
            let replica = driver.sent_to(id)[attempt as usize].clone();
            let outcome = match replica.as_str() {
                "good" => Outcome::Answered,
                "bad" => Outcome::ReplicaError,
                "full" => Outcome::NotExecuted { retry_after: None },
                _ => continue,
            };
            driver.attempt_ended(id, attempt, outcome);
        }
    }
    driver.advance(10.0);
    format!("{:?}", driver.trace)
}

#[test]
fn no_rule_of_a_call_breaks_without_any_one_mechanism() {
    for mechanism in Mechanism::ALL {
        let _switches = Switches::without(&[mechanism]);
        for seed in 0..4 {
            play(seed);
        }
    }
}

#[test]
fn no_rule_of_a_call_breaks_without_all_of_them() {
    let _switches = Switches::without(&Mechanism::ALL);
    for seed in 0..4 {
        play(seed);
    }
}

/// Those mechanisms that act in this run change it when they are off; the others act on programs and engines only.
#[test]
fn a_mechanism_that_is_off_does_not_act() {
    let with_all = {
        let _switches = Switches::without(&[]);
        play(1)
    };
    let acting = [
        Mechanism::Hedging,
        Mechanism::OutlierEjection,
        Mechanism::UnresponsiveAvoidance,
        Mechanism::RecentFailureAvoidance,
    ];
    for mechanism in acting {
        let _switches = Switches::without(&[mechanism]);
        assert!(play(1) != with_all, "{mechanism:?}");
    }
    let _switches = Switches::without(&[]);
    assert!(play(1) == with_all, "switched on again");
}

/// How many of three calls are sent after one of three before them has been turned away by the only replica.
fn sends_after_a_full_answer() -> usize {
    let mut driver = Driver::new(1, service(), &replicas(&["only"]));
    for id in 1..=3 {
        driver.submit(unsafe_call(driver.now, id));
    }
    let full = Outcome::NotExecuted { retry_after: None };
    driver.attempt_ended(3, 0, full);
    for id in 4..=6 {
        driver.submit(unsafe_call(driver.now, id));
    }
    (4..=6).map(|id| driver.sent_to(id).len()).sum()
}

#[test]
fn without_hold_nothing_is_queued_behind_a_full_replica() {
    let _switches = Switches::without(&[]);
    assert!(sends_after_a_full_answer() < 3, "the rest is queued");
    switch_off(Mechanism::Hold);
    assert_eq!(sends_after_a_full_answer(), 3);
}
