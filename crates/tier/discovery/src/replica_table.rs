//! The replicas as an observer of several core machines knows them: the part of the
//! [`Watcher`](crate::watcher::Watcher) that merges their registries.
//!
//! Statuses are merged by [`ReplicaStatus::is_newer_than`], so the order in which they arrive does not
//! matter. A replica that is missing from a machine's list has not departed for that reason. A replica that
//! no trusted machine lists, because all core machines have restarted since it ended, is dropped after
//! [`UNLISTED_TIMEOUT`].

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::messages::{RegistryResponse, StatusEntry};
use crate::registry::{RegistryVersion, TOMBSTONE_TTL};
use crate::replica::ReplicaRecord;
use crate::status::{IdentifiedStatus, ReplicaStatus};

/// Time after which a replica that no trusted machine lists is dropped.
pub const UNLISTED_TIMEOUT: Duration = Duration::from_secs(8);
/// Least time between two sweeps for unlisted replicas and old tombstones.
pub const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// Time after its last answer for which a machine's list counts.
pub const LISTING_TTL: Duration = Duration::from_secs(3);

/// The newest status of a replica.
struct KnownStatus {
    status: ReplicaStatus,
    /// When it was received.
    changed_at: Duration,
}

/// The list of one core machine.
#[derive(Default)]
struct Listing {
    /// Version up to which its registry has been received.
    version: RegistryVersion,
    /// Ids of the registered replicas in it.
    present: BTreeSet<String>,
    /// Whether the machine had no further changes to send when it answered last.
    complete: bool,
    /// Whether the machine was in quorum and not warming up when it answered last.
    trusted: bool,
    /// When it answered last.
    answered_at: Duration,
}

/// Replicas merged from the registries of several core machines.
#[derive(Default)]
pub struct ReplicaTable {
    /// Registered replicas and tombstones by id.
    known: BTreeMap<String, KnownStatus>,
    /// Lists by internal address of the core machine.
    listings: BTreeMap<SocketAddr, Listing>,
    /// Registered replicas that no trusted machine lists, and since when.
    unlisted_since: BTreeMap<String, Duration>,
    /// When unlisted replicas and old tombstones are next looked for.
    next_sweep: Duration,
    /// The registered replicas of `known`, shared with the published snapshots.
    replicas: Arc<BTreeMap<String, ReplicaRecord>>,
}

impl ReplicaTable {
    /// The registered replicas by id.
    pub fn replicas(&self) -> &Arc<BTreeMap<String, ReplicaRecord>> {
        &self.replicas
    }

    /// Version up to which the registry of `machine` has been received.
    pub fn version(&self, machine: SocketAddr) -> RegistryVersion {
        self.listings
            .get(&machine)
            .map(|listing| listing.version)
            .unwrap_or_default()
    }

    /// Whether the complete list of `machine` has been received.
    pub fn is_complete(&self, machine: SocketAddr) -> bool {
        self.listings
            .get(&machine)
            .is_some_and(|listing| listing.complete)
    }

    /// Merges a response of `machine`. `trusted` says that the machine is in quorum and not warming up.
    /// Returns whether the registered replicas have changed.
    pub fn apply(
        &mut self,
        now: Duration,
        machine: SocketAddr,
        trusted: bool,
        response: RegistryResponse,
    ) -> bool {
        let listing = self.listings.entry(machine).or_default();
        if response.reset {
            listing.present.clear();
        }
        listing.version = response.version;
        listing.complete = !response.has_more;
        listing.trusted = trusted;
        listing.answered_at = now;
        let statuses: Vec<_> = response
            .statuses
            .into_iter()
            .map(StatusEntry::into_status)
            .collect();
        for IdentifiedStatus { id, status } in &statuses {
            match status.record() {
                Some(_) => listing.present.insert(id.clone()),
                None => listing.present.remove(id),
            };
        }
        let mut changed = false;
        for IdentifiedStatus { id, status } in statuses {
            changed |= self.merge(now, id, status);
        }
        changed
    }

    /// Forgets the list of `machine`, which is no longer polled.
    pub fn remove_machine(&mut self, machine: SocketAddr) {
        self.listings.remove(&machine);
    }

    /// Drops old tombstones, and replicas that no trusted machine has listed for [`UNLISTED_TIMEOUT`].
    /// Returns whether the registered replicas have changed.
    pub fn sweep(&mut self, now: Duration) -> bool {
        if now < self.next_sweep {
            return false;
        }
        self.next_sweep = now + SWEEP_INTERVAL;
        self.known.retain(|_, known| {
            known.status.record().is_some() || now.saturating_sub(known.changed_at) <= TOMBSTONE_TTL
        });
        self.update_unlisted(now);
        let dropped: Vec<String> = self
            .unlisted_since
            .iter()
            .filter(|(_, since)| now.saturating_sub(**since) > UNLISTED_TIMEOUT)
            .map(|(id, _)| id.clone())
            .collect();
        for id in &dropped {
            self.known.remove(id);
            self.unlisted_since.remove(id);
            Arc::make_mut(&mut self.replicas).remove(id);
        }
        !dropped.is_empty()
    }

    /// Updates since when each replica has been listed by no trusted machine. No replica counts as unlisted
    /// while there is no trusted machine.
    fn update_unlisted(&mut self, now: Duration) {
        let trusted: Vec<&Listing> = self
            .listings
            .values()
            .filter(|listing| listing.trusted && listing.complete)
            .filter(|listing| now.saturating_sub(listing.answered_at) <= LISTING_TTL)
            .collect();
        // Every listed replica is known, so a list with as many replicas as are known contains them all.
        let is_complete_listing = |listing: &&Listing| listing.present.len() == self.replicas.len();
        if trusted.is_empty()
            || trusted.iter().any(is_complete_listing) && self.unlisted_since.is_empty()
        {
            self.unlisted_since.clear();
            return;
        }
        let is_listed = |id: &String| trusted.iter().any(|listing| listing.present.contains(id));
        let unlisted: BTreeSet<&String> =
            self.replicas.keys().filter(|id| !is_listed(id)).collect();
        self.unlisted_since.retain(|id, _| unlisted.contains(id));
        for id in unlisted {
            self.unlisted_since.entry(id.clone()).or_insert(now);
        }
    }

    /// Merges a status. Returns whether the registered replicas have changed.
    fn merge(&mut self, now: Duration, id: String, status: ReplicaStatus) -> bool {
        let current = self.known.get(&id).map(|known| &known.status);
        if current.is_some_and(|current| !status.is_newer_than(current)) {
            return false;
        }
        let former = current.and_then(ReplicaStatus::record);
        let changed = match (former, status.record()) {
            (Some(one), Some(two)) => !one.has_same_content(two),
            (None, None) => false,
            _ => true,
        };
        if changed {
            let replicas = Arc::make_mut(&mut self.replicas);
            match status.record() {
                Some(record) => replicas.insert(id.clone(), record.clone()),
                None => replicas.remove(&id),
            };
        }
        self.known.insert(
            id,
            KnownStatus {
                status,
                changed_at: now,
            },
        );
        changed
    }
}
