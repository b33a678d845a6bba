//! Replication down the chain, in one epoch.
//!
//! Van Renesse & Schneider, Chain Replication for Supporting High Throughput and Availability (2004), section
//! 3: the head accepts updates, every member forwards them to its successor in order, and an update is committed
//! once the tail has persisted it. Acknowledgements travel from the tail to the head.
//!
//! In a configuration change, replication follows the evaluation of the command at the head and precedes the
//! reply. `member/propagation` sends and receives the messages.
//!
//! [`Replication`] is the volatile state of a member of the chain: which writes are persisted and committed, and
//! the progress of the successor. The durable state, with every write, is [`Durable`](crate::Durable).
//!
//! `successor` tracks the successor's progress, and `messages` chooses the messages to it.

mod messages;
mod successor;

use std::collections::VecDeque;
use std::time::Duration;

use crate::message::{Barrier, Write};
use crate::state::{Command, ControlState, WritePosition};

pub(crate) use successor::Progress;
use successor::Successor;

/// Identifies the state on this member's disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Persisted {
    /// Epoch that was active when the state was written.
    epoch: u64,
    /// Position of the state.
    position: WritePosition,
}

/// A record of replication that the disk has not synced yet.
#[derive(Clone, Copy, Debug)]
struct UnsyncedRecord {
    /// Number of the record.
    number: u64,
    /// State on the disk once the record is synced.
    result: Persisted,
}

/// A member's replication state in the chain of one epoch.
#[derive(Clone, Debug)]
pub(crate) struct Replication {
    /// The member's state without the writes in `pending`.
    base: ControlState,
    /// Whether `base` is committed in this epoch.
    is_base_committed: bool,
    /// Writes after `base` that are not known to be committed, in ascending order of positions.
    pending: VecDeque<Write>,
    /// The state on this member's disk. Never newer than the state in memory.
    persisted: Persisted,
    /// Records that the disk has not synced yet, in ascending order of numbers.
    unsynced: VecDeque<UnsyncedRecord>,
    /// Progress of the successor; unused at the tail.
    successor: Successor,
    /// The newest barrier received from the predecessor; at the head, the newest that it has begun.
    barrier: Barrier,
    /// The newest barrier that the tail has confirmed. Never above `barrier` within a session.
    confirmed: Barrier,
}

impl Replication {
    /// Replication of a member whose disk has `state`, last written in `active_epoch`. Nothing is known to be
    /// committed yet.
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
            successor: Successor::default(),
            barrier: Barrier::default(),
            confirmed: Barrier::default(),
        }
    }

    /// Restarts replication with `state`, which record number `record` has installed or activated in `epoch`.
    /// No part of the state is known to be committed in this epoch.
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
        self.successor.restart();
    }

    /// Adds a write, which record number `record` contains. Its position must be above that of every earlier
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
    pub(crate) fn record_synced(&mut self, through: u64) -> bool {
        let before = self.persisted;
        while let Some(record) = self
            .unsynced
            .pop_front_if(|record| record.number <= through)
        {
            self.persisted = record.result;
        }
        self.persisted != before
    }

    /// Position of the persisted state; `None` until the disk has synced the activation of `epoch`.
    pub(crate) fn persisted_position(&self, epoch: u64) -> Option<WritePosition> {
        (self.persisted.epoch == epoch).then_some(self.persisted.position)
    }

    /// Whether a record of replication is not synced yet.
    pub(crate) fn is_syncing(&self) -> bool {
        !self.unsynced.is_empty()
    }

    /// The newest state that is known to be committed in this epoch; `None` if there is none yet.
    pub(crate) fn committed(&self) -> Option<&ControlState> {
        self.is_base_committed.then_some(&self.base)
    }

    /// Position of [`committed`](Self::committed).
    pub(crate) fn committed_position(&self) -> Option<WritePosition> {
        self.committed().map(|state| state.position)
    }

    /// The newest barrier that the tail has confirmed.
    pub(crate) fn confirmed(&self) -> Barrier {
        self.confirmed
    }

    /// The newest barrier that this member has begun or received.
    pub(crate) fn barrier(&self) -> Barrier {
        self.barrier
    }

    /// Records that the tail has persisted every write up to `position`. Returns whether the committed state has
    /// advanced.
    pub(crate) fn commit(&mut self, position: WritePosition) -> bool {
        let before = self.committed_position();
        while let Some(write) = self
            .pending
            .pop_front_if(|write| write.position <= position)
        {
            self.base.apply(write.position, &write.command);
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

    /// Records that the tail has confirmed `barrier`. Returns whether it is newer than the last confirmed one.
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

    /// The part of the state on which decisions depend, without times. Exhaustive searches compare states by it.
    /// Numbers of records are relative to `newest`, so that states which differ only in them compare equal.
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
        let successor = self.successor.canonical();
        (state, successor, self.barrier, self.confirmed)
    }

    /// Records a report of the successor, which must be of the current epoch.
    pub(crate) fn record_progress(&mut self, now: Duration, report: Progress) {
        self.successor.record_progress(now, report);
    }

    /// Makes the next message to the successor due now, as if the resend interval had passed.
    pub(crate) fn resend(&mut self) {
        self.successor.resend();
    }
}
