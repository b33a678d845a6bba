//! Every run of small cores of the real [`Member`](woadreach_chain::Member), by `stateright`.
//!
//! `WOADREACH_MODEL_DEPTH=4` searches four actions deeper than usual.

mod core;
mod machine;
mod oracle;
mod recovery;
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
    repeats: 0,
    orders: 0,
    reads: 0,
};

/// Three machines with quick disks, all in the first view.
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
        limits: NO_EVENTS,
        identity_survives: false,
        is_recovery_checked: false,
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

/// Searches every run of at most `actions` actions; gives the violation that was found.
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
        "{name}: {} states, {} actions, all: {is_exhausted}, {:.1} s",
        checker.unique_state_count(),
        checker.max_depth() - 1,
        started.elapsed().as_secs_f64(),
    );
    let path = checker.discovery("holds")?;
    let last = path.last_state().clone();
    for action in path.into_actions() {
        println!("  {}", checker.model().format_action(&action));
    }
    println!("{last:?}");
    last.oracle.violation
}

#[test]
#[cfg_attr(
    debug_assertions,
    ignore = "minutes where it is not optimised; .ci/run plays it in release"
)]
fn an_election_and_an_order() {
    let limits = Counts {
        proposals: 1,
        orders: 1,
        ..NO_EVENTS
    };
    assert_eq!(
        search("an election and an order", World { limits, ..three() }, 40),
        None
    );
}

#[test]
#[cfg_attr(
    debug_assertions,
    ignore = "minutes where it is not optimised; .ci/run plays it in release"
)]
fn two_elections_at_once() {
    let limits = Counts {
        proposals: 2,
        ..NO_EVENTS
    };
    let world = World {
        limits,
        proposers: vec![0, 1],
        ..three()
    };
    assert_eq!(search("two elections", world, 13), None);
}

#[test]
#[cfg_attr(
    debug_assertions,
    ignore = "minutes where it is not optimised; .ci/run plays it in release"
)]
fn a_ballot_stands_for_one_view() {
    let limits = Counts {
        proposals: 2,
        crashes: 1,
        ..NO_EVENTS
    };
    let world = World {
        limits,
        slow_disks: vec![0],
        victims: vec![0],
        proposers: vec![0],
        ..three()
    };
    assert_eq!(search("a slow disk and a crash", world, 15), None);
}

#[test]
#[cfg_attr(
    debug_assertions,
    ignore = "minutes where it is not optimised; .ci/run plays it in release"
)]
fn a_slow_tail_dies() {
    let limits = Counts {
        proposals: 1,
        crashes: 1,
        orders: 1,
        ..NO_EVENTS
    };
    let world = World {
        limits,
        slow_disks: vec![2],
        victims: vec![2],
        proposers: vec![1],
        ..three()
    };
    assert_eq!(search("a slow tail", world, 13), None);
}

#[test]
#[cfg_attr(
    debug_assertions,
    ignore = "minutes where it is not optimised; .ci/run plays it in release"
)]
fn a_read_is_not_behind_an_acknowledged_order() {
    let limits = Counts {
        proposals: 1,
        orders: 1,
        reads: 1,
        ..NO_EVENTS
    };
    let world = World {
        limits,
        proposers: vec![1],
        ..three()
    };
    assert_eq!(search("a read", world, 16), None);
}

#[test]
#[cfg_attr(
    debug_assertions,
    ignore = "minutes where it is not optimised; .ci/run plays it in release"
)]
fn two_orders_on_one_generation() {
    let limits = Counts {
        proposals: 1,
        orders: 3,
        ..NO_EVENTS
    };
    let world = World {
        limits,
        proposers: vec![1],
        ..three()
    };
    assert_eq!(search("three orders", world, 13), None);
}

#[test]
#[cfg_attr(
    debug_assertions,
    ignore = "minutes where it is not optimised; .ci/run plays it in release"
)]
fn messages_come_twice() {
    let limits = Counts {
        proposals: 1,
        orders: 1,
        repeats: 2,
        ..NO_EVENTS
    };
    let world = World {
        limits,
        proposers: vec![1],
        ..three()
    };
    assert_eq!(search("repeated messages", world, 10), None);
}

#[test]
#[cfg_attr(
    debug_assertions,
    ignore = "minutes where it is not optimised; .ci/run plays it in release"
)]
fn a_disk_is_lost() {
    let limits = Counts {
        proposals: 1,
        wipes: 1,
        orders: 1,
        ..NO_EVENTS
    };
    let world = World {
        limits,
        proposers: vec![0, 1],
        victims: vec![0],
        is_recovery_checked: true,
        ..three()
    };
    assert_eq!(search("a lost disk", world, 8), None);
}

