//! Admission: shedding of clients' stale retries and of searches that cannot be answered in time.

use crate::settings::settings;
use crate::support::{balancer_of, new_search, outcome};
use rstest::rstest;
use woadreach_routing::api::{Ending, Reply, Settings};
use woadreach_routing::balancer::Balancer;

/// A co-ordinator that has received first attempts, with 1.8 s left, and twice as many retries.
fn balancer_after_retries(settings: Settings) -> Balancer {
    let mut balancer = balancer_of(settings, &["a", "b"]);
    for n in 1..=10 {
        balancer.place(0.0, &mut new_search(n, 1, 0.0, 1.8));
        balancer.place(0.0, &mut new_search(100 + n, 1, 0.0, 1.2 + 0.03 * n as f64));
        balancer.place(0.0, &mut new_search(200 + n, 1, 0.0, 0.8 + 0.02 * n as f64));
    }
    balancer
}

/// Answers that are slower than unloaded ones by only a small share of the latency target are no overload. During
/// overload a failed part is not sent again.
#[rstest]
#[case::small_share_of_target(0.03, 1)]
#[case::large_share_of_target(0.2, 0)]
fn overload_depends_on_the_latency_target(#[case] latency: f64, #[case] retries: usize) {
    let mut balancer = balancer_of(settings(), &["a"]);
    for n in 0..120 {
        let placement = balancer
            .place(0.0, &mut new_search(n + 1, 1, 0.0, 3.0))
            .send[0]
            .clone();
        // Search 20 stays in flight, so that those after it are not sent to an idle replica.
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
        retries
    );
}

/// While the only holder of a shard answers nothing, searches are shed without being sent. After a while they are sent
/// again.
#[rstest]
#[case::at_once(0.1, false)]
#[case::after_a_while(1.5, true)]
fn searches_of_a_failed_shard_are_shed_unsent(#[case] later: f64, #[case] sent: bool) {
    let mut balancer = balancer_of(settings(), &["a"]);
    let mut search = new_search(1, 1, 0.0, 3.0);
    let placement = balancer.place(0.0, &mut search).send[0].clone();
    balancer.attempt_finished(
        0.1,
        Some(&mut search),
        &outcome(&placement, 0, Ending::Answered, 0.1),
    );
    for n in 0..3 {
        let mut rejected = new_search(10 + n, 1, 5.0, 3.0);
        let placement = balancer.place(5.0, &mut rejected).send[0].clone();
        balancer.attempt_finished(5.0, None, &outcome(&placement, 0, Ending::Full, 0.005));
    }
    let plan = balancer.place(5.0 + later, &mut new_search(50, 1, 5.0 + later, 3.0));
    assert_eq!(!plan.send.is_empty(), sent);
    assert_eq!(plan.reply.is_some(), !sent);
}

/// A client's retry is recognized by its mark, or by a remaining time that is shorter or longer than that of first
/// attempts. It is shed at once if the client's first attempt was so long ago that an answer has no value. First
/// attempts are not shed, even if most searches are retries.
#[rstest]
#[case::first_attempt(1.8, None, false)]
#[case::shorter_time(1.5, None, true)]
#[case::longer_time(1.9, None, true)]
#[case::marked_as_retry(1.5, Some(true), true)]
#[case::marked_as_first_attempt(1.5, Some(false), false)]
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

/// First attempts of clients with a short timeout are not taken for retries: their remaining time is below the latency
/// target and recurs.
#[rstest]
#[case::recurs_below_target(0.6, 3, false)]
#[case::single_below_target(0.6, 0, true)]
#[case::recurs_above_target(1.5, 3, true)]
#[case::outnumbers_first_attempts(0.6, 40, false)]
fn short_timeouts_are_not_taken_for_retries(
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

/// Admission infers a replica's queue from the age of its attempts in flight, even if it answers nothing any more.
#[rstest]
#[case::just_sent(0.0, false)]
#[case::long_in_flight(1.2, true)]
fn queues_are_detected_before_answers_are_received(#[case] age: f64, #[case] shed: bool) {
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

/// An answer with a latency of 0, below the resolution of the clock, counts as a sample. Without it, the latency of
/// the attempt that was cancelled before would be the only sample of the replica's queue, and the next search would
/// be shed.
#[rstest]
#[case::measurable_latency(0.0005)]
#[case::zero_latency(0.0)]
fn an_answer_without_latency_counts(#[case] latency: f64) {
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

/// The plan that abandons a search contains the reply. The reply advises a retry time only if the settings allow it
/// (`allow.retry_after`), and never more than the allowed maximum.
#[rstest]
#[case::allowed(Some(0.5))]
#[case::not_allowed(None)]
fn shed_at_once_with_retry_after_only_if_allowed(#[case] max_retry_after: Option<f64>) {
    let mut settings = settings();
    settings.max_retry_after = max_retry_after;
    let mut balancer = balancer_after_retries(settings);
    let mut search = new_search(50, 1, 0.5, 1.5);
    let plan = balancer.place(0.5, &mut search);
    let Some(Reply::Shed { retry_after }) = plan.reply else {
        panic!("not shed at once: {:?}", plan.reply)
    };
    assert!(plan.send.is_empty());
    match max_retry_after {
        Some(most) => assert!(retry_after > 0.0 && retry_after <= most, "{retry_after}"),
        None => assert_eq!(retry_after, 0.0),
    }
}
