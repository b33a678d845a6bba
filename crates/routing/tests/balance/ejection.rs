//! Ejection and probing of failing replicas and zones, from one co-ordinator's own calls.

use crate::settings::{query_type, settings};
use crate::support::{balancer_of, listed, new_search, outcome, replica_id, search_in_flight_at};
use rstest::rstest;
use woadreach_routing::api::{
    CellId, Ending, ListedReplica, QueryTypeId, Search, ShardId, SlowStartConfig, ZoneId,
};
use woadreach_routing::balancer::Balancer;

/// A replica is ejected for failures of any kind, until four consecutive probes succeed. Probes are sent one at a time.
#[rstest]
#[case::errors(Ending::Errored, 0.01)]
#[case::timeouts(Ending::TimedOut, 0.4)]
#[case::unreachable(Ending::Unreachable, 0.25)]
#[case::broken_connections(Ending::Broken, 0.1)]
#[case::rejections(Ending::Full, 0.005)]
#[case::late_answers(Ending::Answered, 0.9)]
fn failing_replicas_are_ejected_and_probed(#[case] ending: Ending, #[case] latency: f64) {
    let mut settings = settings();
    settings.max_attempts = 1;
    let mut balancer = balancer_of(settings, &["a", "b"]);
    // Three answers first: in sparse traffic, the last failure alone would be decisive.
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

/// A replica whose answers are far slower than others, but take only a small share of the latency target, is not
/// ejected.
#[rstest]
#[case::small_share_of_target(0.1, true)]
#[case::large_share_of_target(0.2, false)]
fn ejection_for_late_answers_depends_on_the_latency_target(
    #[case] latency: f64,
    #[case] healthy: bool,
) {
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

/// A replica that fails part of the searches of one query type is ejected for this type alone. Attempts sent before the
/// ejection do not count as probes.
#[rstest]
#[case::one_type(false, 0, [false, true])]
#[case::both_types(true, 0, [false, false])]
#[case::other_type_fails_later(false, 2, [false, false])]
fn a_replica_is_ejected_for_the_failing_query_type(
    #[case] both: bool,
    #[case] later: u64,
    #[case] used: [bool; 2],
) {
    let mut settings = settings();
    settings.query_types.push(query_type());
    settings.hedging_allowed = false;
    let mut balancer = balancer_of(settings, &["a", "b"]);
    let typed = |n: u64, t: usize| Search {
        query_type: QueryTypeId(t),
        ..new_search(n, 1, 0.0, 3.0)
    };
    // All are in flight, alternating between the replicas, before the first one ends. The last ones are answered.
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

/// A zone is ejected if many of its replicas fail, even if each has only one outcome. Its other replicas are then used
/// only for shards without a holder in another zone.
#[rstest]
#[case::holder_in_other_zone(true, "z")]
#[case::no_other_holder(false, "y")]
fn failures_of_many_replicas_eject_their_zone(#[case] other: bool, #[case] chosen: &str) {
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

/// In sparse traffic a replica is avoided after a single failure, for as long as the failure is recent. In dense
/// traffic a single failure has no effect.
#[rstest]
#[case::sparse(0, 1.0, false)]
#[case::sparse_but_old(0, 11.0, true)]
#[case::dense(4, 1.0, true)]
fn a_single_failure_counts_in_sparse_traffic(
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

/// An ejected warm replica is used while slow start admits nothing to the other replicas.
#[rstest]
#[case::slow_start_admits(0, "b")]
#[case::slow_start_blocks(1, "a")]
fn an_ejected_replica_is_used_if_no_other_is_available(
    #[case] in_flight_at_warming: u64,
    #[case] chosen: &str,
) {
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
    for n in 0..in_flight_at_warming {
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

/// A failing replica is still used for a shard of which it is the only holder.
#[rstest]
fn the_only_holder_is_used_despite_failures() {
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
