//! Members whose views are out of date decide no view if only they restart. Once a majority of the newest voters
//! runs, they catch up, and no acknowledged change is lost.

mod simulation;

use std::collections::BTreeSet;
use std::time::Duration;

use simulation::world::World;
use woadreach_chain::{ControlState, View};

/// Runs of each case.
const RUNS: u64 = 20;
const TIMEOUT: Duration = Duration::from_secs(30);

fn run_until(world: &mut World, what: &str, is_done: impl Fn(&World) -> bool) {
    let end = world.now + TIMEOUT;
    while !is_done(world) {
        assert!(world.now < end, "{what}");
        let next = world.now + Duration::from_millis(10);
        world.run_until(next);
    }
}

fn newest_view(world: &World) -> View {
    let members = world.nodes.iter().filter_map(|node| node.member.as_ref());
    members
        .map(|member| member.durable().view.clone())
        .max_by_key(|view| view.epoch)
        .expect("a member")
}

fn voters(world: &World) -> BTreeSet<usize> {
    let view = newest_view(world);
    let is_voter = |node: &usize| {
        let address = world.nodes[*node].address;
        view.voters.iter().any(|voter| voter.address == address)
    };
    (0..world.nodes.len()).filter(is_voter).collect()
}

/// Kills a voter and waits until another machine has replaced it. Returns the killed machine.
fn replace_voter(world: &mut World) -> usize {
    let before = voters(world);
    let replaced = *before.first().expect("voters");
    world.kill(replaced);
    run_until(world, "the killed voter was not replaced", |world| {
        !voters(world).contains(&replaced)
    });
    let acknowledged = world.history.acknowledged;
    run_until(world, "no writes without the killed voter", |world| {
        world.history.acknowledged > acknowledged + 3
    });
    replaced
}

/// Five machines that tolerate one failure, after two voters were replaced one after the other. No process is
/// running. Returns the replaced machines too.
fn with_two_voters_replaced(seed: u64) -> (World, [usize; 2]) {
    let mut world = World::new(seed, 5, 0, 1, None);
    world.are_faults_over = true;
    world.operators.retry_timeout = Duration::from_millis(30);
    run_until(&mut world, "the core did not start", |world| {
        world.history.acknowledged > 3
    });
    let replaced = [replace_voter(&mut world), replace_voter(&mut world)];
    for node in 0..world.nodes.len() {
        world.kill(node);
    }
    (world, replaced)
}

fn check(world: &mut World, seed: u64) {
    world.heal();
    let acknowledged = world.history.acknowledged;
    run_until(
        world,
        "no writes after all machines had restarted",
        |world| world.history.acknowledged > acknowledged + 3,
    );
    let states = world.nodes.iter().filter_map(|node| node.member.as_ref());
    let last = states
        .map(|member| member.published().clone())
        .max_by_key(|state| state.position);
    let last = last
        .map(|state| ControlState::clone(&state))
        .expect("a state");
    let violations = world.history.check(&last);
    assert!(violations.is_empty(), "seed {seed}: {violations:?}");
}

#[test]
fn members_with_old_views_alone_decide_no_view() {
    for seed in 1..=RUNS {
        let (mut world, replaced) = with_two_voters_replaced(seed);
        let acknowledged = world.history.acknowledged;
        let mut newest = 0;
        for node in replaced {
            world.start(node);
            newest = newest.max(newest_view(&world).epoch);
        }
        let end = world.now + Duration::from_secs(10);
        world.run_until(end);
        assert_eq!(
            newest_view(&world).epoch,
            newest,
            "seed {seed}: a view was decided"
        );
        assert_eq!(
            world.history.acknowledged, acknowledged,
            "seed {seed}: a change was acknowledged"
        );
        check(&mut world, seed);
    }
}

/// Shows that the test above would detect a decided view and an acknowledged change.
#[test]
fn a_majority_of_the_newest_voters_accepts_writes() {
    for seed in 1..=RUNS {
        let (mut world, replaced) = with_two_voters_replaced(seed);
        let acknowledged = world.history.acknowledged;
        for node in 0..world.nodes.len() {
            if !replaced.contains(&node) {
                world.start(node);
            }
        }
        run_until(&mut world, "no writes by the newest voters", |world| {
            world.history.acknowledged > acknowledged + 3
        });
        check(&mut world, seed);
    }
}
