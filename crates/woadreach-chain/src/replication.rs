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
//! | any | no progress for [`RESEND`] | the same, from what is persisted there |

use std::collections::VecDeque;
use std::time::Duration;

use crate::message::{Barrier, Body, Write};
use crate::state::{Command, ControlState, Stamp};

/// After so long without progress at the successor, what it lacks is sent again.
pub const RESEND: Duration = Duration::from_millis(300);
/// Bytes of writes that are put into one message, unless a single write is larger.
const MESSAGE_BYTES: usize = 1 << 20;

/// What is known of the successor in this epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    /// It has not said whether it has the state.
    Unknown,
    /// It lacks the state, which is being sent.
    Transferring,
    /// It has activated the epoch and persisted everything up to `persisted`; writes up to `sent` are on the
    /// way.
    Streaming { persisted: Stamp, sent: Stamp },
}

/// A member's place in the chain of one epoch.
#[derive(Clone, Debug)]
pub struct Replication {
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
    sent_barrier: Barrier,
    /// The newest barrier that came from the head.
    barrier: Barrier,
    /// The newest barrier that the rest of the chain has passed on.
    confirmed: Barrier,
}

impl Replication {
    /// The place of a member whose disk has `state`, with the writes of `active_epoch`.
    pub fn new(active_epoch: u64, state: &ControlState) -> Replication {
        Replication {
            base: state.clone(),
            is_base_committed: false,
            pending: VecDeque::new(),
            persisted: (active_epoch, state.stamp),
            unsynced: VecDeque::new(),
            link: Link::Unknown,
            last_sent: Duration::ZERO,
            sent_barrier: Barrier::default(),
            barrier: Barrier::default(),
            confirmed: Barrier::default(),
        }
    }

    /// The state was replaced or activated in `epoch`, by record `record`.
    pub fn restart(&mut self, record: u64, epoch: u64, state: &ControlState) {
        self.base = state.clone();
        self.is_base_committed = false;
        self.pending.clear();
        self.unsynced.push_back((record, epoch, state.stamp));
        self.link = Link::Unknown;
    }

    /// A write was added to the state, by record `record`.
    pub fn push(&mut self, record: u64, epoch: u64, stamp: Stamp, command: Command) {
        self.pending.push_back(Write { stamp, command });
        self.unsynced.push_back((record, epoch, stamp));
    }

    /// The disk has synced every record up to `through`. Tells whether that moves the place.
    pub fn synced(&mut self, through: u64) -> bool {
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
    pub fn persisted_in(&self, epoch: u64) -> Option<Stamp> {
        (self.persisted.0 == epoch).then_some(self.persisted.1)
    }

    /// Whether records of this chain wait for the disk.
    pub fn is_syncing(&self) -> bool {
        !self.unsynced.is_empty()
    }

    /// The state that is committed in this epoch, as far as known.
    pub fn committed(&self) -> Option<&ControlState> {
        self.is_base_committed.then_some(&self.base)
    }

    pub fn committed_stamp(&self) -> Option<Stamp> {
        self.committed().map(|state| state.stamp)
    }

    pub fn confirmed(&self) -> Barrier {
        self.confirmed
    }

    pub fn barrier(&self) -> Barrier {
        self.barrier
    }

    /// The tail has persisted everything up to `stamp`. Tells whether more is committed than before.
    pub fn commit(&mut self, stamp: Stamp) -> bool {
        let before = self.committed_stamp();
        while self.pending.front().is_some_and(|write| write.stamp <= stamp) {
            if let Some(write) = self.pending.pop_front() {
                self.base.apply(write.stamp, &write.command);
            }
        }
        self.is_base_committed |= self.base.stamp <= stamp;
        self.committed_stamp() != before
    }

    /// Takes the barrier that the predecessor passed on, or that the head itself begins.
    pub fn take_barrier(&mut self, barrier: Barrier) {
        let is_newer = barrier.session != self.barrier.session || barrier.number > self.barrier.number;
        if is_newer {
            self.barrier = barrier;
        }
    }

    /// Begins a barrier at the head.
    pub fn next_barrier(&mut self, session: u64) -> Barrier {
        let number = if self.barrier.session == session { self.barrier.number + 1 } else { 1 };
        self.barrier = Barrier { session, number };
        self.barrier
    }

    /// The rest of the chain has passed `barrier` on. Tells whether that is news.
    pub fn confirm(&mut self, barrier: Barrier) -> bool {
        let is_news = barrier.session == self.barrier.session
            && barrier.number <= self.barrier.number
            && barrier != self.confirmed
            && (self.confirmed.session != barrier.session || barrier.number > self.confirmed.number);
        if is_news {
            self.confirmed = barrier;
        }
        is_news
    }

    /// Takes the successor's report.
    pub fn successor_reported(&mut self, is_active: bool, persisted: Stamp) {
        self.link = match (self.link, is_active) {
            (Link::Transferring, false) => Link::Transferring,
            (_, false) => {
                self.last_sent = Duration::ZERO;
                Link::Transferring
            }
            (Link::Streaming { persisted: earlier, sent }, true) => {
                let persisted = persisted.max(earlier);
                Link::Streaming { persisted, sent: sent.max(persisted) }
            }
            (_, true) => Link::Streaming { persisted, sent: persisted },
        };
    }

    /// The place without its times, with numbers of records counted back from `newest`.
    pub fn canonical(&self, newest: u64) -> impl std::fmt::Debug + '_ {
        let unsynced: Vec<_> =
            self.unsynced.iter().map(|(record, epoch, stamp)| (newest - record, epoch, stamp)).collect();
        let state = (&self.base, self.is_base_committed, &self.pending, self.persisted, unsynced);
        let link = (self.link, self.last_sent.is_zero());
        (state, link, self.sent_barrier, self.barrier, self.confirmed)
    }

