//! Metrics page of a storage machine: view, records and journal.

use std::sync::Arc;

use woadreach_metrics::{Page, PageSource, Samples};
use woadreach_storage::server::{Server, ServerReport};

/// Creates the source that renders the metrics page on each scrape.
pub(crate) fn page_source(server: Server) -> PageSource {
    Arc::new(move || {
        let report = server.report();
        let mut page = Page::default();
        add_view(&mut page, &report);
        add_records(&mut page, &report);
        add_journal(&mut page, &report);
        page
    })
}

fn add_view(page: &mut Page, report: &ServerReport) {
    page.gauge(
        "woadreach_storage_epoch",
        "Epoch of the storage view that this machine knows; 0 before the first",
        report.epoch as f64,
    );
    page.gauge(
        "woadreach_storage_pulled_epoch",
        "Joint epoch for which everything has been pulled; 0 before the first",
        report.pulled_epoch as f64,
    );
    page.flag(
        "woadreach_storage_is_current",
        "Whether this disk is one of the view's current machines",
        report.is_current,
    );
    page.flag(
        "woadreach_storage_shutting_down",
        "Whether this machine is leaving",
        report.is_shutting_down,
    );
    page.gauges(
        "woadreach_storage_machines",
        "Machines of the view",
        Samples::by(
            "membership",
            [
                ("current", report.current_machines as f64),
                ("next", report.next_machines as f64),
            ],
        ),
    );
}

fn add_records(page: &mut Page, report: &ServerReport) {
    page.gauge(
        "woadreach_storage_programs",
        "Programs whose records are stored here",
        report.programs as f64,
    );
    page.gauge(
        "woadreach_storage_record_bytes",
        "Bytes of the records that are stored here",
        report.record_bytes as f64,
    );
}

fn add_journal(page: &mut Page, report: &ServerReport) {
    page.gauge(
        "woadreach_journal_log_bytes",
        "Length of the journal's log since its last snapshot",
        report.log_bytes as f64,
    );
    page.gauge(
        "woadreach_journal_stall_seconds",
        "For how long the disk has not finished an operation; 0 if none is pending",
        report.stalled_for.as_secs_f64(),
    );
    page.flag(
        "woadreach_journal_healthy",
        "Whether the disk has taken the last record",
        report.is_disk_healthy,
    );
}
