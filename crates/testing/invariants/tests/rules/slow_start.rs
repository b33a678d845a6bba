//! A replica that warms up is not overloaded.

use crate::support::{NODE, received, rules_of, terms};
use rstest::rstest;
use std::sync::Arc;
use woadreach_invariants::{
    Breach, Checker, CoordinatorId, Event, EventKind, PartName, Rule, ShardWeight, SlowStart, Terms,
};

/// Starts replica `a`, of one core, at 0 s. Returns what it breaks.
fn start_replica(checker: &mut Checker) -> Vec<Breach> {
    checker.check(&Event {
        at: 0.0,
        kind: EventKind::ReplicaStarted {
            replica: "a".into(),
            cores: 1.0,
        },
    })
}

/// A search of one part, requested and received by replica `a` at once. Returns what it breaks.
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

/// One core, half of it at the start: twice that in any second are ten parts, and 2 x root of 10 + 2 more are
/// chance.
#[rstest]
#[case::within(18, 0.001, &[])]
#[case::over(19, 0.001, &[Rule::NoSlowStartOverload])]
#[case::spread(19, 0.2, &[])]
fn slow_start(#[case] parts: u64, #[case] apart: f64, #[case] expected: &[Rule]) {
    let mut checker = Checker::new(Terms {
        retry_budget: None,
        ..terms()
    });
    let mut all = start_replica(&mut checker);
    for n in 0..parts {
        let at = 0.1 + n as f64 * apart;
        all.extend(play_search(&mut checker, NODE, n, at));
    }
    assert_eq!(rules_of(&all), expected);
    assert_eq!(checker.is_overloaded("a"), !expected.is_empty());
}

/// Where only senders whose agents listed the start count, an overload breaks the rule if over two thirds of
/// the work were theirs.
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
