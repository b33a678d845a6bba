//! Tables of cases for the decision module; no bench needed.

mod common;
use common::*;
use rstest::rstest;
use std::collections::BTreeSet;
use woadreach_routing::api::*;
use woadreach_routing::decide::balancer::Balancer;

const MAYBE_RUN: [Ending; 4] = [
    Ending::Errored,
    Ending::TimedOut,
    Ending::Broken,
    Ending::Cancelled,
];

#[rstest]
#[case::spread_over_two(&["a", "b"], 4, &[2, 2])]
#[case::spread_over_three(&["a", "b", "c"], 6, &[2, 2, 2])]
fn fewest_own_parts_out(#[case] names: &[&str], #[case] parts: usize, #[case] each: &[usize]) {
    let mut b = balancer(settings(), names);
    let plan = b.place(0.0, &mut search(1, parts, 0.0, 3.0));
    let counts: Vec<usize> = names
        .iter()
        .map(|n| plan.send.iter().filter(|p| p.replica == id(n)).count())
        .collect();
    assert_eq!(counts, each);
}

/// Where parts share calls, a replica's load is its calls out: three parts in one call tie with one part.
#[rstest]
#[case::one_part_a_call(1, false)]
#[case::four_parts_a_call(4, true)]
fn load_counts_calls(#[case] parts_per_call: usize, #[case] ties: bool) {
    let chosen = |seed: u64| {
        let mut b = balancer(
            Settings {
                parts_per_call,
                seed,
                ..settings()
            },
            &["a"],
        );
        b.place(0.0, &mut search(1, 3, 0.0, 3.0));
        b.list(false, &[line("b", true, None)]);
        b.place(0.1, &mut search(2, 1, 0.1, 3.0));
        b.place(0.2, &mut search(3, 1, 0.2, 3.0)).send[0]
            .replica
            .clone()
    };
    assert_eq!((0..20).any(|seed| chosen(seed) == id("a")), ties);
}

/// A replica that restarts and takes another cell's shards leaves its old cell.
#[test]
fn a_restart_in_another_cell_leaves_the_old_one() {
    let mut b = balancer(
        Settings {
            cells: 2,
            ..settings()
        },
        &[],
    );
    b.list(
        false,
        &[Listed {
            cell: CellId(1),
            ..line("a", true, Some(1.0))
        }],
    );
    b.list(false, &[line("a", true, Some(2.0))]);
    let of_the_old_cell = |b: &mut Balancer, n| {
        let mut search = search(n, 1, 9.0, 3.0);
        search.parts[0].shard = ShardId(1);
        b.place(9.0, &mut search).send
    };
    assert_eq!(of_the_old_cell(&mut b, 1), []);
    assert_eq!(b.place(9.0, &mut search(2, 1, 9.0, 3.0)).send.len(), 1);
    let mut gone = balancer(
        Settings {
            cells: 2,
            ..settings()
        },
        &[],
    );
    gone.list(
        false,
        &[Listed {
            cell: CellId(1),
            ..line("a", true, Some(1.0))
        }],
    );
    gone.list(false, &[line("a", true, Some(2.0))]);
    gone.list(true, &[]);
    assert_eq!(of_the_old_cell(&mut gone, 3), []);
}

/// Full at two own parts out: a third waits; an answer lets the search with the earliest deadline go.
#[rstest]
#[case::after_full(Ending::Full)]
#[case::after_time_out(Ending::TimedOut)]
fn queued_parts_leave_by_deadline(#[case] trigger: Ending) {
    let mut set = settings();
    set.query_types.push(QueryType {
        latency_target: 0.5,
        ..query_type()
    });
    // Chance must not shed the held ones: no replica has answered late.
    let mut b = balancer(set, &["a"]);
    let mut first = search(1, 3, 0.0, 3.0);
    let sent = b.place(0.0, &mut first).send;
    b.after(0.1, None, &ended(&sent[2], 0, trigger, 0.1));
    let (mut slow, mut fast) = (search(2, 1, 0.1, 3.0), search(3, 1, 0.12, 3.0));
    fast.query_type = QueryTypeId(1);
    let let_in = b.place(0.1, &mut slow);
    assert_eq!(
        let_in.send.len(),
        1,
        "two are out, as at the answer: one more may go"
    );
    let mut later = search(4, 1, 0.1, 3.0);
    assert!(b.place(0.1, &mut later).send.is_empty() && b.place(0.12, &mut fast).send.is_empty());
    assert!(!later.finished && !fast.finished);
    let plan = b.after(0.2, None, &ended(&sent[0], 0, Ending::Answered, 0.2));
    assert_eq!(plan.reconsider, [SearchId(3)]);
    assert_eq!(b.place(0.2, &mut fast).send.len(), 1);
}

/// The final answer comes before the client's time is up, whatever stands in the way.
#[rstest]
#[case::no_holder(&[], 3.0)]
#[case::nearly_over(&["a"], 0.001)]
#[case::already_over(&["a"], 0.0)]
#[case::silence(&["a", "b"], 2.0)]
fn no_search_is_lost(#[case] names: &[&str], #[case] left: f64) {
    let mut b = balancer(settings(), names);
    let mut q = search(1, 2, 5.0, left);
    let (mut now, mut replies) = (5.0, 0);
    for _ in 0..200 {
        let plan = b.place(now, &mut q);
        replies += usize::from(plan.reply.is_some());
        assert!(plan.reply.is_none() || plan.send.is_empty());
        if q.finished {
            break;
        }
        now += b.wait(now, &q);
    }
    assert!(
        q.finished && replies == 1 && now <= 5.0 + left,
        "ended at {now}"
    );
    assert!(
        b.place(now, &mut q).reply.is_none(),
        "one final answer only"
    );
}

