//! The periodic report of what the process has in memory, for the staff on call.

use super::Core;
use super::timers::Timer;
use crate::events::Usage;
use tracing::info;
use woadreach_runtime::Net;
use woadreach_search_driver::InFlightCounts;

/// Seconds between reports.
const USAGE_REPORT_INTERVAL: f64 = 5.0;

impl<N: Net> Core<N> {
    /// Reports usage, and sets the timer for the next report. `due`: when this one was due.
    pub(super) fn report_usage(&mut self, now: f64, due: f64) {
        self.max_event_delay_s = self.max_event_delay_s.max(now - due);
        let usage = self.usage();
        log_usage(&usage);
        if let Some(counters) = self.search_table.comparison_counters() {
            info!(
                retry_after = counters.retry_after,
                hedges = counters.hedges,
                retries_of_once = counters.retries_of_once,
                "watched settings compared"
            );
        }
        (self.on_usage)(&usage);
        self.max_event_delay_s = 0.0;
        self.executor
            .timers
            .insert(now + USAGE_REPORT_INTERVAL, Timer::UsageReport);
    }

    fn usage(&self) -> Usage {
        let InFlightCounts { searches, parts } = self.search_table.in_flight();
        let replicas = &self.executor.replicas;
        let sockets = self.sockets.usage();
        Usage {
            searches,
            parts,
            attempts: replicas.attempts_in_flight(),
            connections: replicas.connections(),
            replicas: replicas.known(),
            timers: self.executor.timers.len(),
            client_sockets: sockets.clients,
            own_sockets: sockets.own,
            request_bytes: self.executor.request_bytes,
            max_event_delay_s: self.max_event_delay_s,
        }
    }
}

fn log_usage(usage: &Usage) {
    info!(
        searches = usage.searches,
        parts = usage.parts,
        attempts = usage.attempts,
        connections = usage.connections,
        replicas = usage.replicas,
        timers = usage.timers,
        client_sockets = usage.client_sockets,
        own_sockets = usage.own_sockets,
        request_bytes = usage.request_bytes,
        max_event_delay_ms = usage.max_event_delay_s * 1000.0,
        "usage reported"
    );
}
