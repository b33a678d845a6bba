//! Whether a reservation is granted, from the answers of the machines that have stored it.
//!
//! Each machine answers with all reservations of the program that it stores. Of two concurrent reservations, at least
//! one sees the other, since their quorums intersect. This alone does not keep the sum of three within the budget: each
//! may see only one of the others, in a circle. A reservation that may have had concurrent ones is therefore written
//! twice, and granted only if it fits after both rounds. Of the reservations granted, the one whose first round is the
//! last to become durable sees all others in its second.
//!
//! The second round is omitted if all machines that were counted have answered with the same other reservations, and
//! all of these are settled. `docs/storage.md` shows why this is safe.

use crate::budget::{Budget, Reservation};
use crate::write::Write;

/// Write of a reservation whose answers are checked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ReservationRound {
    /// The write that stores the reservation.
    First,
    /// The same write again, started after the first one was durable.
    Second,
}

/// What the answers of one round decide.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[must_use]
pub enum ReservationOutcome {
    /// The turn may run.
    Granted,
    /// The turn does not fit into the remaining budget; the reservation has to be withdrawn.
    Spent,
    /// The turn fits so far; the second round has to follow.
    Repeat,
}

/// A reservation to be checked against its program's budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetCheck {
    /// [`Reservation::id`].
    pub reservation: u64,
    /// Upper bound of the number of tokens that the turn generates.
    pub max_tokens: u64,
    /// Total number of tokens that the program's turns may generate.
    pub budget: u64,
}

impl BudgetCheck {
    /// Outcome of a round whose write is durable.
    pub fn outcome(&self, round: ReservationRound, write: &Write) -> ReservationOutcome {
        if !self.fits(write) {
            return ReservationOutcome::Spent;
        }
        match round {
            ReservationRound::First if self.may_be_concurrent(write) => ReservationOutcome::Repeat,
            ReservationRound::First | ReservationRound::Second => ReservationOutcome::Granted,
        }
    }

    /// Whether the turn fits beside all reservations in the answers.
    fn fits(&self, write: &Write) -> bool {
        let mut known = Budget::default();
        for reservations in write.reservations() {
            for reservation in reservations {
                known.join(*reservation);
            }
        }
        let others = known.sum_of_others(self.reservation);
        others.saturating_add(self.max_tokens) <= self.budget
    }

    /// Whether any other reservation in the answers is open, or missing in one of them.
    fn may_be_concurrent(&self, write: &Write) -> bool {
        let mut answers = write.reservations();
        let Some(first) = answers.next() else {
            return true;
        };
        let has_open = self.others(first).any(|other| !other.settled);
        has_open || answers.any(|answer| !self.others(answer).eq(self.others(first)))
    }

    fn others<'a>(&self, answer: &'a [Reservation]) -> impl Iterator<Item = &'a Reservation> {
        let own = self.reservation;
        answer.iter().filter(move |entry| entry.id != own)
    }
}
