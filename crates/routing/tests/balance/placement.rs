//! Choice of replicas for parts, by load, shard and queue.

use crate::settings::{query_type, settings};
use crate::support::{balancer_of, listed, new_search, outcome, replica_id, search_in_flight_at};
use rstest::rstest;
use woadreach_routing::api::{
    CellId, Ending, ListedReplica, Placement, QueryType, QueryTypeId, SearchId, Settings, ShardId,
};
use woadreach_routing::balancer::Balancer;

#[rstest]
#[case::spread_over_two(&["a", "b"], 4, &[2, 2])]
#[case::spread_over_three(&["a", "b", "c"], 6, &[2, 2, 2])]
fn parts_are_sent_to_the_least_loaded_replicas(
    #[case] names: &[&str],
    #[case] parts: usize,
    #[case] each: &[usize],
) {
    let mut balancer = balancer_of(settings(), names);
    let plan = balancer.place(0.0, &mut new_search(1, parts, 0.0, 3.0));
    let counts: Vec<usize> = names
        .iter()
        .map(|name| {
            let to_replica = |placement: &&Placement| placement.replica == replica_id(name);
            plan.send.iter().filter(to_replica).count()
        })
        .collect();
    assert_eq!(counts, each);
}

/// If parts share calls, the load of a replica is its number of calls in flight: a call with three parts counts as much
/// as a call with one part.
#[rstest]
#[case::one_part_per_call(1, false)]
#[case::four_parts_per_call(4, true)]
fn load_is_the_number_of_calls(#[case] parts_per_call: usize, #[case] ties: bool) {
    let chosen = |seed: u64| {
        let mut balancer = balancer_of(
            Settings {
                parts_per_call,
                seed,
                ..settings()
            },
            &["a"],
        );
        balancer.place(0.0, &mut new_search(1, 3, 0.0, 3.0));
        balancer.apply_endpoint_list(false, &[listed("b", true, None)]);
        balancer.place(0.1, &mut new_search(2, 1, 0.1, 3.0));
        balancer.place(0.2, &mut new_search(3, 1, 0.2, 3.0)).send[0]
            .replica
            .clone()
    };
    assert_eq!((0..20).any(|seed| chosen(seed) == replica_id("a")), ties);
}

/// A co-ordinator with a replica that was listed in cell 1, and after its restart in cell 0.
fn restarted_in_another_cell() -> Balancer {
    let settings = Settings {
        cells: 2,
        ..settings()
    };
    let mut balancer = balancer_of(settings, &[]);
    let before = ListedReplica {
        cell: CellId(1),
        ..listed("a", true, Some(1.0))
    };
    balancer.apply_endpoint_list(false, &[before]);
    balancer.apply_endpoint_list(false, &[listed("a", true, Some(2.0))]);
    balancer
}

/// A replica that restarts with another cell's shards is removed from its old cell.
#[test]
fn a_replica_restarted_in_another_cell_is_removed_from_the_old_one() {
    let mut balancer = restarted_in_another_cell();
    let of_the_old_cell = |balancer: &mut Balancer, n| {
        let mut search = new_search(n, 1, 9.0, 3.0);
        search.parts[0].shard = ShardId(1);
        balancer.place(9.0, &mut search).send
    };
    assert_eq!(of_the_old_cell(&mut balancer, 1), []);
    assert_eq!(
        balancer
            .place(9.0, &mut new_search(2, 1, 9.0, 3.0))
            .send
            .len(),
        1
    );
    let mut departed = restarted_in_another_cell();
    departed.apply_endpoint_list(true, &[]);
    assert_eq!(of_the_old_cell(&mut departed, 3), []);
}

/// After a rejection or timeout, parts beyond the limit on calls in flight are queued. The next answer admits the
/// search with the earliest deadline.
#[rstest]
#[case::after_rejection(Ending::Full)]
#[case::after_timeout(Ending::TimedOut)]
fn queued_parts_are_sent_by_deadline(#[case] trigger: Ending) {
    let mut settings = settings();
    settings.query_types.push(QueryType {
        latency_target: 0.5,
        ..query_type()
    });
    // No replica has answered late, so that admission does not shed the queued searches.
    let mut balancer = balancer_of(settings, &["a"]);
    let mut first = new_search(1, 3, 0.0, 3.0);
    let sent = balancer.place(0.0, &mut first).send;
    balancer.attempt_finished(0.1, None, &outcome(&sent[2], 0, trigger, 0.1));
    let (mut slow, mut fast) = (new_search(2, 1, 0.1, 3.0), new_search(3, 1, 0.12, 3.0));
    fast.query_type = QueryTypeId(1);
    let admitted = balancer.place(0.1, &mut slow);
    assert_eq!(
        admitted.send.len(),
        1,
        "two are in flight, as many as at the outcome: one more is allowed"
    );
    let mut later = new_search(4, 1, 0.1, 3.0);
    assert!(
        balancer.place(0.1, &mut later).send.is_empty()
            && balancer.place(0.12, &mut fast).send.is_empty()
    );
    assert!(!later.finished && !fast.finished);
    let plan = balancer.attempt_finished(0.2, None, &outcome(&sent[0], 0, Ending::Answered, 0.2));
    assert_eq!(plan.reconsider, [SearchId(3)]);
    assert_eq!(balancer.place(0.2, &mut fast).send.len(), 1);
}

/// A replica is sent no new parts once the endpoint list has it as draining, or no longer has it.
#[rstest]
#[case::draining(false, vec![listed("a", false, None)])]
#[case::absent_from_full_list(true, vec![listed("b", true, None)])]
fn draining_replicas_are_sent_no_new_parts(#[case] full: bool, #[case] lines: Vec<ListedReplica>) {
    let mut balancer = balancer_of(settings(), &["a", "b"]);
    balancer.apply_endpoint_list(full, &lines);
    for n in 0..20 {
        let plan = balancer.place(0.0, &mut new_search(n, 2, 0.0, 3.0));
        assert!(
            plan.send
                .iter()
                .all(|placement| placement.replica == replica_id("b"))
        );
    }
}

/// The state of a departed replica is removed: at once, or when its last part ends.
#[rstest]
#[case::idle(false)]
#[case::with_a_part_in_flight(true)]
fn state_of_a_departed_replica_is_removed(#[case] in_flight: bool) {
    let mut balancer = balancer_of(settings(), &["a", "b"]);
    for n in 0..5 {
        let (_, placement) = search_in_flight_at(&mut balancer, "a", 0.0);
        let ending = if n < 3 {
            Ending::Answered
        } else {
            Ending::Errored
        };
        balancer.attempt_finished(0.0, None, &outcome(&placement, 0, ending, 0.1));
    }
    let (_, last) = search_in_flight_at(&mut balancer, "a", 0.0);
    let finish = |balancer: &mut Balancer| {
        balancer.attempt_finished(0.1, None, &outcome(&last, 0, Ending::Errored, 0.1));
    };
    if !in_flight {
        finish(&mut balancer);
    }
    balancer.apply_endpoint_list(false, &[listed("a", false, None)]);
    if in_flight {
        finish(&mut balancer);
    }
    balancer.apply_endpoint_list(false, &[listed("a", true, None)]);
    let to_a = (1..=20).filter(|n| {
        balancer.place(0.2, &mut new_search(*n, 1, 0.2, 3.0)).send[0].replica == replica_id("a")
    });
    assert!(to_a.count() > 0);
}
