//! Which requests a process accepts while it shuts down.

mod support;

use std::time::Duration;
use support::replica::{Replica, success};
use support::tier::Tier;
use support::{on_one_thread, send_request};
use tokio::time::Instant;
use woadreach_proxy::lifecycle::{Lifecycle, Phase};

/// Time until the process ends in these tests; the routes' timeout is 5 s.
const TIME_TO_SHUTDOWN: Duration = Duration::from_millis(3000);

fn stream(timeout_ms: u32) -> String {
    format!(
        "POST /once/ HTTP/1.1\r\nHost: tier.example\r\nRequest-Id: r1\r\nTimeout-Ms: {timeout_ms}\r\n\
         Content-Length: 0\r\n\r\n"
    )
}

/// A tier in this phase of its shutdown, with one replica that answers everything.
async fn tier_in(phase: Phase) -> (Replica, Tier) {
    let replica = Replica::start(|_, request| vec![success(request, "ok")]).await;
    let tier = Tier::start(&[("i-1", &replica)]).await;
    tier.proxy
        .lifecycle
        .set_shutdown_deadline(Instant::now() + TIME_TO_SHUTDOWN);
    tier.proxy.lifecycle.enter(phase);
    (replica, tier)
}

#[test]
fn an_answer_that_may_be_due_after_the_end_is_refused_and_not_run() {
    on_one_thread(async {
        let (replica, tier) = tier_in(Phase::Closing).await;
        let refused = send_request(tier.front, &stream(4500)).await;
        assert_eq!(
            (refused.status(), refused.header("connection")),
            (503, Some("close"))
        );
        assert!(refused.header("retry-after").is_some());
        assert!(
            replica.received().is_empty(),
            "a refusal promises that the request has not run"
        );
        let served = send_request(tier.front, &stream(1000)).await;
        assert_eq!(served.status(), 200);
    });
}

#[test]
fn until_the_platform_has_noticed_every_request_is_accepted() {
    on_one_thread(async {
        let (_replica, tier) = tier_in(Phase::Draining).await;
        assert_eq!(send_request(tier.front, &stream(4500)).await.status(), 200);
    });
}

#[test]
fn the_first_planned_end_counts() {
    on_one_thread(async {
        let lifecycle = Lifecycle::default();
        let now = Instant::now();
        lifecycle.set_shutdown_deadline(now + TIME_TO_SHUTDOWN);
        lifecycle.set_shutdown_deadline(now + 10 * TIME_TO_SHUTDOWN);
        lifecycle.enter(Phase::Closing);
        assert!(lifecycle.accepts_request(now + TIME_TO_SHUTDOWN));
        assert!(!lifecycle.accepts_request(now + TIME_TO_SHUTDOWN + Duration::from_millis(1)));
    });
}
