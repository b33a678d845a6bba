//! Core machines that are partitioned from the majority: how observers, replicas and the other core machines respond.
//! Simulated time.

mod common;

use std::time::Duration;

use common::view;
use common::world::{HEARTBEAT, Node, World, core_address};
use woadreach_discovery::core_state::{CoreIdentity, CoreState};
use woadreach_discovery::departure::{
    ALL_MACHINES_TIMEOUT, DepartureDecision, DepartureNotification, MAJORITY_TIMEOUT,
};
use woadreach_discovery::poll_response::MAX_STATUSES;
use woadreach_discovery::selection::rank;
use woadreach_discovery::{HeartbeatOutcome, ViewSummary};

/// Maximum time from a commit until every observer that can reach the majority has the configuration.
const PROPAGATION_BOUND: Duration = Duration::from_millis(2000);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Partitions the `minority` from the other core machines. A second later, the minority reports that it is out of
/// quorum.
fn partition(world: &mut World, minority: &[usize]) {
    let others: Vec<usize> = (0..world.cores.len())
        .filter(|core| !minority.contains(core))
        .collect();
    for &one in minority {
        others
            .iter()
            .for_each(|&two| world.partition_cores(one, two));
    }
    world.run_for(seconds(1));
    let members: Vec<_> = (0..world.cores.len()).map(core_address).collect();
    for &core in minority {
        world.set_view(core, view(1, false, members.clone()));
    }
}

/// Core machines in the order of their ranks for `edge`, preferred ones first.
fn cores_by_rank(world: &World, edge: usize) -> Vec<usize> {
    let mut cores: Vec<usize> = (0..world.cores.len()).collect();
    cores.sort_by_key(|core| rank(&world.edges[edge].name, core_address(*core)));
    cores
}

#[test]
fn an_observer_whose_preferred_core_machines_are_partitioned_follows_the_majority() {
    for seed in 0..10 {
        let mut world = World::new(seed, 7, 6, 12);
        world.run(seconds(8));
        let minority: Vec<usize> = cores_by_rank(&world, 0)[..3].to_vec();
        partition(&mut world, &minority);
        world.run_for(seconds(1));
        let majority: Vec<usize> = (0..7).filter(|core| !minority.contains(core)).collect();
        world.commit_configuration_at(&majority, 9);
        world.drain(0, majority[0]);
        world.run_for(millis(400));
        assert!(world.replicas[0].drained_at.is_some(), "seed {seed}");
        world.run_for(PROPAGATION_BOUND);
        let generations: Vec<u64> = world.edges.iter().map(|edge| edge.configuration).collect();
        assert_eq!(generations, [9; 6], "seed {seed}");
        assert_eq!(world.edges_using(0), 0, "seed {seed}");
    }
}

#[test]
fn an_observer_that_starts_with_partitioned_seeds_is_not_ready_and_finds_the_majority_through_peer_sampling()
 {
    for seed in 0..10 {
        let mut world = World::new(seed, 4, 2, 12);
        world.run(seconds(8));
        world.partition_cores(3, 0);
        world.partition_cores(3, 1);
        world.partition_cores(3, 2);
        world.run_for(seconds(1));
        // Machine 3 knows no other member, like a machine that restarts after all other core machines were replaced.
        let alone = view(1, false, vec![core_address(3)]);
        world.set_view(3, alone);
        for core in 0..3 {
            let members = (0..3).map(core_address).collect();
            world.set_view(core, view(2, true, members));
        }
        world.commit_configuration_at(&[0, 1, 2], 9);
        world.restart_edge(0, vec![core_address(3)]);
        world.run_for(seconds(4));
        assert!(
            !world.edges[0].watcher.has_reached_current_state(),
            "seed {seed}: ready with an old configuration"
        );
        assert!(
            world.edges[0].watcher.is_disconnected(world.now),
            "seed {seed}: not disconnected"
        );
        world.edges[0]
            .watcher
            .set_sampled_machines(vec![core_address(1)]);
        world.run_for(seconds(3));
        assert!(
            world.edges[0].watcher.has_reached_current_state(),
            "seed {seed}"
        );
        assert_eq!(world.edges[0].configuration, 9, "seed {seed}");
    }
}

