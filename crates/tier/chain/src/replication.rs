//! Replication down the chain, in one epoch.
//!
//! Volatile part of a member's place in the chain. The durable part (the state with every write) is
//! [`Durable`](crate::Durable); here is which of its writes are persisted and committed, and how far the
//! successor is.
//!
//! | state of the link to the successor | event | next |
//! | --- | --- | --- |
//! | `Unknown` | probe sent, answered "inactive" | `Transferring` |
//! | `Unknown`, `Transferring` | answered "active" | `Streaming` |
//! | `Streaming` | answered "inactive" (it has lost its place) | `Transferring` |
//! | any | unsettled, nothing sent for [`RESEND_INTERVAL`] | the same, and a probe is sent |
//! | any | a report without news, [`RESEND_INTERVAL`] after sending or progress | the same; sends what it lacks |
//!
//! A state or a write may be long under way, on a slow link or to a slow disk. A probe goes behind it on the
//! same connection and is answered once everything before it has come and is synced. So an answer without
//! news says that something was lost; silence says nothing, and nothing long is sent twice for it.

use std::collections::VecDeque;
use std::time::Duration;

use crate::message::{Barrier, Body, Write};
use crate::state::{Command, ControlState, Stamp};

/// After so long without a message to a successor that isn't up to date, it is probed. What it lacks isn't
/// sent again sooner after the first time.
pub(crate) const RESEND_INTERVAL: Duration = Duration::from_millis(300);
/// Bytes of writes that are put into one message, unless a single write is larger.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// What is known of the successor in this epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Link {
    /// It has not said whether it has the state.
    Unknown,
    /// It lacks the state, which is being sent.
    Transferring,
    /// It has activated the epoch and persisted everything up to `persisted`; writes up to `sent` are on the
    /// way.
    Streaming { persisted: Stamp, sent: Stamp },
}

/// What the successor reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Progress {
    /// Whether it has activated the epoch.
    pub is_active: bool,
    pub persisted: Stamp,
    pub committed: Option<Stamp>,
    pub barrier: Barrier,
}

/// A member's place in the chain of one epoch.
#[derive(Clone, Debug)]
pub(crate) struct Replication {
    /// The state up to the last write that is not in `pending`.
    base: ControlState,
    /// Whether `base` is committed in this epoch.
    is_base_committed: bool,
    /// Writes that are not committed, as far as known.
    pending: VecDeque<Write>,
    /// The epoch and stamp of the state that the own disk has.
    persisted: (u64, Stamp),
    /// Stamps of records that the disk has yet to sync.
    unsynced: VecDeque<(u64, u64, Stamp)>,
    link: Link,
    last_sent: Duration,
    /// Since when a state or writes are under way without progress.
    in_flight_since: Duration,
    /// What the successor reported last.
    last_report: Option<Progress>,
    /// The successor lacks what was sent to it.
    must_resend: bool,
    sent_barrier: Barrier,
    /// The newest barrier that came from the head.
    barrier: Barrier,
    /// The newest barrier that the rest of the chain has passed on.
    confirmed: Barrier,
}

impl Replication {
    /// The place of a member whose disk has `state`, with the writes of `active_epoch`.
    pub(crate) fn new(active_epoch: u64, state: &ControlState) -> Replication {
        Replication {
            base: state.clone(),
            is_base_committed: false,
            pending: VecDeque::new(),
            persisted: (active_epoch, state.stamp),
            unsynced: VecDeque::new(),
            link: Link::Unknown,
            last_sent: Duration::ZERO,
            in_flight_since: Duration::ZERO,
            last_report: None,
            must_resend: false,
            sent_barrier: Barrier::default(),
            barrier: Barrier::default(),
            confirmed: Barrier::default(),
        }
    }

    /// The state was replaced or activated in `epoch`, by record `record`.
    pub(crate) fn restart(&mut self, record: u64, epoch: u64, state: &ControlState) {
        self.base = state.clone();
        self.is_base_committed = false;
        self.pending.clear();
        self.unsynced.push_back((record, epoch, state.stamp));
        self.link = Link::Unknown;
        self.last_report = None;
        self.must_resend = false;
    }

