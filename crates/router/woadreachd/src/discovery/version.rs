//! Decides whether a list is taken, by its version and the one that is held. No I/O and no clock. Owns the
//! held version; must never hold the list itself.

use crate::events::{Entry, List};
use std::hash::{DefaultHasher, Hash, Hasher};

/// What is done with a list or a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Judgement {
    Take,
    /// The version that is held, with other entries: what the agent has now counts.
    TakeOtherEntries,
    /// A whole list with an older version where what is held is in doubt: it is what the agent has.
    TakeOlder,
    /// A whole list with an older version, once: it may have been put together long ago, and what it says of
    /// replicas been told otherwise since. The next list shows what the agent has.
    IgnoreOlder,
    /// A change that stands before what is held: something was lost, and only a whole list makes up for it.
    Lost,
}

/// The version that is held.
#[derive(Default)]
pub struct Version {
    generation: Option<u64>,
    /// Of the entries, as long as they are those of one whole list.
    digest: Option<u64>,
    /// Something has been lost, or an older list has come: the next whole list counts, whatever its version.
    doubted: bool,
}

impl Version {
    pub fn new(generation: Option<u64>) -> Self {
        Version {
            generation,
            ..Version::default()
        }
    }

    pub fn generation(&self) -> Option<u64> {
        self.generation
    }

    /// Something that was told could not be read.
    pub fn doubt(&mut self) {
        self.doubted = true;
    }

    /// Judges a list; one that is taken is held from now on.
    pub fn judge(&mut self, list: &List) -> Judgement {
        let judgement = self.compare(list);
        match judgement {
            Judgement::IgnoreOlder | Judgement::Lost => self.doubt(),
            _ => self.hold(list),
        }
        judgement
    }

    fn compare(&self, list: &List) -> Judgement {
        let Some(held) = self.generation else {
            return Judgement::Take;
        };
        if list.generation < held {
            if !list.full {
                return Judgement::Lost;
            }
            return if self.doubted {
                Judgement::TakeOlder
            } else {
                Judgement::IgnoreOlder
            };
        }
        let differs = if list.full {
            self.digest
                .is_some_and(|digest| digest != digest_of(&list.entries))
        } else {
            !list.entries.is_empty()
        };
        if list.generation == held && differs {
            Judgement::TakeOtherEntries
        } else {
            Judgement::Take
        }
    }

    fn hold(&mut self, list: &List) {
        self.generation = Some(list.generation);
        self.doubted = false;
        if list.full {
            self.digest = Some(digest_of(&list.entries));
        } else if !list.entries.is_empty() {
            self.digest = None;
        }
    }
}

/// The same for the same entries in any order.
fn digest_of(entries: &[Entry]) -> u64 {
    let of = |entry: &Entry| {
        let mut hasher = DefaultHasher::new();
        let lifecycle = entry.lifecycle as u8;
        (&entry.id, entry.address, &entry.zone, entry.cell, lifecycle).hash(&mut hasher);
        entry.started_at.to_bits().hash(&mut hasher);
        hasher.finish()
    };
    entries.iter().map(of).fold(0, u64::wrapping_add)
}

#[cfg(test)]
#[path = "../../tests/unit/version.rs"]
mod tests;
