//! Replicas and zones that fail are ejected and probed, by this co-ordinator's own calls.

use crate::settings::{query_type, settings};
use crate::support::{balancer_of, listed, new_search, outcome, replica_id, search_in_flight_at};
use rstest::rstest;
use woadreach_routing::api::{
    CellId, Ending, ListedReplica, QueryTypeId, Search, ShardId, SlowStartConfig, ZoneId,
};
use woadreach_routing::balancer::Balancer;

/// Whatever makes a replica's attempts fail ejects it, until four probes in a row succeed.
#[rstest]
#[case::errors(Ending::Errored, 0.01)]
#[case::time_outs(Ending::TimedOut, 0.4)]
#[case::unreachable(Ending::Unreachable, 0.25)]
#[case::resets(Ending::Broken, 0.1)]
#[case::refusing_at_once(Ending::Full, 0.005)]
#[case::far_slower(Ending::Answered, 0.9)]
fn failing_replicas_are_ejected_and_probed(#[case] ending: Ending, #[case] latency: f64) {
    let mut settings = settings();
    settings.max_attempts = 1;
    let mut balancer = balancer_of(settings, &["a", "b"]);
    // Three answers first, or the last failure alone would decide.
    for n in 0..6 {
        let now = f64::from(n) * 0.01;
        let (_, placement) = search_in_flight_at(&mut balancer, "a", now);
        let ended = if n < 3 {
            outcome(&placement, 0, Ending::Answered, 0.1)
        } else {
            outcome(&placement, 0, ending, latency)
        };
        balancer.attempt_finished(now, None, &ended);
    }
    let sends = |balancer: &mut Balancer, now: f64| -> usize {
        let mut at_a = 0;
        for n in 1..=10 {
            let mut search = new_search(n, 1, now, 3.0);
            for placement in balancer.place(now, &mut search).send {
                at_a += usize::from(placement.replica == replica_id("a"));
                if placement.replica == replica_id("b") {
                    balancer.attempt_finished(
                        now,
                        None,
                        &outcome(&placement, 0, Ending::Answered, 0.1),
                    );
                }
            }
        }
        at_a
    };
    assert_eq!(sends(&mut balancer, 0.1), 0);
    assert_eq!(sends(&mut balancer, 20.0), 1, "one probe at a time");
}

/// Answers far slower than others, but a small part of the latency target, do not eject their replica.
#[rstest]
#[case::small(0.1, true)]
#[case::not_small(0.2, false)]
fn slow_replicas_are_judged_by_the_target_too(#[case] latency: f64, #[case] healthy: bool) {
    let mut balancer = balancer_of(settings(), &["a", "b"]);
    for n in 0..130 {
        let placement = balancer
            .place(0.0, &mut new_search(n + 1, 1, 0.0, 3.0))
            .send[0]
            .clone();
        let slow = n > 120 && placement.replica == replica_id("a");
        let latency = if slow { latency } else { 0.005 };
        balancer.attempt_finished(
            0.0,
            None,
            &outcome(&placement, 0, Ending::Answered, latency),
        );
    }
    let sent = (2000..2020).flat_map(|n| balancer.place(0.1, &mut new_search(n, 1, 0.1, 3.0)).send);
    assert_eq!(
        sent.filter(|placement| placement.replica == replica_id("a"))
            .count()
            > 1,
        healthy
    );
}

/// A replica that fails one query type, and only part of it, is ejected for that one alone. What was sent before
/// that is no probe.
#[rstest]
#[case::one_type(false, 0, [false, true])]
#[case::both(true, 0, [false, false])]
#[case::the_other_later(false, 2, [false, false])]
fn one_query_type_may_fail(#[case] both: bool, #[case] later: u64, #[case] used: [bool; 2]) {
    let mut settings = settings();
    settings.query_types.push(query_type());
    settings.hedging_allowed = false;
    let mut balancer = balancer_of(settings, &["a", "b"]);
    let typed = |n: u64, t: usize| Search {
        query_type: QueryTypeId(t),
        ..new_search(n, 1, 0.0, 3.0)
    };
    // All are in flight, by turns at either, before the first ends; those that come last are answered.
    let types = [1; 8]
        .into_iter()
        .chain((0..16).map(|n| n / 2 % 2))
        .chain([0; 10]);
    let sent: Vec<_> = types
        .zip(1..)
        .map(|(t, n)| (t, balancer.place(0.0, &mut typed(n, t)).send.remove(0)))
        .collect();
    for (n, (t, placement)) in sent
        .iter()
        .filter(|(_, placement)| placement.replica == replica_id("a"))
        .enumerate()
    {
        let fails = both || (*t == 0 && n < 12);
        let ending = if fails {
            Ending::Errored
        } else {
            Ending::Answered
        };
        balancer.attempt_finished(0.1, None, &outcome(placement, 0, ending, 0.1));
    }
    for n in 0..later {
        let placement = balancer.place(0.1, &mut typed(1000 + n, 1)).send.remove(0);
        assert_eq!(placement.replica, replica_id("a"));
        balancer.attempt_finished(0.1, None, &outcome(&placement, 0, Ending::Errored, 0.01));
    }
    for (t, used) in used.into_iter().enumerate() {
        let sent = (5000..5010).flat_map(|n| balancer.place(0.2, &mut typed(n, t)).send);
        assert_eq!(
            sent.filter(|placement| placement.replica == replica_id("a"))
                .count()
                > 0,
            used,
            "query type {t}"
        );
    }
}

