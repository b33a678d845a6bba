//! The services of a route with weights: each gets its share of the calls, also of programs, which have a home in each.

mod common;

use std::sync::Arc;

use common::{Driver, call, replica, service};
use woadreach_scheduler::{Call, Outcome, ReplicaSpec, ServiceSpec, WeightedService};

/// Calls of a run, as few as a judgement of the shares may take.
const CALLS: u64 = 200;
/// Largest deviation of a share.
const TOLERANCE: f64 = 0.2;

fn part(name: &str, weight: u32) -> WeightedService {
    WeightedService {
        service: Arc::from(name),
        weight,
    }
}

/// A driver with the services `old` and `new` of three replicas each.
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

/// The share of `new` among calls that `make` makes, with weights of 100 together.
fn share_of_new(seed: u64, weight: u32, make: impl Fn(&Driver, u64) -> Call) -> f64 {
    let mut driver = driver(seed);
    let mut at_new = 0;
    for id in 1..=CALLS {
        let call = Call {
            services: vec![part("old", 100 - weight), part("new", weight)],
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
                "seed {seed}: {share} of {expected}"
            );
        }
    }
    for seed in 0..5 {
        assert_eq!(share_of_new(seed, 0, &make), 0.0, "no weight, no call");
        assert_eq!(share_of_new(seed, 100, &make), 1.0);
    }
}

#[test]
fn each_part_of_a_route_has_its_share_of_the_calls() {
    assert_shares(|driver, id| call(driver.now, id));
}

#[test]
fn programs_with_homes_keep_to_the_shares() {
    assert_shares(|driver, id| Call {
        program: Some(id % 40),
        ..call(driver.now, id)
    });
}
