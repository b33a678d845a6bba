//! Hedges of lost parts, and cancellation of hung attempts where hedges are not allowed.

use crate::settings::settings;
use crate::support::{balancer_of, new_search, outcome, replica_id, search_in_flight_at};
use rstest::rstest;
use std::ops::Range;
use woadreach_routing::api::{AttemptId, Ending, Placement, Repeat};
use woadreach_routing::balancer::Balancer;

/// Sends one-part searches with these identifiers at 0.1 s.
fn send_searches(balancer: &mut Balancer, numbers: Range<u64>) -> Vec<Placement> {
    let mut send = |n| {
        balancer
            .place(0.1, &mut new_search(n, 1, 0.1, 3.0))
            .send
            .remove(0)
    };
    numbers.map(&mut send).collect()
}

/// A late part gets a hedge if four parts that were sent to the same replica later have been answered.
#[rstest]
#[case::by_three(3, 0)]
#[case::by_four(4, 1)]
fn overtaken_parts_are_hedged(#[case] later: u64, #[case] hedges: usize) {
    let mut balancer = balancer_of(settings(), &["a", "b"]);
    let (mut search, _) = search_in_flight_at(&mut balancer, "a", 0.0);
    let sent = send_searches(&mut balancer, 2000..2002 + 2 * later);
    let mut at_a = 0;
    for placement in sent {
        at_a += u64::from(placement.replica == replica_id("a"));
        let ending = if placement.replica == replica_id("b") || at_a <= later {
            Ending::Answered
        } else {
            Ending::NeverSent
        };
        balancer.attempt_finished(0.2, None, &outcome(&placement, 0, ending, 0.1));
    }
    assert_eq!(balancer.place(0.6, &mut search).send.len(), hedges);
}

/// A part at an unresponsive replica gets a hedge early enough for the hedge's tail latency to fit before the target.
#[rstest]
#[case::not_due(0.7, 0)]
#[case::due(0.85, 1)]
fn hedges_are_sent_in_time(#[case] age: f64, #[case] hedges: usize) {
    let mut balancer = balancer_of(settings(), &["a", "b"]);
    for n in 1..=50 {
        let mut search = new_search(n, 1, 0.0, 3.0);
        let placement = balancer.place(0.0, &mut search).send[0].clone();
        // 6 % of the latencies are 0.9 s: they raise the 0.95 quantile, but not the tail, which is 0.1 s.
        let latency = if n % 20 == 0 || n == 50 { 0.9 } else { 0.1 };
        balancer.attempt_finished(
            1.0,
            Some(&mut search),
            &outcome(&placement, 0, Ending::Answered, latency),
        );
    }
    let mut search = new_search(99, 1, 2.0, 3.0);
    balancer.place(2.0, &mut search);
    assert_eq!(balancer.place(2.0 + age, &mut search).send.len(), hedges);
}

/// Where hedges are not allowed (`second_copies = false`), a part gets none, however often it was overtaken.
#[rstest]
#[case::hedging_allowed(true, 1)]
#[case::hedging_not_allowed(false, 0)]
fn no_hedge_where_hedging_is_not_allowed(#[case] hedging_allowed: bool, #[case] hedges: usize) {
    let mut settings = settings();
    settings.hedging_allowed = hedging_allowed;
    let mut balancer = balancer_of(settings, &["a", "b"]);
    let (mut search, _) = search_in_flight_at(&mut balancer, "a", 0.0);
    let sent = send_searches(&mut balancer, 2000..2010);
    for placement in sent {
        balancer.attempt_finished(0.2, None, &outcome(&placement, 0, Ending::Answered, 0.1));
    }
    assert_eq!(balancer.place(0.6, &mut search).send.len(), hedges);
}

/// Where hedges are not allowed, a long overdue attempt is cancelled if its replica has answered nothing since it was
/// sent. The part is sent to the other holder after the outcome has been received. An attempt is not cancelled where
/// hedges are allowed, if its part may not run twice, or before it is overdue.
#[rstest]
#[case::overdue(false, Repeat::Idempotent, 0.6, true)]
#[case::not_overdue(false, Repeat::Idempotent, 0.12, false)]
#[case::hedging_allowed(true, Repeat::Idempotent, 0.6, false)]
#[case::non_idempotent(false, Repeat::NonIdempotent, 0.6, false)]
fn an_attempt_at_an_unresponsive_replica_is_cancelled(
    #[case] hedging_allowed: bool,
    #[case] repeat: Repeat,
    #[case] later: f64,
    #[case] cancelled: bool,
) {
    let mut settings = settings();
    settings.hedging_allowed = hedging_allowed;
    settings.query_types[0].repeat = repeat;
    let mut balancer = balancer_of(settings, &["a", "b"]);
    let (mut search, placement) = search_in_flight_at(&mut balancer, "a", 0.01);
    let plan = balancer.place(later, &mut search);
    assert!(plan.reply.is_none());
    let first = AttemptId {
        part: placement.part,
        index: 0,
    };
    assert_eq!(plan.cancel.contains(&first), cancelled, "{:?}", plan.cancel);
    if cancelled {
        assert!(
            plan.send.is_empty(),
            "a second attempt was sent before the first one ended"
        );
        assert!(
            balancer.place(later + 0.01, &mut search).cancel.is_empty(),
            "cancelled a second time"
        );
        let resent = balancer.attempt_finished(
            later + 0.02,
            Some(&mut search),
            &outcome(&placement, 0, Ending::Cancelled, later),
        );
        assert_eq!(
            resent
                .send
                .iter()
                .map(|placement| placement.replica.clone())
                .collect::<Vec<_>>(),
            vec![replica_id("b")]
        );
    }
}
