//! The metrics page of an edge: what it holds, what it has decided and why, and how current its state is.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use tokio::sync::watch;
use woadreach_discovery::{ControlSnapshot, ReplicaState};
use woadreach_metrics::{Page, PageSource, Samples};

use crate::client::listener::ClientListener;
use crate::lifecycle::Phase;
use crate::proxy::Proxy;

/// Makes the page of this process.
pub fn page_source(
    proxy: Arc<Proxy>,
    listener: Arc<ClientListener>,
    snapshots: watch::Receiver<Arc<ControlSnapshot>>,
) -> PageSource {
    Arc::new(move || {
        let mut page = Page::default();
        add_clients(&mut page, &proxy, &listener);
        add_request_ends(&mut page, &proxy);
        add_decisions(&mut page, &proxy);
        add_control_state(&mut page, &proxy, &snapshots.borrow());
        page
    })
}

fn read(counter: &AtomicU64) -> u64 {
    counter.load(Ordering::Relaxed)
}

fn add_clients(page: &mut Page, proxy: &Proxy, listener: &ClientListener) {
    let is_ready = proxy.is_ready() && proxy.lifecycle.phase() == Phase::Serving;
    page.flag(
        "woadreach_ready",
        "Whether the readiness check is answered with 200",
        is_ready,
    );
    page.gauge(
        "woadreach_client_connections",
        "Open connections of clients",
        listener.open_connections() as f64,
    );
    page.gauge(
        "woadreach_requests_in_flight",
        "Requests being read or answered",
        proxy.lifecycle.requests_in_flight() as f64,
    );
    page.gauge(
        "woadreach_replica_connections",
        "Open connections to replicas, idle ones included",
        proxy.pool.open_connections() as f64,
    );
}

fn add_request_ends(page: &mut Page, proxy: &Proxy) {
    let counters = &proxy.counters;
    page.counters(
        "woadreach_requests_ended",
        "Requests by how they ended (docs/data-plane.md, States)",
        Samples::by(
            "end",
            counters
                .request_ends()
                .into_iter()
                .map(|(end, count)| (format!("{end:?}"), count as f64)),
        ),
    );
    page.counters(
        "woadreach_requests_not_accepted",
        "Requests that were answered before any decision, by reason",
        Samples::by(
            "reason",
            [
                ("malformed_or_too_long", read(&counters.rejected) as f64),
                ("no_route", read(&counters.unrouted) as f64),
            ],
        ),
    );
    page.counter(
        "woadreach_unread_hints",
        "Hints of clients (Prefix-Hash, Affinity-Key) that could not be read",
        read(&counters.unread_hints),
    );
    page.counter(
        "woadreach_client_connections_accepted",
        "Connections of clients that were accepted",
        read(&counters.connections),
    );
    page.counter(
        "woadreach_client_connections_shed",
        "Connections of clients closed at once, since the limit was reached and none was idle",
        read(&counters.shed_connections),
    );
}

fn add_decisions(page: &mut Page, proxy: &Proxy) {
    let report = proxy.dispatcher.scheduler_report();
    page.counters(
        "woadreach_decisions",
        "Decisions about calls, by decision and reason",
        Samples::by(
            "decision",
            report
                .counts
                .iter()
                .map(|(decision, count)| (decision.as_str(), count as f64)),
        ),
    );
    let load = report.load;
    page.gauges(
        "woadreach_calls",
        "Calls that have not ended, by what they wait for",
        Samples::by(
            "state",
            [
                ("queued", load.queued as f64),
                ("postponed", load.postponed as f64),
                (
                    "running",
                    (load.calls - load.queued - load.postponed) as f64,
                ),
            ],
        ),
    );
    page.gauge(
        "woadreach_ejected_replicas",
        "Replicas that this edge has ejected for at least one route",
        load.ejected_replicas as f64,
    );
}

fn add_control_state(page: &mut Page, proxy: &Proxy, snapshot: &ControlSnapshot) {
    let routing_state = proxy.routing_state();
    page.gauge(
        "woadreach_configuration_generation",
        "Generation of the configuration in force; 0 before the first",
        routing_state.generation().unwrap_or(0) as f64,
    );
    let storage_view = snapshot.storage_view.as_ref();
    page.gauge(
        "woadreach_storage_epoch",
        "Epoch of the storage view in force; 0 before the first",
        storage_view.map_or(0.0, |view| view.epoch as f64),
    );
    if let Some(last_answer_at) = snapshot.last_answer_at {
        page.gauge(
            "woadreach_core_silence_seconds",
            "Time since a core machine last answered",
            last_answer_at.elapsed().as_secs_f64(),
        );
    }
    let mut replicas: BTreeMap<&str, f64> = BTreeMap::from([("ready", 0.0), ("draining", 0.0)]);
    for record in routing_state.replicas.values() {
        let state = match record.heartbeat.state {
            ReplicaState::Ready => "ready",
            ReplicaState::Draining => "draining",
        };
        *replicas.entry(state).or_default() += 1.0;
    }
    page.gauges(
        "woadreach_replicas",
        "Replicas that are known, by what they announce",
        Samples::by("state", replicas),
    );
}
