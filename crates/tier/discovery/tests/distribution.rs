//! Core machines, observers and replicas on simulated time: which changes reach the observers, and when.

mod common;

use std::time::Duration;

use common::view;
use common::world::{HEARTBEAT, Node, PowerState, World, core_address};

/// Time after the acknowledgement of a departure by which it is in force everywhere.
const IN_FORCE: Duration = Duration::from_millis(20);
/// Time after its last heartbeat by which a replica has expired everywhere.
const EXPIRY: Duration = Duration::from_millis(4200 + 500);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// A tier that has run for a while.
fn calm(seed: u64, cores: usize, edges: usize, replicas: usize) -> World {
    let mut world = World::new(seed, cores, edges, replicas);
    world.run(seconds(8));
    for edge in 0..edges {
        assert!(world.edges[edge].watcher.has_reached_current_state());
        assert_eq!(world.edges[edge].watcher.table().replicas().len(), replicas);
        assert_eq!(world.edges[edge].configuration, 1);
    }
    world
}

#[test]
fn a_departure_is_in_force_everywhere_soon_after_it_is_acknowledged() {
    for seed in 0..50 {
        let mut world = calm(seed, 3, 6, 12);
        world.drain(0, seed as usize % 3);
        world.run_for(millis(20));
        let drained_at = world.replicas[0].drained_at.expect("acknowledged");
        world.run(drained_at + IN_FORCE);
        assert_eq!(world.edges_using(0), 0, "seed {seed}");
        world.leave(0, (seed as usize + 1) % 3);
        world.run_for(millis(40));
        assert!(world.replicas[0].deregistered_at.is_some());
        assert!(
            world
                .edges
                .iter()
                .all(|edge| !edge.watcher.table().replicas().contains_key("r0"))
        );
        world.run_for(seconds(20));
        assert!(
            world
                .edges
                .iter()
                .all(|edge| edge.watcher.table().replicas().len() == 11),
            "seed {seed}"
        );
    }
}

#[test]
fn an_acknowledged_departure_outlives_the_machine_that_acknowledged_it() {
    for seed in 0..50 {
        for power in [
            PowerState::Down,
            PowerState::Unreachable,
            PowerState::Frozen,
        ] {
            let mut world = calm(seed, 3, 6, 12);
            let core = seed as usize % 3;
            // None of the observers' polls to that machine works.
            for edge in 0..6 {
                world
                    .partitions
                    .insert((Node::Core(core), Node::Edge(edge)));
            }
            world.drain(0, core);
            while world.replicas[0].drained_at.is_none() {
                world.run_for(millis(1));
            }
            world.set_power(core, power);
            world.run_for(IN_FORCE);
            assert_eq!(world.edges_using(0), 0, "seed {seed}, {power:?}");
        }
    }
}

#[test]
fn a_departure_is_acknowledged_soon_while_a_majority_answers() {
    for power in [
        PowerState::Down,
        PowerState::Unreachable,
        PowerState::Frozen,
    ] {
        let mut world = calm(3, 3, 6, 12);
        world.set_power(2, power);
        let drain_started_at = world.now;
        world.drain(0, 0);
        world.run_for(millis(400));
        let drained_at = world.replicas[0].drained_at.expect("acknowledged");
        assert!(drained_at - drain_started_at < millis(350), "{power:?}");
        assert_eq!(world.edges_using(0), 0);
    }
}

#[test]
fn a_departure_that_no_majority_knows_is_not_acknowledged_but_distributed() {
    for power in [
        PowerState::Down,
        PowerState::Unreachable,
        PowerState::Frozen,
    ] {
        let mut world = calm(3, 3, 6, 12);
        world.set_power(1, power);
        world.set_power(2, power);
        world.drain(0, 0);
        world.run_for(millis(20));
        assert_eq!(
            world.edges_using(0),
            0,
            "observers of that machine know it at once"
        );
        world.run_for(seconds(10));
        assert_eq!(world.replicas[0].drained_at, None, "{power:?}");
        let back = world.now;
        world.restart_core(1);
        world.run_for(seconds(4));
        let drained_at = world.replicas[0]
            .drained_at
            .expect("acknowledged once a majority is there");
        assert!(drained_at > back);
        assert_eq!(world.edges_using(0), 0);
    }
}

#[test]
fn a_departure_sent_to_one_side_of_a_partition_reaches_every_observer() {
    for seed in 0..20 {
        let mut world = calm(seed, 3, 6, 12);
        world.partition_cores(0, 1);
        world.partition_cores(0, 2);
        world.drain(0, 0);
        world.drain(1, 1);
        world.run_for(millis(400));
        assert!(
            world.replicas[1].drained_at.is_some(),
            "the majority acknowledges"
        );
        assert_eq!(
            world.edges_using(0) + world.edges_using(1),
            0,
            "seed {seed}"
        );
        world.run_for(millis(800));
        assert!(
            world.replicas[0].drained_at.is_some(),
            "by a machine of the majority, called next"
        );
        assert_eq!(
            world.edges_using(0) + world.edges_using(1),
            0,
            "seed {seed}"
        );
    }
}