#[test]
fn a_disconnected_observer_polls_every_machine_in_turn() {
    // The partitioned machines have the best ranks, and there are more of them than are polled concurrently.
    let mut world = World::new(1, 19, 2, 12);
    world.run(seconds(8));
    let minority: Vec<usize> = cores_by_rank(&world, 0)[..9].to_vec();
    partition(&mut world, &minority);
    let majority: Vec<usize> = (0..19).filter(|core| !minority.contains(core)).collect();
    world.commit_configuration_at(&majority, 9);
    world.run_for(seconds(2) + PROPAGATION_BOUND);
    assert_eq!(world.edges[0].configuration, 9);
}

/// Partitions core machine 0 from every observer, and from the other core machines in the directions that
/// `can_receive` and `can_send` exclude.
fn partition_core_and_observers(world: &mut World, can_receive: bool, can_send: bool) {
    for other in 1..world.cores.len() {
        if !can_receive {
            world.partitions.insert((Node::Core(other), Node::Core(0)));
        }
        if !can_send {
            world.partitions.insert((Node::Core(0), Node::Core(other)));
        }
    }
    for edge in 0..world.edges.len() {
        world.partitions.insert((Node::Core(0), Node::Edge(edge)));
    }
}

#[test]
fn departures_first_sent_to_a_partitioned_machine_reach_every_observer() {
    for seed in 0..20 {
        for (can_receive, can_send) in [(false, false), (true, false), (false, true)] {
            let mut world = World::new(seed, 3, 6, 12);
            world.run(seconds(8));
            partition_core_and_observers(&mut world, can_receive, can_send);
            // Machine 0 has not yet detected that it is partitioned.
            world.drain(0, 0);
            world.deregister_replica(1, 0);
            while world.replicas[0].drained_at.is_none()
                || world.replicas[1].deregistered_at.is_none()
            {
                world.run_for(millis(1));
                assert!(world.now < seconds(11), "seed {seed}: not acknowledged");
            }
            world.run_for(millis(50));
            let case = format!("seed {seed}, can receive {can_receive}, can send {can_send}");
            assert_eq!(world.edges_using(0) + world.edges_using(1), 0, "{case}");
            world.run_for(seconds(20));
            assert_eq!(world.edges_using(0) + world.edges_using(1), 0, "{case}");
        }
    }
}

#[test]
fn replicas_that_call_a_partitioned_machine_first_stay_registered_at_all_others() {
    for seed in 0..5 {
        // Machine 3 is not a voter, so the others remove it from the members as soon as its batches stop.
        let mut world = World::new(seed, 4, 6, 12);
        world.run(seconds(8));
        (0..4).for_each(|replica| world.replicas[replica].first_core = Some(3));
        (0..3).for_each(|core| world.partition_cores(3, core));
        world.run_for(seconds(1));
        let voters: Vec<_> = (0..3).map(core_address).collect();
        for core in 0..4 {
            let members = voters
                .iter()
                .copied()
                .chain((core == 3).then(|| core_address(3)))
                .collect();
            let voters = voters.clone();
            world.set_view(
                core,
                ViewSummary {
                    epoch: 1,
                    in_quorum: core < 3,
                    voters,
                    core_machines: members,
                },
            );
        }
        let until = world.now + seconds(20);
        world.run_checked(until, |world| {
            for edge in 1..6 {
                let present = world.edges[edge].watcher.table().replicas().len();
                assert_eq!(present, 12, "seed {seed} at {:?}", world.now);
            }
        });
    }
}

fn core_state(core: usize) -> CoreState {
    let identity = CoreIdentity {
        incarnation: 1 + core as u64,
        address: core_address(core),
        seeds: vec![core_address(core)],
        heartbeat_interval: HEARTBEAT,
        reuse_after: seconds(2),
    };
    CoreState::new(Duration::ZERO, identity)
}

