//! One seeded run: draws departures and faults, and checks the rules after each step.

use std::time::Duration;

use crate::common::world::World;
use crate::faults::Faults;
use crate::oracle::{Oracle, Violation, departed_at};

pub(crate) const STEP: Duration = Duration::from_millis(50);
/// Time before the first fault, in which all edges reach a current state.
const SETTLING: Duration = Duration::from_secs(6);
/// Time in which faults begin.
const FAULTY: Duration = Duration::from_secs(30);
/// Time without faults at the end: every replica that is not known expires, every edge catches up.
const CALM: Duration = Duration::from_secs(45);
const REPLICAS: usize = 8;

#[derive(Clone, Copy, Default)]
pub(crate) struct RunOptions {
    /// Whether a core process that starts finds no departures on its disk.
    pub(crate) disks_forget: bool,
    /// Whether core machines confirm departures that are not on their disks yet.
    pub(crate) confirms_before_sync: bool,
}

/// Plays the run of `seed`. Returns the number of acknowledged departures.
pub(crate) fn play(seed: u64, options: RunOptions) -> Result<usize, Violation> {
    let is_traced = std::env::var("DEPARTURE_TRACE").is_ok();
    let cores = if seed % 4 == 3 { 5 } else { 3 };
    let edges = 2 + (seed % 3) as usize;
    let mut world = World::new(seed, cores, edges, REPLICAS);
    for core in &mut world.cores {
        core.disk.forgets = options.disks_forget;
        core.disk.confirms_before_sync = options.confirms_before_sync;
    }
    world.run(SETTLING);
    let mut faults = Faults::new(cores, edges, is_traced);
    let mut oracle = Oracle::new();
    while world.now < SETTLING + FAULTY + CALM {
        faults.end_due(&mut world);
        if world.now < SETTLING + FAULTY {
            faults.draw(&mut world);
            if let Some(replica) = oracle.draw_departure(&mut world, is_traced) {
                draw_fault_after_acknowledgement(&mut world, &mut faults, replica);
            }
        }
        oracle.deregister_drained(&mut world);
        world.run_for(STEP);
        oracle.check(&world, &faults)?;
    }
    oracle.check_final_lists(&world)?;
    Ok(oracle.acknowledged_count())
}

/// Follows a departure until it is acknowledged, and at times kills all core machines at that moment.
fn draw_fault_after_acknowledgement(world: &mut World, faults: &mut Faults, replica: usize) {
    if world.draw(3) != 0 {
        return;
    }
    for _ in 0..STEP.as_millis() {
        world.run_for(Duration::from_millis(1));
        if departed_at(world, replica).is_some() {
            return faults.kill_all_cores(world);
        }
    }
}
