//! The core cut into two halves for some seconds, whatever losses its settings name: nothing is lost, and no machine
//! takes an old state for the newest.
//!
//! `WOADREACH_RUNS` and `WOADREACH_SEED` as in `world.rs`.

mod simulation;

use simulation::partitions::{PartitionRun, play_halves};

fn number(variable: &str, default: u64) -> u64 {
    std::env::var(variable)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

#[test]
fn nothing_is_lost_or_stale_while_the_core_is_cut_into_halves() {
    let first = number("WOADREACH_SEED", 1);
    for nodes in 3..=6 {
        for seed in first..first + number("WOADREACH_RUNS", 50) {
            let finding = play_halves(PartitionRun {
                seed,
                nodes,
                fault_tolerance: (nodes - 1) / 2,
                bug: None,
            });
            assert!(
                finding.violations.is_empty(),
                "{nodes} machines, seed {seed}: {:?}\n{}",
                finding.violations,
                finding.history
            );
            assert!(
                finding.acknowledged > 0,
                "{nodes} machines, seed {seed}: nothing was acknowledged"
            );
        }
    }
}
