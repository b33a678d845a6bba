//! What a member knows of its successor in the chain.
//!
//! | state of the link to the successor | event | next |
//! | --- | --- | --- |
//! | `Unknown` | probe sent, answered "inactive" | `Transferring` |
//! | `Unknown`, `Transferring` | answered "active" | `Streaming` |
//! | `Streaming` | answered "inactive" (a report that arrived late) | `Transferring` |
//! | any | not up to date, nothing sent for [`RESEND_INTERVAL`] | the same, and a probe is sent |
//! | any | the same report again, with content in flight and no progress for [`RESEND_INTERVAL`] | the same, and what the successor lacks is sent again |
//!
//! A state or a write may be in flight for long, on a slow link or to a slow disk. A probe follows it on the
//! same connection and is answered once everything before it has arrived and is synced. So an answer without
//! progress shows that a message was lost, while a missing answer shows nothing: it never causes a large
//! message to be sent again.

use std::time::Duration;

use crate::message::{Barrier, Body};
use crate::state::WritePosition;

/// Interval between probes of a successor that isn't up to date, and the least time before anything is sent
/// to it a second time.
pub(super) const RESEND_INTERVAL: Duration = Duration::from_millis(300);

/// Replication state of the successor in this epoch, as far as this member knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Link {
    /// It has not said whether it has the state.
    #[default]
    Unknown,
    /// It lacks the state, which is being sent.
    Transferring,
    /// It has activated the epoch and is sent writes as they come.
    Streaming {
        /// The successor has persisted every write up to this one. Must not be above `sent`.
        persisted: WritePosition,
        /// The last write that was sent.
        sent: WritePosition,
    },
}

/// Progress that the successor reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Progress {
    /// Whether it has activated the epoch.
    pub is_active: bool,
    /// Position of its persisted state in this epoch.
    pub persisted: WritePosition,
    /// Position of the last write that it knows to be committed in this epoch.
    pub committed: Option<WritePosition>,
    /// The newest barrier that the chain behind it has confirmed.
    pub barrier: Barrier,
}

/// The successor's progress, and which messages to it are in flight.
#[derive(Clone, Debug, Default)]
pub(super) struct Successor {
    /// How far it has come.
    pub link: Link,
    /// When the last message left for it; `None` if one is due at once.
    last_sent: Option<Duration>,
    /// Since when a state or writes have been in flight without progress.
    in_flight_since: Duration,
    /// Its last report in this epoch.
    last_report: Option<Progress>,
    /// Whether what is in flight was lost and must be sent again.
    pub must_resend: bool,
    /// The newest barrier that was sent to it.
    pub sent_barrier: Barrier,
}

impl Successor {
    /// Forgets its progress. The time of the last message and the barrier that was sent are kept.
    pub(super) fn restart(&mut self) {
        self.link = Link::Unknown;
        self.last_report = None;
        self.must_resend = false;
    }

    /// Records the successor's report, which must be of the current epoch.
    pub(super) fn record_progress(&mut self, now: Duration, report: Progress) {
        let has_changed = self.last_report.replace(report) != Some(report);
        self.link = match (self.link, report.is_active) {
            (Link::Transferring, false) => Link::Transferring,
            (_, false) => {
                self.must_resend = true;
                Link::Transferring
            }
            (
                Link::Streaming {
                    persisted: earlier,
                    sent,
                },
                true,
            ) => {
                let persisted = report.persisted.max(earlier);
                if persisted > earlier {
                    self.in_flight_since = now;
                }
                Link::Streaming {
                    persisted,
                    sent: sent.max(persisted),
                }
            }
            (_, true) => Link::Streaming {
                persisted: report.persisted,
                sent: report.persisted,
            },
        };
        let is_overdue = now.saturating_sub(self.in_flight_since) >= RESEND_INTERVAL;
        self.must_resend |= !has_changed && is_overdue && self.has_content_in_flight();
    }

    /// Everything here that decisions depend on, without times.
    pub(super) fn canonical(&self) -> impl std::fmt::Debug + use<> {
        let is_due_at_once = self.last_sent.is_none();
        (
            self.link,
            is_due_at_once,
            self.must_resend,
            self.sent_barrier,
        )
    }

    /// Whether nothing was sent to it for [`RESEND_INTERVAL`].
    pub(super) fn is_due(&self, now: Duration) -> bool {
        self.last_sent
            .is_none_or(|sent| now.saturating_sub(sent) >= RESEND_INTERVAL)
    }

    /// When it is to be probed if nothing is sent before.
    pub(super) fn next_probe(&self) -> Duration {
        self.last_sent.unwrap_or_default() + RESEND_INTERVAL
    }

    /// Records that `body` leaves now with `barrier`. `is_first` says that nothing was in flight before.
    pub(super) fn record_sent(
        &mut self,
        now: Duration,
        body: &Body,
        barrier: Barrier,
        is_first: bool,
    ) {
        if has_content(body) && (is_first || self.must_resend) {
            self.in_flight_since = now;
        }
        self.must_resend = false;
        self.last_sent = Some(now);
        self.sent_barrier = barrier;
    }

    /// Makes the next message to the successor due now, as if [`RESEND_INTERVAL`] had passed.
    pub(super) fn resend(&mut self) {
        self.last_sent = None;
        self.must_resend |= self.has_content_in_flight();
    }

    /// Whether the successor has yet to acknowledge a state or a write.
    pub(super) fn has_content_in_flight(&self) -> bool {
        match self.link {
            Link::Unknown => false,
            Link::Transferring => true,
            Link::Streaming { persisted, sent } => persisted < sent,
        }
    }
}

/// Whether a message carries a state or writes.
fn has_content(body: &Body) -> bool {
    !matches!(body, Body::Replicate { writes, .. } if writes.is_empty())
}
