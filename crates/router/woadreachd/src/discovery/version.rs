//! Decides whether a list is accepted, by its version and the one in force. No I/O and no clock.

use crate::events::{Endpoint, EndpointList};
use std::hash::{DefaultHasher, Hash, Hasher};

/// What is done with a list or a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListDecision {
    Accept,
    /// Accepted: the version in force with other entries, which are what the agent has now.
    AcceptOtherEntries,
    /// Accepted: a complete list with an older version, where the one in force is in doubt.
    AcceptOlder,
    /// Ignored: a complete list with an older version, for the first time. It may have been put together long
    /// ago, and changes been sent since. The next list shows what the agent has.
    IgnoreOlder,
    /// Ignored: a change before the version in force. Something was lost, and only a complete list makes up
    /// for it.
    Lost,
}

/// The version in force.
#[derive(Default)]
pub(super) struct ListVersion {
    generation: Option<u64>,
    /// Of the entries, as long as they are those of one complete list.
    digest: Option<u64>,
    /// Something was lost, or an older list was received: the next complete list is accepted, whatever its
    /// version.
    doubted: bool,
}

impl ListVersion {
    pub(super) fn new(generation: Option<u64>) -> Self {
        ListVersion {
            generation,
            ..ListVersion::default()
        }
    }

    pub(super) fn generation(&self) -> Option<u64> {
        self.generation
    }

    /// Something was received that could not be read.
    pub(super) fn doubt(&mut self) {
        self.doubted = true;
    }

    /// Decides about a list; one that is accepted is in force from now on.
    pub(super) fn check(&mut self, list: &EndpointList) -> ListDecision {
        let decision = self.compare(list);
        match decision {
            ListDecision::IgnoreOlder | ListDecision::Lost => self.doubt(),
            _ => self.accept(list),
        }
        decision
    }

    fn compare(&self, list: &EndpointList) -> ListDecision {
        let Some(current) = self.generation else {
            return ListDecision::Accept;
        };
        if list.generation < current {
            if !list.full {
                return ListDecision::Lost;
            }
            return if self.doubted {
                ListDecision::AcceptOlder
            } else {
                ListDecision::IgnoreOlder
            };
        }
        let differs = if list.full {
            self.digest
                .is_some_and(|digest| digest != digest_of(&list.entries))
        } else {
            !list.entries.is_empty()
        };
        if list.generation == current && differs {
            ListDecision::AcceptOtherEntries
        } else {
            ListDecision::Accept
        }
    }

    fn accept(&mut self, list: &EndpointList) {
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
fn digest_of(entries: &[Endpoint]) -> u64 {
    let of = |entry: &Endpoint| {
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
