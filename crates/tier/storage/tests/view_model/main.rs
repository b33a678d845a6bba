//! Model check of the storage view: explores every run of small deployments with the real machines, pulls, writes
//! and membership plan.
//!
//! `STORAGE_MODEL_DEPTH=3` adds three actions to the depth of each search.

mod machine;
mod tier;

use std::time::Instant;

use stateright::{Checker, HasDiscoveries, Model};

use self::tier::{Counts, Mutation, World};

const NO_ACTIONS: Counts = Counts {
    views: 0,
    wipes: 0,
    restarts: 0,
    retirements: 0,
    timeouts: 0,
    writes: 0,
};

fn world(max_counts: Counts) -> World {
    World {
        current: 3,
        machines: 3,
        tolerated_losses: 1,
        mutation: Mutation::None,
        is_coarse: true,
        max_counts,
        started: Instant::now(),
    }
}

fn additional_depth() -> usize {
    std::env::var("STORAGE_MODEL_DEPTH")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(0)
}

/// Explores every run of at most `actions` actions and returns the violation found, if any.
fn search(name: &str, world: World, actions: usize) -> Option<&'static str> {
    let started = Instant::now();
    let actions = actions + additional_depth();
    let checker = world
        .checker()
        .threads(2)
        .target_max_depth(actions + 1)
        .finish_when(HasDiscoveries::AnyFailures)
        .spawn_bfs()
        .join();
    println!(
        "{name}: {} states, {} actions, all: {}, {:.1} s, a joint epoch ends: {}",
        checker.unique_state_count(),
        checker.max_depth() - 1,
        checker.max_depth() <= actions,
        started.elapsed().as_secs_f64(),
        checker.discovery("a joint epoch ends").is_some(),
    );
    let path = checker.discovery("holds")?;
    let last = path.last_state().clone();
    println!("{:?}\n{last:?}", path.into_actions());
    last.violation
}

#[test]
#[cfg_attr(
    debug_assertions,
    ignore = "takes minutes without optimisation; .ci/run runs it in release"
)]
fn a_disk_is_wiped_during_a_write() {
    let max_counts = Counts {
        views: 2,
        wipes: 1,
        writes: 1,
        ..NO_ACTIONS
    };
    let world = World {
        is_coarse: false,
        ..world(max_counts)
    };
    assert_eq!(search("a lost disk", world, 40), None);
}

#[test]
#[cfg_attr(
    debug_assertions,
    ignore = "takes minutes without optimisation; .ci/run runs it in release"
)]
fn a_second_disk_is_wiped_after_the_repair() {
    let max_counts = Counts {
        views: 4,
        wipes: 2,
        writes: 1,
        ..NO_ACTIONS
    };
    assert_eq!(search("two lost disks", world(max_counts), 40), None);
}

#[test]
#[cfg_attr(
    debug_assertions,
    ignore = "takes minutes without optimisation; .ci/run runs it in release"
)]
fn a_machine_is_retired_and_the_disk_of_another_is_wiped() {
    let max_counts = Counts {
        views: 2,
        wipes: 1,
        retirements: 1,
        writes: 1,
        ..NO_ACTIONS
    };
    let world = World {
        current: 4,
        machines: 4,
        ..world(max_counts)
    };
    assert_eq!(search("a retirement and a lost disk", world, 6), None);
}

#[test]
#[cfg_attr(
    debug_assertions,
    ignore = "takes minutes without optimisation; .ci/run runs it in release"
)]
fn a_machine_replaces_an_unresponsive_one() {
    let max_counts = Counts {
        views: 2,
        timeouts: 1,
        writes: 1,
        wipes: 1,
        ..NO_ACTIONS
    };
    let world = World {
        machines: 4,
        ..world(max_counts)
    };
    assert_eq!(search("a replacement", world, 7), None);
}

#[test]
#[cfg_attr(
    debug_assertions,
    ignore = "takes minutes without optimisation; .ci/run runs it in release"
)]
fn machines_restart_in_a_joint_epoch() {
    let max_counts = Counts {
        views: 2,
        restarts: 2,
        wipes: 1,
        writes: 1,
        ..NO_ACTIONS
    };
    assert_eq!(search("restarts", world(max_counts), 12), None);
}

/// Searches with four machines, three of them in the first view, and returns whether the injected bug is found.
fn is_found(mutation: Mutation, max_counts: Counts, actions: usize) -> bool {
    let world = World {
        mutation,
        machines: 4,
        ..world(max_counts)
    };
    search(&format!("mutation: {mutation:?}"), world, actions).is_some()
}

/// Limits for a machine that joins while a turn is written.
const JOIN: Counts = Counts {
    views: 2,
    writes: 1,
    ..NO_ACTIONS
};

#[test]
#[cfg_attr(
    debug_assertions,
    ignore = "takes minutes without optimisation; .ci/run runs it in release"
)]
fn pages_before_the_seal_are_found() {
    assert!(is_found(Mutation::Seal, JOIN, 17));
}

#[test]
#[cfg_attr(
    debug_assertions,
    ignore = "takes minutes without optimisation; .ci/run runs it in release"
)]
fn a_wiped_disk_under_the_old_identity_is_found() {
    assert!(is_found(
        Mutation::Identity,
        Counts { wipes: 1, ..JOIN },
        17
    ));
}

#[test]
#[cfg_attr(
    debug_assertions,
    ignore = "takes minutes without optimisation; .ci/run runs it in release"
)]
fn an_incomplete_pull_is_found() {
    assert!(is_found(Mutation::Pull, Counts { wipes: 1, ..JOIN }, 17));
}

#[test]
#[cfg_attr(
    debug_assertions,
    ignore = "takes minutes without optimisation; .ci/run runs it in release"
)]
fn a_write_without_the_next_quorum_is_found() {
    assert!(is_found(Mutation::NextQuorum, JOIN, 20));
}
