//! Graceful shutdown: readiness fails at once, requests are served until the platform has noticed, and every
//! request in flight is answered.

use crate::client::listener::ClientListener;
use crate::lifecycle::Phase;
use crate::proxy::Proxy;
use std::time::Duration;
use tokio::time::Instant;

/// How long the platform takes to notice that the process is not ready: two failed checks and a margin.
const READINESS_NOTICE_DELAY: Duration = Duration::from_millis(2800);
/// How long before the end of the grace period the process exits, whatever is in flight.
const EXIT_MARGIN: Duration = Duration::from_millis(400);
/// How often the remaining connections are checked.
const CLOSING_INTERVAL: Duration = Duration::from_millis(100);

/// Shuts down within the grace period.
pub async fn shut_down(proxy: &Proxy, listener: &ClientListener, grace_period: Duration) {
    let requests = proxy.lifecycle.requests_in_flight();
    tracing::info!(requests, "shutdown started");
    let available = grace_period.saturating_sub(EXIT_MARGIN);
    proxy
        .lifecycle
        .set_shutdown_deadline(Instant::now() + available);
    proxy.lifecycle.enter(Phase::Draining);
    tokio::time::sleep(READINESS_NOTICE_DELAY.min(available)).await;
    let remaining = available.saturating_sub(READINESS_NOTICE_DELAY);
    let closed = tokio::time::timeout(remaining, close_connections(proxy, listener)).await;
    tracing::info!(all_answered = closed.is_ok(), "stopped");
}

/// Closes idle connections and returns when none is open: until then a request may arrive over one of them.
pub async fn close_connections(proxy: &Proxy, listener: &ClientListener) {
    proxy.lifecycle.enter(Phase::Closing);
    loop {
        listener.sweep_once();
        // Lets the connections' tasks handle the sweep's notification first.
        tokio::task::yield_now().await;
        if listener.open_connections() == 0 && proxy.lifecycle.requests_in_flight() == 0 {
            return;
        }
        tokio::time::sleep(CLOSING_INTERVAL).await;
    }
}
