//! Core machines that are cut off from the majority, and say so: what observers, replicas and other core
//! machines make of them.

mod common;

use std::time::Duration;

use common::world::{World, core_address};
use woadreach_discovery::ViewSummary;
use woadreach_discovery::selection::rank;

/// From a commit on, in force at every observer that reaches the majority.
const IN_FORCE: Duration = Duration::from_millis(2000);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Cuts these core machines off from the others; a second later they say that they are not in quorum.
fn cut_off(world: &mut World, minority: &[usize]) {
    let others: Vec<usize> = (0..world.cores.len()).filter(|core| !minority.contains(core)).collect();
    for &one in minority {
        others.iter().for_each(|&two| world.cut_cores(one, two));
    }
    world.run_for(seconds(1));
    let members: Vec<_> = (0..world.cores.len()).map(core_address).collect();
    for &core in minority {
        world.set_view(core, ViewSummary { epoch: 1, in_quorum: false, members: members.clone() });
    }
}

/// The core machines in the order in which `edge` prefers them.
fn by_rank(world: &World, edge: usize) -> Vec<usize> {
    let mut cores: Vec<usize> = (0..world.cores.len()).collect();
    cores.sort_by_key(|core| rank(&world.edges[edge].name, core_address(*core)));
    cores
}

#[test]
fn an_observer_whose_first_machines_are_all_cut_off_follows_the_majority() {
    for seed in 0..10 {
        let mut world = World::new(seed, 7, 6, 12);
        world.run(seconds(8));
        let minority: Vec<usize> = by_rank(&world, 0)[..3].to_vec();
        cut_off(&mut world, &minority);
        world.run_for(seconds(1));
        let majority: Vec<usize> = (0..7).filter(|core| !minority.contains(core)).collect();
        world.commit_configuration_at(&majority, 9);
        world.drain(0, majority[0]);
        world.run_for(millis(400));
        assert!(world.replicas[0].drained_at.is_some(), "seed {seed}");
        world.run_for(IN_FORCE);
        let generations: Vec<u64> = world.edges.iter().map(|edge| edge.configuration).collect();
        assert_eq!(generations, [9; 6], "seed {seed}");
        assert_eq!(world.edges_using(0), 0, "seed {seed}");
    }
}

#[test]
fn an_observer_that_starts_with_cut_off_seeds_is_not_ready_and_finds_the_majority_by_hints() {
    for seed in 0..10 {
        let mut world = World::new(seed, 4, 2, 12);
        world.run(seconds(8));
        world.cut_cores(3, 0);
        world.cut_cores(3, 1);
        world.cut_cores(3, 2);
        world.run_for(seconds(1));
        // It knows no other member, as one that came back to a core whose machines were replaced.
        let alone = ViewSummary { epoch: 1, in_quorum: false, members: vec![core_address(3)] };
        world.set_view(3, alone);
        for core in 0..3 {
            let members = (0..3).map(core_address).collect();
            world.set_view(core, ViewSummary { epoch: 2, in_quorum: true, members });
        }
        world.commit_configuration_at(&[0, 1, 2], 9);
        world.restart_edge(0, vec![core_address(3)]);
        world.run_for(seconds(4));
        assert!(!world.edges[0].watcher.is_warmed(), "seed {seed}: ready with an old configuration");
        assert!(world.edges[0].watcher.is_lost(world.now), "seed {seed}: it looks for other machines");
        world.edges[0].watcher.set_hints(vec![core_address(1)]);
        world.run_for(seconds(3));
        assert!(world.edges[0].watcher.is_warmed(), "seed {seed}");
        assert_eq!(world.edges[0].configuration, 9, "seed {seed}");
    }
}

#[test]
fn an_observer_that_is_lost_asks_every_machine_in_turn() {
    // More machines are cut off than are asked at once, and they come first by rank.
    let mut world = World::new(1, 19, 2, 12);
    world.run(seconds(8));
    let minority: Vec<usize> = by_rank(&world, 0)[..9].to_vec();
    cut_off(&mut world, &minority);
    let majority: Vec<usize> = (0..19).filter(|core| !minority.contains(core)).collect();
    world.commit_configuration_at(&majority, 9);
    world.run_for(seconds(2) + IN_FORCE);
    assert_eq!(world.edges[0].configuration, 9);
}
