//! A program's budget: a set of reservations that only grows, kept by each storage machine and by a
//! client's [`Write`](crate::write::Write).
//!
//! A reservation covers the maximum number of tokens that a turn may generate, and is settled once, at the number
//! delivered.
//! Both are joins of a semilattice (`open < settled`), so replicas can be merged in any order.

use std::collections::BTreeMap;

use speedy::{Readable, Writable};

/// Tokens that one turn consumes of its program's budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Readable, Writable)]
pub struct Reservation {
    /// Random number drawn by the process that made the reservation.
    pub id: u64,
    /// Open: upper bound of the tokens that the turn generates. Settled: number of tokens delivered.
    pub tokens: u64,
    /// Whether the reservation is settled, so that `tokens` is final.
    pub settled: bool,
}

/// Reservations of one program.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Budget {
    /// By [`Reservation::id`].
    reservations: BTreeMap<u64, Reservation>,
}

impl Budget {
    /// Merges one reservation and returns whether anything changed. A settled one replaces an open one; of two
    /// different settlements the larger counts.
    pub fn join(&mut self, reservation: Reservation) -> bool {
        let Some(known) = self.reservations.get_mut(&reservation.id) else {
            self.reservations.insert(reservation.id, reservation);
            return true;
        };
        let rank = |entry: &Reservation| (entry.settled, entry.tokens);
        let newer = rank(&reservation) > rank(known);
        if newer {
            *known = reservation;
        }
        newer
    }

    /// Tokens of all reservations except `own`, saturating.
    #[must_use]
    pub fn sum_of_others(&self, own: u64) -> u64 {
        let others = self.reservations.values().filter(|entry| entry.id != own);
        others.fold(0, |sum, entry| sum.saturating_add(entry.tokens))
    }

    /// All reservations, ordered by [`Reservation::id`].
    pub fn iter(&self) -> impl Iterator<Item = &Reservation> {
        self.reservations.values()
    }

    /// Number of reservations.
    #[must_use]
    pub fn len(&self) -> usize {
        self.reservations.len()
    }

    /// Whether there is no reservation.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.reservations.is_empty()
    }
}
