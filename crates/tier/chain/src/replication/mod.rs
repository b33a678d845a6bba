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
//! `successor` has what is known of the successor, and `messages` what is sent to it.

mod messages;
mod successor;

use std::collections::VecDeque;
use std::time::Duration;

use crate::message::{Barrier, Write};
use crate::state::{Command, ControlState, WritePosition};

pub(crate) use successor::Progress;
use successor::Successor;

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
    /// What is known of the successor; unused at the tail.
    successor: Successor,
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
            successor: Successor::default(),
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
        self.successor.restart();
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
        let successor = self.successor.canonical();
        (state, successor, self.barrier, self.confirmed)
    }

    /// Records the successor's report, which must be of the current epoch.
    pub(crate) fn record_progress(&mut self, now: Duration, report: Progress) {
        self.successor.record_progress(now, report);
    }

    /// Makes the next message to the successor due now, as if the interval between probes had passed.
    pub(crate) fn resend(&mut self) {
        self.successor.resend();
    }
}
