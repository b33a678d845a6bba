//! Replication down the chain, in one epoch.
//!
//! Van Renesse & Schneider, Chain Replication for Supporting High Throughput and Availability (2004), section
//! 3: the head takes updates, every member passes them to its successor in order, and the tail's copy decides
//! what is committed. Acknowledgements travel back from the tail to the head.
//!
//! In a change of the configuration this comes after the head has judged the command, and before the reply.
//! The messages are sent and received by `member/propagation`.
//!
//! [`Replication`] is the volatile part of a member's role: which writes are persisted and committed, and how
//! far the successor has come. The durable part, the state with every write, is [`Durable`](crate::Durable).
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

use std::collections::VecDeque;
use std::time::Duration;

use crate::message::{Barrier, Body, Write};
use crate::state::{Command, ControlState, WritePosition};

/// Interval between probes of a successor that isn't up to date, and the least time before anything is sent
/// to it a second time.
pub(crate) const RESEND_INTERVAL: Duration = Duration::from_millis(300);
/// Upper bound of the bytes of writes in one message. A single write may exceed it.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// Replication state of the successor in this epoch, as far as this member knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Link {
    /// It has not said whether it has the state.
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

/// The state that this member's disk holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Persisted {
    /// Epoch that was active when the state was written.
    epoch: u64,
    /// Position of the state.
    position: WritePosition,
}

/// A record of the chain that the disk has yet to sync.
#[derive(Clone, Copy, Debug)]
struct UnsyncedRecord {
    /// Number of the record.
    number: u64,
    /// What the disk holds once the record is synced.
    result: Persisted,
}

/// A member's replication state in the chain of one epoch.
#[derive(Clone, Debug)]
pub(crate) struct Replication {
    /// The state without the writes in `pending`.
    base: ControlState,
    /// Whether `base` is committed in this epoch.
    is_base_committed: bool,
    /// Writes above `base`, in ascending order of positions, that are not known to be committed.
    pending: VecDeque<Write>,
    /// The state on this member's disk. Never ahead of the state in memory.
    persisted: Persisted,
    /// Records that the disk has yet to sync, in ascending order of numbers.
    unsynced: VecDeque<UnsyncedRecord>,
    /// Replication state of the successor; unused at the tail.
    link: Link,
    /// When the last message left for the successor; zero if one is due at once.
    last_sent: Duration,
    /// Since when a state or writes have been in flight without progress.
    in_flight_since: Duration,
    /// The successor's last report in this epoch.
    last_report: Option<Progress>,
    /// Whether what is in flight was lost and must be sent again.
    must_resend: bool,
    /// The newest barrier that was sent to the successor.
    sent_barrier: Barrier,
    /// The newest barrier received from the predecessor, or begun at the head.
    barrier: Barrier,
    /// The newest barrier that has reached the tail. Never above `barrier` within a session.
    confirmed: Barrier,
}

