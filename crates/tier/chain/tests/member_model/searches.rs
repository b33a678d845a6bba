//! Which small cores are searched, and how deep: every run holds the invariants.

use rstest::rstest;

use super::core::Counts;
use super::world::World;
use super::{NO_EVENTS, search, three};

#[rstest]
#[case::an_election_and_an_order(
    "an election and an order",
    World {
        limits: Counts { proposals: 1, orders: 1, ..NO_EVENTS },
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
#[case::a_ballot_stands_for_one_view(
    "a slow disk and a crash",
    World {
        limits: Counts { proposals: 2, crashes: 1, ..NO_EVENTS },
        slow_disks: vec![0],
        victims: vec![0],
        proposers: vec![0],
        ..three()
    },
    15
)]
#[case::a_slow_tail_dies(
    "a slow tail",
    World {
        limits: Counts { proposals: 1, crashes: 1, orders: 1, ..NO_EVENTS },
        slow_disks: vec![2],
        victims: vec![2],
        proposers: vec![1],
        ..three()
    },
    13
)]
#[case::a_read_is_not_behind_an_acknowledged_order(
    "a read",
    World {
        limits: Counts { proposals: 1, orders: 1, reads: 1, ..NO_EVENTS },
        proposers: vec![1],
        ..three()
    },
    16
)]
#[case::two_orders_on_one_generation(
    "three orders",
    World {
        limits: Counts { proposals: 1, orders: 3, ..NO_EVENTS },
        proposers: vec![1],
        ..three()
    },
    13
)]
#[case::messages_come_twice(
    "repeated messages",
    World {
        limits: Counts { proposals: 1, orders: 1, repeats: 2, ..NO_EVENTS },
        proposers: vec![1],
        ..three()
    },
    10
)]
#[case::a_disk_is_lost(
    "a lost disk",
    World {
        limits: Counts { proposals: 1, wipes: 1, orders: 1, ..NO_EVENTS },
        proposers: vec![0, 1],
        victims: vec![0],
        is_recovery_checked: true,
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
        victims: vec![0],
        is_recovery_checked: true,
        ..three()
    },
    9
)]
#[case::a_machine_restarts_and_loses_its_disk(
    "a restart and a lost disk",
    World {
        limits: Counts { proposals: 1, wipes: 1, crashes: 1, ..NO_EVENTS },
        proposers: vec![0],
        victims: vec![0],
        is_recovery_checked: true,
        ..three()
    },
    8
)]
#[case::a_member_leaves_for_a_learner(
    "a leave and a learner",
    World {
        limits: Counts { proposals: 1, leaves: 1, orders: 1, wipes: 1, ..NO_EVENTS },
        machines: 4,
        proposers: vec![1],
        victims: vec![0],
        is_recovery_checked: true,
        ..three()
    },
    8
)]
#[case::five_machines_lose_two_disks(
    "five machines",
    World {
        limits: Counts { proposals: 1, wipes: 2, orders: 1, ..NO_EVENTS },
        machines: 5,
        voters: 5,
        chain: 3,
        faults: 2,
        proposers: vec![1],
        victims: vec![0, 2],
        is_recovery_checked: true,
        ..three()
    },
    5
)]
#[cfg_attr(
    debug_assertions,
    ignore = "minutes where it is not optimised; .ci/run plays it in release"
)]
fn every_run_holds_the_invariants(
    #[case] name: &str,
    #[case] world: World,
    #[case] actions: usize,
) {
    assert_eq!(search(name, world, actions), None);
}

#[test]
#[cfg_attr(
    debug_assertions,
    ignore = "minutes where it is not optimised; .ci/run plays it in release"
)]
fn a_lost_disk_under_the_old_identity_is_found() {
    let limits = Counts {
        proposals: 1,
        wipes: 1,
        orders: 1,
        ..NO_EVENTS
    };
    let world = World {
        limits,
        identity_survives: true,
        proposers: vec![1],
        victims: vec![0],
        ..three()
    };
    assert!(search("mutated: old identity", world, 20).is_some());
}
