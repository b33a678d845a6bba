//! Long partitions of up to as many machines as may fail, or of the link between two machines, in one or both
//! directions, with restarts, power loss and freezes of the isolated machines. Operators send to both sides and
//! must always be answered.

use std::time::Duration;

use super::faults::{RunResult, finish, partition};
use super::history::Violation;
use super::world::{InjectedBug, World};

/// A machine that reports to be in quorum must have every configuration that was acknowledged longer ago than this.
const MAX_LAG: Duration = Duration::from_millis(1500);
/// Interval between checks of the machines' reports.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time after the start of the partition within which the other machines must accept changes again.
const FAILOVER_TIMEOUT: Duration = Duration::from_secs(3);
/// Time within which an operation must be answered while a majority is connected.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);
/// Longest interval between two events at isolated machines.
const MAX_INTERVAL: Duration = Duration::from_secs(6);

/// A run with one long partition.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PartitionRun {
    pub seed: u64,
    pub nodes: usize,
    pub fault_tolerance: usize,
    pub bug: Option<InjectedBug>,
}

/// Simulates a run and checks it.
pub(crate) fn simulate(run: PartitionRun) -> RunResult {
    let mut world = World::new(run.seed, run.nodes, 0, run.fault_tolerance, run.bug);
    world.are_faults_over = true;
    let fault_free = Duration::from_secs(5) + world.random_duration(Duration::from_secs(1));
    run_with_quorum_checks(&mut world, fault_free);
    let first = world.random_index(run.nodes);
    let count = 1 + world.random_index(run.fault_tolerance);
    let affected: Vec<usize> = (0..count)
        .map(|offset| (first + offset) % run.nodes)
        .collect();
    let (is_one_way, is_outward) = (world.random_bool(0.6), world.random_bool(0.5));
    let is_link = world.random_bool(0.3);
    world.trace(|| {
        format!(
            "{affected:?} partitioned, link {is_link}, one way {is_one_way}, outward {is_outward}"
        )
    });
    if is_link {
        let other = (first + count) % run.nodes;
        partition_link(&mut world, first, other, is_one_way);
    } else {
        partition(&mut world, &affected, is_one_way, is_outward);
    }
    run_with_quorum_checks(&mut world, FAILOVER_TIMEOUT);
    let end = world.now + Duration::from_secs(8) + world.random_duration(Duration::from_secs(14));
    while world.now < end {
        // If a single link is partitioned, all machines are still in use, so no other machine may fail in addition.
        if !is_link {
            inject_fault_into_one(&mut world, &affected);
        }
        let interval = world.random_duration(MAX_INTERVAL).min(end - world.now);
        run_with_answer_checks(&mut world, interval);
    }
    world.trace(|| "the partition ends".to_owned());
    world.partitioned_links.clear();
    run_with_quorum_checks(&mut world, Duration::from_secs(4));
    finish(world)
}

/// Simulates a run in which two halves of the machines, drawn at random, are partitioned from each other for two to
/// ten seconds, and checks it. Operators send to both halves, and machines of either half may restart or freeze.
pub(crate) fn simulate_halves(run: PartitionRun) -> RunResult {
    let mut world = World::new(run.seed, run.nodes, 0, run.fault_tolerance, run.bug);
    world.are_faults_over = true;
    let fault_free = Duration::from_secs(5) + world.random_duration(Duration::from_secs(1));
    run_with_quorum_checks(&mut world, fault_free);
    let first = world.random_index(run.nodes);
    let half: Vec<usize> = (0..run.nodes / 2)
        .map(|offset| (first + offset) % run.nodes)
        .collect();
    let others: Vec<usize> = (0..run.nodes).filter(|node| !half.contains(node)).collect();
    world.trace(|| format!("{half:?} partitioned from {others:?}"));
    for &one in &half {
        for &other in &others {
            world.partitioned_links.insert_both_ways(one, other);
        }
    }
    let end = world.now + Duration::from_secs(2) + world.random_duration(Duration::from_secs(8));
    while world.now < end {
        let side = if world.random_bool(0.5) {
            &half
        } else {
            &others
        };
        if world.random_bool(0.3) {
            inject_fault_into_one(&mut world, side);
        }
        let length = world.random_duration(MAX_INTERVAL).min(end - world.now);
        run_with_quorum_checks(&mut world, length);
    }
    world.trace(|| "the partition ends".to_owned());
    world.partitioned_links.clear();
    run_with_quorum_checks(&mut world, Duration::from_secs(4));
    finish(world)
}

fn partition_link(world: &mut World, one: usize, two: usize, is_one_way: bool) {
    if is_one_way {
        world.partitioned_links.insert((one, two));
    } else {
        world.partitioned_links.insert_both_ways(one, two);
    }
}

/// Runs for `length`, and reports a violation if no operation is answered for [`ANSWER_TIMEOUT`].
fn run_with_answer_checks(world: &mut World, length: Duration) {
    let end = world.now + length;
    let start = world.now;
    while world.now < end {
        let step = CHECK_INTERVAL.min(end - world.now);
        run_with_quorum_checks(world, step);
        let last = world.history.last_answered_at.unwrap_or_default();
        if world.now.saturating_sub(last.max(start)) > ANSWER_TIMEOUT {
            return world.history.report(Violation::NoAnswers);
        }
    }
}

/// Kills and restarts, freezes or leaves alone one of the machines `affected`, which is drawn at random.
fn inject_fault_into_one(world: &mut World, affected: &[usize]) {
    let node = affected[world.random_index(affected.len())];
    match world.random_index(4) {
        0 => {
            world.kill(node);
            let delay = world.random_duration(Duration::from_secs(2));
            world.schedule(delay, super::event::Event::Start { node });
        }
        1 => {
            let length = world.random_duration(Duration::from_secs(4));
            world.freeze(node, length);
        }
        _ => {}
    }
}

/// Runs for `length`, and repeatedly checks each machine's report that it is in quorum.
fn run_with_quorum_checks(world: &mut World, length: Duration) {
    let end = world.now + length;
    while world.now < end {
        let next = (world.now + CHECK_INTERVAL).min(end);
        world.run_until(next);
        check_quorum_reports(world);
    }
}

fn check_quorum_reports(world: &mut World) {
    let now = world.now;
    let Some(moment) = now.checked_sub(MAX_LAG) else {
        return;
    };
    for index in 0..world.nodes.len() {
        if !world.is_running(index) {
            continue;
        }
        let Some(member) = &world.nodes[index].member else {
            continue;
        };
        if member.status(now).in_quorum {
            let published = member.published().generation();
            world.history.check_quorum_report(index, published, moment);
        }
    }
}
