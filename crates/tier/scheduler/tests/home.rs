//! Homes of programs and objects, on which processes agree without messages.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use common::{Driver, engine_service, non_idempotent_call, replica, replicas, service};
use woadreach_scheduler::{Call, Outcome, PrefixPart, ReplicaSpec};

/// A call of `program`, whose prompt no process has sent before.
fn program_call(now: f64, id: u64, program: u64) -> Call {
    let prefix = vec![
        PrefixPart {
            id: 1,
            tokens: 2_560,
        },
        PrefixPart {
            id: 1_000 + program,
            tokens: 1_440,
        },
    ];
    Call {
        program: Some(program),
        prefix,
        prompt_tokens: 4_000,
        ..non_idempotent_call(now, id)
    }
}

fn object_call(now: f64, id: u64, object: u64) -> Call {
    Call {
        affinity: Some(object),
        ..non_idempotent_call(now, id)
    }
}

fn fleet(size: usize) -> Vec<ReplicaSpec> {
    (0..size)
        .map(|number| replica(&format!("replica-{number}")))
        .collect()
}

/// Replica to which a process without any observations sends a call of `program`.
fn home_of(seed: u64, list: &[ReplicaSpec], program: u64) -> String {
    let mut driver = Driver::new(seed, engine_service(), list);
    driver.submit(program_call(driver.now, 1, program));
    driver.sent_to(1)[0].clone()
}

#[test]
fn processes_agree_on_homes_without_communication() {
    for size in [2, 7, 56, 300] {
        let list = fleet(size);
        for program in 0..20 {
            let homes: BTreeSet<String> =
                (0..4).map(|seed| home_of(seed, &list, program)).collect();
            assert_eq!(homes.len(), 1, "{size} replicas, program {program}");
        }
    }
}

#[test]
fn programs_spread_across_all_replicas() {
    let list = fleet(10);
    let mut programs: BTreeMap<String, usize> = BTreeMap::new();
    for program in 0..500 {
        *programs.entry(home_of(1, &list, program)).or_default() += 1;
    }
    assert_eq!(programs.len(), 10);
    assert!(
        programs.values().all(|count| (25..=80).contains(count)),
        "{programs:?}"
    );
}

#[test]
fn departure_of_a_replica_moves_only_its_own_programs() {
    let before = fleet(12);
    let after = &before[1..];
    for program in 0..100 {
        let home = home_of(1, &before, program);
        if home != *before[0].id {
            assert_eq!(home_of(1, after, program), home);
        }
    }
}

#[test]
fn a_draining_or_unreachable_home_is_replaced_by_the_next_in_rank() {
    let list = fleet(8);
    let first = home_of(1, &list, 5);
    let others: Vec<ReplicaSpec> = list
        .iter()
        .filter(|spec| *spec.id != *first)
        .cloned()
        .collect();
    let second = home_of(1, &others, 5);
    let drain = |spec: &ReplicaSpec| ReplicaSpec {
        ready: *spec.id != *first,
        ..spec.clone()
    };
    let draining: Vec<ReplicaSpec> = list.iter().map(drain).collect();
    assert_eq!(home_of(2, &draining, 5), second);

    let mut driver = Driver::new(3, engine_service(), &list);
    driver.submit(program_call(driver.now, 1, 5));
    driver.attempt_ended(1, 0, Outcome::Unreachable);
    assert_eq!(driver.sent_to(1), [first, second.clone()]);
    driver.submit(program_call(driver.now, 2, 5));
    assert_eq!(driver.sent_to(2), [second], "the first is ejected here");
}

#[test]
fn a_home_with_many_more_calls_in_flight_is_not_chosen() {
    let mut driver = Driver::new(1, engine_service(), &fleet(6));
    for id in 1..=30 {
        // Concurrent sub-agents, each with a different second part of the prompt.
        let mut call = program_call(driver.now, id, 5);
        call.prefix[1].id += id;
        driver.submit(call);
    }
    let home = driver.sent_to(1)[0].clone();
    assert!(
        (1..=3).all(|id| driver.sent_to(id)[0] == home),
        "a few more calls at the home cost less than a prefill elsewhere"
    );
    let at_home = (1..=30).filter(|id| driver.sent_to(*id)[0] == home).count();
    assert!(
        at_home <= 10,
        "{at_home} of 30 calls at the home of six replicas"
    );
}

