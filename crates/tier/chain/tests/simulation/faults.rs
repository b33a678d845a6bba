//! Faults that are drawn from a seed, within the failures that the core must tolerate.

use std::time::Duration;

use super::event::Event;
use super::history::Violation;
use super::stops;
use super::world::{InjectedBug, World};

/// Time after its restart during which a machine still counts as failed, since it has to catch up.
pub(crate) const CATCH_UP_TIME: Duration = Duration::from_millis(4100);
/// Longest interval between two faults.
const MAX_INTERVAL: Duration = Duration::from_millis(1500);

/// Longest duration of a state transfer, as for a state of 4 MB on a slow link.
const MAX_TRANSFER_TIME: Duration = Duration::from_millis(400);

/// Kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    Kill,
    PowerLoss,
    Wipe,
    Freeze,
    Partition,
    AsymmetricPartition,
    Loss,
    SlowDisk,
    StalledDisk,
    KillAll,
    RollingRestart,
    /// Machines are replaced by new ones with empty disks, which start before the old ones are stopped.
    Replace,
}

const FAULTS: [Fault; 10] = [
    Fault::Kill,
    Fault::PowerLoss,
    Fault::Wipe,
    Fault::Freeze,
    Fault::Partition,
    Fault::AsymmetricPartition,
    Fault::Loss,
    Fault::SlowDisk,
    Fault::StalledDisk,
    Fault::KillAll,
];

/// Planned maintenance, and the faults that may occur beside it.
const MAINTENANCE: [Fault; 5] = [
    Fault::RollingRestart,
    Fault::Replace,
    Fault::Replace,
    Fault::Wipe,
    Fault::Kill,
];

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Run {
    pub seed: u64,
    pub nodes: usize,
    /// Number of zones, of which one may fail; 0 without zones.
    pub zones: usize,
    /// Number of machines that may fail at once.
    pub fault_tolerance: usize,
    /// Duration of the period in which faults occur.
    pub length: Duration,
    pub bug: Option<InjectedBug>,
}

/// Result of a run.
#[derive(Debug)]
pub(crate) struct RunResult {
    pub violations: Vec<Violation>,
    pub acknowledged: u64,
    pub history: String,
}

/// Simulates a run with faults and checks it.
pub(crate) fn simulate(run: Run) -> RunResult {
    let world = World::new(run.seed, run.nodes, run.zones, run.fault_tolerance, run.bug);
    simulate_world(world, run.length)
}

/// Simulates a new world with faults for `length`, and checks it.
pub(crate) fn simulate_world(world: World, length: Duration) -> RunResult {
    simulate_fault_kinds(world, length, &FAULTS)
}

/// Simulates a run in which machines are repeatedly stopped and replaced, while a state transfer takes up to
/// [`MAX_TRANSFER_TIME`], and checks it.
pub(crate) fn simulate_maintenance(run: Run) -> RunResult {
    let mut world = World::new(run.seed, run.nodes, run.zones, run.fault_tolerance, run.bug);
    world.longest_transfer = MAX_TRANSFER_TIME;
    simulate_fault_kinds(world, run.length, &MAINTENANCE)
}

fn simulate_fault_kinds(mut world: World, length: Duration, kinds: &'static [Fault]) -> RunResult {
    world.fault_kinds = kinds;
    let first = Duration::from_millis(1500) + world.random_duration(MAX_INTERVAL);
    world.schedule(first, Event::Fault);
    let end = world.now + length;
    world.run_until(end);
    world.are_faults_over = true;
    if world.random_bool(0.3) {
        final_fault(&mut world);
    }
    finish(world)
}

/// Ends all faults, checks that writes succeed again, and checks the history.
pub(super) fn finish(mut world: World) -> RunResult {
    world.operators.is_stopped = true;
    world.trace(|| "healed".to_owned());
    world.heal();
    let settle = world.now + Duration::from_secs(6);
    world.run_until(settle);
    world.operators.is_stopped = false;
    let before = world.history.acknowledged;
    let end = world.now + Duration::from_secs(5);
    world.run_until(end);
    if world.history.acknowledged == before {
        world.history.report(Violation::NoProgress);
    }
    world.operators.is_stopped = true;
    let end = world.now + Duration::from_secs(5);
    world.run_until(end);
    let members = world.nodes.iter().filter_map(|node| node.member.as_ref());
    let last = members
        .map(|member| member.published().clone())
        .max_by_key(|state| state.position);
    let last = last.expect("machines run");
    RunResult {
        violations: world.history.check(&last),
        acknowledged: world.history.acknowledged,
        history: world.history.describe(),
    }
}