    /// What the successor lacks is due now.
    pub fn resend(&mut self) {
        self.last_sent = Duration::ZERO;
    }

    /// What is to be sent to the successor now.
    pub fn next_message(&mut self, now: Duration, epoch: u64) -> Option<Body> {
        let own = self.persisted_in(epoch)?;
        let is_due = self.last_sent.is_zero() || now.saturating_sub(self.last_sent) >= RESEND;
        let body = match self.link {
            Link::Unknown => is_due.then(|| self.replicate(own, Vec::new())),
            Link::Transferring => is_due.then(|| self.transfer(own)),
            Link::Streaming { persisted, sent } => self.stream(own, persisted, sent, is_due),
        };
        if body.is_some() {
            self.last_sent = now.max(Duration::from_nanos(1));
            self.sent_barrier = self.barrier;
        }
        body
    }

    /// When the successor may have to be reminded.
    pub fn next_resend(&self, epoch: u64) -> Option<Duration> {
        let own = self.persisted_in(epoch)?;
        let is_settled = matches!(self.link, Link::Streaming { persisted, .. } if persisted == own)
            && self.confirmed == self.barrier
            && self.committed_stamp() == Some(own);
        (!is_settled).then_some(self.last_sent + RESEND)
    }

    fn stream(&mut self, own: Stamp, persisted: Stamp, sent: Stamp, is_due: bool) -> Option<Body> {
        let is_settled =
            persisted == own && self.committed_stamp() == Some(own) && self.confirmed == self.barrier;
        let is_reminder = is_due && !is_settled;
        let from = if is_reminder { persisted } else { sent };
        let has_new_barrier = self.sent_barrier != self.barrier;
        if from >= own && !has_new_barrier && !is_reminder {
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
        let is_kept = from == self.base.stamp || self.pending.iter().any(|write| write.stamp == from);
        if !is_kept {
            return None;
        }
        let mut bytes = 0;
        let mut writes = Vec::new();
        for write in self.pending.iter().filter(|write| write.stamp > from && write.stamp <= own) {
            bytes += command_bytes(&write.command);
            if bytes > MESSAGE_BYTES && !writes.is_empty() {
                break;
            }
            writes.push(write.clone());
        }
        Some(writes)
    }

    fn replicate(&self, after: Stamp, writes: Vec<Write>) -> Body {
        Body::Replicate { after, writes, barrier: self.barrier }
    }

    fn transfer(&self, own: Stamp) -> Body {
        let mut state = self.base.clone();
        for write in self.pending.iter().filter(|write| write.stamp <= own) {
            state.apply(write.stamp, &write.command);
        }
        Body::Transfer { state, barrier: self.barrier }
    }
}

fn command_bytes(command: &Command) -> usize {
    match command {
        Command::PutConfiguration(put) => put.body.0.len(),
        Command::PutStorageView(put) => put.bytes.0.len(),
    }
}
