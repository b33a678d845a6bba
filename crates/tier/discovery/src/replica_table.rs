//! Table of the replicas known to an observer: the part of a [`Watcher`](crate::watcher::Watcher) that merges the
//! registries of several core machines.
//!
//! Statuses are merged by [`ReplicaStatus::is_newer_than`], so the order in which they are received does not matter. A
//! replica that is missing from one machine's list is not treated as departed. A replica that no trusted machine lists
//! is dropped after [`UNLISTED_TIMEOUT`]; this happens if all core machines have restarted since the replica ended.

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
/// Minimum interval between two sweeps for unlisted replicas and old tombstones.
pub const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// Time after a machine's last answer for which its list is considered.
pub const LISTING_TTL: Duration = Duration::from_secs(3);

/// Newest status of a replica.
struct KnownStatus {
    status: ReplicaStatus,
    /// Time at which the status was received.
    received_at: Duration,
}

/// List of replicas received from one core machine.
#[derive(Default)]
struct Listing {
    /// Version up to which its registry has been received.
    version: RegistryVersion,
    /// Ids of the registered replicas in the list.
    registered: BTreeSet<String>,
    /// Whether the machine's last answer left no further changes to request.
    complete: bool,
    /// Whether the machine was in quorum and not warming up at its last answer.
    trusted: bool,
    /// Time of the machine's last answer.
    answered_at: Duration,
}

/// Replicas merged from the registries of several core machines.
#[derive(Default)]
pub struct ReplicaTable {
    /// Registered replicas and tombstones by id.
    known: BTreeMap<String, KnownStatus>,
    /// Lists by the internal address of the core machine.
    listings: BTreeMap<SocketAddr, Listing>,
    /// Registered replicas that no trusted machine lists, with the time since which none does.
    unlisted_since: BTreeMap<String, Duration>,
    /// Earliest time of the next sweep.
    next_sweep: Duration,
    /// Registered replicas of `known` by id, shared with the published snapshots.
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

    /// Merges a response of `machine`. `trusted` is set if the machine answers, is in quorum and is not warming up.
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
            listing.registered.clear();
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
                Some(_) => listing.registered.insert(id.clone()),
                None => listing.registered.remove(id),
            };
        }
        let mut changed = false;
        for IdentifiedStatus { id, status } in statuses {
            changed |= self.merge(now, id, status);
        }
        changed
    }

    /// Removes the list of `machine`, which is no longer polled.
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
            known.status.record().is_some()
                || now.saturating_sub(known.received_at) <= TOMBSTONE_TTL
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

    /// Updates `unlisted_since`. While there is no trusted machine, no replica counts as unlisted.
    fn update_unlisted(&mut self, now: Duration) {
        let trusted: Vec<&Listing> = self
            .listings
            .values()
            .filter(|listing| listing.trusted && listing.complete)
            .filter(|listing| now.saturating_sub(listing.answered_at) <= LISTING_TTL)
            .collect();
        // Listed replicas are normally in the table, so a list as long as the table is taken to contain all of it.
        let is_complete_listing =
            |listing: &&Listing| listing.registered.len() == self.replicas.len();
        if trusted.is_empty()
            || trusted.iter().any(is_complete_listing) && self.unlisted_since.is_empty()
        {
            self.unlisted_since.clear();
            return;
        }
        let is_listed = |id: &String| {
            trusted
                .iter()
                .any(|listing| listing.registered.contains(id))
        };
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
        let previous = current.and_then(ReplicaStatus::record);
        let changed = match (previous, status.record()) {
            (Some(old), Some(new)) => !old.has_same_content(new),
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
                received_at: now,
            },
        );
        changed
    }
}
