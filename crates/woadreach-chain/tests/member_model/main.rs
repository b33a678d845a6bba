//! Every run of small cores of the real [`Member`](woadreach_chain::Member), by `stateright`.

mod core;
mod machine;
mod oracle;
mod recovery;
mod world;

use std::time::{Duration, Instant};

use stateright::{Checker, HasDiscoveries, Model};

use self::core::Counts;
use self::world::World;

const NOTHING: Counts =
    Counts { proposals: 0, crashes: 0, wipes: 0, leaves: 0, repeats: 0, orders: 0, reads: 0 };

fn three() -> World {
    World {
        machines: 3,
        voters: 3,
        chain: 3,
        inactive: Vec::new(),
        faults: 1,
        slow_disks: Vec::new(),
        proposers: vec![0, 1, 2],
        victims: vec![0, 1, 2],
        most: NOTHING,
        identity_survives: false,
        is_recovery_checked: false,
        #[cfg(feature = "plants")]
        plant: None,
    }
}

/// Searches a world; gives the violation that was found.
fn search(name: &str, world: World, most_seconds: u64) -> Option<String> {
    let started = Instant::now();
    let checker = world
        .checker()
        .threads(2)
        .timeout(Duration::from_secs(most_seconds))
        .finish_when(HasDiscoveries::AnyFailures)
        .spawn_bfs()
        .join();
    println!(
        "{name}: {} states, depth {}, {:.1} s, done: {}",
        checker.unique_state_count(),
        checker.max_depth(),
        started.elapsed().as_secs_f64(),
        checker.is_done()
    );
    let path = checker.discovery("holds")?;
    let last = path.last_state().clone();
    for action in path.into_actions() {
        println!("  {}", checker.model().format_action(&action));
    }
    println!("{last:?}");
    last.oracle.violation
}

fn seconds() -> u64 {
    std::env::var("WOADREACH_MODEL_SECONDS").ok().and_then(|text| text.parse().ok()).unwrap_or(15)
}

#[test]
fn one_election_and_a_write() {
    let most = Counts { proposals: 1, orders: 1, ..NOTHING };
    assert_eq!(search("one election", World { most, ..three() }, seconds()), None);
}

#[test]
fn a_ballot_stands_for_one_view() {
    let most = Counts { proposals: 2, crashes: 1, ..NOTHING };
    let world = World { most, slow_disks: vec![0], victims: vec![0], proposers: vec![0], ..three() };
    assert_eq!(search("a slow disk", world, seconds()), None);
}

#[test]
fn one_wipe() {
    let most = Counts { proposals: 2, wipes: 1, ..NOTHING };
    let world = World { most, proposers: vec![0, 1], victims: vec![0], is_recovery_checked: true, ..three() };
    assert_eq!(search("a wipe", world, seconds()), None);
}

#[test]
fn the_only_active_member_loses_its_disk() {
    let most = Counts { proposals: 1, wipes: 1, ..NOTHING };
    let world = World {
        most,
        chain: 2,
        inactive: vec![1],
        proposers: vec![0],
        victims: vec![0],
        is_recovery_checked: true,
        ..three()
    };
    assert_eq!(search("the only active member", world, seconds()), None);
}

#[test]
fn a_restart_and_a_wipe() {
    let most = Counts { proposals: 1, wipes: 1, crashes: 1, ..NOTHING };
    let world = World { most, proposers: vec![0], victims: vec![0], is_recovery_checked: true, ..three() };
    assert_eq!(search("a restart and a wipe", world, seconds()), None);
}
