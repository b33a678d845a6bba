//! Which parts may run again, and how many of them.

use crate::settings::settings;
use crate::support::{balancer_of, new_search, outcome};
use rstest::rstest;
use woadreach_routing::api::{Ending, Repeat, Reply, RetryBudgetConfig, Settings};

/// Endings of attempts that may have run.
const MAYBE_RUN: [Ending; 4] = [
    Ending::Errored,
    Ending::TimedOut,
    Ending::Broken,
    Ending::Cancelled,
];

/// Which types may be sent again after an outcome, and whether their search may be shed.
#[rstest]
#[case::idempotent(Repeat::Idempotent, true, true)]
#[case::tokened(Repeat::Tokened { window: 2.0, any_holder: true }, true, false)]
#[case::tokened_too_late(Repeat::Tokened { window: 0.05, any_holder: true }, false, false)]
#[case::tokened_elsewhere(Repeat::Tokened { window: 2.0, any_holder: false }, true, false)]
#[case::non_idempotent(Repeat::NonIdempotent, false, false)]
fn no_effect_twice(#[case] repeat: Repeat, #[case] again: bool, #[case] shed: bool) {
    for ending in MAYBE_RUN {
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
fn proven_unrun_may_go_again(#[case] ending: Ending) {
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

/// Retries where every attempt fails: never more than `free` + `share` x (searches and parts taken).
#[rstest]
#[case::free_only(2.0, 0.0, 2)]
#[case::share_only(0.0, 0.25, 5)]
fn the_retry_budget_is_respected(#[case] free: f64, #[case] share: f64, #[case] most: usize) {
    let mut settings = settings();
    settings.retry_budget = Some(RetryBudgetConfig {
        min_retries: free,
        ratio: share,
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
    assert!(retries <= most, "{retries}");
    assert!(retries > 0);
}

/// A search counts for the budget from when it came, also if the process stood still before it was placed.
#[rstest]
#[case::came_in_the_window(6.0, 0.0, true)]
#[case::came_before_it(10.5, 0.0, false)]
#[case::out_of_it_when_it_may_leave(9.0, 2.0, false)]
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
