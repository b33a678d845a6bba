//! Core machines and edges whose share of a core is a quota: each stands still at the end of every tenth of a second.
//! No replica expires for that, no edge loses the core, and configurations and departures are in force soon.

mod common;

use std::ops::RangeInclusive;
use std::time::Duration;

use common::world::World;
use woadreach_sim_support::CpuQuota;

const CORES: usize = 3;
const EDGES: usize = 12;
const REPLICAS: usize = 12;
/// Longest time from a change to its being in force at all edges: the poll's answer, the fetch and its answer each wait
/// for a process that stands still, and the links.
const LONGEST_IN_FORCE: Duration = Duration::from_millis(500);

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn world(seed: u64, period: Duration, stall: RangeInclusive<Duration>) -> World {
    let mut world = World::new(seed, CORES, EDGES, REPLICAS);
    world.run(Duration::from_secs(8));
    world.quota = Some(CpuQuota::new(seed, period, stall));
    world
}

/// Edges that lack a replica, or that no core machine in quorum answers.
fn edges_without_something(world: &World) -> usize {
    let lacks = |edge: &&common::world::EdgeNode| {
        edge.watcher.table().replicas().len() < REPLICAS || edge.watcher.is_disconnected(world.now)
    };
    world.edges.iter().filter(lacks).count()
}

#[test]
fn nothing_expires_and_nobody_loses_the_core() {
    for seed in 0..10 {
        let mut world = world(seed, millis(100), millis(30)..=millis(95));
        let until = world.now + Duration::from_secs(40);
        world.run_checked(until, |world| {
            assert_eq!(edges_without_something(world), 0, "seed {seed}");
        });
    }
}

#[test]
fn a_configuration_is_in_force_within_half_a_second() {
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
                    world.now - changed_at <= LONGEST_IN_FORCE,
                    "seed {seed}, generation {generation}"
                );
            }
            longest = longest.max(world.now - changed_at);
            world.run_for(millis(333));
        }
    }
    println!("in force at all edges after {longest:?} at most");
}

#[test]
fn an_acknowledged_departure_is_in_force_within_a_tenth() {
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

/// The check itself: stalls of seconds are seen.
#[test]
fn stalls_beyond_the_time_outs_are_found() {
    let mut world = world(1, Duration::from_secs(5), millis(3500)..=millis(4500));
    let mut found = 0;
    let until = world.now + Duration::from_secs(40);
    world.run_checked(until, |world| found += edges_without_something(world));
    assert!(found > 0);
}
