//! Long partitions of one machine, of as many as may be lost, or of the link between two: in both directions
//! or in one; with restarts, power loss and freezes of the isolated machines. Operators send to both sides,
//! and must be answered all the time.

use std::time::Duration;

use super::faults::{Finding, finish, partition};
use super::history::Violation;
use super::world::{InjectedBug, World};

/// A machine that reports to be in quorum has every configuration that was acknowledged longer ago than this.
const MAX_LAG: Duration = Duration::from_millis(1500);
/// How often the machines' reports are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time after the partition within which the others take changes again.
const FAILOVER_TIMEOUT: Duration = Duration::from_secs(3);
/// Time within which an order is answered while a majority is connected.
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

/// Plays a run and checks it.
pub(crate) fn play(run: PartitionRun) -> Finding {
    let mut world = World::new(run.seed, run.nodes, 0, run.fault_tolerance, run.bug);
    world.are_faults_over = true;
    let calm = Duration::from_secs(5) + world.random_duration(Duration::from_secs(1));
    run_watched(&mut world, calm);
    let first = world.pick(run.nodes);
    let count = 1 + world.pick(run.fault_tolerance);
    let affected: Vec<usize> = (0..count)
        .map(|offset| (first + offset) % run.nodes)
        .collect();
    let (is_one_way, is_outward) = (world.chance(0.6), world.chance(0.5));
    let is_link = world.chance(0.3);
    world.trace(|| {
        format!("{affected:?} cut off, link {is_link}, one way {is_one_way}, outward {is_outward}")
    });
    if is_link {
        let other = (first + count) % run.nodes;
        partition_link(&mut world, first, other, is_one_way);
    } else {
        partition(&mut world, &affected, is_one_way, is_outward);
    }
    run_watched(&mut world, FAILOVER_TIMEOUT);
    let end = world.now + Duration::from_secs(8) + world.random_duration(Duration::from_secs(14));
    while world.now < end {
        // With a single failed link all machines take part, so none of them may be lost besides.
        if !is_link {
            disturb_one(&mut world, &affected);
        }
        let interval = world.random_duration(MAX_INTERVAL).min(end - world.now);
        run_answered(&mut world, interval);
    }
    world.trace(|| "the partition ends".to_owned());
    world.partitioned_links.clear();
    run_watched(&mut world, Duration::from_secs(4));
    finish(world)
}

/// Cuts the machines into two halves, drawn by lot, for two to ten seconds, and checks the run. Operators reach both
/// halves meanwhile, and machines of either may restart.
pub(crate) fn play_halves(run: PartitionRun) -> Finding {
    let mut world = World::new(run.seed, run.nodes, 0, run.fault_tolerance, run.bug);
    world.are_faults_over = true;
    let calm = Duration::from_secs(5) + world.random_duration(Duration::from_secs(1));
    run_watched(&mut world, calm);
    let first = world.pick(run.nodes);
    let half: Vec<usize> = (0..run.nodes / 2)
        .map(|offset| (first + offset) % run.nodes)
        .collect();
    let others: Vec<usize> = (0..run.nodes).filter(|node| !half.contains(node)).collect();
    world.trace(|| format!("{half:?} cut off from {others:?}"));
    for &one in &half {
        for &other in &others {
            world.partitioned_links.insert_both_ways(one, other);
        }
    }
    let end = world.now + Duration::from_secs(2) + world.random_duration(Duration::from_secs(8));
    while world.now < end {
        let side = if world.chance(0.5) { &half } else { &others };
        if world.chance(0.3) {
            disturb_one(&mut world, side);
        }
        let length = world.random_duration(MAX_INTERVAL).min(end - world.now);
        run_watched(&mut world, length);
    }
    world.trace(|| "the partition ends".to_owned());
    world.partitioned_links.clear();
    run_watched(&mut world, Duration::from_secs(4));
    finish(world)
}

fn partition_link(world: &mut World, one: usize, two: usize, is_one_way: bool) {
    if is_one_way {
        world.partitioned_links.insert((one, two));
    } else {
        world.partitioned_links.insert_both_ways(one, two);
    }
}

/// Runs on, and reports a violation if no order is answered meanwhile.
fn run_answered(world: &mut World, length: Duration) {
    let end = world.now + length;
    let start = world.now;
    while world.now < end {
        let step = CHECK_INTERVAL.min(end - world.now);
        run_watched(world, step);
        let last = world.history.last_answered_at.unwrap_or_default();
        if world.now.saturating_sub(last.max(start)) > ANSWER_TIMEOUT {
            return world.history.report(Violation::NoAnswers);
        }
    }
}

/// One of the isolated machines restarts, loses power, freezes for a while, or goes on.
fn disturb_one(world: &mut World, affected: &[usize]) {
    let node = affected[world.pick(affected.len())];
    match world.pick(4) {
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

/// Runs on, and checks what every machine reports of itself.
fn run_watched(world: &mut World, length: Duration) {
    let end = world.now + length;
    while world.now < end {
        let next = (world.now + CHECK_INTERVAL).min(end);
        world.run_until(next);
        check_reports(world);
    }
}

fn check_reports(world: &mut World) {
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
            world.history.claimed_current(index, published, moment);
        }
    }
}