/// Which types may be sent again after an outcome, and whether their search may be shed.
#[rstest]
#[case::idempotent(Repeat::Idempotent, true, true)]
#[case::tokened(Repeat::Tokened { window: 2.0, any_holder: true }, true, false)]
#[case::tokened_too_late(Repeat::Tokened { window: 0.05, any_holder: true }, false, false)]
#[case::tokened_elsewhere(Repeat::Tokened { window: 2.0, any_holder: false }, true, false)]
#[case::non_idempotent(Repeat::NonIdempotent, false, false)]
fn no_effect_twice(#[case] repeat: Repeat, #[case] again: bool, #[case] shed: bool) {
    for ending in MAYBE_RUN {
        let mut set = settings();
        set.query_types[0].repeat = repeat;
        let mut b = balancer(set, &["a", "b", "c"]);
        let mut q = search(1, 1, 0.0, 3.0);
        let sent = b.place(0.0, &mut q).send[0].clone();
        let plan = b.after(0.1, Some(&mut q), &ended(&sent, 0, ending, 0.1));
        assert_eq!(!plan.send.is_empty(), again, "{ending:?}");
        if matches!(
            repeat,
            Repeat::Tokened {
                any_holder: false,
                ..
            }
        ) {
            assert_eq!(plan.send[0].replica, sent.replica);
        }
        let end = if again { b.place(2.999, &mut q) } else { plan };
        assert_eq!(
            matches!(end.reply, Some(Reply::Shed { .. })),
            shed,
            "{ending:?}"
        );
        assert!(end.reply.is_some());
    }
}

#[rstest]
#[case::full(Ending::Full)]
#[case::unreachable(Ending::Unreachable)]
#[case::never_sent(Ending::NeverSent)]
fn proven_unrun_may_go_again(#[case] ending: Ending) {
    let mut set = settings();
    set.query_types[0].repeat = Repeat::NonIdempotent;
    let mut b = balancer(set, &["a", "b"]);
    let mut q = search(1, 1, 0.0, 3.0);
    let sent = b.place(0.0, &mut q).send[0].clone();
    assert_eq!(
        b.after(0.1, Some(&mut q), &ended(&sent, 0, ending, 0.1))
            .send
            .len(),
        1
    );
}

/// Nothing new to a replica that drains or is gone, from the moment the list says so.
#[rstest]
#[case::draining(false, vec![line("a", false, None)])]
#[case::absent_from_full(true, vec![line("b", true, None)])]
fn draining_replicas_get_nothing_new(#[case] full: bool, #[case] lines: Vec<Listed>) {
    let mut b = balancer(settings(), &["a", "b"]);
    b.list(full, &lines);
    for n in 0..20 {
        let plan = b.place(0.0, &mut search(n, 2, 0.0, 3.0));
        assert!(plan.send.iter().all(|p| p.replica == id("b")));
    }
}

/// A cold replica alone: what leaves in any window stays under this co-ordinator's share of the limit.
#[rstest]
#[case::just_started(0.0, Ending::Answered)]
#[case::half_warm(5.0, Ending::Answered)]
#[case::refusing(0.0, Ending::Full)]
fn a_warming_replica_is_not_overloaded(#[case] age: f64, #[case] ending: Ending) {
    let mut set = settings();
    set.slow_start = Some(SlowStartConfig {
        initial_capacity: 0.2,
        duration: 10.0,
        overload_multiple: 2.5,
        overload_window: 1.0,
    });
    let mut b = balancer(set, &[]);
    b.list(true, &[line("a", true, Some(10.0 - age))]);
    let mut sent = 0;
    for n in 0..100 {
        let now = 10.0 + 0.01 * n as f64;
        let mut q = search(n + 1, 1, now, 3.0);
        for p in b.place(now, &mut q).send {
            sent += 1;
            b.after(now, Some(&mut q), &ended(&p, 0, ending, 0.005));
        }
    }
    // Unloaded answers of 5 ms or, without any, a fifth of the target: 200 parts or 5 a second, by half.
    let warmth = 0.2 + 0.8 * (age + 1.0) / 10.0;
    let work = if ending == Ending::Answered {
        0.005
    } else {
        0.2
    };
    assert!(
        sent >= 1 && f64::from(sent) <= (2.5 * warmth / work / 2.0_f64).max(1.0),
        "{sent} sent"
    );
}

/// Many co-ordinators, each of them alone, one part each in every window: together under the limit from the
/// first window on, and not so tight that a cold replica gets nothing.
#[rstest]
#[case::three(3)]
#[case::many(150)]
fn slow_start_shares_add_up_to_the_limit(#[case] coordinators: usize) {
    let cold = Some(SlowStartConfig {
        initial_capacity: 0.2,
        duration: 20.0,
        overload_multiple: 2.5,
        overload_window: 1.0,
    });
    let mut sent = [0_usize; 8];
    for n in 0..coordinators as u64 {
        let mut b = balancer(
            Settings {
                coordinators,
                seed: n,
                slow_start: cold.clone(),
                ..settings()
            },
            &[],
        );
        b.list(true, &[line("a", true, Some(10.0))]);
        for (window, sent) in sent.iter_mut().enumerate() {
            let now = 10.01 + window as f64;
            let mut q = search(window as u64, 1, now, 3.0);
            for p in b.place(now, &mut q).send {
                *sent += 1;
                b.after(now, Some(&mut q), &ended(&p, 0, Ending::Answered, 0.05));
            }
        }
    }
    // Without samples a part counts as a fifth of the target, later as its 0.05 s: 2.5 and 10 parts at first.
    assert!(
        sent[0] <= 2 && sent[1..].iter().all(|n| *n <= 17),
        "{sent:?}"
    );
    assert!(sent.iter().sum::<usize>() >= 8, "{sent:?}");
}

