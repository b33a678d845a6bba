//! Core machines and edges with a CPU quota, which stalls each process at the end of every period of 100 ms. The stalls
//! must not expire a replica or disconnect an edge from the core, and configurations and departures must still reach
//! all edges soon.

mod common;

use std::ops::RangeInclusive;
use std::time::Duration;

use common::world::World;
use woadreach_sim_support::CpuQuota;

const CORES: usize = 3;
const EDGES: usize = 12;
const REPLICAS: usize = 12;
/// Maximum time from a change until all edges have applied it: link delays, and one stall each before the answer to the
/// poll, the fetch and its answer.
const MAX_PROPAGATION_TIME: Duration = Duration::from_millis(500);

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn world(seed: u64, period: Duration, stall: RangeInclusive<Duration>) -> World {
    let mut world = World::new(seed, CORES, EDGES, REPLICAS);
    world.run(Duration::from_secs(8));
    world.quota = Some(CpuQuota::new(seed, period, stall));
    world
}

/// Number of edges that do not know all replicas or are disconnected from the core.
fn edges_with_incomplete_state(world: &World) -> usize {
    let lacks = |edge: &&common::world::EdgeNode| {
        edge.watcher.table().replicas().len() < REPLICAS || edge.watcher.is_disconnected(world.now)
    };
    world.edges.iter().filter(lacks).count()
}

#[test]
fn no_replica_expires_and_no_edge_is_disconnected() {
    for seed in 0..10 {
        let mut world = world(seed, millis(100), millis(30)..=millis(95));
        let until = world.now + Duration::from_secs(40);
        world.run_checked(until, |world| {
            assert_eq!(edges_with_incomplete_state(world), 0, "seed {seed}");
        });
    }
}

#[test]
fn a_configuration_reaches_all_edges_within_half_a_second() {
    let mut longest = Duration::ZERO;
    for seed in 0..10 {
        let mut world = world(seed, millis(100), millis(30)..=millis(95));
        for generation in 2..40 {
            let changed_at = world.now;
            world.commit_configuration(generation);
            while world
                .edges
                .iter()
                .any(|edge| edge.configuration < generation)
            {
                world.run_for(millis(1));
                assert!(
                    world.now - changed_at <= MAX_PROPAGATION_TIME,
                    "seed {seed}, generation {generation}"
                );
            }
            longest = longest.max(world.now - changed_at);
            world.run_for(millis(333));
        }
    }
    println!("applied at all edges after {longest:?} at most");
}

#[test]
fn an_acknowledged_departure_reaches_all_edges_within_a_tenth_of_a_second() {
    for seed in 0..10 {
        let mut world = world(seed, millis(100), millis(30)..=millis(95));
        world.drain(0, seed as usize % CORES);
        while world.replicas[0].drained_at.is_none() {
            world.run_for(millis(1));
        }
        world.run_for(millis(100));
        assert_eq!(world.edges_using(0), 0, "seed {seed}");
    }
}

/// Verifies the check itself with stalls of several seconds.
#[test]
fn the_check_detects_stalls_beyond_the_time_outs() {
    let mut world = world(1, Duration::from_secs(5), millis(3500)..=millis(4500));
    let mut found = 0;
    let until = world.now + Duration::from_secs(40);
    world.run_checked(until, |world| found += edges_with_incomplete_state(world));
    assert!(found > 0);
}
