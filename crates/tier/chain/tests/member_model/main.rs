//! Exhaustive searches of small cores of real [`Member`](woadreach_chain::Member)s, with `stateright`.
//!
//! `WOADREACH_MODEL_DEPTH=4` searches four actions deeper than by default.

mod core;
mod machine;
#[cfg(feature = "mutations")]
mod mutations;
mod oracle;
mod recovery;
mod searches;
mod world;

use std::time::Instant;

use stateright::{Checker, HasDiscoveries, Model};

use self::core::Counts;
use self::world::World;

const NO_EVENTS: Counts = Counts {
    proposals: 0,
    crashes: 0,
    wipes: 0,
    leaves: 0,
    duplicates: 0,
    changes: 0,
    reads: 0,
};

/// Three machines whose disks sync at once, all of them active in the first view.
fn three() -> World {
    World {
        machines: 3,
        voters: 3,
        chain: 3,
        inactive: Vec::new(),
        faults: 1,
        slow_disks: Vec::new(),
        proposers: vec![0, 1, 2],
        faulty: vec![0, 1, 2],
        limits: NO_EVENTS,
        identity_survives_wipe: false,
        must_recover: false,
        #[cfg(feature = "mutations")]
        mutation: None,
    }
}

fn additional_depth() -> usize {
    std::env::var("WOADREACH_MODEL_DEPTH")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(0)
}

/// Searches every run of at most `actions` actions. Returns the violation that was found, if any.
fn search(name: &str, world: World, actions: usize) -> Option<String> {
    let started = Instant::now();
    let actions = actions + additional_depth();
    let checker = world
        .checker()
        .threads(2)
        .target_max_depth(actions + 1)
        .finish_when(HasDiscoveries::AnyFailures)
        .spawn_bfs()
        .join();
    let is_exhausted = checker.max_depth() <= actions;
    println!(
        "{name}: {} states, {} actions, exhausted: {is_exhausted}, {:.1} s",
        checker.unique_state_count(),
        checker.max_depth() - 1,
        started.elapsed().as_secs_f64(),
    );
    let path = checker.discovery("no violation")?;
    let last = path.last_state().clone();
    for action in path.into_actions() {
        println!("  {}", checker.model().format_action(&action));
    }
    println!("{last:?}");
    last.oracle.violation
}