/// Shortly after an acknowledgement, wipes as many machines as may fail, and kills the others.
fn final_fault(world: &mut World) {
    world.heal();
    let settled_at =
        world.maintenance_ends_at.max(world.now + CATCH_UP_TIME) + Duration::from_secs(2);
    let deadline = settled_at + Duration::from_secs(3);
    world.run_until(settled_at);
    let before = world.history.newly_applied;
    while world.history.newly_applied == before && world.now < deadline {
        let next = world.now + Duration::from_millis(1);
        world.run_until(next);
    }
    if world.random_bool(0.5) {
        let delay = Duration::from_millis(5) + world.random_duration(Duration::from_millis(395));
        let next = world.now + delay;
        world.run_until(next);
    }
    let present = world.present();
    let first = world.random_index(present.len());
    for offset in 0..present.len() {
        let node = present[(first + offset) % present.len()];
        if offset < world.fault_tolerance {
            world.wipe(node);
        } else {
            world.kill(node);
        }
        let delay = world.random_duration(Duration::from_secs(1));
        world.schedule(delay, Event::Start { node });
    }
    let back = world.now + Duration::from_millis(1100);
    world.run_until(back);
}

/// Injects the next fault and schedules the one after it, unless faults are over.
pub(crate) fn inject_next_fault(world: &mut World) {
    if world.are_faults_over {
        return;
    }
    let kind = world.fault_kinds[world.random_index(world.fault_kinds.len())];
    let length = Duration::from_millis(50) + world.random_duration(Duration::from_millis(2500));
    if let Some(over) = begin_maintenance(world, kind) {
        world.maintenance_ends_at = world.now + over;
        let interval = over + world.random_duration(MAX_INTERVAL);
        return world.schedule(interval, Event::Fault);
    }
    inject(world, kind, length);
    // The next fault begins once every machine that this one has affected, also by message loss, has had time to
    // catch up. Until then, such machines count as failed.
    world.schedule(length, Event::EndFault);
    let interval = length + CATCH_UP_TIME + world.random_duration(MAX_INTERVAL);
    world.schedule(interval, Event::Fault);
}

/// Begins planned maintenance and returns its duration; `None` if `kind` is a fault.
fn begin_maintenance(world: &mut World, kind: Fault) -> Option<Duration> {
    match kind {
        Fault::RollingRestart => Some(stops::rolling_restart(world)),
        Fault::Replace => {
            let count = 1 + world.random_index(2);
            Some(stops::replace(world, count))
        }
        _ => None,
    }
}

fn inject(world: &mut World, kind: Fault, length: Duration) {
    world.trace(|| format!("fault {kind:?} for {length:?}"));
    let affected = draw_machines(world, kind);
    match kind {
        Fault::KillAll => {
            for node in world.present() {
                world.kill(node);
                let delay = world.random_duration(Duration::from_millis(900));
                world.schedule(delay, Event::Start { node });
            }
        }
        Fault::Loss => world.loss = 0.02 + 0.3 * world.random.rand_float(),
        Fault::Kill | Fault::PowerLoss | Fault::Wipe => {
            for &node in &affected {
                if kind == Fault::Wipe {
                    world.wipe(node);
                } else {
                    world.kill(node);
                }
                world.schedule(length, Event::Start { node });
            }
        }
        Fault::Freeze => affected.iter().for_each(|&node| world.freeze(node, length)),
        Fault::Partition | Fault::AsymmetricPartition => {
            inject_partition(world, &affected, kind == Fault::AsymmetricPartition)
        }
        Fault::SlowDisk => affected
            .iter()
            .for_each(|&node| world.nodes[node].disk_factor = 30),
        Fault::RollingRestart | Fault::Replace => {}
        Fault::StalledDisk => affected
            .iter()
            .for_each(|&node| world.nodes[node].is_disk_stalled = true),
    }
}

/// Draws up to as many machines as may fail, or a whole zone of machines unless the fault is a wipe.
fn draw_machines(world: &mut World, kind: Fault) -> Vec<usize> {
    let present = world.present();
    let first = world.random_index(present.len());
    if world.zones > 0 && kind != Fault::Wipe && world.random_bool(0.6) {
        let zone = present[first] % world.zones;
        return present
            .into_iter()
            .filter(|node| node % world.zones == zone)
            .collect();
    }
    let count = 1 + world.random_index(world.fault_tolerance);
    (0..count)
        .map(|offset| present[(first + offset) % present.len()])
        .collect()
}

/// Ends partitions, message loss, and slow and stalled disks.
pub(crate) fn end_lasting_faults(world: &mut World) {
    world.partitioned_links.clear();
    world.loss = 0.0;
    for node in &mut world.nodes {
        node.disk_factor = 1;
        node.is_disk_stalled = false;
    }
}

fn inject_partition(world: &mut World, affected: &[usize], one_way: bool) {
    let is_outward = world.random_bool(0.5);
    partition(world, affected, one_way, is_outward);
}

/// Partitions the links between machines and all others, in one or both directions. Links that are already
/// partitioned remain so.
pub(super) fn partition(world: &mut World, affected: &[usize], one_way: bool, is_outward: bool) {
    for &node in affected {
        for other in (0..world.nodes.len()).filter(|other| !affected.contains(other)) {
            let links = &mut world.partitioned_links;
            match (one_way, is_outward) {
                (false, _) => links.insert_both_ways(node, other),
                (true, true) => links.insert((node, other)),
                (true, false) => links.insert((other, node)),
            }
        }
    }
}