/// A registry may need several responses. Guards against a machine that lacks departures for good, in memory and on
/// disk, because its peer failed to answer after the first response.
#[test]
fn a_registry_of_which_only_the_first_part_was_received_is_requested_again() {
    let (mut sender, mut receiver) = (core_state(0), core_state(1));
    for replica in 0..MAX_STATUSES + 1 {
        sender
            .deregister(seconds(1), &format!("r{replica}"))
            .unwrap();
    }
    let first_batch = sender.next_batch(seconds(1)).expect("a batch is due");
    receiver.receive(seconds(1), first_batch);
    receiver.take_incomplete_peers();
    let known = receiver.version_of_peer(core_address(0));
    let first_part = sender.registry_since(seconds(1), known);
    assert!(first_part.has_more);
    receiver.merge_registry(seconds(1), core_address(0), first_part);
    // The request for the second part fails.
    let next_batch = sender.next_batch(seconds(3)).expect("a batch is due");
    receiver.receive(seconds(3), next_batch);
    assert!(receiver.has_incomplete_peers(), "the rest is requested");
    receiver.take_incomplete_peers();
    let known = receiver.version_of_peer(core_address(0));
    let second_part = sender.registry_since(seconds(3), known);
    assert!(!second_part.has_more);
    receiver.merge_registry(seconds(3), core_address(0), second_part);
    let last_batch = sender.next_batch(seconds(5)).expect("a batch is due");
    receiver.receive(seconds(5), last_batch);
    assert!(!receiver.has_incomplete_peers());
}

#[test]
fn heartbeats_beyond_the_refusal_limit_are_acknowledged_out_of_quorum() {
    let mut state = core_state(0);
    let view = view(1, false, vec![core_address(0), core_address(1)]);
    let refused = (0..10_000)
        .filter(|_| !state.may_acknowledge(millis(500), HeartbeatOutcome::Unchanged, &view))
        .count();
    assert_eq!(
        refused, 200,
        "only a bounded number of heartbeats is left unacknowledged"
    );
    assert!(
        !state.may_acknowledge(millis(1600), HeartbeatOutcome::Unchanged, &view),
        "the limit applies to each second"
    );
    assert!((0..10_000).all(|_| !state.may_acknowledge(
        millis(1600),
        HeartbeatOutcome::Changed,
        &view
    )));
    assert!(state.start_departure(millis(1600), &view).is_none());
}

fn wait_until(until: Duration) -> DepartureDecision {
    DepartureDecision::Wait { until }
}

#[test]
fn a_departure_waits_for_a_majority_of_the_voters_and_not_of_the_members() {
    let voters: Vec<_> = (0..3).map(core_address).collect();
    let members: Vec<_> = (0..9).map(core_address).collect();
    let view = ViewSummary {
        epoch: 1,
        in_quorum: true,
        voters,
        core_machines: members.clone(),
    };
    let mut notification =
        DepartureNotification::new(Duration::ZERO, core_address(8), &members[..8], &view);
    (3..8).for_each(|core| notification.record_confirmation(core_address(core)));
    notification.record_confirmation(core_address(0));
    notification.record_confirmation(core_address(0));
    assert_eq!(
        notification.decision(millis(400)),
        wait_until(MAJORITY_TIMEOUT)
    );
    assert_eq!(
        notification.decision(MAJORITY_TIMEOUT),
        DepartureDecision::Unconfirmed
    );
    notification.record_confirmation(core_address(1));
    assert_eq!(
        notification.decision(millis(100)),
        wait_until(ALL_MACHINES_TIMEOUT)
    );
    assert_eq!(
        notification.decision(ALL_MACHINES_TIMEOUT),
        DepartureDecision::Acknowledged
    );
    notification.record_confirmation(core_address(2));
    assert_eq!(
        notification.decision(millis(100)),
        wait_until(ALL_MACHINES_TIMEOUT),
        "this machine's own disk does not have it yet"
    );
    notification.record_confirmation(core_address(8));
    assert_eq!(
        notification.decision(millis(100)),
        DepartureDecision::Acknowledged
    );
}
