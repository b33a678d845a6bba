//! One write of a client to the quorums of a program's groups, and the check of a reservation against the
//! budget. The [`client`](crate::client) sends the requests.

use crate::budget::Budget;
use crate::message::{Answer, Operation};
use crate::quorum::{Quorum, QuorumKind};
use crate::view::{StorageMember, StorageView};

/// State of a write.
///
/// | state | answer | next |
/// | --- | --- | --- |
/// | waiting | of the present epoch, quorum not reached | waiting |
/// | waiting | of the present epoch, quorum reached | durable |
/// | waiting | newer view | waiting, from the start under that view |
/// | durable | any | durable |
#[derive(Debug)]
pub struct Write {
    program: String,
    operation: Operation,
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
            tolerated_losses,
            epoch: view.epoch,
            quorum,
            answers: Vec::new(),
        }
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
        }
    }

    /// Epoch under which the write is sent.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The operation that is sent.
    #[must_use]
    pub fn operation(&self) -> &Operation {
        &self.operation
    }

    /// Machines that the write is sent to.
    #[must_use]
    pub fn members(&self) -> &[StorageMember] {
        self.quorum.members()
    }

    /// Records the answer of the machine with `disk` to the request that was sent under `epoch`.
    pub fn record_answer(&mut self, epoch: u64, disk: u64, answer: Answer) {
        let stored = matches!(answer, Answer::Stored | Answer::Reserved { .. });
        if epoch == self.epoch && stored && !self.is_durable() {
            self.quorum.record_answer(disk);
            self.answers.push(answer);
        }
    }

    /// Whether a quorum of each group has synced the write.
    #[must_use]
    pub fn is_durable(&self) -> bool {
        self.quorum.is_reached()
    }

    /// Whether a durable reservation of `max_tokens` fits into `budget`. If two concurrent reservations exceed it
    /// together, at least one sees the other, since their quorums intersect.
    #[must_use]
    pub fn is_within_budget(&self, reservation: u64, max_tokens: u64, budget: u64) -> bool {
        let mut known = Budget::default();
        for answer in &self.answers {
            if let Answer::Reserved { reservations } = answer {
                for entry in reservations {
                    known.join(*entry);
                }
            }
        }
        known.sum_of_others(reservation).saturating_add(max_tokens) <= budget
    }
}
