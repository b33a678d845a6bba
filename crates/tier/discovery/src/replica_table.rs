//! The replicas as an observer of several core machines knows them.
//!
//! Accounts are joined by [`ReplicaStatus::is_newer_than`], so their order does not matter. That a machine's
//! list lacks a replica is no account: a replica that no trusted machine lists any more (all core machines
//! may have restarted since it ended) is dropped only after [`UNLISTED_TIMEOUT`].

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::messages::{RegistryResponse, StatusEntry};
use crate::registry::{RegistryVersion, TOMBSTONE_TTL};
use crate::replica::ReplicaRecord;
use crate::status::ReplicaStatus;

/// How long trusted machines must not list a replica before it is dropped.
pub const UNLISTED_TIMEOUT: Duration = Duration::from_secs(8);
/// Least time between two looks for replicas that are not listed.
pub const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// A machine whose last answer is older is not asked about its list.
pub const LISTING_TTL: Duration = Duration::from_secs(3);

struct Known {
    status: ReplicaStatus,
    changed_at: Duration,
}

#[derive(Default)]
struct Listing {
    version: RegistryVersion,
    present: BTreeSet<String>,
    complete: bool,
    trusted: bool,
    answered_at: Duration,
}

/// Replicas joined from the accounts of several core machines.
#[derive(Default)]
pub struct ReplicaTable {
    known: BTreeMap<String, Known>,
    listings: BTreeMap<SocketAddr, Listing>,
    unlisted_since: BTreeMap<String, Duration>,
    next_sweep: Duration,
    present: Arc<BTreeMap<String, ReplicaRecord>>,
}

impl ReplicaTable {
    /// The replicas that are there, by id.
    pub fn present(&self) -> &Arc<BTreeMap<String, ReplicaRecord>> {
        &self.present
    }

    /// Version of the registry of `machine` that has been taken in.
    pub fn version(&self, machine: SocketAddr) -> RegistryVersion {
        self.listings
            .get(&machine)
            .map(|listing| listing.version)
            .unwrap_or_default()
    }

    /// Whether the whole list of `machine` has been taken in.
    pub fn is_complete(&self, machine: SocketAddr) -> bool {
        self.listings
            .get(&machine)
            .is_some_and(|listing| listing.complete)
    }

    /// Takes in what `machine` says; `trusted` says that it is in quorum and not warming. Returns whether the
    /// replicas that are there have changed.
    pub fn apply(
        &mut self,
        now: Duration,
        machine: SocketAddr,
        trusted: bool,
        response: RegistryResponse,
    ) -> bool {
        let listing = self.listings.entry(machine).or_default();
        if response.restart {
            listing.present.clear();
        }
        listing.version = response.version;
        listing.complete = !response.more;
        listing.trusted = trusted;
        listing.answered_at = now;
        let accounts: Vec<_> = response
            .statuses
            .into_iter()
            .map(StatusEntry::into_status)
            .collect();
        for (id, status) in &accounts {
            match status.record() {
                Some(_) => listing.present.insert(id.clone()),
                None => listing.present.remove(id),
            };
        }
        let mut changed = false;
        for (id, status) in accounts {
            changed |= self.join(now, id, status);
        }
        changed
    }

    /// The list of `machine` does not count any more: it is not asked now.
    pub fn forget_machine(&mut self, machine: SocketAddr) {
        self.listings.remove(&machine);
    }

    /// Drops old tombstones, and replicas that no trusted machine has listed for long. Returns whether the
    /// replicas that are there have changed.
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
            Arc::make_mut(&mut self.present).remove(id);
        }
        !dropped.is_empty()
    }

    /// Looks for replicas that no trusted machine lists. Without any such machine nothing is known of that.
    fn update_unlisted(&mut self, now: Duration) {
        let trusted: Vec<&Listing> = self
            .listings
            .values()
            .filter(|listing| listing.trusted && listing.complete)
            .filter(|listing| now.saturating_sub(listing.answered_at) <= LISTING_TTL)
            .collect();
        // What is listed is known, so a list of as many replicas as are known has them all: the usual case.
        let is_complete_listing = |listing: &&Listing| listing.present.len() == self.present.len();
        if trusted.is_empty()
            || trusted.iter().any(is_complete_listing) && self.unlisted_since.is_empty()
        {
            self.unlisted_since.clear();
            return;
        }
        let is_listed = |id: &String| trusted.iter().any(|listing| listing.present.contains(id));
        let unlisted: BTreeSet<&String> = self.present.keys().filter(|id| !is_listed(id)).collect();
        self.unlisted_since.retain(|id, _| unlisted.contains(id));
        for id in unlisted {
            self.unlisted_since.entry(id.clone()).or_insert(now);
        }
    }

    /// Joins an account. Returns whether the replicas that are there change by it.
    fn join(&mut self, now: Duration, id: String, status: ReplicaStatus) -> bool {
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
            let present = Arc::make_mut(&mut self.present);
            match status.record() {
                Some(record) => present.insert(id.clone(), record.clone()),
                None => present.remove(&id),
            };
        }
        self.known.insert(
            id,
            Known {
                status,
                changed_at: now,
            },
        );
        changed
    }
}
