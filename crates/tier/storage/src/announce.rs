//! Storage machines tell the core that they are there, with which disk, and how far they have pulled.

use std::collections::BTreeMap;
use std::future::{Future, Ready, ready};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use parking_lot::Mutex;
use speedy::{Readable, Writable};

use crate::message::{self, MessageError};
use crate::view::StorageMember;

/// Interval between two announcements of a machine.
pub const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
/// Without any announcement for this long, the observer itself was frozen or cut off.
const OBSERVER_GAP: Duration = Duration::from_secs(1);
/// Most machines that are remembered.
const MOST_MACHINES: usize = 4_096;

/// What a storage machine tells.
#[derive(Debug, Clone, PartialEq, Eq, Readable, Writable)]
pub struct Announcement {
    /// The machine and its disk.
    pub member: StorageMember,
    /// Joint epoch for which everything has been pulled; 0 if none.
    pub pulled_epoch: u64,
    /// The process is being stopped, and its disk may not come back.
    pub leaving: bool,
}

/// What is known of one storage machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sighting {
    /// The machine and its disk.
    pub member: StorageMember,
    /// Joint epoch for which everything has been pulled; 0 if none.
    pub pulled_epoch: u64,
    /// Its process is being stopped.
    pub leaving: bool,
    /// When it was first heard.
    pub first: Instant,
    /// When it was last heard.
    pub last: Instant,
}

/// Announcements as one core machine has heard them.
#[derive(Debug)]
pub struct Announcements {
    sightings: BTreeMap<String, Sighting>,
    /// Since when this observer has been listening without a gap.
    listening_since: Instant,
    last_any: Instant,
}

impl Announcements {
    /// An observer that starts to listen now.
    #[must_use]
    pub fn new(now: Instant) -> Announcements {
        Announcements {
            sightings: BTreeMap::new(),
            listening_since: now,
            last_any: now,
        }
    }

    /// Notes an announcement.
    pub fn heard(&mut self, now: Instant, announcement: Announcement) {
        if now.saturating_duration_since(self.last_any) > OBSERVER_GAP {
            self.listening_since = now;
        }
        self.last_any = now;
        let node = announcement.member.node.clone();
        let known = self.sightings.get(&node).map(|seen| seen.first);
        if known.is_none() && self.sightings.len() >= MOST_MACHINES {
            return;
        }
        let sighting = Sighting {
            member: announcement.member,
            pulled_epoch: announcement.pulled_epoch,
            leaving: announcement.leaving,
            first: known.unwrap_or(now),
            last: now,
        };
        self.sightings.insert(node, sighting);
    }

    /// What is known of a machine.
    #[must_use]
    pub fn sighting(&self, node: &str) -> Option<&Sighting> {
        self.sightings.get(node)
    }

    /// All machines that were ever heard.
    pub fn sightings(&self) -> impl Iterator<Item = &Sighting> {
        self.sightings.values()
    }

    /// How long a machine has been silent while this observer was listening. An observer that has just
    /// started, thawed or been cut off knows of no silence.
    #[must_use]
    pub fn silent_for(&self, now: Instant, node: &str) -> Duration {
        if now.saturating_duration_since(self.last_any) > OBSERVER_GAP {
            return Duration::ZERO;
        }
        let last = self
            .sightings
            .get(node)
            .map_or(self.listening_since, |seen| seen.last);
        now.saturating_duration_since(last.max(self.listening_since))
    }
}

/// Handler of announcements for a core machine's router. It answers whether that machine is in quorum now:
/// a storage machine that hears only core machines that are cut off is cut off itself.
pub fn handler(
    announcements: Arc<Mutex<Announcements>>,
    is_in_quorum: impl Fn() -> bool + Send + Sync + 'static,
) -> impl Fn(SocketAddr, Bytes) -> Ready<Result<Vec<u8>, MessageError>> + Send + Sync + 'static {
    move |_, body| {
        let read = message::read::<Announcement>(&body);
        ready(read.map(|announcement| {
            announcements.lock().heard(Instant::now(), announcement);
            vec![u8::from(is_in_quorum())]
        }))
    }
}

/// Whether the answer to an announcement comes from a core machine in quorum.
#[must_use]
pub fn is_from_quorum(answer: &[u8]) -> bool {
    answer == [1]
}

/// Checks at compile time that the handler's future may be spawned.
const _: fn() = || {
    fn sendable<F: Future + Send>() {}
    sendable::<Ready<Result<Vec<u8>, MessageError>>>();
};
