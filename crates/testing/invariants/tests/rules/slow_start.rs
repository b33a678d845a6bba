//! A replica is not overloaded while it warms up.

use crate::support::{NODE, received, rules_of, terms};
use rstest::rstest;
use std::sync::Arc;
use woadreach_invariants::{
    Breach, Checker, CoordinatorId, Event, EventKind, PartName, Rule, ShardWeight, SlowStart, Terms,
};

/// Starts replica `a`, with one core, at 0 s. Returns the breaches.
fn start_replica(checker: &mut Checker) -> Vec<Breach> {
    checker.check(&Event {
        at: 0.0,
        kind: EventKind::ReplicaStarted {
            replica: "a".into(),
            cores: 1.0,
        },
    })
}

/// Requests a search of one part, which replica `a` receives at the same time. Returns the breaches.
fn play_search(checker: &mut Checker, node: CoordinatorId, number: u64, at: f64) -> Vec<Breach> {
    let search: Arc<str> = format!("s{number}").into();
    let part = PartName {
        search: search.clone(),
        shard: 0,
        second_step: false,
    };
    let requested = EventKind::Requested {
        node,
        search,
        query_type: 0,
        parts: Arc::from([ShardWeight {
            shard: 0,
            weight: 1.0,
        }]),
        deadline: at + 9.0,
    };
    let received = received(node, part, "a", at);
    [requested, received]
        .into_iter()
        .flat_map(|kind| checker.check(&Event { at, kind }))
        .collect()
}

/// The replica starts with half of its one core. Twice that capacity for one second is a budget of ten parts;
/// 2 √10 + 2 more are tolerated as random variation.
#[rstest]
#[case::within_limit(18, 0.001, &[])]
#[case::over_limit(19, 0.001, &[Rule::NoSlowStartOverload])]
#[case::over_several_windows(19, 0.2, &[])]
fn slow_start(#[case] parts: u64, #[case] interval: f64, #[case] expected: &[Rule]) {
    let mut checker = Checker::new(Terms {
        retry_budget: None,
        ..terms()
    });
    let mut all = start_replica(&mut checker);
    for n in 0..parts {
        let at = 0.1 + n as f64 * interval;
        all.extend(play_search(&mut checker, NODE, n, at));
    }
    assert_eq!(rules_of(&all), expected);
    assert_eq!(checker.is_overloaded("a"), !expected.is_empty());
}

/// With `counts_unlisted_senders` off, an overload violates the rule only if more than two thirds of the work is from
/// senders whose agents had listed the replica.
#[rstest]
#[case::all_listed(2, &[Rule::NoSlowStartOverload])]
#[case::half_listed(1, &[])]
#[case::none_listed(0, &[])]
fn overload_by_notified_senders(#[case] notified: usize, #[case] expected: &[Rule]) {
    let slow_start = terms().slow_start.map(|config| SlowStart {
        counts_unlisted_senders: false,
        ..config
    });
    let mut checker = Checker::new(Terms {
        retry_budget: None,
        slow_start,
        ..terms()
    });
    let mut all = start_replica(&mut checker);
    for node in (0..notified).map(CoordinatorId) {
        let kind = EventKind::ReplicaListed {
            node,
            replica: "a".into(),
            ready: true,
        };
        all.extend(checker.check(&Event { at: 0.05, kind }));
    }
    for n in 0..20 {
        let (at, node) = (0.1 + n as f64 * 0.001, CoordinatorId(n % 2));
        all.extend(play_search(&mut checker, node, n as u64, at));
    }
    assert_eq!(rules_of(&all), expected);
    assert!(checker.is_overloaded("a"));
}
