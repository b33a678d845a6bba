//! Graceful shutdown of processes, as the driver of the core role does it, and replacement of machines.

use std::time::Duration;

use woadreach_chain::{ExitReadiness, Input};

use super::event::Event;
use super::faults::CATCH_UP;
use super::world::World;

/// From the start of the shutdown to the kill.
const GRACE_PERIOD: Duration = Duration::from_secs(8);
/// Time-out of the shutdown.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(5500);
/// Time-out of a process from which no other can take over.
const ALONE_TIMEOUT: Duration = Duration::from_millis(1500);
/// How often a process checks whether it may exit.
const POLL: Duration = Duration::from_millis(50);
/// From the exit of a process to its next start.
const RESTART: Duration = Duration::from_millis(1000);
/// Longest time from the exit of machines to the loss of another one.
const LOSS_AFTER_END: Duration = Duration::from_millis(60);

/// What becomes of a machine whose process is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stop {
    /// It comes back with its disk.
    Roll,
    /// It is taken away together with its disk.
    Remove,
    /// The same, and another machine loses its disk right after.
    RemoveThenLoss,
}

/// Begins the shutdown of a process.
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

/// Ends a process that may or must exit.
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
        world.schedule(POLL, Event::CheckStop { node, incarnation });
    }
}

fn end(world: &mut World, node: usize, stop: Stop) {
    world.trace(|| format!("node {node} ends: {stop:?}"));
    if stop == Stop::Roll {
        world.kill(node);
        return world.schedule(RESTART, Event::Start { node });
    }
    world.wipe(node);
    world.nodes[node].is_removed = true;
    let are_others_stopping = world.nodes.iter().any(|node| node.stop.is_some());
    if stop == Stop::RemoveThenLoss && !are_others_stopping {
        lose_another(world);
    }
}

/// Loses the disk of one more machine. The machine that was removed does not count as lost: its successor has
/// had time to catch up.
fn lose_another(world: &mut World) {
    let present = world.present();
    let node = present[world.pick(present.len())];
    let delay = world.random_duration(LOSS_AFTER_END);
    let now = world.now + delay;
    world.trace(|| format!("node {node} will lose its disk at {now:?}"));
    world.schedule(delay, Event::Lose { node });
    let back = delay + Duration::from_millis(100) + world.random_duration(Duration::from_secs(2));
    world.schedule(back, Event::Start { node });
}

/// Replaces `count` machines: the new ones start first and have time to catch up; then the old ones are stopped
/// at once. Returns the time until a further fault may occur.
pub(crate) fn replace(world: &mut World, count: usize) -> Duration {
    let old = draw(world, count);
    for _ in &old {
        world.add();
    }
    for &node in &old {
        world.schedule(
            CATCH_UP,
            Event::Stop {
                node,
                stop: Stop::RemoveThenLoss,
            },
        );
    }
    CATCH_UP + GRACE_PERIOD + CATCH_UP
}

/// Stops machines one after the other, each once the last one is back; or all of them at once.
pub(crate) fn roll(world: &mut World) -> Duration {
    let is_at_once = world.chance(0.2);
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
                stop: Stop::Roll,
            },
        );
        delay += gap;
    }
    delay + GRACE_PERIOD + RESTART
}

fn draw(world: &mut World, count: usize) -> Vec<usize> {
    let mut present = world.present();
    let mut drawn = Vec::new();
    while drawn.len() < count && !present.is_empty() {
        let index = world.pick(present.len());
        drawn.push(present.swap_remove(index));
    }
    drawn
}
