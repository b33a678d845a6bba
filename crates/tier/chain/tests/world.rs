//! Simulated runs under faults that are drawn from a seed. No acknowledged change is lost, no rejected change is
//! applied, no two applied changes have the same base, reads are never stale, and writes succeed again once the
//! faults have ended.
//!
//! `WOADREACH_RUNS` sets the number of runs of each test (50 by default, 1,000 in CI), `WOADREACH_SEED` the
//! first seed.

mod simulation;

use std::time::Duration;

use simulation::faults::{Run, RunResult, simulate, simulate_maintenance};

fn number(variable: &str, default: u64) -> u64 {
    std::env::var(variable)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

fn check_seeds(nodes: usize, zones: usize, fault_tolerance: usize, seconds: u64) {
    check_seeds_with(simulate, nodes, zones, fault_tolerance, seconds);
}

fn check_seeds_with(
    simulate: fn(Run) -> RunResult,
    nodes: usize,
    zones: usize,
    fault_tolerance: usize,
    seconds: u64,
) {
    let first = number("WOADREACH_SEED", 1);
    let mut acknowledged = 0;
    for seed in first..first + number("WOADREACH_RUNS", 50) {
        let length = Duration::from_secs(seconds);
        let result = simulate(Run {
            seed,
            nodes,
            zones,
            fault_tolerance,
            length,
            bug: None,
        });
        assert!(
            result.violations.is_empty(),
            "seed {seed}: {:?}\n{}",
            result.violations,
            result.history
        );
        acknowledged += result.acknowledged;
    }
    assert!(acknowledged > 0, "no change was acknowledged in any run");
}

#[test]
fn three_machines_tolerate_one_failure() {
    check_seeds(3, 0, 1, 12);
}

#[test]
fn four_machines_tolerate_one_failure() {
    check_seeds(4, 0, 1, 12);
}

#[test]
fn five_machines_tolerate_two_failures() {
    check_seeds(5, 0, 2, 12);
}

#[test]
fn seven_machines_tolerate_the_failure_of_a_zone() {
    check_seeds(7, 3, 1, 12);
}

#[test]
fn three_machines_are_stopped_and_replaced() {
    check_seeds_with(simulate_maintenance, 3, 0, 1, 30);
}

#[test]
fn five_machines_that_tolerate_one_failure_are_stopped_and_replaced() {
    check_seeds_with(simulate_maintenance, 5, 0, 1, 30);
}

#[test]
fn five_machines_that_tolerate_two_failures_are_stopped_and_replaced() {
    check_seeds_with(simulate_maintenance, 5, 0, 2, 30);
}
