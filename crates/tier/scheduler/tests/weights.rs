//! Weighted services of a route: each receives its share of the calls, including the calls of programs, which have a
//! home in each service.

mod common;

use std::sync::Arc;

use common::{Driver, call, replica, service};
use woadreach_scheduler::{Call, Outcome, ReplicaSpec, ServiceSpec, WeightedService};

/// Number of calls of a run.
const CALLS: u64 = 200;
/// Maximum deviation of a measured share from the configured one.
const TOLERANCE: f64 = 0.2;

fn weighted(name: &str, weight: u32) -> WeightedService {
    WeightedService {
        service: Arc::from(name),
        weight,
    }
}

/// A driver with the services `old` and `new`, which have three replicas each.
fn driver(seed: u64) -> Driver {
    let named = |name: &str| ServiceSpec {
        name: Arc::from(name),
        ..service()
    };
    let of_service = |name: &'static str| {
        (0..3).map(move |number| ReplicaSpec {
            service: Arc::from(name),
            ..replica(&format!("{name}-{number}"))
        })
    };
    let replicas: Vec<ReplicaSpec> = of_service("old").chain(of_service("new")).collect();
    let mut driver = Driver::new(seed, named("old"), &replicas);
    driver
        .scheduler
        .update_services(&[named("old"), named("new")], 1);
    driver
}

/// Share of calls sent to the service `new`, whose weight is `weight` of 100. `make` creates the calls.
fn share_of_new(seed: u64, weight: u32, make: impl Fn(&Driver, u64) -> Call) -> f64 {
    let mut driver = driver(seed);
    let mut at_new = 0;
    for id in 1..=CALLS {
        let call = Call {
            services: vec![weighted("old", 100 - weight), weighted("new", weight)],
            ..make(&driver, id)
        };
        driver.submit(call);
        at_new += u64::from(driver.sent_to(id)[0].starts_with("new"));
        driver.attempt_ended(id, 0, Outcome::Answered);
        driver.advance(0.01);
    }
    at_new as f64 / CALLS as f64
}

fn assert_shares(make: impl Fn(&Driver, u64) -> Call) {
    for weight in [10, 50, 90] {
        for seed in 0..20 {
            let share = share_of_new(seed, weight, &make);
            let expected = f64::from(weight) / 100.0;
            assert!(
                (share - expected).abs() < TOLERANCE,
                "seed {seed}: share is {share}, expected {expected}"
            );
        }
    }
    for seed in 0..5 {
        assert_eq!(
            share_of_new(seed, 0, &make),
            0.0,
            "a service without weight receives no calls"
        );
        assert_eq!(share_of_new(seed, 100, &make), 1.0);
    }
}

#[test]
fn each_service_receives_its_share_of_the_calls() {
    assert_shares(|driver, id| call(driver.now, id));
}

#[test]
fn each_service_receives_its_share_of_the_calls_of_programs() {
    assert_shares(|driver, id| Call {
        program: Some(id % 40),
        ..call(driver.now, id)
    });
}
