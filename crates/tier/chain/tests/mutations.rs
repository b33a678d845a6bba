//! Each injected bug is found within a limited number of simulated runs.

mod simulation;

use std::time::Duration;

use rstest::rstest;
use simulation::faults::{Run, simulate, simulate_maintenance, simulate_world};
use simulation::world::{InjectedBug, World};
use woadreach_chain::{MAX_APPLIED_CONFIGURATIONS, Mutation};

/// A run of three machines of which one may fail.
fn run_of_three(seed: u64, length: Duration, bug: InjectedBug) -> Run {
    Run {
        seed,
        nodes: 3,
        zones: 0,
        fault_tolerance: 1,
        length,
        bug: Some(bug),
    }
}

fn is_found_by_maintenance(mutation: Mutation, runs: u64) -> bool {
    (1..=runs).any(|seed| {
        let length = Duration::from_secs(30);
        let run = run_of_three(seed, length, InjectedBug::Member(mutation));
        !simulate_maintenance(run).violations.is_empty()
    })
}

fn is_found(bug: InjectedBug, runs: u64) -> bool {
    (1..=runs).any(|seed| {
        let length = Duration::from_secs(12);
        let violations = simulate(run_of_three(seed, length, bug)).violations;
        if !violations.is_empty() {
            println!("seed {seed}: {violations:?}");
        }
        !violations.is_empty()
    })
}

#[rstest]
#[case::acknowledging_before_the_sync(InjectedBug::Member(Mutation::AcknowledgeBeforeSync))]
#[case::a_view_without_epoch_check(InjectedBug::Member(Mutation::NoEpochCheck))]
#[case::digests_forgotten_after_a_restart(InjectedBug::Member(Mutation::DigestsForgotten))]
#[case::rejecting_a_change_on_a_future_base(InjectedBug::Member(Mutation::RejectedFutureBase))]
#[case::rejecting_before_the_commit(InjectedBug::Member(Mutation::RejectedBeforeCommit))]
#[case::acknowledging_a_duplicate_before_the_commit(InjectedBug::Member(
    Mutation::DuplicateBeforeCommit
))]
#[case::a_wiped_member_that_votes(InjectedBug::IdentitySurvivesWipe)]
fn a_bug_is_found_under_faults(#[case] bug: InjectedBug) {
    assert!(is_found(bug, 2000));
}

#[test]
fn rejecting_a_forgotten_change_is_found() {
    let length = Duration::from_secs(6);
    let is_found_by = |seed| {
        let bug = Some(InjectedBug::Member(Mutation::RejectedForgotten));
        let mut world = World::new(seed, 3, 0, 1, bug);
        world.preload_changes(MAX_APPLIED_CONFIGURATIONS as u64 + 100);
        !simulate_world(world, length).violations.is_empty()
    };
    assert!((1..=20).any(is_found_by));
}

#[rstest]
#[case::a_member_that_exits_as_soon_as_shutdown_begins(Mutation::LeavesAtOnce)]
#[case::a_member_that_exits_before_the_new_chain_has_the_state(Mutation::LeavesWithTheView)]
fn a_bug_is_found_by_maintenance(#[case] mutation: Mutation) {
    assert!(is_found_by_maintenance(mutation, 200));
}
