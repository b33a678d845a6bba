//! Long partitions, in one or both directions. The invariants of every run hold, and a machine that reports to be
//! in quorum never has a state that is long out of date.
//!
//! `WOADREACH_RUNS` and `WOADREACH_SEED` as in `world.rs`.

mod simulation;

#[cfg(feature = "mutations")]
use simulation::history::Violation;
use simulation::partitions::{PartitionRun, simulate};
use simulation::world::InjectedBug;

fn number(variable: &str, default: u64) -> u64 {
    std::env::var(variable)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

fn check_seeds(nodes: usize, fault_tolerance: usize) {
    let first = number("WOADREACH_SEED", 1);
    let bug: Option<InjectedBug> = None;
    for seed in first..first + number("WOADREACH_RUNS", 50) {
        let result = simulate(PartitionRun {
            seed,
            nodes,
            fault_tolerance,
            bug,
        });
        assert!(
            result.violations.is_empty(),
            "seed {seed}: {:?}\n{}",
            result.violations,
            result.history
        );
        assert!(
            result.acknowledged > 0,
            "seed {seed}: nothing was acknowledged"
        );
    }
}

#[test]
fn three_machines_tolerate_a_long_partition_of_one() {
    check_seeds(3, 1);
}

#[test]
fn four_machines_tolerate_a_long_partition_of_one() {
    check_seeds(4, 1);
}

#[test]
fn five_machines_tolerate_a_long_partition_of_two() {
    check_seeds(5, 2);
}

#[cfg(feature = "mutations")]
fn is_found(mutation: woadreach_chain::Mutation) -> bool {
    (1..=100).any(|seed| {
        let bug = Some(InjectedBug::Member(mutation));
        let result = simulate(PartitionRun {
            seed,
            nodes: 3,
            fault_tolerance: 1,
            bug,
        });
        result
            .violations
            .iter()
            .any(|violation| matches!(violation, Violation::StaleInQuorum { .. }))
    })
}

#[cfg(feature = "mutations")]
#[test]
fn a_quorum_reported_without_echoes_is_found() {
    assert!(is_found(woadreach_chain::Mutation::QuorumByHearing));
}

#[cfg(feature = "mutations")]
#[test]
fn a_state_request_to_a_member_that_is_not_in_contact_is_found() {
    assert!(is_found(
        woadreach_chain::Mutation::StateRequestWithoutContact
    ));
}
