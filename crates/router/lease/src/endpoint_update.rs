//! What the holder of a list's duty tells the others of its zone, and what they make of it. Owns facts that
//! are to be told and those that were heard; must never open what a list has closed, nor keep a fact beyond
//! the list's own word.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

use crate::quota_allocator::ReplicaKey;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Departure {
    Draining,
    Departed,
}

/// A replica, in this life of its, takes no more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointUpdate {
    pub replica: ReplicaKey,
    pub what: Departure,
}

/// Each fact goes out so often, so far apart: at 30 % loss one in 37 hears none of three.
const TIMES: u8 = 3;
const APART: f64 = 0.3;
/// What was heard counts for so long: discovery has told by 6 s after at the latest.
const COUNTS: f64 = 8.0;
/// Most facts in one datagram, and most that are kept of either sort; further ones are let go.
const IN_ONE: usize = 24;
const MOST: usize = 1024;

#[derive(Clone, Debug, Default)]
pub struct EndpointUpdates {
    telling: BTreeMap<ReplicaKey, (Departure, u8, f64)>,
    heard: BTreeMap<ReplicaKey, (Departure, f64)>,
    /// EndpointUpdates heard that this one's own list had not told.
    pub ahead: u64,
}

impl EndpointUpdates {
    /// This one's own list has spoken of a replica: none, it serves. What was heard of it counts no more.
    pub fn listed(&mut self, now: f64, replica: ReplicaKey, what: Option<Departure>) {
        self.heard.remove(&replica);
        match what {
            Some(what) if self.telling.len() < MOST => {
                if self.telling.get(&replica).is_none_or(|t| t.0 != what) {
                    self.telling.insert(replica, (what, TIMES, now));
                }
            }
            _ => {
                self.telling.remove(&replica);
            }
        }
    }

    /// EndpointUpdates that a holder has to tell now.
    pub fn due(&mut self, now: f64) -> Vec<EndpointUpdate> {
        let mut due = Vec::new();
        for (replica, (what, left, next)) in &mut self.telling {
            if *next <= now && due.len() < IN_ONE {
                (*left, *next) = (*left - 1, now + APART);
                due.push(EndpointUpdate {
                    replica: *replica,
                    what: *what,
                });
            }
        }
        self.telling.retain(|_, t| t.1 > 0);
        due
    }

    /// Not a holder: what its own list tells is for the holder to spread.
    pub fn drop_untold(&mut self) {
        self.telling.clear();
    }

    /// A holder has told this. True if it is new: the replica is to be used no more.
    pub fn heard(&mut self, now: f64, fact: EndpointUpdate) -> bool {
        let old = self.heard.get(&fact.replica).map(|h| h.0);
        if self.heard.len() >= MOST && old.is_none() {
            return false;
        }
        // Departure is the later word.
        let what = old.map_or(fact.what, |o| o.max(fact.what));
        self.heard.insert(fact.replica, (what, now + COUNTS));
        self.ahead += u64::from(old.is_none());
        old != Some(what)
    }

    /// Those that were heard and that the own list has not borne out in time: its word stands again.
    pub fn lapsed(&mut self, now: f64) -> Vec<ReplicaKey> {
        let gone: Vec<_> = self
            .heard
            .iter()
            .filter(|h| h.1.1 <= now)
            .map(|h| *h.0)
            .collect();
        self.heard.retain(|_, h| h.1 > now);
        gone
    }
}