/// Thirty co-ordinators whose shares add up to 1.25 parts a window: their turns do, in each window, and are
/// not left to chance. It is half an even share of 2.5 times what one core does at a fifth of its capacity,
/// in parts of a fifth of a second.
#[test]
fn turns_of_a_tier_add_up() {
    let cold = Some(SlowStartConfig {
        initial_capacity: 0.2,
        duration: 1e6,
        overload_multiple: 2.5,
        overload_window: 1.0,
    });
    let sent = |window: u64| -> usize {
        let one = |me: u64| {
            let set = Settings {
                coordinators: 30,
                coordinator_index: Some(me),
                slow_start: cold.clone(),
                ..settings()
            };
            let mut b = balancer(set, &[]);
            b.list(true, &[line("a", true, Some(10.0))]);
            b.place(
                10.01 + window as f64,
                &mut search(1, 1, 10.01 + window as f64, 3.0),
            )
            .send
            .len()
        };
        (0..30).map(one).sum()
    };
    let sent: Vec<usize> = (0..400).map(sent).collect();
    assert!(sent.iter().all(|n| *n <= 2), "{sent:?}");
    assert!(
        (480..=520).contains(&sent.iter().sum::<usize>()),
        "{sent:?}"
    );
}

/// Fresh replicas start with one in flight, more as they answer.
#[rstest]
#[case::none_yet(0, 1)]
#[case::four_answers(4, 2)]
fn in_flight_cap_grows(#[case] answers: u64, #[case] cap: usize) {
    let mut set = settings();
    set.slow_start = Some(SlowStartConfig {
        initial_capacity: 1.0,
        duration: 100.0,
        overload_multiple: 1e6,
        overload_window: 1.0,
    });
    let mut b = balancer(set, &[]);
    b.list(true, &[line("a", true, Some(1.0))]);
    for n in 0..answers {
        let mut q = search(n + 1, 1, 2.0, 3.0);
        let p = b.place(2.0, &mut q).send[0].clone();
        b.after(2.0, Some(&mut q), &ended(&p, 0, Ending::Answered, 0.01));
    }
    let sent: usize = (50..60)
        .map(|n| b.place(2.1, &mut search(n, 1, 2.1, 3.0)).send.len())
        .sum();
    assert_eq!(sent, cap);
}

/// Further sub-requests, errors all the way: never over free + share x (searches and parts taken).
#[rstest]
#[case::free_only(2.0, 0.0, 2)]
#[case::share_only(0.0, 0.25, 5)]
fn the_retry_budget_is_respected(#[case] free: f64, #[case] share: f64, #[case] most: usize) {
    let mut set = settings();
    set.retry_budget = Some(RetryBudgetConfig {
        min_retries: free,
        ratio: share,
        window: 10.0,
    });
    let mut b = balancer(set, &["a", "b", "c"]);
    let mut further = 0;
    for n in 0..5 {
        let mut q = search(n + 1, 3, 0.0, 3.0);
        for p in b.place(0.0, &mut q).send {
            further += b
                .after(0.1, Some(&mut q), &ended(&p, 0, Ending::Errored, 0.1))
                .send
                .len();
        }
    }
    assert!(further <= most, "{further}");
    assert!(further > 0);
}

/// What is answered, from how much, and marked how.
#[rstest]
#[case::all(1.0, 0.5, 4, Some(Reply::Answered { complete: true }))]
#[case::need_under_one(0.75, 0.75, 3, Some(Reply::Answered { complete: true }))]
#[case::over_floor(1.0, 0.5, 2, Some(Reply::Answered { complete: false }))]
#[case::under_floor(1.0, 0.5, 1, Some(Reply::Shed { retry_after: 0.5 }))]
#[case::no_floor(1.0, 1.0, 3, Some(Reply::Shed { retry_after: 0.5 }))]
fn answers_are_honest(
    #[case] complete_weight: f64,
    #[case] minimum_weight: f64,
    #[case] answered: usize,
    #[case] reply: Option<Reply>,
) {
    let mut set = settings();
    (
        set.query_types[0].complete_weight,
        set.query_types[0].minimum_weight,
    ) = (complete_weight, minimum_weight);
    let mut b = balancer(set, &["a", "b", "c", "d"]);
    let mut q = search(1, 4, 0.0, 3.0);
    let sent = b.place(0.0, &mut q).send;
    let mut last = None;
    for p in &sent[..answered] {
        last = b
            .after(0.1, Some(&mut q), &ended(p, 0, Ending::Answered, 0.1))
            .reply;
        // A part counts once.
        b.after(0.1, Some(&mut q), &ended(p, 0, Ending::Answered, 0.1));
    }
    assert_eq!(last.or_else(|| b.place(0.99, &mut q).reply), reply);
}

/// The second step is whole only if the first was and all its parts are in.
#[rstest]
#[case::both_whole(4, 2, true)]
#[case::first_partial(3, 2, false)]
#[case::second_partial(4, 1, false)]
fn two_steps(#[case] first: usize, #[case] second: usize, #[case] complete: bool) {
    let mut set = settings();
    (
        set.query_types[0].minimum_weight,
        set.query_types[0].second_step,
    ) = (0.5, 2);
    let mut b = balancer(set, &["a", "b"]);
    let mut q = search(1, 4, 0.0, 3.0);
    for p in &b.place(0.0, &mut q).send[..first] {
        b.after(0.1, Some(&mut q), &ended(p, 0, Ending::Answered, 0.1));
    }
    b.place(0.79, &mut q);
    assert!(q.step == 2 && !q.finished);
    add_parts(&mut q, 900, 2);
    let mut reply = None;
    for p in &b.place(0.795, &mut q).send[..second] {
        reply = b
            .after(0.9, Some(&mut q), &ended(p, 0, Ending::Answered, 0.1))
            .reply;
    }
    assert_eq!(
        reply.or_else(|| b.place(0.99, &mut q).reply),
        Some(Reply::Answered { complete })
    );
    assert!(q.finished);
}

