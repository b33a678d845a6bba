//! The latest report of each member.

use crate::gossip::Report;
use crate::reporters::Reporters;
use std::collections::BTreeMap;
use woadreach_membership::MemberId;

/// A report in the table.
struct StoredReport {
    report: Report,
    /// Time at which the report was created, by this member's clock.
    created_at_s: f64,
    /// Number of times that this member has sent the report to others.
    sends: u32,
}

/// The latest report of each member.
pub(crate) struct ReportTable {
    /// Validity of a report, in seconds.
    timeout_s: f64,
    reports: BTreeMap<MemberId, StoredReport>,
}

impl ReportTable {
    pub(crate) fn new(timeout_s: f64) -> ReportTable {
        ReportTable {
            timeout_s,
            reports: BTreeMap::new(),
        }
    }

    /// Replaces a member's report by one that was created at `created_at_s`.
    pub(crate) fn insert(&mut self, report: Report, created_at_s: f64) {
        let stored = StoredReport {
            created_at_s,
            sends: 0,
            report,
        };
        self.reports.insert(stored.report.member, stored);
    }

    /// Inserts a report from another member, unless it has expired or the table has a newer one.
    pub(crate) fn insert_if_newer(&mut self, now_s: f64, report: Report) {
        let created_at_s = now_s - report.age_s();
        let oldest = now_s - self.timeout_s;
        let known = self.reports.get(&report.member);
        let is_outdated = known
            .filter(|known| known.created_at_s > oldest)
            .is_some_and(|known| {
                // Sequence numbers wrap.
                let ahead = report.sequence.wrapping_sub(known.report.sequence);
                ahead.wrapping_sub(1) >= 127
            });
        if created_at_s > oldest && !is_outdated {
            self.insert(report, created_at_s);
        }
    }

    pub(crate) fn remove_expired(&mut self, now_s: f64) {
        let oldest = now_s - self.timeout_s;
        self.reports
            .retain(|_, stored| stored.created_at_s > oldest);
    }

    /// Returns the reports that have not expired.
    pub(crate) fn valid(&self, now_s: f64) -> impl Iterator<Item = &Report> {
        let oldest = now_s - self.timeout_s;
        self.reports
            .values()
            .filter(move |stored| stored.created_at_s > oldest)
            .map(|stored| &stored.report)
    }

    /// Returns valid reports of reporters that fit into `capacity` bytes, and counts each as sent once more. Reports
    /// that were sent least often come first, and the newest among these. No report is sent more than `max_sends`
    /// times.
    pub(crate) fn take_for_gossip(
        &mut self,
        now_s: f64,
        capacity: usize,
        max_sends: u32,
        reporters: &Reporters,
    ) -> Vec<Report> {
        let oldest = now_s - self.timeout_s;
        let mut due: Vec<&mut StoredReport> = self
            .reports
            .values_mut()
            .filter(|stored| stored.created_at_s > oldest && stored.sends < max_sends)
            .filter(|stored| reporters.contains(stored.report.member))
            .collect();
        due.sort_by(|a, b| {
            let by_sends = a.sends.cmp(&b.sends);
            by_sends.then(b.created_at_s.total_cmp(&a.created_at_s))
        });
        let mut reports = Vec::new();
        let mut size = 0;
        for stored in due {
            size += stored.report.max_encoded_bytes();
            if size > capacity {
                break;
            }
            stored.sends += 1;
            reports.push(stored.report.with_age(now_s - stored.created_at_s));
        }
        reports
    }
}
