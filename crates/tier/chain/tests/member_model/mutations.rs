//! Searches that must find a violation, since a safeguard of the member is disabled.

use rstest::rstest;
use woadreach_chain::Mutation;

use super::core::Counts;
use super::world::World;
use super::{NO_EVENTS, search, three};

#[rstest]
#[case::acknowledging_before_the_sync(
    "mutated: acknowledged before the sync",
    World {
        limits: Counts { proposals: 2, crashes: 1, ..NO_EVENTS },
        mutation: Some(Mutation::AcknowledgeBeforeSync),
        slow_disks: vec![0],
        faulty: vec![0],
        proposers: vec![0],
        ..three()
    },
    15
)]
#[case::reading_without_a_barrier(
    "mutated: no barrier",
    World {
        limits: Counts { proposals: 1, changes: 1, reads: 1, ..NO_EVENTS },
        mutation: Some(Mutation::ReadWithoutBarrier),
        proposers: vec![1],
        ..three()
    },
    18
)]
#[case::handling_messages_of_any_epoch(
    "mutated: any epoch",
    World {
        limits: Counts { proposals: 2, changes: 1, ..NO_EVENTS },
        mutation: Some(Mutation::NoEpochCheck),
        proposers: vec![1, 2],
        ..three()
    },
    17
)]
fn a_mutation_is_found(#[case] name: &str, #[case] world: World, #[case] actions: usize) {
    assert!(search(name, world, actions).is_some());
}
