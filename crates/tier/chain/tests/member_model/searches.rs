//! Searches of small cores, each to a limited depth, which must find no violation.

use rstest::rstest;

use super::core::Counts;
use super::world::World;
use super::{NO_EVENTS, search, three};

#[rstest]
#[case::an_election_and_a_change(
    "an election and a change",
    World {
        limits: Counts { proposals: 1, changes: 1, ..NO_EVENTS },
        ..three()
    },
    40
)]
#[case::two_elections_at_once(
    "two elections",
    World {
        limits: Counts { proposals: 2, ..NO_EVENTS },
        proposers: vec![0, 1],
        ..three()
    },
    13
)]
#[case::a_proposer_with_a_slow_disk_crashes(
    "a slow disk and a crash",
    World {
        limits: Counts { proposals: 2, crashes: 1, ..NO_EVENTS },
        slow_disks: vec![0],
        faulty: vec![0],
        proposers: vec![0],
        ..three()
    },
    15
)]
#[case::a_tail_with_a_slow_disk_crashes(
    "a slow tail",
    World {
        limits: Counts { proposals: 1, crashes: 1, changes: 1, ..NO_EVENTS },
        slow_disks: vec![2],
        faulty: vec![2],
        proposers: vec![1],
        ..three()
    },
    13
)]
#[case::a_read_after_an_acknowledged_change(
    "a read",
    World {
        limits: Counts { proposals: 1, changes: 1, reads: 1, ..NO_EVENTS },
        proposers: vec![1],
        ..three()
    },
    16
)]
#[case::two_changes_with_the_same_base(
    "three changes",
    World {
        limits: Counts { proposals: 1, changes: 3, ..NO_EVENTS },
        proposers: vec![1],
        ..three()
    },
    13
)]
#[case::messages_are_duplicated(
    "duplicated messages",
    World {
        limits: Counts { proposals: 1, changes: 1, duplicates: 2, ..NO_EVENTS },
        proposers: vec![1],
        ..three()
    },
    10
)]
#[case::a_disk_is_lost(
    "a lost disk",
    World {
        limits: Counts { proposals: 1, wipes: 1, changes: 1, ..NO_EVENTS },
        proposers: vec![0, 1],
        faulty: vec![0],
        must_recover: true,
        ..three()
    },
    8
)]
#[case::the_only_active_member_loses_its_disk(
    "the only active member",
    World {
        limits: Counts { proposals: 1, wipes: 1, ..NO_EVENTS },
        chain: 2,
        inactive: vec![1],
        proposers: vec![0],
        faulty: vec![0],
        must_recover: true,
        ..three()
    },
    9
)]
#[case::a_machine_restarts_and_loses_its_disk(
    "a restart and a lost disk",
    World {
        limits: Counts { proposals: 1, wipes: 1, crashes: 1, ..NO_EVENTS },
        proposers: vec![0],
        faulty: vec![0],
        must_recover: true,
        ..three()
    },
    8
)]
#[case::a_learner_replaces_a_leaving_member(
    "a departure and a learner",
    World {
        limits: Counts { proposals: 1, leaves: 1, changes: 1, wipes: 1, ..NO_EVENTS },
        machines: 4,
        proposers: vec![1],
        faulty: vec![0],
        must_recover: true,
        ..three()
    },
    8
)]
#[case::five_machines_lose_two_disks(
    "five machines",
    World {
        limits: Counts { proposals: 1, wipes: 2, changes: 1, ..NO_EVENTS },
        machines: 5,
        voters: 5,
        chain: 3,
        faults: 2,
        proposers: vec![1],
        faulty: vec![0, 2],
        must_recover: true,
        ..three()
    },
    5
)]
#[cfg_attr(
    debug_assertions,
    ignore = "takes minutes without optimization; .ci/run runs it in release"
)]
fn no_run_violates_the_invariants(
    #[case] name: &str,
    #[case] world: World,
    #[case] actions: usize,
) {
    assert_eq!(search(name, world, actions), None);
}

#[test]
#[cfg_attr(
    debug_assertions,
    ignore = "takes minutes without optimization; .ci/run runs it in release"
)]
fn a_member_that_votes_under_its_old_identity_after_a_wipe_is_found() {
    let limits = Counts {
        proposals: 1,
        wipes: 1,
        changes: 1,
        ..NO_EVENTS
    };
    let world = World {
        limits,
        identity_survives_wipe: true,
        proposers: vec![1],
        faulty: vec![0],
        ..three()
    };
    assert!(search("mutated: old identity", world, 20).is_some());
}