/// Whatever makes a replica's outcomes bad takes it out of use, until four good trials in a row.
#[rstest]
#[case::errors(Ending::Errored, 0.01)]
#[case::time_outs(Ending::TimedOut, 0.4)]
#[case::unreachable(Ending::Unreachable, 0.25)]
#[case::resets(Ending::Broken, 0.1)]
#[case::refusing_at_once(Ending::Full, 0.005)]
#[case::far_slower(Ending::Answered, 0.9)]
fn failing_replicas_are_ejected_and_probed(#[case] ending: Ending, #[case] latency: f64) {
    let mut set = settings();
    set.max_attempts = 1;
    let mut b = balancer(set, &["a", "b"]);
    // Three good outcomes first, or the last one alone would decide.
    for n in 0..6 {
        let now = f64::from(n) * 0.01;
        let (_, p) = stuck_at(&mut b, "a", now);
        b.after(
            now,
            None,
            &(if n < 3 {
                ended(&p, 0, Ending::Answered, 0.1)
            } else {
                ended(&p, 0, ending, latency)
            }),
        );
    }
    let sends = |b: &mut Balancer, now: f64| -> usize {
        let mut at_a = 0;
        for n in 1..=10 {
            let mut q = search(n, 1, now, 3.0);
            for p in b.place(now, &mut q).send {
                at_a += usize::from(p.replica == id("a"));
                if p.replica == id("b") {
                    b.after(now, None, &ended(&p, 0, Ending::Answered, 0.1));
                }
            }
        }
        at_a
    };
    assert_eq!(sends(&mut b, 0.1), 0);
    assert_eq!(sends(&mut b, 20.0), 1, "one trial at a time");
}

/// Answers far slower than others, but a small part of the latency target, do not condemn their replica.
#[rstest]
#[case::small(0.1, true)]
#[case::not_small(0.2, false)]
fn slow_replicas_are_judged_by_the_target_too(#[case] latency: f64, #[case] sound: bool) {
    let mut b = balancer(settings(), &["a", "b"]);
    for n in 0..130 {
        let p = b.place(0.0, &mut search(n + 1, 1, 0.0, 3.0)).send[0].clone();
        let slow = n > 120 && p.replica == id("a");
        b.after(
            0.0,
            None,
            &ended(&p, 0, Ending::Answered, if slow { latency } else { 0.005 }),
        );
    }
    let sent = (2000..2020).flat_map(|n| b.place(0.1, &mut search(n, 1, 0.1, 3.0)).send);
    assert_eq!(sent.filter(|p| p.replica == id("a")).count() > 1, sound);
}

/// Answers slower than unloaded ones by a small part of the latency target are no overload, in which a lost
/// part is not sent again.
#[rstest]
#[case::small(0.03, 1)]
#[case::not_small(0.2, 0)]
fn overload_is_judged_by_the_target_too(#[case] latency: f64, #[case] again: usize) {
    let mut b = balancer(settings(), &["a"]);
    for n in 0..120 {
        let p = b.place(0.0, &mut search(n + 1, 1, 0.0, 3.0)).send[0].clone();
        // The twentieth stays out, so that those after it are not alone.
        if n != 20 {
            b.after(
                0.0,
                None,
                &ended(
                    &p,
                    0,
                    Ending::Answered,
                    if n < 20 { 0.005 } else { latency },
                ),
            );
        }
    }
    let mut q = search(500, 1, 0.1, 3.0);
    let lost = b.place(0.1, &mut q).send[0].clone();
    assert_eq!(
        b.after(0.1, Some(&mut q), &ended(&lost, 0, Ending::Errored, 0.1))
            .send
            .len(),
        again
    );
}

/// A replica that fails one query type, and only part of it, is left out for that one alone. What was sent
/// before that is no trial.
#[rstest]
#[case::one_type(false, 0, [false, true])]
#[case::both(true, 0, [false, false])]
#[case::the_other_later(false, 2, [false, false])]
fn one_query_type_may_fail(#[case] both: bool, #[case] later: u64, #[case] used: [bool; 2]) {
    let mut set = settings();
    set.query_types.push(query_type());
    set.hedging_allowed = false;
    let mut b = balancer(set, &["a", "b"]);
    let typed = |n: u64, t: usize| Search {
        query_type: QueryTypeId(t),
        ..search(n, 1, 0.0, 3.0)
    };
    // All are out, by turns at either, before the first ends; those that come last are answered.
    let types = [1; 8]
        .into_iter()
        .chain((0..16).map(|n| n / 2 % 2))
        .chain([0; 10]);
    let sent: Vec<_> = types
        .zip(1..)
        .map(|(t, n)| (t, b.place(0.0, &mut typed(n, t)).send.remove(0)))
        .collect();
    for (n, (t, p)) in sent
        .iter()
        .filter(|(_, p)| p.replica == id("a"))
        .enumerate()
    {
        let bad = both || (*t == 0 && n < 12);
        b.after(
            0.1,
            None,
            &ended(
                p,
                0,
                if bad {
                    Ending::Errored
                } else {
                    Ending::Answered
                },
                0.1,
            ),
        );
    }
    for n in 0..later {
        let p = b.place(0.1, &mut typed(1000 + n, 1)).send.remove(0);
        assert_eq!(p.replica, id("a"));
        b.after(0.1, None, &ended(&p, 0, Ending::Errored, 0.01));
    }
    for (t, used) in used.into_iter().enumerate() {
        let sent = (5000..5010).flat_map(|n| b.place(0.2, &mut typed(n, t)).send);
        assert_eq!(
            sent.filter(|p| p.replica == id("a")).count() > 0,
            used,
            "query type {t}"
        );
    }
}

