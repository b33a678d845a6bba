//! Unit tests of `src/instances.rs`, which includes this file as a module.

use super::*;
use crate::instance::WATCH_TIMER;

fn settings(discovery: &str) -> Value {
    json!({"discovery": discovery, "tickMs": 5.0, "domain": {"sets": 2},
           "requestClasses": [{"aimMs": 1000.0, "giveUpMs": 3000.0, "repeat": "repeatable"}]})
}

fn out(instances: &mut Instances, now: f64, events: Value) -> Vec<Value> {
    let line = json!({"simTimeMs": now, "groups": [{"co-ordinatorId": 3, "in": events}]});
    let reply = instances.handle_batch(&line.to_string()).unwrap();
    reply
        .pointer("/groups/0/out")
        .and_then(Value::as_array)
        .cloned()
        .unwrap_or_default()
}

fn named<'a>(actions: &'a [Value], name: &str) -> Vec<&'a Value> {
    actions.iter().filter(|a| a[0] == name).collect()
}

/// If the list is sent only on request, a watch is requested at the start. After a refusal it is requested again only
/// after a wait, which grows with each refusal.
#[test]
fn a_refused_watch_is_requested_again_after_a_wait() {
    let mut instances = Instances::default();
    let start = out(
        &mut instances,
        0.0,
        json!([["newInstance", 1, settings("subscribe")]]),
    );
    assert_eq!(named(&start, "observe").len(), 1);
    let mut waits = Vec::new();
    for n in 0..6 {
        let refused = out(
            &mut instances,
            10.0 + n as f64,
            json!([["sync", 0, "refused", 0]]),
        );
        assert!(
            named(&refused, "observe").is_empty(),
            "requested again at once"
        );
        let timer = named(&refused, "setTimer");
        assert_eq!(timer.len(), 1);
        assert_eq!(timer[0][2], WATCH_TIMER);
        waits.push(timer[0][1].as_f64().unwrap());
        let again = out(
            &mut instances,
            20.0 + n as f64,
            json!([["timer", WATCH_TIMER]]),
        );
        assert_eq!(named(&again, "observe").len(), 1);
    }
    assert!(waits.windows(2).take(4).all(|w| w[1] > w[0]), "{waits:?}");
    assert!(waits.iter().all(|w| *w <= 1.25 * 4000.0), "{waits:?}");
}

#[test]
fn a_list_that_is_sent_automatically_is_not_requested() {
    let mut instances = Instances::default();
    let start = out(
        &mut instances,
        0.0,
        json!([["newInstance", 1, settings("automatic")]]),
    );
    assert!(named(&start, "observe").is_empty());
    let refused = out(&mut instances, 1.0, json!([["sync", 0, "refused", 0]]));
    assert!(named(&refused, "setTimer").is_empty() && named(&refused, "observe").is_empty());
}
