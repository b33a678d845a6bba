//! Time without writes after the failure of a member, on simulated time.

mod simulation;

use std::time::Duration;

use simulation::world::World;
use woadreach_chain::ProposalReason;

/// Maximum time from the failure of a member to the next acknowledgement.
const LONGEST_GAP: Duration = Duration::from_millis(1200);

/// Runs of each case.
const RUNS: u64 = 40;

/// Three machines without faults whose operators write. Returns the members of the chain from head to tail too.
fn world_without_faults(seed: u64) -> (World, Vec<usize>) {
    let mut world = World::new(seed, 3, 0, 1, None);
    world.are_faults_over = true;
    world.operators.retry_timeout = Duration::from_millis(30);
    world.operators.are_sequential = true;
    world.run_until(Duration::from_secs(6));
    let member = world.nodes[0].member.as_ref().expect("a running process");
    let chain = member.durable().view.chain.clone();
    let index = |address| world.nodes.iter().position(|node| node.address == address);
    let positions = chain
        .iter()
        .filter_map(|member| index(member.address))
        .collect();
    (world, positions)
}

fn gap_after(seed: u64, position: usize, inject_fault: fn(&mut World, usize)) -> Duration {
    let (mut world, chain) = world_without_faults(seed);
    assert_eq!(chain.len(), 3);
    let affected = world.now;
    inject_fault(&mut world, chain[position]);
    let before = world.history.acknowledged;
    while world.history.acknowledged == before && world.now < affected + Duration::from_secs(5) {
        let next = world.now + Duration::from_millis(10);
        world.run_until(next);
    }
    world.now - affected
}

fn longest_gap(position: usize, inject_fault: fn(&mut World, usize)) -> Duration {
    let gap = (1..=RUNS)
        .map(|seed| gap_after(seed, position, inject_fault))
        .max()
        .expect("runs");
    println!("longest of {RUNS} runs at position {position}: {gap:?}");
    gap
}

#[test]
fn writes_resume_soon_after_the_head_is_killed() {
    let gap = longest_gap(0, World::kill);
    assert!(gap <= LONGEST_GAP, "{gap:?}");
}

#[test]
fn writes_resume_soon_after_the_middle_member_is_killed() {
    let gap = longest_gap(1, World::kill);
    assert!(gap <= LONGEST_GAP, "{gap:?}");
}

#[test]
fn writes_resume_soon_after_the_tail_is_killed() {
    let gap = longest_gap(2, World::kill);
    assert!(gap <= LONGEST_GAP, "{gap:?}");
}

#[test]
fn writes_resume_soon_after_a_member_freezes() {
    let gap = longest_gap(1, |world, node| world.freeze(node, Duration::from_secs(4)));
    assert!(gap <= LONGEST_GAP, "{gap:?}");
}

#[test]
fn writes_resume_after_the_disk_of_a_member_stalls() {
    let gap = longest_gap(1, |world, node| world.nodes[node].is_disk_stalled = true);
    // The stall is detected after a second without a sync.
    assert!(gap <= LONGEST_GAP + Duration::from_secs(1), "{gap:?}");
}

#[test]
fn a_killed_member_is_suspected_and_a_view_without_it_is_proposed() {
    let (mut world, chain) = world_without_faults(1);
    let (killed, witness) = (chain[2], chain[0]);
    let killed_address = world.nodes[killed].address;
    let epoch = |world: &World| {
        let member = world.nodes[witness]
            .member
            .as_ref()
            .expect("a running process");
        member.status(world.now).epoch
    };
    let before = epoch(&world);
    world.proposals.clear();
    world.kill(killed);
    let mut suspected = Vec::new();
    while epoch(&world) == before {
        let next = world.now + Duration::from_millis(5);
        world.run_until(next);
        let member = world.nodes[witness]
            .member
            .as_ref()
            .expect("a running process");
        let status = member.status(world.now);
        if status.epoch == before {
            suspected = status.suspected_voters;
        }
        assert!(
            world.now < Duration::from_secs(20),
            "no view was installed after that of epoch {before}"
        );
    }
    assert_eq!(suspected, [killed_address]);
    let proposal = world.proposals[0];
    assert_eq!(
        (proposal.epoch, proposal.reason),
        (before, ProposalReason::ChainBroken)
    );
}