/// A part that is late while four sent later at the same replica have been answered is lost: it gets a copy.
#[rstest]
#[case::by_three(3, 0)]
#[case::by_four(4, 1)]
fn overtaken_parts_get_a_hedge(#[case] later: u64, #[case] copies: usize) {
    let mut b = balancer(settings(), &["a", "b"]);
    let (mut q, _) = stuck_at(&mut b, "a", 0.0);
    let others = 2000..2002 + 2 * later;
    let sent: Vec<_> = others
        .map(|n| b.place(0.1, &mut search(n, 1, 0.1, 3.0)).send.remove(0))
        .collect();
    let mut at_a = 0;
    for p in sent {
        at_a += u64::from(p.replica == id("a"));
        let ending = if p.replica == id("b") || at_a <= later {
            Ending::Answered
        } else {
            Ending::NeverSent
        };
        b.after(0.2, None, &ended(&p, 0, ending, 0.1));
    }
    assert_eq!(b.place(0.6, &mut q).send.len(), copies);
}

/// What is known of a replica goes with it, at once or with its last part.
#[rstest]
#[case::idle(false)]
#[case::with_a_part_out(true)]
fn a_departed_replica_is_forgotten(#[case] out: bool) {
    let mut b = balancer(settings(), &["a", "b"]);
    for n in 0..5 {
        let (_, p) = stuck_at(&mut b, "a", 0.0);
        b.after(
            0.0,
            None,
            &ended(
                &p,
                0,
                if n < 3 {
                    Ending::Answered
                } else {
                    Ending::Errored
                },
                0.1,
            ),
        );
    }
    let (_, last) = stuck_at(&mut b, "a", 0.0);
    let finish = |b: &mut Balancer| {
        b.after(0.1, None, &ended(&last, 0, Ending::Errored, 0.1));
    };
    if !out {
        finish(&mut b);
    }
    b.list(false, &[line("a", false, None)]);
    if out {
        finish(&mut b);
    }
    b.list(false, &[line("a", true, None)]);
    let to_a =
        (1..=20).filter(|n| b.place(0.2, &mut search(*n, 1, 0.2, 3.0)).send[0].replica == id("a"));
    assert!(to_a.count() > 0);
}

/// Replicas of one zone, each known by a single outcome, all bad: the others of the zone are left alone while
/// another zone's holder is there, and serve where there is none.
#[rstest]
#[case::other_zone_has_it(true, "z")]
#[case::no_other_holder(false, "y")]
fn a_failing_link_ejects_its_zone(#[case] other: bool, #[case] chosen: &str) {
    let mut set = settings();
    (set.cells, set.max_attempts) = (9, 1);
    let mut b = balancer(set, &[]);
    let at = |name: &str, cell, zone| Listed {
        zone: ZoneId(zone),
        cell: CellId(cell),
        ..line(name, true, None)
    };
    let names: Vec<String> = (0..8).map(|n| format!("x{n}")).collect();
    let mut lines: Vec<Listed> = names
        .iter()
        .zip(0..)
        .map(|(n, cell)| at(n, cell, 1))
        .collect();
    lines.push(at("y", 8, 1));
    lines.extend(other.then(|| at("z", 8, 2)));
    b.list(true, &lines);
    let mut q = search(1, 8, 0.0, 3.0);
    for p in b.place(0.0, &mut q).send {
        b.after(0.5, None, &ended(&p, 0, Ending::TimedOut, 0.5));
    }
    for n in 0..10 {
        let mut q = search(10 + n, 1, 0.6, 3.0);
        q.parts[0].shard = ShardId(8);
        assert_eq!(b.place(0.6, &mut q).send[0].replica, id(chosen));
    }
}

/// A part at a silent replica is copied while the copy still has its tail left.
#[rstest]
#[case::not_yet(0.7, 0)]
#[case::last_call(0.85, 1)]
fn hedges_leave_in_time(#[case] age: f64, #[case] copies: usize) {
    let mut b = balancer(settings(), &["a", "b"]);
    for n in 1..=50 {
        let mut q = search(n, 1, 0.0, 3.0);
        let p = b.place(0.0, &mut q).send[0].clone();
        // Six in a hundred at 0.9 s: the 0.95 quantile, but not the tail, which is 0.1 s.
        b.after(
            1.0,
            Some(&mut q),
            &ended(
                &p,
                0,
                Ending::Answered,
                if n % 20 == 0 || n == 50 { 0.9 } else { 0.1 },
            ),
        );
    }
    let mut q = search(99, 1, 2.0, 3.0);
    b.place(2.0, &mut q);
    assert_eq!(b.place(2.0 + age, &mut q).send.len(), copies);
}

/// Where sight is sparse one bad outcome keeps a replica out until it is old; elsewhere one means nothing.
#[rstest]
#[case::sparse(0, 1.0, false)]
#[case::sparse_but_old(0, 11.0, true)]
#[case::dense(4, 1.0, true)]
fn the_last_outcome_decides_in_sparse_traffic(
    #[case] good: u64,
    #[case] later: f64,
    #[case] used: bool,
) {
    let mut b = balancer(settings(), &["a", "b"]);
    for n in 0..=good {
        let (_, p) = stuck_at(&mut b, "a", 0.1);
        let ending = if n == good {
            Ending::Errored
        } else {
            Ending::Answered
        };
        b.after(0.2, None, &ended(&p, 0, ending, 0.1));
    }
    let now = 0.2 + later;
    let at_a =
        (1..=20).any(|n| b.place(now, &mut search(n, 1, now, 3.0)).send[0].replica == id("a"));
    assert_eq!(at_a, used);
}

/// A distrusted warm replica serves where the cold ones are closed.
#[rstest]
#[case::cold_open(0, "b")]
#[case::cold_closed(1, "a")]
fn an_ejected_replica_is_better_than_none(#[case] out_at_cold: u64, #[case] chosen: &str) {
    let mut set = settings();
    set.slow_start = Some(SlowStartConfig {
        initial_capacity: 0.2,
        duration: 100.0,
        overload_multiple: 2.5,
        overload_window: 1.0,
    });
    (set.max_attempts, set.coordinators) = (1, 1);
    let mut b = balancer(set, &["a"]);
    for n in 0..2 {
        let now = 0.01 * n as f64;
        let (_, p) = stuck_at(&mut b, "a", now);
        b.after(now, None, &ended(&p, 0, Ending::Errored, 0.01));
    }
    b.list(false, &[line("b", true, Some(9.0))]);
    for n in 0..out_at_cold {
        b.place(10.0, &mut search(n + 10, 1, 10.0, 3.0));
    }
    assert_eq!(
        b.place(10.01, &mut search(50, 1, 10.01, 3.0)).send[0].replica,
        id(chosen)
    );
}

