//! Terms and events for the tests of the rules, and the rules that a history violates.

use std::sync::Arc;
use woadreach_invariants::{
    Breach, Checker, CoordinatorId, Event, EventKind, PartName, QueryTerms, Repeats, RetryBudget,
    Rule, ShardValue, ShardWeight, SlowStart, Terms,
};

pub(crate) const NODE: CoordinatorId = CoordinatorId(0);

/// Values that the replicas of both shards compute in the first step.
pub(crate) const COMPLETE: [(u64, &str); 2] = [(0, "v0false"), (1, "v1false")];

/// Query types 0 to 3: idempotent; non-idempotent; with a token that only the first replica recognizes; idempotent
/// with a second step.
pub(crate) fn terms() -> Terms {
    let query_type = |repeats, minimum_weight, second_step_parts| QueryTerms {
        name: "x".into(),
        repeats,
        complete_weight: 1.0,
        minimum_weight,
        second_step_parts,
    };
    Terms {
        query_types: vec![
            query_type(Repeats::Idempotent, 0.5, 0),
            query_type(Repeats::NonIdempotent, 1.0, 0),
            query_type(
                Repeats::Tokened {
                    window: 1.0,
                    any_holder: false,
                },
                1.0,
                0,
            ),
            query_type(Repeats::Idempotent, 0.5, 1),
        ],
        answer_grace: 0.05,
        drain_grace: 0.5,
        slow_start: Some(SlowStart {
            initial_capacity: 0.5,
            duration: 10.0,
            overload_multiple: 2.0,
            overload_window: 1.0,
            mean_work: 0.1,
            counts_unlisted_senders: true,
        }),
        retry_budget: Some(RetryBudget {
            min_retries: 1.0,
            ratio: 0.0,
            window: 10.0,
        }),
        slack: 0.05,
        max_link_latency: 0.001,
    }
}

pub(crate) fn part(shard: u64, second_step: bool) -> PartName {
    PartName {
        search: "s".into(),
        shard,
        second_step,
    }
}

/// A search of shards 0 and 1, of equal weight, with its deadline at 1 s.
pub(crate) fn requested(query_type: usize) -> EventKind {
    let parts = [(0, 0.5), (1, 0.5)].map(|(shard, weight)| ShardWeight { shard, weight });
    EventKind::Requested {
        node: NODE,
        search: "s".into(),
        query_type,
        parts: Arc::from(parts),
        deadline: 1.0,
    }
}

/// A part of the first step that the replica has received from `node`.
pub(crate) fn received(node: CoordinatorId, part: PartName, replica: &str, at: f64) -> EventKind {
    EventKind::PartReceived {
        node,
        replica: replica.into(),
        part,
        first_byte_at: at,
        last_byte_at: at,
        work: 0.1,
        first_step_shards: vec![],
        first_step_complete: None,
    }
}

pub(crate) fn sent_at(shard: u64, replica: &str, at: f64) -> EventKind {
    received(NODE, part(shard, false), replica, at)
}

pub(crate) fn answered(complete: bool, rows: &[(u64, &str)]) -> EventKind {
    let row = |(shard, value): &(u64, &str)| ShardValue {
        shard: *shard,
        value: value.to_string(),
    };
    EventKind::Answered {
        search: "s".into(),
        complete,
        rows: rows.iter().map(row).collect(),
    }
}

pub(crate) fn shed() -> EventKind {
    EventKind::Shed { search: "s".into() }
}

/// The rules that the events violate, in order, without adjacent duplicates. Checks for overdue answers at `until`.
pub(crate) fn broken_rules(events: Vec<(f64, EventKind)>, until: f64) -> Vec<Rule> {
    let mut checker = Checker::new(terms());
    let mut breaches: Vec<Breach> = events
        .into_iter()
        .flat_map(|(at, kind)| checker.check(&Event { at, kind }))
        .collect();
    breaches.extend(checker.check_overdue(until));
    let mut rules = rules_of(&breaches);
    rules.dedup();
    rules
}

/// The rule of each breach.
pub(crate) fn rules_of(breaches: &[Breach]) -> Vec<Rule> {
    breaches.iter().map(|breach| breach.rule).collect()
}
