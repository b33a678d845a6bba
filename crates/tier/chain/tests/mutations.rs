//! Each injected bug is found within a bounded number of runs.

mod simulation;

use std::time::Duration;

use simulation::faults::{Run, play, play_in, play_planned_work};
use simulation::world::{InjectedBug, World};
use woadreach_chain::{MAX_APPLIED_CONFIGURATIONS, Mutation};

fn is_found_by_planned_work(mutation: Mutation, runs: u64) -> bool {
    (1..=runs).any(|seed| {
        let (length, bug) = (Duration::from_secs(30), Some(InjectedBug::Member(mutation)));
        let run = Run {
            seed,
            nodes: 3,
            zones: 0,
            fault_tolerance: 1,
            length,
            bug,
        };
        !play_planned_work(run).violations.is_empty()
    })
}

fn is_found(bug: InjectedBug, runs: u64) -> bool {
    (1..=runs).any(|seed| {
        let length = Duration::from_secs(12);
        let run = Run {
            seed,
            nodes: 3,
            zones: 0,
            fault_tolerance: 1,
            length,
            bug: Some(bug),
        };
        let violations = play(run).violations;
        if !violations.is_empty() {
            println!("seed {seed}: {violations:?}");
        }
        !violations.is_empty()
    })
}

#[test]
fn acknowledging_before_the_sync_is_found() {
    assert!(is_found(
        InjectedBug::Member(Mutation::AcknowledgeBeforeSync),
        2000
    ));
}

#[test]
fn a_view_without_epoch_check_is_found() {
    assert!(is_found(InjectedBug::Member(Mutation::NoEpochCheck), 2000));
}

#[test]
fn digests_forgotten_after_a_restart_are_found() {
    assert!(is_found(
        InjectedBug::Member(Mutation::DigestsForgotten),
        2000
    ));
}

#[test]
fn refusing_a_change_on_a_future_base_is_found() {
    assert!(is_found(
        InjectedBug::Member(Mutation::RejectedFutureBase),
        2000
    ));
}

#[test]
fn refusing_before_the_commit_is_found() {
    assert!(is_found(
        InjectedBug::Member(Mutation::RejectedBeforeCommit),
        2000
    ));
}

#[test]
fn acknowledging_a_repeat_before_the_commit_is_found() {
    assert!(is_found(
        InjectedBug::Member(Mutation::DuplicateBeforeCommit),
        2000
    ));
}

#[test]
fn refusing_a_forgotten_change_is_found() {
    let length = Duration::from_secs(6);
    let is_found_by = |seed| {
        let bug = Some(InjectedBug::Member(Mutation::RejectedForgotten));
        let mut world = World::new(seed, 3, 0, 1, bug);
        world.begin_after(MAX_APPLIED_CONFIGURATIONS as u64 + 100);
        !play_in(world, length).violations.is_empty()
    };
    assert!((1..=20).any(is_found_by));
}

#[test]
fn a_member_that_exits_as_soon_as_shutdown_begins_is_found() {
    assert!(is_found_by_planned_work(Mutation::LeavesAtOnce, 200));
}

#[test]
fn a_member_that_exits_before_the_new_chain_has_the_state_is_found() {
    assert!(is_found_by_planned_work(Mutation::LeavesWithTheView, 200));
}

#[test]
fn a_wiped_member_that_votes_is_found() {
    assert!(is_found(InjectedBug::IdentitySurvivesWipe, 2000));
}