/// A replica that is bad still serves where it is the only holder.
#[rstest]
fn never_all_holders() {
    let mut b = balancer(settings(), &["a"]);
    for n in 0..12 {
        let mut q = search(n + 1, 1, n as f64, 3.0);
        let p = b.place(n as f64, &mut q).send[0].clone();
        b.after(
            n as f64 + 0.1,
            Some(&mut q),
            &ended(&p, 0, Ending::Errored, 0.1),
        );
    }
    assert_eq!(b.place(20.0, &mut search(99, 1, 20.0, 3.0)).send.len(), 1);
}

/// Where the only holder answers nothing, searches are shed unsent, but tried again after a while.
#[rstest]
#[case::at_once(0.1, false)]
#[case::after_a_while(1.5, true)]
fn hopeless_shards_cost_no_work(#[case] later: f64, #[case] sent: bool) {
    let mut b = balancer(settings(), &["a"]);
    let mut q = search(1, 1, 0.0, 3.0);
    let p = b.place(0.0, &mut q).send[0].clone();
    b.after(0.1, Some(&mut q), &ended(&p, 0, Ending::Answered, 0.1));
    for n in 0..3 {
        let mut set_back = search(10 + n, 1, 5.0, 3.0);
        let p = b.place(5.0, &mut set_back).send[0].clone();
        b.after(5.0, None, &ended(&p, 0, Ending::Full, 0.005));
    }
    let plan = b.place(5.0 + later, &mut search(50, 1, 5.0 + later, 3.0));
    assert_eq!(!plan.send.is_empty(), sent);
    assert_eq!(plan.reply.is_some(), !sent);
}

/// A retry is known by its time left, shorter or longer than that of first tries, or by its client's mark:
/// when its client asked so long ago that no answer earns value, it is shed at once. First tries are not,
/// also while retries are most of what comes.
#[rstest]
#[case::first(1.8, None, false)]
#[case::shorter(1.5, None, true)]
#[case::last_try(1.9, None, true)]
#[case::marked_shorter(1.5, Some(true), true)]
#[case::marked_first_but_short(1.5, Some(false), false)]
fn stale_retries_are_shed(#[case] left: f64, #[case] repeated: Option<bool>, #[case] shed: bool) {
    let mut b = balancer(settings(), &["a", "b"]);
    for n in 1..=10 {
        b.place(0.0, &mut search(n, 1, 0.0, 1.8));
        b.place(0.0, &mut search(100 + n, 1, 0.0, 1.2 + 0.03 * n as f64));
        b.place(0.0, &mut search(200 + n, 1, 0.0, 0.8 + 0.02 * n as f64));
    }
    let mut q = search(50, 1, 0.5, left);
    q.repeated = repeated;
    assert_eq!(
        matches!(b.place(0.5, &mut q).reply, Some(Reply::Shed { .. })),
        shed
    );
}

/// Clients that ask again early show one time left again and again, under the latency target.
#[rstest]
#[case::recurs_under_target(0.6, 3, false)]
#[case::scattered_under_target(0.6, 0, true)]
#[case::recurs_over_target(1.5, 3, true)]
#[case::outnumbers_first_tries(0.6, 40, false)]
fn impatient_clients_are_not_stale(#[case] left: f64, #[case] before: u64, #[case] shed: bool) {
    let mut b = balancer(settings(), &["a", "b"]);
    for n in 1..=20 {
        b.place(0.0, &mut search(n, 1, 0.0, 1.8));
    }
    (0..before).for_each(|n| drop(b.place(0.0, &mut search(100 + n, 1, 0.0, left))));
    assert_eq!(
        b.place(0.5, &mut search(50, 1, 0.5, left)).reply.is_some(),
        shed
    );
    assert_eq!(
        b.place(0.5, &mut search(51, 1, 0.5, 1.8)).reply,
        None,
        "a first try"
    );
}

/// Admission sees a queue by what is out for long, also when no answer comes any more.
#[rstest]
#[case::idle(0.0, false)]
#[case::out_for_long(1.2, true)]
fn queues_are_seen_before_answers_come(#[case] age: f64, #[case] shed: bool) {
    let mut b = balancer(settings(), &["a"]);
    let mut q = search(1, 1, 0.0, 3.0);
    let p = b.place(0.0, &mut q).send[0].clone();
    b.after(0.2, Some(&mut q), &ended(&p, 0, Ending::Answered, 0.2));
    b.place(1.0, &mut search(2, 1, 1.0, 3.0));
    let mut late = search(3, 1, 1.0 + age, 3.0);
    assert_eq!(b.place(1.0 + age, &mut late).reply.is_some(), shed);
}

/// An answer counts however quick it was: after one that the clock cannot tell from its send, the part that
/// was given up before it is not all that is known of its replica's queue.
#[rstest]
#[case::told_by_the_clock(0.0005)]
#[case::within_the_clocks_grain(0.0)]
fn an_answer_counts_however_quick(#[case] latency: f64) {
    let mut b = balancer(settings(), &["a"]);
    let mut first = search(1, 1, 0.0, 3.0);
    let p = b.place(0.0, &mut first).send[0].clone();
    b.after(
        0.98,
        Some(&mut first),
        &ended(&p, 0, Ending::Cancelled, 0.98),
    );
    let mut second = search(2, 1, 0.98, 3.0);
    let p = b.place(0.98, &mut second).send[0].clone();
    b.after(
        0.98 + latency,
        Some(&mut second),
        &ended(&p, 0, Ending::Answered, latency),
    );
    let now = 1.0 + latency;
    assert_eq!(b.place(now, &mut search(3, 1, now, 3.0)).reply, None);
}