#[test]
fn calls_about_an_object_go_to_its_home_while_it_is_no_busier() {
    let list = replicas(&["a", "b", "c", "d"]);
    let mut driver = Driver::new(1, service(), &list);
    driver.submit(object_call(driver.now, 1, 77));
    let home = driver.sent_to(1)[0].clone();
    driver.submit(object_call(driver.now, 2, 77));
    assert_ne!(
        driver.sent_to(2)[0],
        home,
        "the home has one call more than the others"
    );
    driver.attempt_ended(1, 0, Outcome::Answered);
    driver.attempt_ended(2, 0, Outcome::Answered);
    for seed in 2..10 {
        let mut other = Driver::new(seed, service(), &list);
        other.submit(object_call(other.now, 1, 77));
        assert_eq!(other.sent_to(1)[0], home, "seed {seed}");
    }
}

#[test]
fn homes_of_objects_are_in_any_zone() {
    let in_other_zone = |id: &str| ReplicaSpec {
        zone: Arc::from("zone-b"),
        ..replica(id)
    };
    let list = [
        replica("near"),
        in_other_zone("far-1"),
        in_other_zone("far-2"),
        in_other_zone("far-3"),
    ];
    let homes: BTreeSet<String> = (0..40)
        .map(|object| {
            let mut driver = Driver::new(1, service(), &list);
            driver.submit(object_call(driver.now, 1, object));
            driver.sent_to(1)[0].clone()
        })
        .collect();
    assert_eq!(homes.len(), 4);
}

/// Replicas in the given zones, with the number of replicas for each.
fn zones(counts: &[(&str, usize)]) -> Vec<ReplicaSpec> {
    let of_zone = |(zone, count): &(&str, usize)| {
        let zone: Arc<str> = Arc::from(*zone);
        let named = move |number| ReplicaSpec {
            zone: zone.clone(),
            ..replica(&format!("{zone}-{number}"))
        };
        (0..*count).map(named).collect::<Vec<_>>()
    };
    counts.iter().flat_map(of_zone).collect()
}

#[test]
fn programs_have_their_home_in_the_local_zone() {
    let list = zones(&[(common::ZONE, 3), ("zone-b", 4), ("zone-c", 3)]);
    for program in 0..50 {
        assert!(
            home_of(1, &list, program).starts_with(common::ZONE),
            "program {program}"
        );
    }
}

#[test]
fn homes_are_local_only_if_the_zone_has_enough_replicas() {
    let cases: [(&[(&str, usize)], bool); 4] = [
        (&[(common::ZONE, 1), ("zone-b", 10), ("zone-c", 10)], false),
        (&[(common::ZONE, 4), ("zone-b", 10), ("zone-c", 10)], true),
        (&[(common::ZONE, 1), ("zone-b", 3)], true),
        (&[(common::ZONE, 1), ("zone-b", 4)], false),
    ];
    for (counts, all_stay) in cases {
        let list = zones(counts);
        let local = (0..60)
            .filter(|program| home_of(1, &list, *program).starts_with(common::ZONE))
            .count();
        assert_eq!(
            local == 60,
            all_stay,
            "{counts:?}: {local} of 60 in the local zone"
        );
        assert!(
            all_stay || local < 30,
            "{counts:?}: {local} of 60 in the local zone"
        );
    }
}

#[test]
fn programs_of_a_zone_without_replicas_have_homes_in_all_other_zones() {
    let list = zones(&[("zone-b", 3), ("zone-c", 3)]);
    let homes: BTreeSet<String> = (0..40).map(|program| home_of(1, &list, program)).collect();
    assert_eq!(homes.len(), 6);
}