#[test]
fn a_replica_expires_without_heartbeats_and_returns_with_them() {
    let mut world = calm(1, 3, 6, 12);
    world.replicas[4].alive = false;
    world.run_for(millis(3500));
    assert_eq!(world.edges_using(4), 6, "not yet");
    world.run_for(EXPIRY - millis(3500) + HEARTBEAT);
    assert_eq!(world.edges_using(4), 0);
    assert_eq!(
        world.edges[0].watcher.table().replicas().len(),
        11,
        "and no other"
    );
}

#[test]
fn replicas_live_through_a_restart_of_all_core_machines() {
    for seed in 0..30 {
        let mut world = calm(seed, 3, 6, 12);
        (0..3).for_each(|core| world.set_power(core, PowerState::Down));
        world.run_for(millis(700));
        (0..3).for_each(|core| world.restart_core(core));
        let until = world.now + seconds(15);
        world.run_checked(until, |world| {
            for edge in &world.edges {
                assert_eq!(
                    edge.watcher.table().replicas().len(),
                    12,
                    "seed {seed} at {:?}",
                    world.now
                );
            }
        });
        assert!(
            world
                .cores
                .iter()
                .all(|core| core.state.registry().registered_count() == 12)
        );
        assert!(
            world
                .cores
                .iter()
                .all(|core| !core.state.is_warming(world.now))
        );
    }
}

#[test]
fn a_replica_that_ended_while_all_core_machines_were_down_is_dropped_in_the_end() {
    let mut world = calm(2, 3, 6, 12);
    (0..3).for_each(|core| world.set_power(core, PowerState::Down));
    world.replicas[5].alive = false;
    world.run_for(millis(700));
    (0..3).for_each(|core| world.restart_core(core));
    world.run_for(seconds(16));
    assert_eq!(world.edges_using(5), 0);
    assert_eq!(world.edges[0].watcher.table().replicas().len(), 11);
}

#[test]
fn an_observer_that_starts_while_the_core_warms_up_waits_for_a_complete_list() {
    for seed in 0..30 {
        let mut world = calm(seed, 3, 6, 12);
        (0..3).for_each(|core| world.set_power(core, PowerState::Down));
        world.run_for(millis(500));
        (0..3).for_each(|core| world.restart_core(core));
        world.restart_edge(0, (0..3).map(core_address).collect());
        let until = world.now + seconds(10);
        world.run_checked(until, |world| {
            let watcher = &world.edges[0].watcher;
            let is_complete =
                watcher.table().replicas().len() == 12 && world.edges[0].configuration == 1;
            assert!(
                !watcher.has_reached_current_state() || is_complete,
                "seed {seed} at {:?}",
                world.now
            );
        });
        assert!(
            world.edges[0].watcher.has_reached_current_state(),
            "seed {seed}"
        );
    }
}

#[test]
fn a_core_machine_that_stalled_expires_no_replica() {
    for seed in 0..20 {
        for frozen in [1, 3] {
            let mut world = calm(seed, 3, 6, 12);
            (0..frozen).for_each(|core| world.set_power(core, PowerState::Frozen));
            world.run_for(seconds(9));
            (0..frozen).for_each(|core| world.thaw_core(core));
            let until = world.now + seconds(10);
            world.run_checked(until, |world| {
                for edge in &world.edges {
                    assert_eq!(
                        edge.watcher.table().replicas().len(),
                        12,
                        "seed {seed}, {frozen} frozen"
                    );
                }
            });
            assert!(
                world
                    .cores
                    .iter()
                    .all(|core| core.state.registry().counters().expired == 0)
            );
        }
    }
}

#[test]
fn an_observer_that_starts_when_a_frozen_core_machine_wakes_does_not_take_its_old_list() {
    for seed in 0..20 {
        let mut world = calm(seed, 3, 6, 12);
        world.set_power(2, PowerState::Frozen);
        world.drain(0, 0);
        world.run_for(seconds(4));
        // The observer reaches the others a little later than the one that wakes.
        world.restart_edge(0, (0..3).map(core_address).collect());
        world.partitions.extend([
            (Node::Core(0), Node::Edge(0)),
            (Node::Core(1), Node::Edge(0)),
        ]);
        world.thaw_core(2);
        let until = world.now + millis(700);
        world.run_checked(until, |world| {
            let has_current_state = world.edges[0].watcher.has_reached_current_state();
            assert!(
                !(has_current_state && world.is_used(0, 0)),
                "seed {seed} at {:?}",
                world.now
            );
        });
        world.partitions.clear();
        world.run_for(seconds(4));
        assert!(
            world.edges[0].watcher.has_reached_current_state(),
            "seed {seed}"
        );
        assert_eq!(world.edges_using(0), 0, "seed {seed}");
    }
}