    /// A write was added to the state, by record `record`.
    pub(crate) fn push(&mut self, record: u64, epoch: u64, stamp: Stamp, command: Command) {
        self.pending.push_back(Write { stamp, command });
        self.unsynced.push_back((record, epoch, stamp));
    }

    /// The disk has synced every record up to `through`. Tells whether that moves the place.
    pub(crate) fn synced(&mut self, through: u64) -> bool {
        let before = self.persisted;
        while let Some(&(record, epoch, stamp)) = self.unsynced.front() {
            if record > through {
                break;
            }
            self.persisted = (epoch, stamp);
            self.unsynced.pop_front();
        }
        self.persisted != before
    }

    /// Stamp of the persisted state, if the disk has activated `epoch`.
    pub(crate) fn persisted_stamp(&self, epoch: u64) -> Option<Stamp> {
        (self.persisted.0 == epoch).then_some(self.persisted.1)
    }

    /// Whether records of this chain wait for the disk.
    pub(crate) fn is_syncing(&self) -> bool {
        !self.unsynced.is_empty()
    }

    /// The state that is committed in this epoch, as far as known.
    pub(crate) fn committed(&self) -> Option<&ControlState> {
        self.is_base_committed.then_some(&self.base)
    }

    pub(crate) fn committed_stamp(&self) -> Option<Stamp> {
        self.committed().map(|state| state.stamp)
    }

    pub(crate) fn confirmed(&self) -> Barrier {
        self.confirmed
    }

    pub(crate) fn barrier(&self) -> Barrier {
        self.barrier
    }

    /// The tail has persisted everything up to `stamp`. Tells whether more is committed than before.
    pub(crate) fn commit(&mut self, stamp: Stamp) -> bool {
        let before = self.committed_stamp();
        while self
            .pending
            .front()
            .is_some_and(|write| write.stamp <= stamp)
        {
            if let Some(write) = self.pending.pop_front() {
                self.base.apply(write.stamp, &write.command);
            }
        }
        self.is_base_committed |= self.base.stamp <= stamp;
        self.committed_stamp() != before
    }

    /// Takes the barrier that the predecessor passed on, or that the head itself begins.
    pub(crate) fn record_barrier(&mut self, barrier: Barrier) {
        let is_newer =
            barrier.session != self.barrier.session || barrier.number > self.barrier.number;
        if is_newer {
            self.barrier = barrier;
        }
    }

    /// Begins a barrier at the head.
    pub(crate) fn next_barrier(&mut self, session: u64) -> Barrier {
        let number = if self.barrier.session == session {
            self.barrier.number + 1
        } else {
            1
        };
        self.barrier = Barrier { session, number };
        self.barrier
    }

    /// The rest of the chain has passed `barrier` on. Tells whether that is news.
    pub(crate) fn confirm(&mut self, barrier: Barrier) -> bool {
        let is_newer = barrier.session == self.barrier.session
            && barrier.number <= self.barrier.number
            && barrier != self.confirmed
            && (self.confirmed.session != barrier.session
                || barrier.number > self.confirmed.number);
        if is_newer {
            self.confirmed = barrier;
        }
        is_newer
    }

    /// Takes the successor's report.
    pub(crate) fn record_progress(&mut self, now: Duration, report: Progress) {
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

    /// The place without its times, with numbers of records counted back from `newest`.
    pub(crate) fn canonical(&self, newest: u64) -> impl std::fmt::Debug + '_ {
        let unsynced: Vec<_> = self
            .unsynced
            .iter()
            .map(|(record, epoch, stamp)| (newest - record, epoch, stamp))
            .collect();
        let state = (
            &self.base,
            self.is_base_committed,
            &self.pending,
            self.persisted,
            unsynced,
        );
        let link = (self.link, self.last_sent.is_zero(), self.must_resend);
        (state, link, self.sent_barrier, self.barrier, self.confirmed)
    }

    /// What the successor lacks is due now.
    pub(crate) fn resend(&mut self) {
        self.last_sent = Duration::ZERO;
        self.must_resend |= self.has_content_in_flight();
    }

