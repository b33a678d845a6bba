//! Choice of a replica for an attempt.

mod common;

use std::sync::Arc;

use common::{Driver, call, engine_service, non_idempotent_call, replica, replicas, service};
use woadreach_scheduler::{
    Action, Call, Outcome, PrefixPart, ReplicaSpec, ServerLoad, ServiceSpec,
    connections_per_process,
};

fn in_zone(id: &str, zone: &str) -> ReplicaSpec {
    ReplicaSpec {
        zone: Arc::from(zone),
        ..replica(id)
    }
}

/// A call whose prompt consists of a part shared by all sessions and a part of its own session.
fn session_call(now: f64, id: u64, session: u64, tokens: u32) -> Call {
    let prefix = vec![
        PrefixPart {
            id: 1,
            tokens: 2_560,
        },
        PrefixPart {
            id: 100 + session,
            tokens,
        },
    ];
    Call {
        prefix,
        prompt_tokens: 2_560 + tokens,
        ..non_idempotent_call(now, id)
    }
}

fn sent_to(actions: &[Action]) -> Vec<String> {
    let replica = |action: &Action| match action {
        Action::Send { replica, .. } => Some(replica.to_string()),
        _ => None,
    };
    actions.iter().filter_map(replica).collect()
}

#[test]
fn the_replica_with_the_fewest_calls_in_flight_is_chosen() {
    let mut driver = Driver::new(1, service(), &replicas(&["a", "b", "c"]));
    for id in 1..=9 {
        driver.submit(non_idempotent_call(driver.now, id));
    }
    for name in ["a", "b", "c"] {
        let count = (1..=9).filter(|id| driver.sent_to(*id) == [name]).count();
        assert_eq!(count, 3, "{name}");
    }
}

#[test]
fn ties_are_broken_at_random() {
    let first =
        |seed| Driver::new(seed, service(), &replicas(&["a", "b", "c"])).submit(call(100.0, 1));
    let mut chosen: Vec<_> = (0..50).flat_map(|seed| sent_to(&first(seed))).collect();
    chosen.sort();
    chosen.dedup();
    assert_eq!(chosen, ["a", "b", "c"]);
}

#[test]
fn the_local_zone_is_preferred_among_equals() {
    let list = [
        in_zone("far", "zone-b"),
        in_zone("near", common::ZONE),
        in_zone("farther", "zone-c"),
    ];
    for seed in 0..20 {
        let mut driver = Driver::new(seed, service(), &list);
        assert_eq!(
            sent_to(&driver.submit(non_idempotent_call(driver.now, 1))),
            ["near"]
        );
        assert_ne!(
            sent_to(&driver.submit(non_idempotent_call(driver.now, 2))),
            ["near"],
            "the local replica has one call more"
        );
    }
}

#[test]
fn draining_replicas_receive_no_calls() {
    let mut driver = Driver::new(1, service(), &replicas(&["a", "b"]));
    driver.update_replicas(&[
        ReplicaSpec {
            ready: false,
            ..replica("a")
        },
        replica("b"),
    ]);
    for id in 1..=5 {
        assert_eq!(
            sent_to(&driver.submit(non_idempotent_call(driver.now, id))),
            ["b"]
        );
    }
}

#[test]
fn a_misdirected_replica_is_not_used_until_its_record_changes() {
    let mut driver = Driver::new(1, service(), &replicas(&["a"]));
    driver.submit(non_idempotent_call(driver.now, 1));
    let refused = driver.attempt_ended(1, 0, Outcome::Misdirected);
    assert!(matches!(refused[..], [Action::Refuse { .. }]));
    driver.submit(non_idempotent_call(driver.now, 2));
    assert!(driver.sent_to(2).is_empty());
    driver.update_replicas(&[ReplicaSpec {
        generation: Arc::from("v2"),
        ..replica("a")
    }]);
    driver.run_due();
    assert_eq!(driver.sent_to(2), ["a"]);
}

#[test]
fn calls_of_a_session_are_sent_to_the_replica_that_cached_its_prompt() {
    let mut driver = Driver::new(3, engine_service(), &replicas(&["a", "b", "c", "d"]));
    driver.submit(session_call(driver.now, 1, 5, 1_000));
    let first = driver.sent_to(1);
    driver.attempt_ended(1, 0, Outcome::Answered);
    for id in 2..=8 {
        driver.submit(session_call(driver.now, id, 5, 1_000 + 100 * id as u32));
        assert_eq!(driver.sent_to(id), first, "turn {id}");
        driver.attempt_ended(id, 0, Outcome::Answered);
    }
}

