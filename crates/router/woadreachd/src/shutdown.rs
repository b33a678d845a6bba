//! The phases after SIGTERM, and their times.

use crate::phase::Phase;
use std::future::pending;
use tokio::sync::watch;
use woadreach_runtime::Net;

/// PROTOCOL: SIGKILL follows SIGTERM no sooner than after the longest client time-out, and these seconds more.
/// Until then clients use the connections that they have.
const KILL_GRACE: f64 = 0.7;
/// PROTOCOL: of the longest client time-out these seconds count at most.
const MAX_COUNTED_CLIENT_TIMEOUT: f64 = 3.0;
/// Seconds in which the last answers are written, by a process that may be held up.
const LAST_ANSWERS_TIME: f64 = 0.3;

/// When the phases after SIGTERM begin, in seconds after it.
pub(crate) struct ShutdownSchedule {
    closing_after_s: f64,
    ending_after_s: f64,
}

impl ShutdownSchedule {
    /// The schedule for these longest times of any query type, in seconds.
    pub(crate) fn new(max_client_timeout_s: f64, max_latency_target_s: f64) -> Self {
        let killed_after_s = KILL_GRACE + max_client_timeout_s.min(MAX_COUNTED_CLIENT_TIMEOUT);
        // What arrives until then is answered in time, or not at all.
        let closing_after_s = killed_after_s - max_latency_target_s - LAST_ANSWERS_TIME;
        ShutdownSchedule {
            closing_after_s: closing_after_s.max(KILL_GRACE),
            ending_after_s: killed_after_s - LAST_ANSWERS_TIME,
        }
    }

    /// Enters the phases after `Draining`, each in its time; never returns.
    ///
    /// A process serves for as long as what it takes can be answered. Otherwise, in a restart of all processes
    /// one after the other, clients would be spread only over those that are back, which may be none.
    pub(crate) async fn run(&self, net: &impl Net, phase: &watch::Sender<Phase>) {
        let start = net.now();
        net.sleep_until(start + self.closing_after_s).await;
        let _ = phase.send(Phase::Closing);
        net.sleep_until(start + self.ending_after_s).await;
        let _ = phase.send(Phase::Ending);
        pending::<()>().await;
    }
}
