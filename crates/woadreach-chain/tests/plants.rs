//! Each planted bug is found within a bounded number of runs.

mod simulation;

use std::time::Duration;

use simulation::faults::{Run, play, play_planned_work};
use simulation::world::PlantedBug;
use woadreach_chain::Plant;

fn is_found_by_planned_work(plant: Plant, runs: u64) -> bool {
    (1..=runs).any(|seed| {
        let (length, bug) = (Duration::from_secs(30), Some(PlantedBug::Member(plant)));
        let run = Run { seed, nodes: 3, zones: 0, fault_tolerance: 1, length, bug };
        !play_planned_work(run).violations.is_empty()
    })
}

fn is_found(bug: PlantedBug, runs: u64) -> bool {
    (1..=runs).any(|seed| {
        let length = Duration::from_secs(12);
        let run = Run { seed, nodes: 3, zones: 0, fault_tolerance: 1, length, bug: Some(bug) };
        !play(run).violations.is_empty()
    })
}

#[test]
fn acknowledging_before_the_sync_is_found() {
    assert!(is_found(PlantedBug::Member(Plant::AcknowledgeBeforeSync), 2000));
}

#[test]
fn a_view_without_epoch_check_is_found() {
    assert!(is_found(PlantedBug::Member(Plant::NoEpochCheck), 2000));
}

#[test]
fn digests_forgotten_after_a_restart_are_found() {
    assert!(is_found(PlantedBug::Member(Plant::DigestsForgotten), 2000));
}

#[test]
fn a_member_that_ends_as_soon_as_it_is_told_to_stop_is_found() {
    assert!(is_found_by_planned_work(Plant::LeavesAtOnce, 200));
}

#[test]
fn a_member_that_ends_before_the_new_chain_has_the_state_is_found() {
    assert!(is_found_by_planned_work(Plant::LeavesWithTheView, 200));
}

#[test]
fn a_wiped_member_that_votes_is_found() {
    assert!(is_found(PlantedBug::IdentitySurvivesWipe, 2000));
}
