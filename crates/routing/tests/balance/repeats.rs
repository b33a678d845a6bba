//! Repeats of parts: which parts may run again, and the retry budget.

use crate::settings::settings;
use crate::support::{balancer_of, new_search, outcome};
use rstest::rstest;
use woadreach_routing::api::{Ending, Repeat, Reply, RetryBudgetConfig, Settings};

/// Endings of attempts that may have run.
const MAY_HAVE_RUN: [Ending; 4] = [
    Ending::Errored,
    Ending::TimedOut,
    Ending::Broken,
    Ending::Cancelled,
];

/// No part takes effect twice. After an attempt that may have run, the repeat setting decides whether the part is sent
/// again, and whether its search may be shed.
#[rstest]
#[case::idempotent(Repeat::Idempotent, true, true)]
#[case::token_valid(Repeat::Tokened { window: 2.0, any_holder: true }, true, false)]
#[case::token_expired(Repeat::Tokened { window: 0.05, any_holder: true }, false, false)]
#[case::token_at_one_replica(Repeat::Tokened { window: 2.0, any_holder: false }, true, false)]
#[case::non_idempotent(Repeat::NonIdempotent, false, false)]
fn no_effect_twice(#[case] repeat: Repeat, #[case] again: bool, #[case] shed: bool) {
    for ending in MAY_HAVE_RUN {
        let mut settings = settings();
        settings.query_types[0].repeat = repeat;
        let mut balancer = balancer_of(settings, &["a", "b", "c"]);
        let mut search = new_search(1, 1, 0.0, 3.0);
        let sent = balancer.place(0.0, &mut search).send[0].clone();
        let plan =
            balancer.attempt_finished(0.1, Some(&mut search), &outcome(&sent, 0, ending, 0.1));
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
        let end = if again {
            balancer.place(2.999, &mut search)
        } else {
            plan
        };
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
fn an_attempt_that_never_ran_is_repeated(#[case] ending: Ending) {
    let mut settings = settings();
    settings.query_types[0].repeat = Repeat::NonIdempotent;
    let mut balancer = balancer_of(settings, &["a", "b"]);
    let mut search = new_search(1, 1, 0.0, 3.0);
    let sent = balancer.place(0.0, &mut search).send[0].clone();
    assert_eq!(
        balancer
            .attempt_finished(0.1, Some(&mut search), &outcome(&sent, 0, ending, 0.1))
            .send
            .len(),
        1
    );
}

/// If every attempt fails, there are at most `min_retries` + `ratio` x (number of searches and parts) retries.
#[rstest]
#[case::min_retries_only(2.0, 0.0, 2)]
#[case::ratio_only(0.0, 0.25, 5)]
fn the_retry_budget_is_respected(
    #[case] min_retries: f64,
    #[case] ratio: f64,
    #[case] max_retries: usize,
) {
    let mut settings = settings();
    settings.retry_budget = Some(RetryBudgetConfig {
        min_retries,
        ratio,
        window: 10.0,
    });
    let mut balancer = balancer_of(settings, &["a", "b", "c"]);
    let mut retries = 0;
    for n in 0..5 {
        let mut search = new_search(n + 1, 3, 0.0, 3.0);
        for placement in balancer.place(0.0, &mut search).send {
            retries += balancer
                .attempt_finished(
                    0.1,
                    Some(&mut search),
                    &outcome(&placement, 0, Ending::Errored, 0.1),
                )
                .send
                .len();
        }
    }
    assert!(retries <= max_retries, "{retries}");
    assert!(retries > 0);
}

/// A search counts for the retry budget from its arrival, even if the process stalls before it is placed.
#[rstest]
#[case::arrived_in_the_window(6.0, 0.0, true)]
#[case::arrived_before_the_window(10.5, 0.0, false)]
#[case::outside_the_window_when_sent(9.0, 2.0, false)]
fn the_budget_counts_from_the_arrival(
    #[case] failed_at: f64,
    #[case] max_send_delay: f64,
    #[case] again: bool,
) {
    let mut settings = Settings {
        max_send_delay,
        ..settings()
    };
    settings.retry_budget = Some(RetryBudgetConfig {
        min_retries: 0.0,
        ratio: 1.0,
        window: 10.0,
    });
    (
        settings.query_types[0].latency_target,
        settings.query_types[0].client_timeout,
    ) = (30.0, 60.0);
    let mut balancer = balancer_of(settings, &["a", "b"]);
    let mut search = new_search(1, 1, 0.0, 60.0);
    let placement = balancer.place(5.0, &mut search).send[0].clone();
    let plan = balancer.attempt_finished(
        failed_at,
        Some(&mut search),
        &outcome(&placement, 0, Ending::Errored, failed_at - 5.0),
    );
    assert_eq!(plan.send.len(), usize::from(again));
}
