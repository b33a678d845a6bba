//! Announcements of the storage machines to the core: that they run, with which disk, and how far they have pulled.
//! A storage machine sends [`Server::announcement`](crate::server::Server::announcement); a core machine collects them
//! in [`Announcements`], from which it plans the next [view](crate::view).

use std::collections::BTreeMap;
use std::future::{Future, Ready, ready};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use parking_lot::Mutex;
use speedy::{Readable, Writable};

use crate::codec::{self, MessageError};
use crate::view::StorageMember;

/// Interval between two announcements of a machine.
pub const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
/// Without any announcement for longer than this, the core machine that listens was stalled or partitioned itself.
const MAX_ANNOUNCEMENT_GAP: Duration = Duration::from_secs(1);
/// Upper bound of the machines that a core machine remembers.
const MAX_MACHINES: usize = 4_096;

/// What a storage machine announces.
#[derive(Debug, Clone, PartialEq, Eq, Readable, Writable)]
pub struct Announcement {
    /// The machine and its disk.
    pub member: StorageMember,
    /// Joint epoch for which everything has been pulled; 0 if none.
    pub pulled_epoch: u64,
    /// Whether the process is shutting down; its disk may not come back.
    pub shutting_down: bool,
}

/// What one core machine has observed of a storage machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MachineObservation {
    /// The machine and its disk.
    pub member: StorageMember,
    /// Joint epoch for which everything has been pulled; 0 if none.
    pub pulled_epoch: u64,
    /// Whether the process is shutting down.
    pub shutting_down: bool,
    /// When its first announcement arrived.
    pub first_heard: Instant,
    /// When its latest announcement arrived.
    pub last_heard: Instant,
}

/// Announcements that one core machine has received.
#[derive(Debug)]
pub struct Announcements {
    /// By name of the machine; at most [`MAX_MACHINES`].
    observations: BTreeMap<String, MachineObservation>,
    /// Since when this core machine has received announcements without a gap.
    listening_since: Instant,
    /// When the last announcement of any machine arrived, or when this core machine started.
    last_heard_any: Instant,
}

impl Announcements {
    /// The announcements of a core machine that starts to listen at `now`.
    #[must_use]
    pub fn new(now: Instant) -> Announcements {
        Announcements {
            observations: BTreeMap::new(),
            listening_since: now,
            last_heard_any: now,
        }
    }

    /// Records an announcement that arrived at `now`.
    pub fn record(&mut self, now: Instant, announcement: Announcement) {
        if now.saturating_duration_since(self.last_heard_any) > MAX_ANNOUNCEMENT_GAP {
            self.listening_since = now;
        }
        self.last_heard_any = now;
        let node = announcement.member.node.clone();
        let known = self.observations.get(&node).map(|seen| seen.first_heard);
        if known.is_none() && self.observations.len() >= MAX_MACHINES {
            return;
        }
        let observation = MachineObservation {
            member: announcement.member,
            pulled_epoch: announcement.pulled_epoch,
            shutting_down: announcement.shutting_down,
            first_heard: known.unwrap_or(now),
            last_heard: now,
        };
        self.observations.insert(node, observation);
    }

    /// What was observed of a machine; `None` if it has never announced itself.
    #[must_use]
    pub fn observation(&self, node: &str) -> Option<&MachineObservation> {
        self.observations.get(node)
    }

    /// All machines that have ever announced themselves.
    pub fn observations(&self) -> impl Iterator<Item = &MachineObservation> {
        self.observations.values()
    }

    /// How long a machine has not announced itself while this core machine was listening. It is zero if
    /// the core machine has just started, was stalled or is partitioned: then it knows of no unresponsive machine.
    #[must_use]
    pub fn unresponsive_for(&self, now: Instant, node: &str) -> Duration {
        if now.saturating_duration_since(self.last_heard_any) > MAX_ANNOUNCEMENT_GAP {
            return Duration::ZERO;
        }
        let last = self
            .observations
            .get(node)
            .map_or(self.listening_since, |seen| seen.last_heard);
        now.saturating_duration_since(last.max(self.listening_since))
    }
}

/// Handler of announcements for a core machine's router. The answer says whether that machine is in quorum now:
/// a storage machine that reaches only core machines out of quorum is partitioned itself.
pub fn handler(
    announcements: Arc<Mutex<Announcements>>,
    is_in_quorum: impl Fn() -> bool + Send + Sync + 'static,
) -> impl Fn(SocketAddr, Bytes) -> Ready<Result<Vec<u8>, MessageError>> + Send + Sync + 'static {
    move |_, body| {
        let decoded = codec::decode::<Announcement>(&body);
        ready(decoded.map(|announcement| {
            announcements.lock().record(Instant::now(), announcement);
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
