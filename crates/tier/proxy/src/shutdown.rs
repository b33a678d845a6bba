//! A planned stop: not ready at once, served on until the platform has noticed, every request answered.

use crate::front::Front;
use crate::lifecycle::Phase;
use crate::proxy::Proxy;
use std::time::Duration;
use tokio::time::Instant;

/// How long the platform takes to notice that the process is not ready any more: two missed calls and some.
const NOTICE_TIME: Duration = Duration::from_millis(2800);
/// How long before the end of the grace period the process ends whatever is left.
const LAST_MARGIN: Duration = Duration::from_millis(400);
/// How often the connections that are left are looked over.
const CLOSING_INTERVAL: Duration = Duration::from_millis(100);

/// Stops within the grace period.
pub async fn stop(proxy: &Proxy, front: &Front, grace_period: Duration) {
    tracing::info!(requests = proxy.lifecycle.requests(), "leaving");
    let whole = grace_period.saturating_sub(LAST_MARGIN);
    proxy.lifecycle.plan_end(Instant::now() + whole);
    proxy.lifecycle.enter(Phase::Leaving);
    tokio::time::sleep(NOTICE_TIME.min(whole)).await;
    let rest = whole.saturating_sub(NOTICE_TIME);
    let closed = tokio::time::timeout(rest, close_connections(proxy, front)).await;
    tracing::info!(all_answered = closed.is_ok(), "stopped");
}

/// Closes idle connections and returns when none is left: until then a request may still come over one of
/// them.
pub async fn close_connections(proxy: &Proxy, front: &Front) {
    proxy.lifecycle.enter(Phase::Closing);
    loop {
        front.sweep_once();
        // The sweep's word reaches the connections' tasks before this one goes on.
        tokio::task::yield_now().await;
        if front.open_connections() == 0 && proxy.lifecycle.requests() == 0 {
            return;
        }
        tokio::time::sleep(CLOSING_INTERVAL).await;
    }
}