#[test]
fn a_departure_that_a_frozen_core_machine_missed_is_not_undone_when_it_wakes() {
    let mut world = calm(4, 3, 6, 12);
    world.set_power(2, PowerState::Frozen);
    world.drain(0, 0);
    world.run_for(millis(500));
    world.leave(0, 1);
    world.run_for(seconds(6));
    world.thaw_core(2);
    let until = world.now + seconds(8);
    world.run_checked(until, |world| assert_eq!(world.edges_using(0), 0));
    assert_eq!(world.cores[2].state.registry().registered_count(), 11);
}

#[test]
fn core_machines_partitioned_from_all_replicas_expire_none() {
    let mut world = calm(5, 3, 6, 12);
    world.unreachable_from_replicas = (0..3).collect();
    world.run_for(seconds(20));
    assert_eq!(world.edges[0].watcher.table().replicas().len(), 12);
    world.unreachable_from_replicas.clear();
    world.run_for(seconds(5));
    assert_eq!(world.edges[0].watcher.table().replicas().len(), 12);
}

#[test]
fn replicas_that_reach_only_one_side_of_a_partition_stay_registered() {
    // Partitioned from the others, out of quorum, and the only one that the replicas reach.
    let mut world = calm(6, 3, 6, 12);
    world.partition_cores(0, 1);
    world.partition_cores(0, 2);
    let members: Vec<_> = (0..3).map(core_address).collect();
    world.set_view(0, view(1, false, members));
    world.unreachable_from_replicas = [1, 2].into();
    world.run_for(seconds(8));
    assert_eq!(world.edges[0].watcher.table().replicas().len(), 12);
}

#[test]
fn an_address_that_is_used_again_belongs_to_the_new_replica() {
    let mut world = calm(7, 3, 6, 12);
    world.replicas[3].alive = false;
    world.run_for(seconds(2));
    let reuser = world.add_replica("reuser", 3);
    world.replicas[reuser].heartbeat.service = "other".into();
    world.run_for(HEARTBEAT + millis(800));
    assert_eq!(world.edges_using(3), 0);
    assert_eq!(world.edges_using(reuser), 6);
    assert_eq!(
        world.edges[0].watcher.table().replicas()["reuser"]
            .heartbeat
            .service,
        "other"
    );
}

#[test]
fn a_configuration_is_in_force_soon_and_never_goes_back() {
    for seed in 0..20 {
        let mut world = calm(seed, 3, 6, 4);
        world.commit_configuration(9);
        world.run_for(IN_FORCE);
        assert!(
            world.edges.iter().all(|edge| edge.configuration == 9),
            "seed {seed}"
        );
        // One machine falls behind and reports its old version, which no observer applies.
        world.cores[1].committed.commit_configuration(9);
        world.restart_core(1);
        world.commit_configuration(12);
        world.set_power(0, PowerState::Unreachable);
        world.run_for(millis(1900));
        let generations: Vec<u64> = world.edges.iter().map(|edge| edge.configuration).collect();
        assert_eq!(generations, [12; 6], "seed {seed}");
    }
}

#[test]
fn observers_follow_the_core_to_other_machines() {
    let mut world = World::new(8, 6, 6, 12);
    let members = |range: std::ops::Range<usize>| range.map(core_address).collect::<Vec<_>>();
    for core in 0..6 {
        world.set_view(core, view(1, true, members(0..3)));
    }
    world.run(seconds(8));
    for (epoch, first) in [(2, 1), (3, 2), (4, 3)] {
        for core in 0..6 {
            let view = view(epoch, true, members(first..first + 3));
            world.set_view(core, view);
        }
        world.run_for(seconds(1));
        world.set_power(first - 1, PowerState::Unreachable);
        world.run_for(seconds(2));
    }
    world.commit_configuration(5);
    world.run_for(millis(50));
    assert!(world.edges.iter().all(|edge| edge.configuration == 5));
    assert!(
        world
            .edges
            .iter()
            .all(|edge| edge.watcher.core_machines() == members(3..6))
    );
}

#[test]
fn an_observer_with_stale_seeds_finds_the_core_through_peer_sampling() {
    let mut world = calm(9, 4, 2, 12);
    world.set_power(3, PowerState::Unreachable);
    world.restart_edge(0, vec![core_address(3)]);
    world.run_for(seconds(4));
    assert!(!world.edges[0].watcher.has_reached_current_state());
    world.edges[0]
        .watcher
        .set_sampled_machines(vec![core_address(1)]);
    world.run_for(seconds(3));
    assert!(world.edges[0].watcher.has_reached_current_state());
    assert_eq!(world.edges[0].watcher.core_machines().len(), 4);
}

#[test]
fn a_machine_that_comes_back_is_polled_again_within_its_backoff() {
    let mut world = calm(10, 3, 6, 12);
    world.set_power(0, PowerState::Unreachable);
    world.run_for(seconds(10));
    world.restart_core(0);
    // A poll to the unreachable machine times out 1.7 s after its start, and the next starts 0.8 s later at
    // most.
    world.run_for(millis(2600));
    world
        .partitions
        .extend((0..6).flat_map(|edge| [1, 2].map(|core| (Node::Core(core), Node::Edge(edge)))));
    world.drain(0, 0);
    world.run_for(IN_FORCE);
    assert_eq!(world.edges_using(0), 0);
}
