//! Graceful shutdown of processes, as in the driver of the core role, and replacement of machines.

use std::time::Duration;

use woadreach_chain::{ExitReadiness, Input};

use super::event::Event;
use super::faults::CATCH_UP_TIME;
use super::world::World;

/// Time from the start of the shutdown to the kill of a process that can't check whether it may exit.
const GRACE_PERIOD: Duration = Duration::from_secs(8);
/// Longest time for which a process waits until it may exit.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(5500);
/// The same if no other machine can replace this one.
const ALONE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Interval at which a process checks whether it may exit.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time from the exit of a process to its restart.
const RESTART_DELAY: Duration = Duration::from_millis(1000);
/// Longest time from the removal of a machine to the wipe of another one.
const MAX_WIPE_DELAY: Duration = Duration::from_millis(60);

/// What happens to a machine after its process was stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stop {
    /// The machine restarts with its disk.
    Restart,
    /// The machine is permanently removed together with its disk.
    Remove,
    /// The machine is permanently removed together with its disk, and another machine is wiped shortly after.
    RemoveThenWipe,
}

/// Begins the graceful shutdown of a process.
pub(crate) fn stop(world: &mut World, node: usize, stop: Stop) {
    if !world.is_running(node) || world.nodes[node].stop.is_some() {
        return;
    }
    world.trace(|| format!("node {node} shutting down: {stop:?}"));
    world.nodes[node].stop = Some((stop, world.now));
    world.input(node, Input::Leave);
    let incarnation = world.nodes[node].incarnation;
    world.schedule(Duration::ZERO, Event::CheckStop { node, incarnation });
}

/// Ends a process that may exit or whose time to shut down is over; otherwise schedules the next check.
pub(crate) fn check(world: &mut World, node: usize, incarnation: u64) {
    if world.nodes[node].incarnation != incarnation {
        return;
    }
    let Some((stop, since)) = world.nodes[node].stop else {
        return;
    };
    let waited = world.now - since;
    let now = world.now;
    let member = world.nodes[node]
        .member
        .as_ref()
        .filter(|_| world.is_running(node));
    let may_end = match member.map(|member| member.exit_readiness(now)) {
        Some(ExitReadiness::Free) => true,
        Some(ExitReadiness::NobodyStays) => waited >= ALONE_TIMEOUT,
        Some(_) => waited >= LEAVE_TIMEOUT,
        None => waited >= GRACE_PERIOD,
    };
    if may_end {
        end(world, node, stop);
    } else {
        world.schedule(POLL_INTERVAL, Event::CheckStop { node, incarnation });
    }
}

fn end(world: &mut World, node: usize, stop: Stop) {
    world.trace(|| format!("node {node} ends: {stop:?}"));
    if stop == Stop::Restart {
        world.kill(node);
        return world.schedule(RESTART_DELAY, Event::Start { node });
    }
    world.wipe(node);
    world.nodes[node].is_removed = true;
    let are_others_stopping = world.nodes.iter().any(|node| node.stop.is_some());
    if stop == Stop::RemoveThenWipe && !are_others_stopping {
        wipe_another(world);
    }
}

/// Wipes one more machine. The removed machine does not count as failed, since its replacement has had time to catch
/// up.
fn wipe_another(world: &mut World) {
    let present = world.present();
    let node = present[world.random_index(present.len())];
    let delay = world.random_duration(MAX_WIPE_DELAY);
    let now = world.now + delay;
    world.trace(|| format!("node {node} will be wiped at {now:?}"));
    world.schedule(delay, Event::Wipe { node });
    let back = delay + Duration::from_millis(100) + world.random_duration(Duration::from_secs(2));
    world.schedule(back, Event::Start { node });
}

/// Replaces `count` machines. The new machines start first and have time to catch up; then the old ones are stopped
/// all at once. Returns the time until the next fault may occur.
pub(crate) fn replace(world: &mut World, count: usize) -> Duration {
    let old = draw_machines(world, count);
    for _ in &old {
        world.add();
    }
    for &node in &old {
        world.schedule(
            CATCH_UP_TIME,
            Event::Stop {
                node,
                stop: Stop::RemoveThenWipe,
            },
        );
    }
    CATCH_UP_TIME + GRACE_PERIOD + CATCH_UP_TIME
}

/// Restarts machines one after the other, or sometimes all of them at once. Returns the time until the next fault
/// may occur.
pub(crate) fn rolling_restart(world: &mut World) -> Duration {
    let is_at_once = world.random_bool(0.2);
    let gap = if is_at_once {
        Duration::ZERO
    } else {
        Duration::from_millis(1300)
    };
    let nodes = world.present();
    let mut delay = Duration::ZERO;
    for node in nodes {
        world.schedule(
            delay,
            Event::Stop {
                node,
                stop: Stop::Restart,
            },
        );
        delay += gap;
    }
    delay + GRACE_PERIOD + RESTART_DELAY
}

fn draw_machines(world: &mut World, count: usize) -> Vec<usize> {
    let mut present = world.present();
    let mut drawn = Vec::new();
    while drawn.len() < count && !present.is_empty() {
        let index = world.random_index(present.len());
        drawn.push(present.swap_remove(index));
    }
    drawn
}
