//! Faults from a seed, within what a core must tolerate.

use std::time::Duration;

use super::event::Event;
use super::history::Violation;
use super::stops;
use super::world::{InjectedBug, World};

/// Time after its return for which a machine still counts as lost.
pub(crate) const CATCH_UP: Duration = Duration::from_millis(4100);
/// Longest interval between two faults.
const MAX_INTERVAL: Duration = Duration::from_millis(1500);

/// Longest time that a transfer of the state takes, as one of 4 MB does on a slow link.
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
    Roll,
    /// Machines are replaced by empty ones, which come first.
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

/// Planned work, and what may come on top of it.
const PLANNED: [Fault; 5] = [
    Fault::Roll,
    Fault::Replace,
    Fault::Replace,
    Fault::Wipe,
    Fault::Kill,
];

/// A run: how many machines, what they tolerate, and for how long faults occur.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Run {
    pub seed: u64,
    pub nodes: usize,
    /// Number of zones of which one may be lost; 0 if zones don't matter.
    pub zones: usize,
    pub fault_tolerance: usize,
    pub length: Duration,
    pub bug: Option<InjectedBug>,
}

/// Result of a run.
#[derive(Debug)]
pub(crate) struct Finding {
    pub violations: Vec<Violation>,
    pub acknowledged: u64,
    pub history: String,
}

/// Plays a run and checks it.
pub(crate) fn play(run: Run) -> Finding {
    let world = World::new(run.seed, run.nodes, run.zones, run.fault_tolerance, run.bug);
    play_in(world, run.length)
}

/// Plays faults for `length` in a world that has just been made, and checks it.
pub(crate) fn play_in(world: World, length: Duration) -> Finding {
    play_kinds(world, length, &FAULTS)
}

/// Plays a run in which machines are stopped and replaced again and again, with a state that takes a while to
/// be sent.
pub(crate) fn play_planned_work(run: Run) -> Finding {
    let mut world = World::new(run.seed, run.nodes, run.zones, run.fault_tolerance, run.bug);
    world.longest_transfer = MAX_TRANSFER_TIME;
    play_kinds(world, run.length, &PLANNED)
}

fn play_kinds(mut world: World, length: Duration, kinds: &'static [Fault]) -> Finding {
    world.fault_kinds = kinds;
    let first = Duration::from_millis(1500) + world.random_duration(MAX_INTERVAL);
    world.schedule(first, Event::Fault);
    let end = world.now + length;
    world.run_until(end);
    world.are_faults_over = true;
    if world.chance(0.3) {
        final_fault(&mut world);
    }
    finish(world)
}

/// Ends all faults, and checks that writes go on and that nothing was lost.
pub(super) fn finish(mut world: World) -> Finding {
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
    Finding {
        violations: world.history.check(&last),
        acknowledged: world.history.acknowledged,
        history: world.history.describe(),
    }
}

/// As many disks as may be lost are lost a moment after an acknowledgement; the others lose power.
fn final_fault(world: &mut World) {
    world.heal();
    let calm = world.planned_work_ends_at.max(world.now + CATCH_UP) + Duration::from_secs(2);
    let deadline = calm + Duration::from_secs(3);
    world.run_until(calm);
    let before = world.history.newly_taken;
    while world.history.newly_taken == before && world.now < deadline {
        let next = world.now + Duration::from_millis(1);
        world.run_until(next);
    }
    if world.chance(0.5) {
        let delay = Duration::from_millis(5) + world.random_duration(Duration::from_millis(395));
        let next = world.now + delay;
        world.run_until(next);
    }
    let present = world.present();
    let first = world.pick(present.len());
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
    let kind = world.fault_kinds[world.pick(world.fault_kinds.len())];
    let length = Duration::from_millis(50) + world.random_duration(Duration::from_millis(2500));
    if let Some(over) = planned_work(world, kind) {
        world.planned_work_ends_at = world.now + over;
        let interval = over + world.random_duration(MAX_INTERVAL);
        return world.schedule(interval, Event::Fault);
    }
    inject(world, kind, length);
    // The next fault comes when this one counts as over: machines whose links lost messages count as lost,
    // too, until they had time to catch up.
    world.schedule(length, Event::EndFault);
    let interval = length + CATCH_UP + world.random_duration(MAX_INTERVAL);
    world.schedule(interval, Event::Fault);
}

/// Begins planned work, if `kind` is that. Returns how long it takes.
fn planned_work(world: &mut World, kind: Fault) -> Option<Duration> {
    match kind {
        Fault::Roll => Some(stops::roll(world)),
        Fault::Replace => {
            let count = 1 + world.pick(2);
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
        Fault::Roll | Fault::Replace => {}
        Fault::StalledDisk => affected
            .iter()
            .for_each(|&node| world.nodes[node].is_disk_stalled = true),
    }
}

/// As many machines as may be lost, or a whole zone of them, which keeps its disks.
fn draw_machines(world: &mut World, kind: Fault) -> Vec<usize> {
    let present = world.present();
    let first = world.pick(present.len());
    if world.zones > 0 && kind != Fault::Wipe && world.chance(0.6) {
        let zone = present[first] % world.zones;
        return present
            .into_iter()
            .filter(|node| node % world.zones == zone)
            .collect();
    }
    let count = 1 + world.pick(world.fault_tolerance);
    (0..count)
        .map(|offset| present[(first + offset) % present.len()])
        .collect()
}

/// Ends partitions, loss of messages, and slow and stalled disks.
pub(crate) fn end_lasting_faults(world: &mut World) {
    world.partitioned_links.clear();
    world.loss = 0.0;
    for node in &mut world.nodes {
        node.disk_factor = 1;
        node.is_disk_stalled = false;
    }
}

fn inject_partition(world: &mut World, affected: &[usize], one_way: bool) {
    let is_outward = world.chance(0.5);
    partition(world, affected, one_way, is_outward);
}

/// Partitions machines from the others, in one direction or both. They may be partitioned already.
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