#[test]
#[cfg_attr(
    debug_assertions,
    ignore = "minutes where it is not optimised; .ci/run plays it in release"
)]
fn the_only_active_member_loses_its_disk() {
    let limits = Counts {
        proposals: 1,
        wipes: 1,
        ..NO_EVENTS
    };
    let world = World {
        limits,
        chain: 2,
        inactive: vec![1],
        proposers: vec![0],
        victims: vec![0],
        is_recovery_checked: true,
        ..three()
    };
    assert_eq!(search("the only active member", world, 9), None);
}

#[test]
#[cfg_attr(
    debug_assertions,
    ignore = "minutes where it is not optimised; .ci/run plays it in release"
)]
fn a_machine_restarts_and_loses_its_disk() {
    let limits = Counts {
        proposals: 1,
        wipes: 1,
        crashes: 1,
        ..NO_EVENTS
    };
    let world = World {
        limits,
        proposers: vec![0],
        victims: vec![0],
        is_recovery_checked: true,
        ..three()
    };
    assert_eq!(search("a restart and a lost disk", world, 8), None);
}

#[test]
#[cfg_attr(
    debug_assertions,
    ignore = "minutes where it is not optimised; .ci/run plays it in release"
)]
fn a_member_leaves_for_a_learner() {
    let limits = Counts {
        proposals: 1,
        leaves: 1,
        orders: 1,
        wipes: 1,
        ..NO_EVENTS
    };
    let world = World {
        limits,
        machines: 4,
        proposers: vec![1],
        victims: vec![0],
        is_recovery_checked: true,
        ..three()
    };
    assert_eq!(search("a leave and a learner", world, 8), None);
}

#[test]
#[cfg_attr(
    debug_assertions,
    ignore = "minutes where it is not optimised; .ci/run plays it in release"
)]
fn five_machines_lose_two_disks() {
    let limits = Counts {
        proposals: 1,
        wipes: 2,
        orders: 1,
        ..NO_EVENTS
    };
    let world = World {
        limits,
        machines: 5,
        voters: 5,
        chain: 3,
        faults: 2,
        proposers: vec![1],
        victims: vec![0, 2],
        is_recovery_checked: true,
        ..three()
    };
    assert_eq!(search("five machines", world, 5), None);
}

#[test]
#[cfg_attr(
    debug_assertions,
    ignore = "minutes where it is not optimised; .ci/run plays it in release"
)]
fn a_lost_disk_under_the_old_identity_is_found() {
    let limits = Counts {
        proposals: 1,
        wipes: 1,
        orders: 1,
        ..NO_EVENTS
    };
    let world = World {
        limits,
        identity_survives: true,
        proposers: vec![1],
        victims: vec![0],
        ..three()
    };
    assert!(search("mutated: old identity", world, 20).is_some());
}

#[cfg(feature = "mutations")]
mod mutations {
    use woadreach_chain::Mutation;

    use super::*;

    #[test]
    fn saying_what_is_not_synced_is_found() {
        let limits = Counts {
            proposals: 2,
            crashes: 1,
            ..NO_EVENTS
        };
        let mutation = Some(Mutation::AcknowledgeBeforeSync);
        let world = World {
            limits,
            mutation,
            slow_disks: vec![0],
            victims: vec![0],
            proposers: vec![0],
            ..three()
        };
        assert!(search("mutated: said before the sync", world, 15).is_some());
    }

    #[test]
    fn reading_without_a_barrier_is_found() {
        let limits = Counts {
            proposals: 1,
            orders: 1,
            reads: 1,
            ..NO_EVENTS
        };
        let mutation = Some(Mutation::ReadWithoutBarrier);
        let world = World {
            limits,
            mutation,
            proposers: vec![1],
            ..three()
        };
        assert!(search("mutated: no barrier", world, 18).is_some());
    }

    #[test]
    fn taking_messages_of_any_epoch_is_found() {
        let limits = Counts {
            proposals: 2,
            orders: 1,
            ..NO_EVENTS
        };
        let world = World {
            limits,
            mutation: Some(Mutation::NoEpochCheck),
            proposers: vec![1, 2],
            ..three()
        };
        assert!(search("mutated: any epoch", world, 17).is_some());
    }
}