/// Odd facts do no harm: outcomes of unknown replicas and parts, zero weights, unknown cells.
#[rstest]
fn odd_input_is_harmless() {
    let mut b = balancer(
        Settings {
            cells: 0,
            ..settings()
        },
        &["a"],
    );
    let stray = Outcome {
        part: PartId(1),
        attempt_index: 3,
        replica: id("z"),
        ending: Ending::Answered,
        latency: f64::NAN,
    };
    assert!(b.after(0.0, None, &stray).send.is_empty());
    let mut q = search(1, 2, 0.0, 3.0);
    q.parts.iter_mut().for_each(|p| p.weight = 0.0);
    assert!(
        b.place(0.0, &mut q).reply.is_some(),
        "no weight can meet a floor"
    );
    let mut q = search(2, 1, 0.0, 3.0);
    let sent = b.place(0.0, &mut q).send;
    b.after(
        0.1,
        Some(&mut q),
        &ended(&sent[0], 9, Ending::Answered, 0.1),
    );
    assert!(b.wait(0.1, &q).is_finite());
    assert!(b.place(2.999, &mut q).reply.is_some());
}

/// A search counts for the budget from when it came, also if the process stood still before it was placed.
#[rstest]
#[case::came_in_the_window(6.0, 0.0, true)]
#[case::came_before_it(10.5, 0.0, false)]
#[case::out_of_it_when_it_may_leave(9.0, 2.0, false)]
fn the_budget_counts_from_the_arrival(
    #[case] failed: f64,
    #[case] max_send_delay: f64,
    #[case] again: bool,
) {
    let mut set = Settings {
        max_send_delay,
        ..settings()
    };
    set.retry_budget = Some(RetryBudgetConfig {
        min_retries: 0.0,
        ratio: 1.0,
        window: 10.0,
    });
    (
        set.query_types[0].latency_target,
        set.query_types[0].client_timeout,
    ) = (30.0, 60.0);
    let mut b = balancer(set, &["a", "b"]);
    let mut q = search(1, 1, 0.0, 60.0);
    let p = b.place(5.0, &mut q).send[0].clone();
    let plan = b.after(
        failed,
        Some(&mut q),
        &ended(&p, 0, Ending::Errored, failed - 5.0),
    );
    assert_eq!(plan.send.len(), usize::from(again));
}

/// Where copies are barred (`second_copies = false`), a lost part gets none, however it was passed.
#[rstest]
#[case::copies_allowed(true, 1)]
#[case::copies_barred(false, 0)]
fn no_hedge_where_hedging_is_not_allowed(#[case] hedging_allowed: bool, #[case] copies: usize) {
    let mut set = settings();
    set.hedging_allowed = hedging_allowed;
    let mut b = balancer(set, &["a", "b"]);
    let (mut q, _) = stuck_at(&mut b, "a", 0.0);
    let sent: Vec<_> = (2000..2010)
        .map(|n| b.place(0.1, &mut search(n, 1, 0.1, 3.0)).send.remove(0))
        .collect();
    for p in sent {
        b.after(0.2, None, &ended(&p, 0, Ending::Answered, 0.1));
    }
    assert_eq!(b.place(0.6, &mut q).send.len(), copies);
}

/// A search that is shed is answered in the same plan that gives it up, and says when to come back only
/// where the settings allow it (`allow.retry_after`), never later than the longest that clients honour.
#[rstest]
#[case::allowed(Some(0.5))]
#[case::not_allowed(None)]
fn shed_at_once_with_retry_after_only_where_allowed(#[case] advice: Option<f64>) {
    let mut set = settings();
    set.max_retry_after = advice;
    let mut b = balancer(set, &["a", "b"]);
    for n in 1..=10 {
        b.place(0.0, &mut search(n, 1, 0.0, 1.8));
        b.place(0.0, &mut search(100 + n, 1, 0.0, 1.2 + 0.03 * n as f64));
        b.place(0.0, &mut search(200 + n, 1, 0.0, 0.8 + 0.02 * n as f64));
    }
    let mut q = search(50, 1, 0.5, 1.5);
    let plan = b.place(0.5, &mut q);
    let Some(Reply::Shed { retry_after }) = plan.reply else {
        panic!("not shed at once: {:?}", plan.reply)
    };
    assert!(plan.send.is_empty());
    match advice {
        Some(most) => assert!(retry_after > 0.0 && retry_after <= most, "{retry_after}"),
        None => assert_eq!(retry_after, 0.0),
    }
}

/// Where copies are barred, a part at a replica that has answered nothing since it was sent is called off
/// once it is long overdue, and goes to the other holder when the outcome is in; never where a copy may go
/// instead, never a part that may not run twice, and never before it is overdue.
#[rstest]
#[case::barred(false, Repeat::Idempotent, 0.6, true)]
#[case::not_yet_overdue(false, Repeat::Idempotent, 0.12, false)]
#[case::copies_allowed(true, Repeat::Idempotent, 0.6, false)]
#[case::once(false, Repeat::NonIdempotent, 0.6, false)]
fn an_attempt_at_an_unresponsive_replica_is_cancelled(
    #[case] hedging_allowed: bool,
    #[case] repeat: Repeat,
    #[case] later: f64,
    #[case] called_off: bool,
) {
    let mut set = settings();
    set.hedging_allowed = hedging_allowed;
    set.query_types[0].repeat = repeat;
    let mut b = balancer(set, &["a", "b"]);
    let (mut q, p) = stuck_at(&mut b, "a", 0.01);
    let plan = b.place(later, &mut q);
    assert!(plan.reply.is_none());
    assert_eq!(
        plan.cancel.contains(&(p.part, 0)),
        called_off,
        "{:?}",
        plan.cancel
    );
    if called_off {
        assert!(plan.send.is_empty(), "never two out at once");
        assert!(
            b.place(later + 0.01, &mut q).cancel.is_empty(),
            "called off once"
        );
        let resent = b.after(
            later + 0.02,
            Some(&mut q),
            &ended(&p, 0, Ending::Cancelled, later),
        );
        assert_eq!(
            resent
                .send
                .iter()
                .map(|s| s.replica.clone())
                .collect::<Vec<_>>(),
            vec![id("b")]
        );
    }
}

