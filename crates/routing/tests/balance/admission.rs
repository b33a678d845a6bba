//! Searches that are shed on arrival: clients' retries, and those that cannot be answered in time.

use crate::settings::settings;
use crate::support::{balancer_of, new_search, outcome};
use rstest::rstest;
use woadreach_routing::api::{Ending, Reply, Settings};
use woadreach_routing::balancer::Balancer;

/// A co-ordinator to which first attempts have come, with 1.8 s left, and twice as many retries.
fn balancer_after_retries(settings: Settings) -> Balancer {
    let mut balancer = balancer_of(settings, &["a", "b"]);
    for n in 1..=10 {
        balancer.place(0.0, &mut new_search(n, 1, 0.0, 1.8));
        balancer.place(0.0, &mut new_search(100 + n, 1, 0.0, 1.2 + 0.03 * n as f64));
        balancer.place(0.0, &mut new_search(200 + n, 1, 0.0, 0.8 + 0.02 * n as f64));
    }
    balancer
}

/// Answers slower than unloaded ones by a small part of the latency target are no overload, in which a lost
/// part is not sent again.
#[rstest]
#[case::small(0.03, 1)]
#[case::not_small(0.2, 0)]
fn overload_is_judged_by_the_target_too(#[case] latency: f64, #[case] again: usize) {
    let mut balancer = balancer_of(settings(), &["a"]);
    for n in 0..120 {
        let placement = balancer
            .place(0.0, &mut new_search(n + 1, 1, 0.0, 3.0))
            .send[0]
            .clone();
        // The twentieth stays out, so that those after it are not alone.
        if n != 20 {
            let latency = if n < 20 { 0.005 } else { latency };
            let answer = outcome(&placement, 0, Ending::Answered, latency);
            balancer.attempt_finished(0.0, None, &answer);
        }
    }
    let mut search = new_search(500, 1, 0.1, 3.0);
    let lost = balancer.place(0.1, &mut search).send[0].clone();
    assert_eq!(
        balancer
            .attempt_finished(
                0.1,
                Some(&mut search),
                &outcome(&lost, 0, Ending::Errored, 0.1)
            )
            .send
            .len(),
        again
    );
}

/// Where the only holder answers nothing, searches are shed unsent, but sent again after a while.
#[rstest]
#[case::at_once(0.1, false)]
#[case::after_a_while(1.5, true)]
fn hopeless_shards_cost_no_work(#[case] later: f64, #[case] sent: bool) {
    let mut balancer = balancer_of(settings(), &["a"]);
    let mut search = new_search(1, 1, 0.0, 3.0);
    let placement = balancer.place(0.0, &mut search).send[0].clone();
    balancer.attempt_finished(
        0.1,
        Some(&mut search),
        &outcome(&placement, 0, Ending::Answered, 0.1),
    );
    for n in 0..3 {
        let mut set_back = new_search(10 + n, 1, 5.0, 3.0);
        let placement = balancer.place(5.0, &mut set_back).send[0].clone();
        balancer.attempt_finished(5.0, None, &outcome(&placement, 0, Ending::Full, 0.005));
    }
    let plan = balancer.place(5.0 + later, &mut new_search(50, 1, 5.0 + later, 3.0));
    assert_eq!(!plan.send.is_empty(), sent);
    assert_eq!(plan.reply.is_some(), !sent);
}

/// A client's retry is known by its time left, shorter or longer than that of first attempts, or by its mark: when
/// the client first asked so long ago that no answer earns value, it is shed at once. First attempts are not, also
/// while most searches are retries.
#[rstest]
#[case::first(1.8, None, false)]
#[case::shorter(1.5, None, true)]
#[case::last_try(1.9, None, true)]
#[case::marked_shorter(1.5, Some(true), true)]
#[case::marked_first_but_short(1.5, Some(false), false)]
fn stale_retries_are_shed(
    #[case] time_remaining: f64,
    #[case] marked_as_retry: Option<bool>,
    #[case] shed: bool,
) {
    let mut balancer = balancer_after_retries(settings());
    let mut search = new_search(50, 1, 0.5, time_remaining);
    search.marked_as_retry = marked_as_retry;
    assert_eq!(
        matches!(
            balancer.place(0.5, &mut search).reply,
            Some(Reply::Shed { .. })
        ),
        shed
    );
}

