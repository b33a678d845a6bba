//! Departures of a run, and the rules that must hold for them.

use std::fmt;
use std::time::Duration;

use woadreach_discovery::ReplicaState;

use crate::common::world::{NodeState, World};
use crate::faults::Faults;

/// Time after the acknowledgement in which requests may still reach the replica.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without a fault after which machines are in touch.
const TOUCH: Duration = Duration::from_secs(3);
/// Maximum time from the call to the acknowledgement, for each core machine that is called.
const ACKNOWLEDGEMENT_BOUND: Duration = Duration::from_secs(1);

/// A rule that was broken.
#[derive(Debug)]
pub(crate) struct Violation {
    at: Duration,
    text: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "at {:?}: {}", self.at, self.text)
    }
}

/// Departure of a replica.
struct Departure {
    replica: usize,
    started_at: Duration,
    /// When a draining replica deregisters, after its acknowledgement.
    serves_on: Duration,
    is_checked: bool,
}

pub(crate) struct Oracle {
    departures: Vec<Departure>,
    added_replicas: usize,
}

impl Oracle {
    pub(crate) fn new() -> Self {
        Self {
            departures: Vec::new(),
            added_replicas: 0,
        }
    }

    pub(crate) fn acknowledged_count(&self) -> usize {
        self.departures.len()
    }

    /// At times lets a replica depart, and another one start at another address. Returns the one that departs.
    pub(crate) fn draw_departure(&mut self, world: &mut World, is_traced: bool) -> Option<usize> {
        if world.draw(40) != 0 {
            return None;
        }
        let replica = world.draw(world.replicas.len() as u32) as usize;
        if self.departures.iter().any(|one| one.replica == replica) {
            return None;
        }
        let core = world.draw(world.cores.len() as u32) as usize;
        let kind = world.draw(4);
        if is_traced {
            println!(
                "{:8.3} replica {replica} departs, kind {kind}",
                world.now.as_secs_f64()
            );
        }
        // A heartbeat of the ready replica is on its way, and arrives late.
        if world.draw(2) == 0 {
            let other = world.draw(world.cores.len() as u32) as usize;
            let delay = Duration::from_millis(u64::from(world.draw(6000)));
            world.send_late_heartbeat(replica, other, delay);
        }
        let serves_on = DRAIN_TIMEOUT + Duration::from_millis(u64::from(world.draw(8000)));
        match kind {
            0 | 1 => world.deregister_replica(replica, core),
            _ => world.drain(replica, core),
        }
        // No further heartbeat of the draining replica is received in time.
        if kind == 2 {
            world.replicas[replica].ends_heartbeats_after_acknowledgement = true;
        }
        self.departures.push(Departure {
            replica,
            started_at: world.now,
            serves_on,
            is_checked: false,
        });
        self.added_replicas += 1;
        let name = format!("n{}", self.added_replicas);
        world.add_replica(&name, 100 + self.added_replicas);
        Some(replica)
    }

    /// Deregisters the draining replicas that have served on for long enough.
    pub(crate) fn deregister_drained(&mut self, world: &mut World) {
        for departure in &self.departures {
            let replica = &world.replicas[departure.replica];
            let is_due = replica
                .drained_at
                .is_some_and(|at| world.now >= at + departure.serves_on);
            if is_due && !replica.is_deregistering() {
                let core = world.draw(world.cores.len() as u32) as usize;
                world.deregister_replica(departure.replica, core);
            }
        }
    }

    /// Checks the rules at the end of a step.
    pub(crate) fn check(&mut self, world: &World, faults: &Faults) -> Result<(), Violation> {
        self.check_acknowledgements(world, faults)?;
        for departure in &self.departures {
            let Some(departed_at) = departed_at(world, departure.replica) else {
                continue;
            };
            if world.now <= departed_at + DRAIN_TIMEOUT {
                continue;
            }
            for edge in 0..world.edges.len() {
                let in_touch = world.now >= faults.disturbed_at(world, edge) + TOUCH;
                if in_touch && world.edge_routes_to(edge, departure.replica) {
                    let id = &world.replicas[departure.replica].id;
                    return violation(
                        world,
                        format!("edge {edge} sends to {id}, acknowledged at {departed_at:?}"),
                    );
                }
            }
        }
        Ok(())
    }

    /// Departures that began in calm times are acknowledged soon.
    fn check_acknowledgements(&mut self, world: &World, faults: &Faults) -> Result<(), Violation> {
        let calls = 1 + faults.unresponsive_cores(world);
        let bound = ACKNOWLEDGEMENT_BOUND * calls;
        for departure in &mut self.departures {
            let is_due = world.now >= departure.started_at + bound;
            if departure.is_checked || !is_due {
                continue;
            }
            departure.is_checked = true;
            let was_calm = faults.core_disturbed_at() + TOUCH <= departure.started_at;
            if was_calm && departed_at(world, departure.replica).is_none() {
                let id = &world.replicas[departure.replica].id;
                let started_at = departure.started_at;
                return violation(world, format!("{id} not acknowledged since {started_at:?}"));
            }
        }
        Ok(())
    }

    /// At the end, each edge has all ready replicas and none that has left.
    pub(crate) fn check_final_lists(&self, world: &World) -> Result<(), Violation> {
        assert!(
            world
                .cores
                .iter()
                .all(|core| core.node_state == NodeState::Up)
        );
        for edge in 0..world.edges.len() {
            for (index, replica) in world.replicas.iter().enumerate() {
                let is_ready = replica.is_running && replica.heartbeat.state == ReplicaState::Ready;
                if world.edge_routes_to(edge, index) != is_ready {
                    let id = &replica.id;
                    return violation(world, format!("edge {edge}: {id}, ready: {is_ready}"));
                }
            }
        }
        Ok(())
    }
}

/// Time of the first acknowledgement of the replica's departure.
pub(crate) fn departed_at(world: &World, replica: usize) -> Option<Duration> {
    let replica = &world.replicas[replica];
    replica.drained_at.or(replica.deregistered_at)
}

fn violation(world: &World, text: String) -> Result<(), Violation> {
    Err(Violation {
        at: world.now,
        text,
    })
}
