//! Progress of a member's successor in the chain.
//!
//! | state of the successor | event | next |
//! | --- | --- | --- |
//! | `Unknown` | probe sent, answered "inactive" | `Transferring` |
//! | `Unknown`, `Transferring` | answered "active" | `Streaming` |
//! | `Streaming` | answered "inactive" (a delayed report) | `Transferring` |
//! | any | not up to date, nothing sent for [`RESEND_INTERVAL`] | unchanged, and a probe is sent |
//! | any | the same report again, with content in flight and no progress for [`RESEND_INTERVAL`] | unchanged, and the missing content is sent again |
//!
//! A state or a write may be in flight for a long time, on a slow link or to a slow disk. A probe follows it on
//! the same connection and is answered once everything before it was received and synced. So an answer without
//! progress shows that a message was lost. A missing answer shows nothing, and therefore never causes a large
//! message to be sent again.

use std::time::Duration;

use crate::message::{Barrier, Body};
use crate::state::WritePosition;

/// Interval between probes of a successor that is not up to date, and the minimum time before content is sent to
/// it again.
pub(super) const RESEND_INTERVAL: Duration = Duration::from_millis(300);

/// Replication state of the successor in this epoch, as known from its reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum SuccessorState {
    /// The successor has sent no report.
    #[default]
    Unknown,
    /// The successor lacks the state, which is being sent.
    Transferring,
    /// The successor has activated the epoch and is sent new writes.
    Streaming {
        /// Position of the last write that the successor has persisted. Must not be above `sent`.
        persisted: WritePosition,
        /// Position of the last write that was sent.
        sent: WritePosition,
    },
}

/// A progress report of the successor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Progress {
    /// Whether the successor has activated the epoch.
    pub is_active: bool,
    /// Position of the successor's persisted state in this epoch; the default if `is_active` is false.
    pub persisted: WritePosition,
    /// Position of the last write that the successor knows to be committed in this epoch, if any.
    pub committed: Option<WritePosition>,
    /// The newest barrier that the tail has confirmed to the successor.
    pub barrier: Barrier,
}

/// The successor's progress, and the messages to it that are in flight.
#[derive(Clone, Debug, Default)]
pub(super) struct Successor {
    /// Replication state of the successor.
    pub state: SuccessorState,
    /// Time at which the last message was sent to the successor; `None` if a message is due at once.
    last_sent: Option<Duration>,
    /// Time since which a state or writes have been in flight without progress.
    in_flight_since: Duration,
    /// The successor's last report in this epoch.
    last_report: Option<Progress>,
    /// Whether the content in flight was lost and must be sent again.
    pub must_resend: bool,
    /// The newest barrier that was sent to the successor.
    pub sent_barrier: Barrier,
}

impl Successor {
    /// Resets the successor's progress, but not the time of the last message and the last barrier sent.
    pub(super) fn restart(&mut self) {
        self.state = SuccessorState::Unknown;
        self.last_report = None;
        self.must_resend = false;
    }

    /// Records a report of the successor, which must be of the current epoch.
    pub(super) fn record_progress(&mut self, now: Duration, report: Progress) {
        let has_changed = self.last_report.replace(report) != Some(report);
        self.state = match (self.state, report.is_active) {
            (SuccessorState::Transferring, false) => SuccessorState::Transferring,
            (_, false) => {
                self.must_resend = true;
                SuccessorState::Transferring
            }
            (
                SuccessorState::Streaming {
                    persisted: earlier,
                    sent,
                },
                true,
            ) => {
                let persisted = report.persisted.max(earlier);
                if persisted > earlier {
                    self.in_flight_since = now;
                }
                SuccessorState::Streaming {
                    persisted,
                    sent: sent.max(persisted),
                }
            }
            (_, true) => SuccessorState::Streaming {
                persisted: report.persisted,
                sent: report.persisted,
            },
        };
        let is_overdue = now.saturating_sub(self.in_flight_since) >= RESEND_INTERVAL;
        self.must_resend |= !has_changed && is_overdue && self.has_content_in_flight();
    }

    /// The part of the state on which decisions depend, without times.
    pub(super) fn canonical(&self) -> impl std::fmt::Debug + use<> {
        let is_due_at_once = self.last_sent.is_none();
        (
            self.state,
            is_due_at_once,
            self.must_resend,
            self.sent_barrier,
        )
    }

    /// Whether nothing was sent to the successor for [`RESEND_INTERVAL`].
    pub(super) fn is_due(&self, now: Duration) -> bool {
        self.last_sent
            .is_none_or(|sent| now.saturating_sub(sent) >= RESEND_INTERVAL)
    }

    /// Time of the next probe if nothing is sent before.
    pub(super) fn next_probe(&self) -> Duration {
        self.last_sent.unwrap_or_default() + RESEND_INTERVAL
    }

    /// Records that `body` is sent now with `barrier`. `is_first` is true if no content was in flight before.
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

    /// Whether the successor has not yet acknowledged a state or a write.
    pub(super) fn has_content_in_flight(&self) -> bool {
        match self.state {
            SuccessorState::Unknown => false,
            SuccessorState::Transferring => true,
            SuccessorState::Streaming { persisted, sent } => persisted < sent,
        }
    }
}

/// Whether a message contains a state or writes.
fn has_content(body: &Body) -> bool {
    !matches!(body, Body::Replicate { writes, .. } if writes.is_empty())
}
