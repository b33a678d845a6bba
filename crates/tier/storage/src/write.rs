//! One write of a client to the quorums of a program's groups. The [`client`](crate::client) sends the requests, and
//! [`grant`](crate::grant) decides from the answers to a reservation.

use std::borrow::Cow;
use std::collections::BTreeSet;
use std::sync::Arc;

use crate::budget::Reservation;
use crate::message::{Answer, Operation};
use crate::quorum::{Quorum, QuorumKind};
use crate::turn::Turn;
use crate::view::{StorageMember, StorageView};

/// What the client sends after an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[must_use]
pub enum FollowUp {
    /// Nothing.
    None,
    /// The write again, to this machine: it lacks turns that the new one continues, which are now part of its request.
    Resend,
}

/// State of a write.
///
/// | state | answer | next |
/// | --- | --- | --- |
/// | waiting | of the present epoch, quorum not reached | waiting |
/// | waiting | of the present epoch, quorum reached | durable |
/// | waiting | of the present epoch, ancestors missing | waiting; the machine is sent the whole chain |
/// | waiting | newer view | waiting, from the start under that view |
/// | durable | any | durable |
#[derive(Debug)]
pub struct Write {
    program: String,
    operation: Operation,
    /// The chain that a new turn continues, oldest first; empty for any other operation.
    ancestors: Vec<Arc<Turn>>,
    /// Disks that lack some of `ancestors` under `epoch`, and are sent all of them.
    lacking_ancestors: BTreeSet<u64>,
    /// Number of machines whose simultaneous failure is tolerated.
    tolerated_losses: usize,
    /// Epoch of the view from which `quorum` was built.
    epoch: u64,
    quorum: Quorum,
    /// Answers under `epoch` that count towards the quorum.
    answers: Vec<Answer>,
}

impl Write {
    /// A write under `view` that no machine has answered yet.
    #[must_use]
    pub fn new(
        view: &StorageView,
        program: String,
        operation: Operation,
        tolerated_losses: usize,
    ) -> Write {
        let quorum = Quorum::new(view, &program, tolerated_losses, QuorumKind::Write);
        Write {
            program,
            operation,
            ancestors: Vec::new(),
            lacking_ancestors: BTreeSet::new(),
            tolerated_losses,
            epoch: view.epoch,
            quorum,
            answers: Vec::new(),
        }
    }

    /// Sets the chain that a new turn continues, oldest first. Machines that lack any of it are sent all of it.
    #[must_use]
    pub fn with_ancestors(mut self, ancestors: Vec<Arc<Turn>>) -> Write {
        self.ancestors = ancestors;
        self
    }

    /// Restarts under a newer view, since answers under an older one do not count; ignores an older view.
    pub fn restart(&mut self, view: &StorageView) {
        if view.epoch > self.epoch {
            self.epoch = view.epoch;
            self.quorum = Quorum::new(
                view,
                &self.program,
                self.tolerated_losses,
                QuorumKind::Write,
            );
            self.answers.clear();
            self.lacking_ancestors.clear();
        }
    }

    /// Epoch under which the write is sent.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The operation that is sent to a machine which has not answered.
    #[must_use]
    pub fn operation(&self) -> &Operation {
        &self.operation
    }

    /// The operation that is sent to the machine with `disk`: with the whole chain if the machine lacks a part of it.
    #[must_use]
    pub fn operation_for(&self, disk: u64) -> Cow<'_, Operation> {
        match &self.operation {
            Operation::PutTurns {
                program,
                turns,
                settlement,
            } if self.lacking_ancestors.contains(&disk) => {
                let ancestors = self.ancestors.iter().map(|turn| turn.to_record(program));
                Cow::Owned(Operation::PutTurns {
                    program: program.clone(),
                    turns: ancestors.chain(turns.iter().cloned()).collect(),
                    settlement: *settlement,
                })
            }
            operation => Cow::Borrowed(operation),
        }
    }

    /// Machines that the write is sent to.
    #[must_use]
    pub fn members(&self) -> &[StorageMember] {
        self.quorum.members()
    }

    /// Records the answer of the machine with `disk` to the request that was sent under `epoch`.
    pub fn record_answer(&mut self, epoch: u64, disk: u64, answer: Answer) -> FollowUp {
        if epoch != self.epoch || self.is_durable() {
            return FollowUp::None;
        }
        match answer {
            Answer::Stored | Answer::Reserved { .. } => {
                self.quorum.record_answer(disk);
                self.answers.push(answer);
                FollowUp::None
            }
            answer if answer.is_missing_ancestors() => self.record_missing_ancestors(disk),
            _ => FollowUp::None,
        }
    }

    /// The whole chain is sent to a machine once; if that machine lacks a turn even then, its answer does not count.
    fn record_missing_ancestors(&mut self, disk: u64) -> FollowUp {
        if self.ancestors.is_empty() || !self.lacking_ancestors.insert(disk) {
            return FollowUp::None;
        }
        FollowUp::Resend
    }

    /// Whether a quorum of each group has synced the write.
    #[must_use]
    pub fn is_durable(&self) -> bool {
        self.quorum.is_reached()
    }

    /// The reservations in each answer that counts towards the quorum, by [`Reservation::id`].
    pub(crate) fn reservations(&self) -> impl Iterator<Item = &[Reservation]> {
        self.answers.iter().filter_map(|answer| match answer {
            Answer::Reserved { reservations } => Some(reservations.as_slice()),
            _ => None,
        })
    }
}
