//! Identifiers of the two files of a journal.

use std::fmt;

/// One of the two files of a journal. The files are never renamed, because a rename would have to be
/// made durable as well.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Slot {
    /// File `slot-a`.
    A,
    /// File `slot-b`.
    B,
}

impl Slot {
    /// Both slots, A first.
    pub const ALL: [Slot; 2] = [Slot::A, Slot::B];

    /// The other one of the two slots.
    #[must_use]
    pub fn other(self) -> Slot {
        match self {
            Slot::A => Slot::B,
            Slot::B => Slot::A,
        }
    }

    /// Name of the file in the journal's folder.
    #[must_use]
    pub fn file_name(self) -> &'static str {
        match self {
            Slot::A => "slot-a",
            Slot::B => "slot-b",
        }
    }

    pub(crate) fn index(self) -> usize {
        match self {
            Slot::A => 0,
            Slot::B => 1,
        }
    }
}

impl fmt::Display for Slot {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.file_name())
    }
}
