//! Unit tests of `src/comparison.rs`, which includes this file as a module.

use super::*;
use serde_json::json;
use woadreach_routing::api::{Attempt, Ending, PartId, ReplicaId, ShardId};

fn part(endings: &[Option<Ending>]) -> Part {
    let attempt = |e: &Option<Ending>| Attempt {
        replica: ReplicaId("r".into()),
        sent_at: 0.0,
        ending: *e,
    };
    Part {
        id: PartId(1),
        shard: ShardId(0),
        weight: 1.0,
        step: 1,
        answered: false,
        queued_for: None,
        attempts: endings.iter().map(attempt).collect(),
    }
}

#[test]
fn errors_name_the_invalid_key() {
    assert_eq!(parse_proposed_limits(&json!({})), Ok(None));
    let invalid = [
        (json!({"watch": 3}), "/watch"),
        (json!({"watch": {"retryAfter": "no"}}), "/watch/retryAfter"),
        (json!({"watch": {"once": [1]}}), "/watch/once/0"),
        (json!({"watch": {"once": "x"}}), "/watch/once"),
        (json!({"watch": {"probes": false}}), "/watch/probes"),
    ];
    for (settings, pointer) in invalid {
        let error = parse_proposed_limits(&settings).unwrap_err().to_string();
        assert!(error.contains(pointer), "{settings}: {error}");
    }
    let limits =
        parse_proposed_limits(&json!({"watch": {"mayDuplicate": false, "once": ["fit-hold"]}}))
            .unwrap()
            .unwrap();
    assert_eq!(limits.hedging_allowed, Some(false));
    assert_eq!(limits.once, vec!["fit-hold".to_string()]);
}

#[test]
fn steps_that_proposed_limits_would_not_allow_are_counted() {
    let limits = ProposedLimits {
        retry_after: Some(false),
        hedging_allowed: Some(false),
        once: vec![],
    };
    let mut counters = ComparisonCounters::default();
    // A hedge; a retry after an attempt that timed out; a retry after an attempt without a connection; a first attempt.
    limits.count_attempt(&part(&[None, None]), 1, true, &mut counters);
    limits.count_attempt(
        &part(&[Some(Ending::TimedOut), None]),
        1,
        true,
        &mut counters,
    );
    limits.count_attempt(
        &part(&[Some(Ending::Unreachable), None]),
        1,
        true,
        &mut counters,
    );
    limits.count_attempt(&part(&[None]), 0, true, &mut counters);
    limits.count_reply(Reply::Shed { retry_after: 0.5 }, &mut counters);
    limits.count_reply(Reply::Shed { retry_after: 0.0 }, &mut counters);
    assert_eq!(
        counters,
        ComparisonCounters {
            retry_after: 1,
            hedges: 1,
            retries_of_once: 2
        }
    );
    let mut unrestricted = ComparisonCounters::default();
    ProposedLimits::default().count_attempt(&part(&[None, None]), 1, false, &mut unrestricted);
    ProposedLimits::default().count_reply(Reply::Shed { retry_after: 0.5 }, &mut unrestricted);
    assert_eq!(unrestricted, ComparisonCounters::default());
}