    /// Whether the successor has yet to report something that was sent to it.
    fn has_content_in_flight(&self) -> bool {
        match self.link {
            Link::Unknown => false,
            Link::Transferring => true,
            Link::Streaming { persisted, sent } => persisted < sent,
        }
    }

    /// What is to be sent to the successor now.
    pub(crate) fn next_message(&mut self, now: Duration, epoch: u64) -> Option<Body> {
        let own = self.persisted_stamp(epoch)?;
        let is_due =
            self.last_sent.is_zero() || now.saturating_sub(self.last_sent) >= RESEND_INTERVAL;
        let is_first = !self.has_content_in_flight();
        let body = match self.link {
            Link::Unknown => is_due.then(|| self.probe(own)),
            Link::Transferring if self.must_resend => Some(self.transfer(own)),
            Link::Transferring => is_due.then(|| self.probe(own)),
            Link::Streaming { persisted, sent } => self.stream(own, persisted, sent, is_due),
        }?;
        if has_content(&body) && (is_first || self.must_resend) {
            self.in_flight_since = now;
        }
        self.must_resend = false;
        self.last_sent = now.max(Duration::from_nanos(1));
        self.sent_barrier = self.barrier;
        Some(body)
    }

    /// When the successor may have to be reminded.
    pub(crate) fn next_resend(&self, epoch: u64) -> Option<Duration> {
        let own = self.persisted_stamp(epoch)?;
        let is_up_to_date = matches!(self.link, Link::Streaming { persisted, .. } if persisted == own)
            && self.confirmed == self.barrier
            && self.committed_stamp() == Some(own);
        (!is_up_to_date).then_some(self.last_sent + RESEND_INTERVAL)
    }

    fn stream(&mut self, own: Stamp, persisted: Stamp, sent: Stamp, is_due: bool) -> Option<Body> {
        let is_up_to_date = persisted == own
            && self.committed_stamp() == Some(own)
            && self.confirmed == self.barrier;
        let from = if self.must_resend { persisted } else { sent };
        let has_new_barrier = self.sent_barrier != self.barrier;
        let is_probe = is_due && !is_up_to_date;
        if from >= own && !has_new_barrier && !is_probe {
            return None;
        }
        let Some(writes) = self.writes_after(from, own) else {
            self.link = Link::Transferring;
            return Some(self.transfer(own));
        };
        let sent = writes.last().map_or(from, |write| write.stamp);
        self.link = Link::Streaming { persisted, sent };
        Some(self.replicate(from, writes))
    }

    /// The writes after `from`, up to `own`; none if they are not kept any more.
    fn writes_after(&self, from: Stamp, own: Stamp) -> Option<Vec<Write>> {
        let is_retained =
            from == self.base.stamp || self.pending.iter().any(|write| write.stamp == from);
        if !is_retained {
            return None;
        }
        let mut bytes = 0;
        let mut writes = Vec::new();
        for write in self
            .pending
            .iter()
            .filter(|write| write.stamp > from && write.stamp <= own)
        {
            bytes += command_bytes(&write.command);
            if bytes > MAX_MESSAGE_BYTES && !writes.is_empty() {
                break;
            }
            writes.push(write.clone());
        }
        Some(writes)
    }

    /// Asks the successor how far it is; one that has the same state activates the epoch.
    fn probe(&self, own: Stamp) -> Body {
        self.replicate(own, Vec::new())
    }

    fn replicate(&self, after: Stamp, writes: Vec<Write>) -> Body {
        Body::Replicate {
            after,
            writes,
            barrier: self.barrier,
        }
    }

    fn transfer(&self, own: Stamp) -> Body {
        let mut state = self.base.clone();
        for write in self.pending.iter().filter(|write| write.stamp <= own) {
            state.apply(write.stamp, &write.command);
        }
        Body::Transfer {
            state,
            barrier: self.barrier,
        }
    }
}

/// Whether a message has more than a barrier.
fn has_content(body: &Body) -> bool {
    !matches!(body, Body::Replicate { writes, .. } if writes.is_empty())
}

fn command_bytes(command: &Command) -> usize {
    match command {
        Command::PutConfiguration(put) => put.body.0.len(),
        Command::PutStorageView(put) => put.bytes.0.len(),
    }
}
