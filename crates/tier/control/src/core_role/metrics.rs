//! Metrics page of a core machine: view, quorum, committed state, journal, and registry of replicas.

use std::sync::Arc;

use woadreach_discovery::CoreDiscovery;
use woadreach_metrics::{Page, PageSource, Samples};

use crate::member_driver::MemberDriver;

/// Creates the source that renders the metrics page on each scrape.
pub(super) fn page_source(driver: Arc<MemberDriver>, discovery: Arc<CoreDiscovery>) -> PageSource {
    Arc::new(move || {
        let mut page = Page::default();
        add_view(&mut page, &driver);
        add_committed(&mut page, &driver);
        add_journal(&mut page, &driver);
        add_registry(&mut page, &discovery);
        page
    })
}

fn add_view(page: &mut Page, driver: &MemberDriver) {
    let status = driver.status();
    page.gauge(
        "woadreach_core_epoch",
        "Epoch of the installed view",
        status.epoch as f64,
    );
    page.flag(
        "woadreach_core_in_quorum",
        "Whether this machine is in contact with a majority of the voters and has caught up",
        status.in_quorum,
    );
    page.flag(
        "woadreach_core_in_chain",
        "Whether the chain contains this machine",
        status.in_chain,
    );
    page.flag(
        "woadreach_core_is_head",
        "Whether this machine is the head and accepts orders",
        status.is_head,
    );
    page.gauges(
        "woadreach_core_voters",
        "Voters of the installed view, by what the failure detector of this machine finds",
        Samples::by(
            "state",
            [
                ("all", status.voters.len() as f64),
                ("suspected", status.suspected_voters.len() as f64),
            ],
        ),
    );
}

fn add_committed(page: &mut Page, driver: &MemberDriver) {
    let committed = driver.published();
    page.gauge(
        "woadreach_configuration_generation",
        "Generation of the newest committed configuration that this machine knows; 0 before the first",
        committed.generation() as f64,
    );
    page.gauge(
        "woadreach_storage_epoch",
        "Epoch of the newest committed storage view that this machine knows; 0 before the first",
        committed.storage_epoch() as f64,
    );
    page.gauge(
        "woadreach_core_committed_writes",
        "Number of the last committed write that this machine knows",
        committed.position.number as f64,
    );
}

fn add_journal(page: &mut Page, driver: &MemberDriver) {
    let journal = driver.journal_report();
    page.gauge(
        "woadreach_journal_log_bytes",
        "Length of the journal's log since its last snapshot",
        journal.log_bytes as f64,
    );
    page.gauge(
        "woadreach_journal_stall_seconds",
        "For how long the disk has not finished an operation; 0 if none is pending",
        journal.stalled_for.as_secs_f64(),
    );
    page.flag(
        "woadreach_journal_healthy",
        "Whether the disk takes records and syncs in time",
        journal.is_healthy,
    );
    page.counter(
        "woadreach_journal_syncs",
        "Records that the disk has synced",
        journal.synced_records,
    );
}

fn add_registry(page: &mut Page, discovery: &CoreDiscovery) {
    let report = discovery.report();
    page.gauge(
        "woadreach_replicas",
        "Replicas that are registered",
        report.replicas as f64,
    );
    page.flag(
        "woadreach_registry_warming",
        "Whether this machine may not know all replicas",
        report.is_warming,
    );
    page.gauge(
        "woadreach_departures_unsynced",
        "Departures of replicas that are not on this machine's disk yet",
        report.unsynced_departures as f64,
    );
    page.gauge(
        "woadreach_departure_log_bytes",
        "Length of the log of departures since its last snapshot",
        report.departure_log_bytes as f64,
    );
    let counters = report.counters;
    page.counters(
        "woadreach_heartbeats",
        "Heartbeats of replicas, by whether they were accepted or why they were rejected",
        Samples::by(
            "outcome",
            [
                ("accepted", counters.accepted as f64),
                ("stale", counters.stale as f64),
                ("departed", counters.departed as f64),
                ("invalid", counters.invalid as f64),
            ],
        ),
    );
    page.counters(
        "woadreach_replicas_lost",
        "Replicas that departed without a notice",
        Samples::by(
            "reason",
            [
                ("expired", counters.expired as f64),
                ("superseded", counters.superseded as f64),
            ],
        ),
    );
}
