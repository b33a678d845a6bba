//! A partition of the core into two halves for some seconds, which may exceed the failures that the core tolerates.
//! No acknowledged change is lost, and no machine reports an outdated state as current.
//!
//! `WOADREACH_RUNS` and `WOADREACH_SEED` as in `world.rs`.

mod simulation;

use simulation::partitions::{PartitionRun, simulate_halves};

fn number(variable: &str, default: u64) -> u64 {
    std::env::var(variable)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

#[test]
fn nothing_is_lost_or_stale_while_two_halves_are_partitioned() {
    let first = number("WOADREACH_SEED", 1);
    for nodes in 3..=6 {
        for seed in first..first + number("WOADREACH_RUNS", 50) {
            let result = simulate_halves(PartitionRun {
                seed,
                nodes,
                fault_tolerance: (nodes - 1) / 2,
                bug: None,
            });
            assert!(
                result.violations.is_empty(),
                "{nodes} machines, seed {seed}: {:?}\n{}",
                result.violations,
                result.history
            );
            assert!(
                result.acknowledged > 0,
                "{nodes} machines, seed {seed}: nothing was acknowledged"
            );
        }
    }
}
