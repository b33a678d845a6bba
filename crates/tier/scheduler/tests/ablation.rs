//! Mechanisms that are disabled for a measurement. A disabled mechanism must have no effect, no other mechanism may be
//! disabled with it, and no rule of a call may depend on it.

mod common;

use std::sync::{Mutex, MutexGuard, PoisonError};

use common::{Driver, call, non_idempotent_call, replicas, service};
use woadreach_scheduler::{Mechanism, Outcome, switch_all_on, switch_off};

/// Lock of the switches, which are global to the process: only one test may use them at a time.
static SWITCHES: Mutex<()> = Mutex::new(());

/// Guard of disabled mechanisms, which enables all mechanisms on drop.
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
fn names_of_mechanisms_are_unique() {
    for mechanism in Mechanism::ALL {
        assert_eq!(Mechanism::from_name(mechanism.as_str()), Some(mechanism));
    }
    assert_eq!(Mechanism::from_name("gravity"), None);
}

/// Number of later calls after which an attempt gets its outcome.
const IN_FLIGHT: u64 = 12;

/// Submits 100 calls a second to four replicas: one answers, one fails, one never responds and one rejects. The driver
/// checks every action against the rules. Returns the trace of all actions, to compare runs.
fn run_trace(seed: u64) -> String {
    let mut driver = Driver::new(
        seed,
        service(),
        &replicas(&["good", "bad", "unresponsive", "full"]),
    );
    for newest in 1..=250 {
        if newest % 3 == 0 {
            driver.submit(non_idempotent_call(driver.now, newest));
        } else {
            driver.submit(call(driver.now, newest));
        }
        driver.advance(0.01);
        for (id, attempt) in driver.attempts_in_flight() {
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
fn rules_hold_with_any_one_mechanism_disabled() {
    for mechanism in Mechanism::ALL {
        let _switches = Switches::without(&[mechanism]);
        for seed in 0..4 {
            run_trace(seed);
        }
    }
}

#[test]
fn rules_hold_with_all_mechanisms_disabled() {
    let _switches = Switches::without(&Mechanism::ALL);
    for seed in 0..4 {
        run_trace(seed);
    }
}

/// A mechanism that stays active when disabled would leave the trace unchanged. Mechanisms that have no effect in this
/// run, such as those for programs and engines, are not listed.
#[test]
fn disabling_a_mechanism_changes_the_actions() {
    let all_enabled = {
        let _switches = Switches::without(&[]);
        run_trace(1)
    };
    let acting = [
        Mechanism::Hedging,
        Mechanism::OutlierEjection,
        Mechanism::UnresponsiveAvoidance,
        Mechanism::RecentFailureAvoidance,
    ];
    for mechanism in acting {
        let _switches = Switches::without(&[mechanism]);
        assert!(run_trace(1) != all_enabled, "{mechanism:?}");
    }
    let _switches = Switches::without(&[]);
    assert!(run_trace(1) == all_enabled, "all mechanisms enabled again");
}

/// Number of sends of three calls, after the only replica has rejected one of the three calls before them.
fn sends_after_a_rejection() -> usize {
    let mut driver = Driver::new(1, service(), &replicas(&["only"]));
    for id in 1..=3 {
        driver.submit(non_idempotent_call(driver.now, id));
    }
    let full = Outcome::NotExecuted { retry_after: None };
    driver.attempt_ended(3, 0, full);
    for id in 4..=6 {
        driver.submit(non_idempotent_call(driver.now, id));
    }
    (4..=6).map(|id| driver.sent_to(id).len()).sum()
}

#[test]
fn with_hold_disabled_a_rejection_causes_no_queueing() {
    let _switches = Switches::without(&[]);
    assert!(sends_after_a_rejection() < 3, "the others are queued");
    switch_off(Mechanism::Hold);
    assert_eq!(sends_after_a_rejection(), 3);
}
