//! Departure of a core machine from the chain after SIGTERM.

use std::time::Duration;

use tokio::time::Instant;
use woadreach_chain::{ExitReadiness, Input};

use crate::DEPARTURE_POLL_INTERVAL;
use crate::member_driver::MemberDriver;

/// Part of the grace period reserved for answering requests in flight after the departure from the chain.
const STOP_MARGIN: Duration = Duration::from_millis(2500);
/// Time limit for the departure when no other member remains to take over.
const LAST_MEMBER_TIMEOUT: Duration = Duration::from_millis(1500);

/// Logs whether the member has left the chain. If it has not, the log line contains the reason.
fn log_end(departure: ExitReadiness) {
    if departure == ExitReadiness::Free {
        tracing::info!("left the chain");
    } else {
        tracing::warn!(
            ?departure,
            "stopped at the deadline before leaving the chain"
        );
    }
}

/// Requests removal from the chain, and waits until no data depends on the disk of this machine, because the
/// machine may never restart. The wait ends at the latest [`STOP_MARGIN`] before the end of the grace period.
pub(super) async fn leave(driver: &MemberDriver, grace_period: Duration) {
    tracing::info!("departure from the chain requested");
    driver.handle(Input::Leave);
    let started = Instant::now();
    let max_wait = grace_period.saturating_sub(STOP_MARGIN);
    loop {
        let departure = driver.exit_readiness();
        let timeout = match departure {
            ExitReadiness::Free => Duration::ZERO,
            ExitReadiness::NobodyStays => LAST_MEMBER_TIMEOUT.min(max_wait),
            _ => max_wait,
        };
        if started.elapsed() >= timeout {
            log_end(departure);
            return;
        }
        tokio::time::sleep(DEPARTURE_POLL_INTERVAL).await;
    }
}
