//! Tests of what `src/watch.rs` keeps to itself; that file takes them in as its own module.

use super::*;
use serde_json::json;

fn part(endings: &[Option<Ending>]) -> Part {
    let sub = |e: &Option<Ending>| Attempt {
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
        attempts: endings.iter().map(sub).collect(),
    }
}

#[test]
fn bad_settings_name_their_key() {
    assert_eq!(shape(&json!({})), Ok(None));
    assert!(shape(&json!({"watch": 3})).unwrap_err().contains("/watch"));
    assert!(
        shape(&json!({"watch": {"retryAfter": "no"}}))
            .unwrap_err()
            .contains("/watch/retryAfter")
    );
    assert!(
        shape(&json!({"watch": {"once": [1]}}))
            .unwrap_err()
            .contains("/watch/once/0")
    );
    assert!(
        shape(&json!({"watch": {"once": "x"}}))
            .unwrap_err()
            .contains("/watch/once")
    );
    assert!(
        shape(&json!({"watch": {"probes": false}}))
            .unwrap_err()
            .contains("/watch/probes")
    );
    let s = shape(&json!({"watch": {"mayDuplicate": false, "once": ["fit-hold"]}}))
        .unwrap()
        .unwrap();
    assert_eq!(s.second_copies, Some(false));
    assert_eq!(s.once, vec!["fit-hold".to_string()]);
}

#[test]
fn counts_what_the_new_shape_would_not_allow() {
    let strict = Shape {
        retry_after: Some(false),
        second_copies: Some(false),
        once: vec![],
    };
    let mut c = WatchCounters::default();
    // A copy while the first is out; a repeat after a lost answer; a repeat after no connection.
    strict.sent(&part(&[None, None]), 1, true, &mut c);
    strict.sent(&part(&[Some(Ending::TimedOut), None]), 1, true, &mut c);
    strict.sent(&part(&[Some(Ending::Unreachable), None]), 1, true, &mut c);
    strict.sent(&part(&[None]), 0, true, &mut c);
    strict.replied(Reply::Shed { retry_after: 0.5 }, &mut c);
    strict.replied(Reply::Shed { retry_after: 0.0 }, &mut c);
    assert_eq!(
        c,
        WatchCounters {
            retry_after: 1,
            second_copy: 1,
            repeat_once: 2
        }
    );
    let mut none = WatchCounters::default();
    Shape::default().sent(&part(&[None, None]), 1, false, &mut none);
    Shape::default().replied(Reply::Shed { retry_after: 0.5 }, &mut none);
    assert_eq!(none, WatchCounters::default());
}
