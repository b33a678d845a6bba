//! Tests of what `src/watch.rs` keeps to itself; that file takes them in as its own module.

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
        queued_at: None,
        attempts: endings.iter().map(attempt).collect(),
    }
}

#[test]
fn invalid_settings_name_their_key() {
    assert_eq!(parse_proposed_limits(&json!({})), Ok(None));
    assert!(
        parse_proposed_limits(&json!({"watch": 3}))
            .unwrap_err()
            .to_string()
            .contains("/watch")
    );
    assert!(
        parse_proposed_limits(&json!({"watch": {"retryAfter": "no"}}))
            .unwrap_err()
            .to_string()
            .contains("/watch/retryAfter")
    );
    assert!(
        parse_proposed_limits(&json!({"watch": {"once": [1]}}))
            .unwrap_err()
            .to_string()
            .contains("/watch/once/0")
    );
    assert!(
        parse_proposed_limits(&json!({"watch": {"once": "x"}}))
            .unwrap_err()
            .to_string()
            .contains("/watch/once")
    );
    assert!(
        parse_proposed_limits(&json!({"watch": {"probes": false}}))
            .unwrap_err()
            .to_string()
            .contains("/watch/probes")
    );
    let s = parse_proposed_limits(&json!({"watch": {"mayDuplicate": false, "once": ["fit-hold"]}}))
        .unwrap()
        .unwrap();
    assert_eq!(s.hedging_allowed, Some(false));
    assert_eq!(s.once, vec!["fit-hold".to_string()]);
}

#[test]
fn counts_steps_that_proposed_limits_would_not_allow() {
    let strict = ProposedLimits {
        retry_after: Some(false),
        hedging_allowed: Some(false),
        once: vec![],
    };
    let mut c = WatchCounters::default();
    // A hedge; a retry after a lost answer; a retry after no connection.
    strict.count_attempt(&part(&[None, None]), 1, true, &mut c);
    strict.count_attempt(&part(&[Some(Ending::TimedOut), None]), 1, true, &mut c);
    strict.count_attempt(&part(&[Some(Ending::Unreachable), None]), 1, true, &mut c);
    strict.count_attempt(&part(&[None]), 0, true, &mut c);
    strict.count_reply(Reply::Shed { retry_after: 0.5 }, &mut c);
    strict.count_reply(Reply::Shed { retry_after: 0.0 }, &mut c);
    assert_eq!(
        c,
        WatchCounters {
            retry_after: 1,
            hedges: 1,
            retries_of_once: 2
        }
    );
    let mut none = WatchCounters::default();
    ProposedLimits::default().count_attempt(&part(&[None, None]), 1, false, &mut none);
    ProposedLimits::default().count_reply(Reply::Shed { retry_after: 0.5 }, &mut none);
    assert_eq!(none, WatchCounters::default());
}