#[test]
fn a_session_without_prompt_parts_stays_at_its_replica() {
    let mut driver = Driver::new(3, engine_service(), &replicas(&["a", "b", "c", "d"]));
    let session_call = |now, id, prompt_tokens| Call {
        session: Some(9),
        prompt_tokens,
        ..non_idempotent_call(now, id)
    };
    for id in 1..=8 {
        driver.submit(session_call(driver.now, id, 2_000 + 500 * id as u32));
        driver.attempt_ended(id, 0, Outcome::Answered);
        assert_eq!(driver.sent_to(id), driver.sent_to(1), "turn {id}");
    }
}

#[test]
fn calls_with_a_shared_prompt_are_spread_over_all_replicas() {
    let mut driver = Driver::new(3, engine_service(), &replicas(&["a", "b", "c", "d"]));
    for id in 1..=40 {
        driver.submit(session_call(driver.now, id, id, 1_000));
    }
    for name in ["a", "b", "c", "d"] {
        let count = (1..=40).filter(|id| driver.sent_to(*id) == [name]).count();
        assert!((7..=13).contains(&count), "{name} has {count}");
    }
}

#[test]
fn a_replica_of_a_new_generation_has_an_empty_cache() {
    let mut driver = Driver::new(3, engine_service(), &replicas(&["a", "b"]));
    driver.submit(session_call(driver.now, 1, 5, 4_000));
    let first = driver.sent_to(1)[0].clone();
    driver.attempt_ended(1, 0, Outcome::Answered);
    driver.submit(session_call(driver.now, 2, 6, 1_000));
    let changed = ReplicaSpec {
        generation: Arc::from("v2"),
        ..replica(&first)
    };
    let other = if first == "a" { "b" } else { "a" };
    driver.update_replicas(&[changed, replica(other)]);
    driver.submit(session_call(driver.now, 3, 5, 4_000));
    assert_eq!(
        driver.sent_to(3),
        [other],
        "the replica without a call in flight"
    );
}

#[test]
fn a_replica_that_reports_full_slots_is_not_chosen() {
    let mut driver = Driver::new(1, service(), &replicas(&["a", "b"]));
    driver.submit(non_idempotent_call(driver.now, 1));
    let full = driver.sent_to(1)[0].clone();
    let load = ServerLoad {
        running: 6,
        waiting: 4,
        slots: 6,
    };
    driver.attempt_ended_with_load(1, 0, Outcome::Answered, Some(load));
    for id in 2..=4 {
        driver.submit(non_idempotent_call(driver.now, id));
        assert_ne!(driver.sent_to(id)[0], full, "the report has not expired");
    }
    driver.advance(1.5);
    driver.submit(non_idempotent_call(driver.now, 5));
    assert_eq!(
        driver.sent_to(5)[0],
        full,
        "the report has expired, and the replica has the fewest calls in flight"
    );
}

#[test]
fn calls_in_flight_at_a_replica_are_limited_to_the_share_of_its_connections() {
    let limited = ServiceSpec {
        max_conns: 6,
        ..service()
    };
    let mut driver = Driver::new(1, limited.clone(), &replicas(&["a", "b"]));
    driver.scheduler.update_services(&[limited], 3);
    for id in 1..=4 {
        assert_eq!(driver.submit(non_idempotent_call(driver.now, id)).len(), 1);
    }
    assert!(
        driver.submit(non_idempotent_call(driver.now, 5)).is_empty(),
        "the limit is 2 calls at each of 2 replicas"
    );
    let freed = driver.sent_to(1)[0].clone();
    assert_eq!(
        sent_to(&driver.attempt_ended(1, 0, Outcome::Answered)),
        [freed]
    );
}

#[test]
fn connections_of_a_replica_are_divided_among_the_processes() {
    assert_eq!(connections_per_process(230, 6), 38);
    assert_eq!(connections_per_process(6, 6), 1);
    assert_eq!(connections_per_process(5, 6), 1, "at least one");
    assert_eq!(
        connections_per_process(0, 4),
        256,
        "the default if no limit is configured"
    );
    assert_eq!(connections_per_process(4, 0), 4);
}

#[test]
fn a_replica_in_slow_start_has_one_call_in_flight_before_its_first_answers() {
    let warming = ReplicaSpec {
        cold_remaining: 10.0,
        ..replica("warming")
    };
    let mut driver = Driver::new(1, service(), &[replica("warm"), warming]);
    for id in 1..=8 {
        driver.submit(non_idempotent_call(driver.now, id));
    }
    let slow_start_calls = (1..=8)
        .filter(|id| driver.sent_to(*id) == ["warming"])
        .count();
    assert_eq!(slow_start_calls, 1);
}
