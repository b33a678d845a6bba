//! How long the core takes no writes after the loss of a member, on simulated time.

mod simulation;

use std::time::Duration;

use simulation::world::World;
use woadreach_chain::ProposalReason;

/// Longest time from the loss of a member to the next acknowledgement.
const LONGEST_GAP: Duration = Duration::from_millis(1200);

/// Runs of each case.
const RUNS: u64 = 40;

/// A calm world of three machines whose operators write; returns the chain's members by position.
fn calm_world(seed: u64) -> (World, Vec<usize>) {
    let mut world = World::new(seed, 3, 0, 1, None);
    world.are_faults_over = true;
    world.operators.retry_timeout = Duration::from_millis(30);
    world.operators.are_orderly = true;
    world.run_until(Duration::from_secs(6));
    let member = world.nodes[0].member.as_ref().expect("it runs");
    let chain = member.durable().view.chain.clone();
    let index = |address| world.nodes.iter().position(|node| node.address == address);
    let positions = chain
        .iter()
        .filter_map(|member| index(member.address))
        .collect();
    (world, positions)
}

fn gap_after(seed: u64, position: usize, inject_next_fault: fn(&mut World, usize)) -> Duration {
    let (mut world, chain) = calm_world(seed);
    assert_eq!(chain.len(), 3);
    let affected = world.now;
    inject_next_fault(&mut world, chain[position]);
    let before = world.history.acknowledged;
    while world.history.acknowledged == before && world.now < affected + Duration::from_secs(5) {
        let next = world.now + Duration::from_millis(10);
        world.run_until(next);
    }
    world.now - affected
}

fn longest_gap(position: usize, inject_next_fault: fn(&mut World, usize)) -> Duration {
    let gap = (1..=RUNS)
        .map(|seed| gap_after(seed, position, inject_next_fault))
        .max()
        .expect("runs");
    println!("longest of {RUNS} runs at position {position}: {gap:?}");
    gap
}

#[test]
fn writes_go_on_soon_after_a_kill_of_the_head() {
    let gap = longest_gap(0, World::kill);
    assert!(gap <= LONGEST_GAP, "{gap:?}");
}

#[test]
fn writes_go_on_soon_after_a_kill_of_the_middle_member() {
    let gap = longest_gap(1, World::kill);
    assert!(gap <= LONGEST_GAP, "{gap:?}");
}

#[test]
fn writes_go_on_soon_after_a_kill_of_the_tail() {
    let gap = longest_gap(2, World::kill);
    assert!(gap <= LONGEST_GAP, "{gap:?}");
}

#[test]
fn writes_go_on_soon_after_a_freeze() {
    let gap = longest_gap(1, |world, node| world.freeze(node, Duration::from_secs(4)));
    assert!(gap <= LONGEST_GAP, "{gap:?}");
}

#[test]
fn a_member_whose_disk_stalls_leaves_the_chain() {
    let gap = longest_gap(1, |world, node| world.nodes[node].is_disk_stalled = true);
    // It is noticed after a second without a sync.
    assert!(gap <= LONGEST_GAP + Duration::from_secs(1), "{gap:?}");
}

#[test]
fn those_that_stay_suspect_a_killed_member_and_propose_a_view_without_it() {
    let (mut world, chain) = calm_world(1);
    let (killed, witness) = (chain[2], chain[0]);
    let lost = world.nodes[killed].address;
    let epoch = |world: &World| {
        let member = world.nodes[witness].member.as_ref().expect("it runs");
        member.status(world.now).epoch
    };
    let before = epoch(&world);
    world.proposals.clear();
    world.kill(killed);
    let mut suspected = Vec::new();
    while epoch(&world) == before {
        let next = world.now + Duration::from_millis(5);
        world.run_until(next);
        let member = world.nodes[witness].member.as_ref().expect("it runs");
        let status = member.status(world.now);
        if status.epoch == before {
            suspected = status.suspected_voters;
        }
        assert!(world.now < Duration::from_secs(20), "no view follows");
    }
    assert_eq!(suspected, [lost]);
    let proposal = world.proposals[0];
    assert_eq!(
        (proposal.epoch, proposal.reason),
        (before, ProposalReason::ChainBroken)
    );
}
