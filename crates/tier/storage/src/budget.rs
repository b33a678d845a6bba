//! A program's budget: a set of reservations that only grows.
//!
//! A reservation is made at the most that a turn may generate and settled once, at what was given. Both are
//! joins (`open < settled`), so copies at several machines can be merged in any order.

use std::collections::BTreeMap;

use speedy::{Readable, Writable};

/// What one turn counts for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Readable, Writable)]
pub struct Reservation {
    /// Number that the reserving process drew at random.
    pub id: u64,
    /// The most that the turn may generate while open; what was given once settled.
    pub tokens: u64,
    /// Whether the end of the turn is known.
    pub settled: bool,
}

/// Reservations of one program.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Budget {
    reservations: BTreeMap<u64, Reservation>,
}

impl Budget {
    /// Merges one reservation; returns whether anything changed. A settled one never changes, except that of
    /// two different ends the larger counts.
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

    /// Sum of what all turns count for, but for the reservation `own`.
    #[must_use]
    pub fn sum_of_others(&self, own: u64) -> u64 {
        let others = self.reservations.values().filter(|entry| entry.id != own);
        others.fold(0, |sum, entry| sum.saturating_add(entry.tokens))
    }

    /// All reservations, by number.
    pub fn iter(&self) -> impl Iterator<Item = &Reservation> {
        self.reservations.values()
    }

    /// Number of reservations.
    #[must_use]
    pub fn len(&self) -> usize {
        self.reservations.len()
    }

    /// Whether no turn was ever reserved.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.reservations.is_empty()
    }
}