impl Replication {
    /// The state of a member whose disk holds `state`, last written in `active_epoch`.
    pub(crate) fn new(active_epoch: u64, state: &ControlState) -> Replication {
        Replication {
            base: state.clone(),
            is_base_committed: false,
            pending: VecDeque::new(),
            persisted: Persisted {
                epoch: active_epoch,
                position: state.position,
            },
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

    /// Begins again from `state`, which record number `record` replaced or activated in `epoch`. Nothing of
    /// the state is known to be committed in this epoch.
    pub(crate) fn restart(&mut self, record: u64, epoch: u64, state: &ControlState) {
        self.base = state.clone();
        self.is_base_committed = false;
        self.pending.clear();
        self.unsynced.push_back(UnsyncedRecord {
            number: record,
            result: Persisted {
                epoch,
                position: state.position,
            },
        });
        self.link = Link::Unknown;
        self.last_report = None;
        self.must_resend = false;
    }

    /// Adds a write, which record number `record` holds. Its position must be above that of every earlier
    /// write.
    pub(crate) fn push(
        &mut self,
        record: u64,
        epoch: u64,
        position: WritePosition,
        command: Command,
    ) {
        self.pending.push_back(Write { position, command });
        self.unsynced.push_back(UnsyncedRecord {
            number: record,
            result: Persisted { epoch, position },
        });
    }

    /// Records that every record up to number `through` is synced. Returns whether the persisted state
    /// changed.
    pub(crate) fn synced(&mut self, through: u64) -> bool {
        let before = self.persisted;
        while let Some(record) = self.unsynced.front() {
            if record.number > through {
                break;
            }
            self.persisted = record.result;
            self.unsynced.pop_front();
        }
        self.persisted != before
    }

    /// Position of the persisted state, if the disk has synced the activation of `epoch`.
    pub(crate) fn persisted_position(&self, epoch: u64) -> Option<WritePosition> {
        (self.persisted.epoch == epoch).then_some(self.persisted.position)
    }

    /// Whether the disk has yet to sync a record of this chain.
    pub(crate) fn is_syncing(&self) -> bool {
        !self.unsynced.is_empty()
    }

    /// The newest state that is known to be committed in this epoch.
    pub(crate) fn committed(&self) -> Option<&ControlState> {
        self.is_base_committed.then_some(&self.base)
    }

    /// Position of [`committed`](Self::committed).
    pub(crate) fn committed_position(&self) -> Option<WritePosition> {
        self.committed().map(|state| state.position)
    }

    /// The newest barrier that has reached the tail.
    pub(crate) fn confirmed(&self) -> Barrier {
        self.confirmed
    }

    /// The newest barrier that this member has seen.
    pub(crate) fn barrier(&self) -> Barrier {
        self.barrier
    }

    /// Records that the tail has persisted every write up to `position`. Returns whether more is committed
    /// than before.
    pub(crate) fn commit(&mut self, position: WritePosition) -> bool {
        let before = self.committed_position();
        while self
            .pending
            .front()
            .is_some_and(|write| write.position <= position)
        {
            if let Some(write) = self.pending.pop_front() {
                self.base.apply(write.position, &write.command);
            }
        }
        self.is_base_committed |= self.base.position <= position;
        self.committed_position() != before
    }

    /// Records a barrier that the predecessor forwarded, if it is newer than the last one.
    pub(crate) fn record_barrier(&mut self, barrier: Barrier) {
        let is_newer =
            barrier.session != self.barrier.session || barrier.number > self.barrier.number;
        if is_newer {
            self.barrier = barrier;
        }
    }

    /// Begins a barrier of the head's `session`. Only the head may call this.
    pub(crate) fn next_barrier(&mut self, session: u64) -> Barrier {
        let number = if self.barrier.session == session {
            self.barrier.number + 1
        } else {
            1
        };
        self.barrier = Barrier { session, number };
        self.barrier
    }

    /// Records that `barrier` has reached the tail. Returns whether it is newer than the last one that has.
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

    /// Records the successor's report, which must be of the current epoch.
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

    /// Everything here that decisions depend on, without times: for exhaustive searches. Numbers of records
    /// are counted back from `newest`, so that equal states compare equal.
    pub(crate) fn canonical(&self, newest: u64) -> impl std::fmt::Debug + '_ {
        let unsynced: Vec<_> = self
            .unsynced
            .iter()
            .map(|record| (newest - record.number, record.result))
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

    /// Makes the next message to the successor due now, as if [`RESEND_INTERVAL`] had passed.
    pub(crate) fn resend(&mut self) {
        self.last_sent = Duration::ZERO;
        self.must_resend |= self.has_content_in_flight();
    }

    /// Whether the successor has yet to acknowledge a state or a write.
    fn has_content_in_flight(&self) -> bool {
        match self.link {
            Link::Unknown => false,
            Link::Transferring => true,
            Link::Streaming { persisted, sent } => persisted < sent,
        }
    }

    /// The next message to the successor, if one is due. The caller must send it, and call again until there
    /// is none.
    pub(crate) fn next_message(&mut self, now: Duration, epoch: u64) -> Option<Body> {
        let own = self.persisted_position(epoch)?;
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

    /// When the successor is to be probed, unless it is up to date by then.
    pub(crate) fn next_resend(&self, epoch: u64) -> Option<Duration> {
        let own = self.persisted_position(epoch)?;
        let is_up_to_date = matches!(self.link, Link::Streaming { persisted, .. } if persisted == own)
            && self.confirmed == self.barrier
            && self.committed_position() == Some(own);
        (!is_up_to_date).then_some(self.last_sent + RESEND_INTERVAL)
    }

    fn stream(
        &mut self,
        own: WritePosition,
        persisted: WritePosition,
        sent: WritePosition,
        is_due: bool,
    ) -> Option<Body> {
        let is_up_to_date = persisted == own
            && self.committed_position() == Some(own)
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
        let sent = writes.last().map_or(from, |write| write.position);
        self.link = Link::Streaming { persisted, sent };
        Some(self.replicate(from, writes))
    }

    /// The writes after `from`, up to `own` and to [`MAX_MESSAGE_BYTES`]; `None` if they are no longer
    /// retained.
    fn writes_after(&self, from: WritePosition, own: WritePosition) -> Option<Vec<Write>> {
        let is_retained =
            from == self.base.position || self.pending.iter().any(|write| write.position == from);
        if !is_retained {
            return None;
        }
        let mut bytes = 0;
        let mut writes = Vec::new();
        for write in self
            .pending
            .iter()
            .filter(|write| write.position > from && write.position <= own)
        {
            bytes += command_bytes(&write.command);
            if bytes > MAX_MESSAGE_BYTES && !writes.is_empty() {
                break;
            }
            writes.push(write.clone());
        }
        Some(writes)
    }

    /// A message without writes: the successor reports its progress, and activates the epoch if it has the
    /// same state.
    fn probe(&self, own: WritePosition) -> Body {
        self.replicate(own, Vec::new())
    }

    fn replicate(&self, after: WritePosition, writes: Vec<Write>) -> Body {
        Body::Replicate {
            after,
            writes,
            barrier: self.barrier,
        }
    }

    fn transfer(&self, own: WritePosition) -> Body {
        let mut state = self.base.clone();
        for write in self.pending.iter().filter(|write| write.position <= own) {
            state.apply(write.position, &write.command);
        }
        Body::Transfer {
            state,
            barrier: self.barrier,
        }
    }
}

/// Whether a message carries a state or writes.
fn has_content(body: &Body) -> bool {
    !matches!(body, Body::Replicate { writes, .. } if writes.is_empty())
}

fn command_bytes(command: &Command) -> usize {
    match command {
        Command::PutConfiguration(put) => put.body.0.len(),
        Command::PutStorageView(put) => put.bytes.0.len(),
    }
}