/// Replicas of one zone, each known by a single outcome, all failed: the others of the zone get nothing while there
/// is a holder in another zone, and serve where there is none.
#[rstest]
#[case::other_zone_has_it(true, "z")]
#[case::no_other_holder(false, "y")]
fn a_failing_link_ejects_its_zone(#[case] other: bool, #[case] chosen: &str) {
    let mut settings = settings();
    (settings.cells, settings.max_attempts) = (9, 1);
    let mut balancer = balancer_of(settings, &[]);
    let at = |name: &str, cell, zone| ListedReplica {
        zone: ZoneId(zone),
        cell: CellId(cell),
        ..listed(name, true, None)
    };
    let names: Vec<String> = (0..8).map(|n| format!("x{n}")).collect();
    let mut lines: Vec<ListedReplica> = names
        .iter()
        .zip(0..)
        .map(|(n, cell)| at(n, cell, 1))
        .collect();
    lines.push(at("y", 8, 1));
    lines.extend(other.then(|| at("z", 8, 2)));
    balancer.apply_endpoint_list(true, &lines);
    let mut search = new_search(1, 8, 0.0, 3.0);
    for placement in balancer.place(0.0, &mut search).send {
        balancer.attempt_finished(0.5, None, &outcome(&placement, 0, Ending::TimedOut, 0.5));
    }
    for n in 0..10 {
        let mut search = new_search(10 + n, 1, 0.6, 3.0);
        search.parts[0].shard = ShardId(8);
        assert_eq!(
            balancer.place(0.6, &mut search).send[0].replica,
            replica_id(chosen)
        );
    }
}

/// Where traffic is sparse one failure keeps a replica out until it is old; elsewhere one means nothing.
#[rstest]
#[case::sparse(0, 1.0, false)]
#[case::sparse_but_old(0, 11.0, true)]
#[case::dense(4, 1.0, true)]
fn the_last_outcome_decides_in_sparse_traffic(
    #[case] good: u64,
    #[case] later: f64,
    #[case] used: bool,
) {
    let mut balancer = balancer_of(settings(), &["a", "b"]);
    for n in 0..=good {
        let (_, placement) = search_in_flight_at(&mut balancer, "a", 0.1);
        let ending = if n == good {
            Ending::Errored
        } else {
            Ending::Answered
        };
        balancer.attempt_finished(0.2, None, &outcome(&placement, 0, ending, 0.1));
    }
    let now = 0.2 + later;
    let at_a = (1..=20).any(|n| {
        balancer.place(now, &mut new_search(n, 1, now, 3.0)).send[0].replica == replica_id("a")
    });
    assert_eq!(at_a, used);
}

/// An ejected warm replica serves where slow start keeps the others closed.
#[rstest]
#[case::cold_open(0, "b")]
#[case::cold_closed(1, "a")]
fn an_ejected_replica_is_better_than_none(#[case] out_at_cold: u64, #[case] chosen: &str) {
    let mut settings = settings();
    settings.slow_start = Some(SlowStartConfig {
        initial_capacity: 0.2,
        duration: 100.0,
        overload_multiple: 2.5,
        overload_window: 1.0,
    });
    (settings.max_attempts, settings.coordinators) = (1, 1);
    let mut balancer = balancer_of(settings, &["a"]);
    for n in 0..2 {
        let now = 0.01 * n as f64;
        let (_, placement) = search_in_flight_at(&mut balancer, "a", now);
        balancer.attempt_finished(now, None, &outcome(&placement, 0, Ending::Errored, 0.01));
    }
    balancer.apply_endpoint_list(false, &[listed("b", true, Some(9.0))]);
    for n in 0..out_at_cold {
        balancer.place(10.0, &mut new_search(n + 10, 1, 10.0, 3.0));
    }
    assert_eq!(
        balancer
            .place(10.01, &mut new_search(50, 1, 10.01, 3.0))
            .send[0]
            .replica,
        replica_id(chosen)
    );
}

/// A replica that fails still serves where it is the only holder.
#[rstest]
fn never_all_holders() {
    let mut balancer = balancer_of(settings(), &["a"]);
    for n in 0..12 {
        let mut search = new_search(n + 1, 1, n as f64, 3.0);
        let placement = balancer.place(n as f64, &mut search).send[0].clone();
        balancer.attempt_finished(
            n as f64 + 0.1,
            Some(&mut search),
            &outcome(&placement, 0, Ending::Errored, 0.1),
        );
    }
    assert_eq!(
        balancer
            .place(20.0, &mut new_search(99, 1, 20.0, 3.0))
            .send
            .len(),
        1
    );
}
