//! Runs from seeds under faults: nothing acknowledged is lost, nothing refused is in force, no two changes
//! stand on one version, reads are never stale, and writes go on once faults end.
//!
//! `WOADREACH_RUNS` sets the number of runs of each test (50 by default, 1,000 in CI), `WOADREACH_SEED` the
//! first seed.

mod simulation;

use std::time::Duration;

use simulation::faults::{Finding, Run, play, play_planned_work};

fn number(variable: &str, default: u64) -> u64 {
    std::env::var(variable)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

fn play_runs(nodes: usize, zones: usize, fault_tolerance: usize, seconds: u64) {
    play_runs_of(play, nodes, zones, fault_tolerance, seconds);
}

fn play_runs_of(
    play: fn(Run) -> Finding,
    nodes: usize,
    zones: usize,
    fault_tolerance: usize,
    seconds: u64,
) {
    let first = number("WOADREACH_SEED", 1);
    let mut acknowledged = 0;
    for seed in first..first + number("WOADREACH_RUNS", 50) {
        let length = Duration::from_secs(seconds);
        let finding = play(Run {
            seed,
            nodes,
            zones,
            fault_tolerance,
            length,
            bug: None,
        });
        assert!(
            finding.violations.is_empty(),
            "seed {seed}: {:?}\n{}",
            finding.violations,
            finding.history
        );
        acknowledged += finding.acknowledged;
    }
    assert!(acknowledged > 0, "the runs acknowledged nothing");
}

#[test]
fn three_machines_bear_one_loss() {
    play_runs(3, 0, 1, 12);
}

#[test]
fn four_machines_bear_one_loss() {
    play_runs(4, 0, 1, 12);
}

#[test]
fn five_machines_bear_two_losses() {
    play_runs(5, 0, 2, 12);
}

#[test]
fn seven_machines_bear_the_loss_of_a_zone() {
    play_runs(7, 3, 1, 12);
}

#[test]
fn three_machines_are_stopped_and_replaced() {
    play_runs_of(play_planned_work, 3, 0, 1, 30);
}

#[test]
fn five_machines_for_one_loss_are_stopped_and_replaced() {
    play_runs_of(play_planned_work, 5, 0, 1, 30);
}

#[test]
fn five_machines_for_two_losses_are_stopped_and_replaced() {
    play_runs_of(play_planned_work, 5, 0, 2, 30);
}
