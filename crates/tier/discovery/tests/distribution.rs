//! Distribution of changes from core machines and replicas to observers. Simulated time.

mod common;

use std::time::Duration;

use common::view;
use common::world::{HEARTBEAT, Node, NodeState, World, core_address};

/// Maximum time from the acknowledgement of a departure, or from a commit, until all observers have applied it.
const PROPAGATION_BOUND: Duration = Duration::from_millis(20);
/// Time without a fault after which machines are in touch.
const TOUCH: Duration = Duration::from_secs(3);
/// Maximum time from the last heartbeat of a replica until it has expired at all observers.
const EXPIRY: Duration = Duration::from_millis(4200 + 500);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Tier that has run for 8 s, so that all observers have reached a current state.
fn settled_world(seed: u64, cores: usize, edges: usize, replicas: usize) -> World {
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
fn an_acknowledged_departure_soon_reaches_all_observers() {
    for seed in 0..50 {
        let mut world = settled_world(seed, 3, 6, 12);
        world.drain(0, seed as usize % 3);
        world.run_for(millis(20));
        let drained_at = world.replicas[0].drained_at.expect("acknowledged");
        world.run(drained_at + PROPAGATION_BOUND);
        assert_eq!(world.edges_using(0), 0, "seed {seed}");
        world.deregister_replica(0, (seed as usize + 1) % 3);
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
fn an_acknowledged_departure_survives_the_failure_of_the_machine_that_acknowledged_it() {
    for seed in 0..50 {
        for node_state in [NodeState::Down, NodeState::Unreachable, NodeState::Paused] {
            let mut world = settled_world(seed, 3, 6, 12);
            let core = seed as usize % 3;
            // No observer receives an answer from that machine.
            for edge in 0..6 {
                world
                    .partitions
                    .insert((Node::Core(core), Node::Edge(edge)));
            }
            world.drain(0, core);
            while world.replicas[0].drained_at.is_none() {
                world.run_for(millis(1));
            }
            world.set_node_state(core, node_state);
            world.run_for(PROPAGATION_BOUND);
            assert_eq!(world.edges_using(0), 0, "seed {seed}, {node_state:?}");
        }
    }
}

#[test]
fn a_departure_is_acknowledged_soon_while_a_majority_answers() {
    for node_state in [NodeState::Down, NodeState::Unreachable, NodeState::Paused] {
        let mut world = settled_world(3, 3, 6, 12);
        world.set_node_state(2, node_state);
        let drain_started_at = world.now;
        world.drain(0, 0);
        world.run_for(millis(400));
        let drained_at = world.replicas[0].drained_at.expect("acknowledged");
        assert!(
            drained_at - drain_started_at < millis(350),
            "{node_state:?}"
        );
        assert_eq!(world.edges_using(0), 0);
    }
}

#[test]
fn a_departure_unknown_to_the_majority_is_distributed_but_not_acknowledged() {
    for node_state in [NodeState::Down, NodeState::Unreachable, NodeState::Paused] {
        let mut world = settled_world(3, 3, 6, 12);
        world.set_node_state(1, node_state);
        world.set_node_state(2, node_state);
        world.drain(0, 0);
        world.run_for(millis(20));
        assert_eq!(
            world.edges_using(0),
            0,
            "observers that poll that machine receive the departure at once"
        );
        world.run_for(seconds(10));
        assert_eq!(world.replicas[0].drained_at, None, "{node_state:?}");
        let back = world.now;
        world.restart_core(1);
        world.run_for(seconds(4));
        let drained_at = world.replicas[0]
            .drained_at
            .expect("acknowledged once a majority is up");
        assert!(drained_at > back);
        assert_eq!(world.edges_using(0), 0);
    }
}

#[test]
fn a_departure_sent_to_one_side_of_a_partition_reaches_every_observer() {
    for seed in 0..20 {
        let mut world = settled_world(seed, 3, 6, 12);
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
            "acknowledged by a machine of the majority, which the replica calls next"
        );
        assert_eq!(
            world.edges_using(0) + world.edges_using(1),
            0,
            "seed {seed}"
        );
    }
}

#[test]
fn a_replica_without_heartbeats_expires_and_no_other_does() {
    let mut world = settled_world(1, 3, 6, 12);
    world.replicas[4].is_running = false;
    world.run_for(millis(3500));
    assert_eq!(world.edges_using(4), 6, "expired too early");
    world.run_for(EXPIRY - millis(3500) + HEARTBEAT);
    assert_eq!(world.edges_using(4), 0);
    assert_eq!(
        world.edges[0].watcher.table().replicas().len(),
        11,
        "no other replica expires"
    );
}

#[test]
fn replicas_stay_registered_through_a_restart_of_all_core_machines() {
    for seed in 0..30 {
        let mut world = settled_world(seed, 3, 6, 12);
        (0..3).for_each(|core| world.set_node_state(core, NodeState::Down));
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
fn a_replica_that_ended_while_all_core_machines_were_down_is_eventually_dropped() {
    let mut world = settled_world(2, 3, 6, 12);
    (0..3).for_each(|core| world.set_node_state(core, NodeState::Down));
    world.replicas[5].is_running = false;
    world.run_for(millis(700));
    (0..3).for_each(|core| world.restart_core(core));
    world.run_for(seconds(16));
    assert_eq!(world.edges_using(5), 0);
    assert_eq!(world.edges[0].watcher.table().replicas().len(), 11);
}

/// A departure that a test lets replica 0 announce.
#[derive(Clone, Copy, Debug)]
enum Announcement {
    /// The replica says that it is draining, and is not heard again.
    Draining,
    /// The replica deregisters without having drained.
    Deregistration,
}

/// Guards against a departure that only processes remember: an edge that was paused when it was acknowledged went on
/// sending to the replica after a restart of all core machines, since none of its heartbeats are sent.
#[test]
fn an_acknowledged_departure_outlasts_the_kill_of_every_core_machine() {
    for seed in 0..12 {
        for announcement in [Announcement::Draining, Announcement::Deregistration] {
            for lost_disk in [None, Some(0), Some(1), Some(2)] {
                let case = format!("seed {seed}, {announcement:?}, lost disk {lost_disk:?}");
                let mut world = settled_world(seed, 3, 6, 12);
                world.pause_edge(0);
                // This heartbeat of the ready replica arrives when the core machines have restarted.
                world.send_late_heartbeat(0, 2, seconds(2));
                world.replicas[0].ends_heartbeats_after_acknowledgement = true;
                match announcement {
                    Announcement::Draining => world.drain(0, seed as usize % 3),
                    Announcement::Deregistration => world.deregister_replica(0, seed as usize % 3),
                }
                world.run_for(millis(20));
                let replica = &world.replicas[0];
                let departed_at = replica.drained_at.or(replica.deregistered_at);
                assert!(departed_at.is_some(), "{case}: not acknowledged");
                (0..3).for_each(|core| world.set_node_state(core, NodeState::Down));
                lost_disk.into_iter().for_each(|core| world.lose_disk(core));
                world.run_for(millis(500));
                (0..3).for_each(|core| world.restart_core(core));
                world.run_for(millis(1500));
                world.resume_edge(0, true);
                world.run_for(TOUCH);
                let until = world.now + seconds(12);
                world.run_checked(until, |world| {
                    assert_eq!(world.edges_using(0), 0, "{case} at {:?}", world.now);
                });
            }
        }
    }
}

/// A core machine whose disk stalls confirms no departure; the two others suffice, in less than a second.
#[test]
fn a_departure_is_acknowledged_while_one_disk_stalls_and_not_while_two_do() {
    for core in 0..3 {
        let mut world = settled_world(1, 3, 6, 12);
        world.set_disk_stalled(2, true);
        let drain_started_at = world.now;
        world.drain(0, core);
        world.run_for(seconds(1));
        let drained_at = world.replicas[0].drained_at.expect("acknowledged");
        assert!(drained_at - drain_started_at < millis(350), "core {core}");
        world.set_disk_stalled(1, true);
        world.drain(1, core);
        world.run_for(PROPAGATION_BOUND);
        assert_eq!(world.edges_using(1), 0, "observers receive it at once");
        world.run_for(seconds(5));
        assert_eq!(world.replicas[1].drained_at, None, "core {core}");
        world.set_disk_stalled(1, false);
        world.run_for(seconds(4));
        assert!(world.replicas[1].drained_at.is_some(), "core {core}");
    }
}

#[test]
fn an_observer_that_starts_while_the_core_warms_up_waits_for_a_complete_list() {
    for seed in 0..30 {
        let mut world = settled_world(seed, 3, 6, 12);
        (0..3).for_each(|core| world.set_node_state(core, NodeState::Down));
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
        for paused in [1, 3] {
            let mut world = settled_world(seed, 3, 6, 12);
            (0..paused).for_each(|core| world.set_node_state(core, NodeState::Paused));
            world.run_for(seconds(9));
            (0..paused).for_each(|core| world.resume_core(core));
            let until = world.now + seconds(10);
            world.run_checked(until, |world| {
                for edge in &world.edges {
                    assert_eq!(
                        edge.watcher.table().replicas().len(),
                        12,
                        "seed {seed}, {paused} paused"
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
fn an_observer_that_starts_when_a_paused_core_machine_resumes_does_not_use_its_stale_list() {
    for seed in 0..20 {
        let mut world = settled_world(seed, 3, 6, 12);
        world.set_node_state(2, NodeState::Paused);
        world.drain(0, 0);
        world.run_for(seconds(4));
        // The observer can reach the other machines only some time after the machine that resumes.
        world.restart_edge(0, (0..3).map(core_address).collect());
        world.partitions.extend([
            (Node::Core(0), Node::Edge(0)),
            (Node::Core(1), Node::Edge(0)),
        ]);
        world.resume_core(2);
        let until = world.now + millis(700);
        world.run_checked(until, |world| {
            let has_current_state = world.edges[0].watcher.has_reached_current_state();
            assert!(
                !(has_current_state && world.edge_routes_to(0, 0)),
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
fn a_departure_missed_by_a_paused_core_machine_is_not_undone_when_it_resumes() {
    let mut world = settled_world(4, 3, 6, 12);
    world.set_node_state(2, NodeState::Paused);
    world.drain(0, 0);
    world.run_for(millis(500));
    world.deregister_replica(0, 1);
    world.run_for(seconds(6));
    world.resume_core(2);
    let until = world.now + seconds(8);
    world.run_checked(until, |world| assert_eq!(world.edges_using(0), 0));
    assert_eq!(world.cores[2].state.registry().registered_count(), 11);
}

#[test]
fn core_machines_partitioned_from_all_replicas_expire_none() {
    let mut world = settled_world(5, 3, 6, 12);
    world.unreachable_from_replicas = (0..3).collect();
    world.run_for(seconds(20));
    assert_eq!(world.edges[0].watcher.table().replicas().len(), 12);
    world.unreachable_from_replicas.clear();
    world.run_for(seconds(5));
    assert_eq!(world.edges[0].watcher.table().replicas().len(), 12);
}

#[test]
fn replicas_that_reach_only_one_side_of_a_partition_stay_registered() {
    // Machine 0 is partitioned from the others, is out of quorum, and is the only one that the replicas can reach.
    let mut world = settled_world(6, 3, 6, 12);
    world.partition_cores(0, 1);
    world.partition_cores(0, 2);
    let members: Vec<_> = (0..3).map(core_address).collect();
    world.set_view(0, view(1, false, members));
    world.unreachable_from_replicas = [1, 2].into();
    world.run_for(seconds(8));
    assert_eq!(world.edges[0].watcher.table().replicas().len(), 12);
}

#[test]
fn a_reused_address_belongs_to_the_new_replica() {
    let mut world = settled_world(7, 3, 6, 12);
    world.replicas[3].is_running = false;
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
fn a_configuration_soon_reaches_all_observers_and_is_never_reverted() {
    for seed in 0..20 {
        let mut world = settled_world(seed, 3, 6, 4);
        world.commit_configuration(9);
        world.run_for(PROPAGATION_BOUND);
        assert!(
            world.edges.iter().all(|edge| edge.configuration == 9),
            "seed {seed}"
        );
        // Machine 1 commits generation 9 again and restarts.
        world.cores[1].committed.commit_configuration(9);
        world.restart_core(1);
        world.commit_configuration(12);
        world.set_node_state(0, NodeState::Unreachable);
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
        world.set_node_state(first - 1, NodeState::Unreachable);
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
    let mut world = settled_world(9, 4, 2, 12);
    world.set_node_state(3, NodeState::Unreachable);
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
fn a_recovered_machine_is_polled_again_within_its_backoff() {
    let mut world = settled_world(10, 3, 6, 12);
    world.set_node_state(0, NodeState::Unreachable);
    world.run_for(seconds(10));
    world.restart_core(0);
    // A poll of the unreachable machine times out 1.7 s after its start. The next poll starts at most 0.8 s later.
    world.run_for(millis(2600));
    world
        .partitions
        .extend((0..6).flat_map(|edge| [1, 2].map(|core| (Node::Core(core), Node::Edge(edge)))));
    world.drain(0, 0);
    world.run_for(PROPAGATION_BOUND);
    assert_eq!(world.edges_using(0), 0);
}