/// Clients that ask again early show one time left again and again, under the latency target.
#[rstest]
#[case::recurs_under_target(0.6, 3, false)]
#[case::scattered_under_target(0.6, 0, true)]
#[case::recurs_over_target(1.5, 3, true)]
#[case::outnumbers_first_tries(0.6, 40, false)]
fn impatient_clients_are_not_stale(
    #[case] time_remaining: f64,
    #[case] before: u64,
    #[case] shed: bool,
) {
    let mut balancer = balancer_of(settings(), &["a", "b"]);
    for n in 1..=20 {
        balancer.place(0.0, &mut new_search(n, 1, 0.0, 1.8));
    }
    (0..before)
        .for_each(|n| drop(balancer.place(0.0, &mut new_search(100 + n, 1, 0.0, time_remaining))));
    assert_eq!(
        balancer
            .place(0.5, &mut new_search(50, 1, 0.5, time_remaining))
            .reply
            .is_some(),
        shed
    );
    assert_eq!(
        balancer.place(0.5, &mut new_search(51, 1, 0.5, 1.8)).reply,
        None,
        "a first attempt"
    );
}

/// Admission sees a queue by what is in flight for long, also when no answer comes any more.
#[rstest]
#[case::idle(0.0, false)]
#[case::out_for_long(1.2, true)]
fn queues_are_seen_before_answers_come(#[case] age: f64, #[case] shed: bool) {
    let mut balancer = balancer_of(settings(), &["a"]);
    let mut search = new_search(1, 1, 0.0, 3.0);
    let placement = balancer.place(0.0, &mut search).send[0].clone();
    balancer.attempt_finished(
        0.2,
        Some(&mut search),
        &outcome(&placement, 0, Ending::Answered, 0.2),
    );
    balancer.place(1.0, &mut new_search(2, 1, 1.0, 3.0));
    let mut late = new_search(3, 1, 1.0 + age, 3.0);
    assert_eq!(balancer.place(1.0 + age, &mut late).reply.is_some(), shed);
}

/// An answer counts however quick it was: after one that the clock cannot tell from its send, the part that
/// was given up before it is not all that is known of its replica's queue.
#[rstest]
#[case::told_by_the_clock(0.0005)]
#[case::within_the_clocks_grain(0.0)]
fn an_answer_counts_however_quick(#[case] latency: f64) {
    let mut balancer = balancer_of(settings(), &["a"]);
    let mut first = new_search(1, 1, 0.0, 3.0);
    let placement = balancer.place(0.0, &mut first).send[0].clone();
    balancer.attempt_finished(
        0.98,
        Some(&mut first),
        &outcome(&placement, 0, Ending::Cancelled, 0.98),
    );
    let mut second = new_search(2, 1, 0.98, 3.0);
    let placement = balancer.place(0.98, &mut second).send[0].clone();
    balancer.attempt_finished(
        0.98 + latency,
        Some(&mut second),
        &outcome(&placement, 0, Ending::Answered, latency),
    );
    let now = 1.0 + latency;
    assert_eq!(
        balancer.place(now, &mut new_search(3, 1, now, 3.0)).reply,
        None
    );
}

/// A search that is shed is answered in the same plan that gives it up, and says when to come back only
/// where the settings allow it (`allow.retry_after`), never later than the longest that clients honour.
#[rstest]
#[case::allowed(Some(0.5))]
#[case::not_allowed(None)]
fn shed_at_once_with_retry_after_only_where_allowed(#[case] advice: Option<f64>) {
    let mut settings = settings();
    settings.max_retry_after = advice;
    let mut balancer = balancer_after_retries(settings);
    let mut search = new_search(50, 1, 0.5, 1.5);
    let plan = balancer.place(0.5, &mut search);
    let Some(Reply::Shed { retry_after }) = plan.reply else {
        panic!("not shed at once: {:?}", plan.reply)
    };
    assert!(plan.send.is_empty());
    match advice {
        Some(most) => assert!(retry_after > 0.0 && retry_after <= most, "{retry_after}"),
        None => assert_eq!(retry_after, 0.0),
    }
}
