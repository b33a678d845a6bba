//! Long partitions, in one direction or both: the invariants of every run, and that a machine which reports
//! to be in quorum is never far behind.
//!
//! `WOADREACH_RUNS` and `WOADREACH_SEED` as in `world.rs`.

mod simulation;

#[cfg(feature = "mutations")]
use simulation::history::Violation;
use simulation::partitions::{PartitionRun, play};
use simulation::world::InjectedBug;

fn number(variable: &str, default: u64) -> u64 {
    std::env::var(variable)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

fn play_runs(nodes: usize, fault_tolerance: usize) {
    let first = number("WOADREACH_SEED", 1);
    let bug: Option<InjectedBug> = None;
    for seed in first..first + number("WOADREACH_RUNS", 50) {
        let finding = play(PartitionRun {
            seed,
            nodes,
            fault_tolerance,
            bug,
        });
        assert!(
            finding.violations.is_empty(),
            "seed {seed}: {:?}\n{}",
            finding.violations,
            finding.history
        );
        assert!(
            finding.acknowledged > 0,
            "seed {seed}: nothing was acknowledged"
        );
    }
}

#[test]
fn three_machines_tolerate_a_long_partition_of_one() {
    play_runs(3, 1);
}

#[test]
fn four_machines_tolerate_a_long_partition_of_one() {
    play_runs(4, 1);
}

#[test]
fn five_machines_tolerate_a_long_partition_of_two() {
    play_runs(5, 2);
}

#[cfg(feature = "mutations")]
fn is_found(mutation: woadreach_chain::Mutation) -> bool {
    (1..=100).any(|seed| {
        let bug = Some(InjectedBug::Member(mutation));
        let finding = play(PartitionRun {
            seed,
            nodes: 3,
            fault_tolerance: 1,
            bug,
        });
        finding
            .violations
            .iter()
            .any(|violation| matches!(violation, Violation::StaleInQuorum { .. }))
    })
}

#[cfg(feature = "mutations")]
#[test]
fn a_quorum_by_hearing_alone_is_found() {
    assert!(is_found(woadreach_chain::Mutation::QuorumByHearing));
}

#[cfg(feature = "mutations")]
#[test]
fn a_member_that_requests_the_state_from_members_that_do_not_hear_it_is_found() {
    assert!(is_found(
        woadreach_chain::Mutation::StateRequestWithoutContact
    ));
}