// ---- what the tier decides in common ----

/// Two replicas in each of two zones, named by their zone's number: a0, b0, a1, b1.
fn two_zones() -> Balancer {
    let mut b = Balancer::new(settings());
    let lines = ["a0", "b0", "a1", "b1"].map(|n| {
        let zone = ZoneId(u64::from(n.ends_with('1')));
        Listed {
            zone,
            ..line(n, true, None)
        }
    });
    b.list(true, &lines);
    b
}

fn zone_failover(shares: [f64; 2], near: Option<f64>) -> Option<ZoneFailoverState> {
    let shares = shares
        .into_iter()
        .enumerate()
        .map(|(z, s)| (ZoneId(z as u64), s))
        .collect();
    let near = near.map(|share| (BTreeSet::from([ZoneId(0)]), share));
    Some(ZoneFailoverState {
        shares,
        near: near.into_iter().collect(),
    })
}

/// How many of 200 one-part searches go to zone 0, each answered at once, a millisecond apart.
fn to_zone_0(b: &mut Balancer, from: f64) -> usize {
    let mut n = 0;
    for i in 0..200 {
        let now = from + 0.001 * f64::from(i);
        let mut q = search(5000 + u64::from(i as u32), 1, now, 3.0);
        let sent = b.place(now, &mut q).send;
        n += usize::from(sent[0].replica.0.ends_with('0'));
        for (attempt_index, p) in sent.iter().enumerate() {
            b.after(
                now,
                Some(&mut q),
                &ended(p, attempt_index, Ending::Answered, 0.01),
            );
        }
    }
    n
}

#[rstest]
#[case::alone(None, 70..130)]
#[case::all_serve(zone_failover([1.0, 1.0], None), 70..130)]
#[case::one_is_out(zone_failover([0.0, 1.0], None), 0..1)]
#[case::one_is_on_its_way_back(zone_failover([0.2, 1.0], None), 10..40)]
#[case::near(zone_failover([1.0, 1.0], Some(1.0)), 200..201)]
#[case::near_for_a_part_of_it(zone_failover([1.0, 1.0], Some(0.6)), 140..185)]
#[case::near_is_out(zone_failover([0.0, 1.0], Some(0.0)), 0..1)]
#[case::both_are_out_and_there_is_no_other(zone_failover([0.0, 0.0], None), 70..130)]
fn parts_go_where_the_tier_says(
    #[case] told: Option<ZoneFailoverState>,
    #[case] expected: std::ops::Range<usize>,
) {
    let mut b = two_zones();
    b.zone_failover(0.0, told);
    let n = to_zone_0(&mut b, 1.0);
    assert!(expected.contains(&n), "{n} of 200");
}

/// Its own outcomes of a replica stand before the tier's word that the zone serves, and so do the list and
/// the cold guard.
#[test]
fn the_tier_overrules_no_judgement_of_a_replica() {
    let mut b = two_zones();
    let (mut q, p) = stuck_at(&mut b, "a0", 1.0);
    b.after(1.0, Some(&mut q), &ended(&p, 0, Ending::Errored, 0.01));
    b.zone_failover(1.1, zone_failover([0.0, 1.0], Some(1.0)));
    b.zone_failover(1.2, zone_failover([1.0, 1.0], Some(1.0)));
    let shut = Listed {
        zone: ZoneId(0),
        ..line("b0", false, None)
    };
    b.list(false, &[shut]);
    for i in 0..50 {
        let now = 1.2 + 0.001 * f64::from(i);
        let mut q = search(7000 + u64::from(i as u32), 1, now, 3.0);
        let p = b.place(now, &mut q).send[0].clone();
        assert!(p.replica.0.ends_with('1'), "{p:?}");
        b.after(now, Some(&mut q), &ended(&p, 0, Ending::Answered, 0.01));
    }
}

/// A return in common ends its own judgement of the zone, which sparse trials would take seconds to end.
#[test]
fn a_zone_that_is_back_in_common_is_back_here() {
    let mut b = two_zones();
    b.zone_failover(1.0, zone_failover([0.0, 1.0], None));
    assert_eq!(to_zone_0(&mut b, 1.1), 0);
    b.zone_failover(2.0, zone_failover([1.0, 1.0], None));
    assert!(to_zone_0(&mut b, 2.1) > 50);
}

/// The last six parts of a zone within 2 s, or those that are bad up to now; one that is out and overdue
/// tells before it is given up.
#[test]
fn what_is_seen_of_zones_counts_what_is_overdue() {
    let mut b = two_zones();
    to_zone_0(&mut b, 1.0);
    let of = |b: &Balancer, now: f64| {
        let zone_health = b.zone_health(now);
        zone_health
            .iter()
            .map(|s| (s.zone.0, s.seen, s.failed, s.capacity))
            .collect::<Vec<_>>()
    };
    assert_eq!(of(&b, 1.2), [(0, 6, 0, 2.0), (1, 6, 0, 2.0)]);
    let (_q, _p) = stuck_at(&mut b, "a0", 1.3);
    assert_eq!(of(&b, 1.3), [(0, 6, 0, 2.0), (1, 6, 0, 2.0)]);
    assert_eq!(of(&b, 2.0)[0], (0, 7, 1, 2.0));
    assert_eq!(of(&b, 4.0), [(0, 1, 1, 2.0), (1, 0, 0, 2.0)]);
}
