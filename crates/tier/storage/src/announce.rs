//! Announcements of the storage machines to the core: liveness, identity of the disk, and the latest completed pull.
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
/// A core machine that receives no announcement for longer than this was itself stalled or partitioned.
const MAX_ANNOUNCEMENT_GAP: Duration = Duration::from_secs(1);
/// Maximum number of machines whose announcements a core machine records.
const MAX_MACHINES: usize = 4_096;

/// Announcement of a storage machine to the core.
#[derive(Debug, Clone, PartialEq, Eq, Readable, Writable)]
pub struct Announcement {
    /// The machine and its disk.
    pub member: StorageMember,
    /// Joint epoch for which everything has been pulled; 0 if none.
    pub pulled_epoch: u64,
    /// Whether the process is shutting down; its disk may not be available again.
    pub shutting_down: bool,
}

/// Latest announcement of a storage machine, as received by one core machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MachineObservation {
    /// The machine and its disk.
    pub member: StorageMember,
    /// Joint epoch for which everything has been pulled; 0 if none.
    pub pulled_epoch: u64,
    /// Whether the process is shutting down.
    pub shutting_down: bool,
    /// Time at which the machine's first announcement was received.
    pub first_heard: Instant,
    /// Time at which the machine's latest announcement was received.
    pub last_heard: Instant,
}

/// Announcements that one core machine has received.
#[derive(Debug)]
pub struct Announcements {
    /// Observations by name of the machine; at most [`MAX_MACHINES`].
    observations: BTreeMap<String, MachineObservation>,
    /// Start of the current period in which announcements were received without a gap.
    receiving_since: Instant,
    /// Time of the latest announcement of any machine, or of this core machine's start.
    last_received: Instant,
}

impl Announcements {
    /// An empty record of announcements, for a core machine that starts at `now`.
    #[must_use]
    pub fn new(now: Instant) -> Announcements {
        Announcements {
            observations: BTreeMap::new(),
            receiving_since: now,
            last_received: now,
        }
    }

    /// Records an announcement that was received at `now`.
    pub fn record(&mut self, now: Instant, announcement: Announcement) {
        if now.saturating_duration_since(self.last_received) > MAX_ANNOUNCEMENT_GAP {
            self.receiving_since = now;
        }
        self.last_received = now;
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

    /// Latest announcement of a machine; `None` if none was recorded.
    #[must_use]
    pub fn observation(&self, node: &str) -> Option<&MachineObservation> {
        self.observations.get(node)
    }

    /// Latest announcement of every recorded machine.
    pub fn observations(&self) -> impl Iterator<Item = &MachineObservation> {
        self.observations.values()
    }

    /// Time without an announcement of a machine while this core machine received others. Zero if the core machine has
    /// just started, was stalled or is partitioned: then it cannot tell whether a machine is unresponsive.
    #[must_use]
    pub fn unresponsive_for(&self, now: Instant, node: &str) -> Duration {
        if now.saturating_duration_since(self.last_received) > MAX_ANNOUNCEMENT_GAP {
            return Duration::ZERO;
        }
        let last = self
            .observations
            .get(node)
            .map_or(self.receiving_since, |seen| seen.last_heard);
        now.saturating_duration_since(last.max(self.receiving_since))
    }
}

/// Handler of announcements for a core machine's router. The answer states whether the core machine is in quorum:
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
