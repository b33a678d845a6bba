//! Registry of the replicas known to one core machine, built from heartbeats and from the registries of the other core
//! machines. [`CoreState`](crate::core_state::CoreState) owns it and answers polls and peers from it.
//!
//! Ready replicas are soft state: they announce themselves again. Departures (tombstones and draining replicas) are also
//! kept on disk, because a replica that has left does not repeat that. [`DepartureLog`] tracks which of them are there.
//!
//! Every change of a replica's content is assigned the next `revision`. Observers and other core machines request the
//! changes since the last revision that they have received. Departures remain as tombstones for [`TOMBSTONE_TTL`], so
//! that neither a delayed heartbeat nor a delayed message of a core machine restores a departed replica.

mod changes;
mod departures;
mod expiry;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

pub use self::changes::{Refresh, RefreshResult, RegistryChanges, RegistryVersion};
pub use self::departures::RegistryDepartures;
pub use self::expiry::{MIN_TOMBSTONE_LIMIT, TOMBSTONE_TTL};
use crate::departure_log::DepartureLog;
use crate::heartbeat_check::{DepartedSnafu, StaleSnafu, check_heartbeat, check_id};
pub use crate::heartbeat_check::{HeartbeatError, MAX_ID_BYTES, MAX_MODELS, MAX_NAME_BYTES};
use crate::replica::{Heartbeat, ReplicaRecord, ReplicaState};
use crate::status::{Departure, IdentifiedStatus, ReplicaStatus};

/// Effect of an accepted heartbeat or deregistration, which determines how it is propagated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// The content is the same as before. The heartbeat is sent to the other core machines in the next batch.
    Unchanged,
    /// The replica is new or its content has changed. The change triggers a batch to the other core machines.
    Changed,
    /// The replica is draining or has deregistered. The departure is acknowledged only after the other core machines
    /// have been notified.
    Departing,
}

/// Counters of heartbeats and of replicas that have departed without deregistering.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RegistryCounters {
    /// Heartbeats accepted.
    pub accepted: u64,
    /// Heartbeats rejected because the same or a newer sequence number was known.
    pub stale: u64,
    /// Heartbeats rejected because the replica had deregistered.
    pub departed: u64,
    /// Heartbeats rejected because of an invalid field or body.
    pub invalid: u64,
    /// Replicas expired because they were unresponsive.
    pub expired: u64,
    /// Replicas superseded by another incarnation at their address.
    pub superseded: u64,
}

/// Registered replica and the time since its last heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RegisteredReplica<'a> {
    /// Record of the replica.
    pub record: &'a ReplicaRecord,
    /// Time since the last heartbeat was applied.
    pub idle_time: Duration,
}

/// Registry entry of one incarnation of a replica.
struct Entry {
    status: ReplicaStatus,
    /// [`ReplicaRecord::content_digest`] of a registered replica, 0 for a tombstone.
    digest: u32,
    /// Revision of the last change; key of the entry in [`Registry::by_revision`].
    revision: u64,
    /// Time at which the last heartbeat was applied, or at which the entry became a tombstone.
    updated_at: Duration,
}

/// Registry of the replicas known to one core machine.
pub struct Registry {
    /// Incarnation of this process; never 0.
    incarnation: u64,
    /// Revision of the newest change.
    revision: u64,
    /// Highest revision of a dropped tombstone; 0 if none was dropped.
    dropped_tombstone_revision: u64,
    /// Time without a heartbeat after which a replica can be superseded by another at the same address.
    supersede_after: Duration,
    /// Registered replicas and tombstones by id.
    entries: BTreeMap<String, Entry>,
    /// Ids of all entries by the revision of their last change.
    by_revision: BTreeMap<u64, String>,
    /// Ids of the registered replicas by address; no set is empty.
    by_address: BTreeMap<SocketAddr, BTreeSet<String>>,
    /// Number of registered replicas; the other entries are tombstones.
    registered_count: usize,
    counters: RegistryCounters,
    departure_log: DepartureLog,
}

impl Registry {
    /// Creates an empty registry. `incarnation` identifies the process and must not be 0. A replica can be superseded
    /// by another at the same address once it has sent no heartbeat for half of `reuse_after`.
    pub fn new(incarnation: u64, reuse_after: Duration) -> Self {
        Self {
            incarnation,
            revision: 1,
            dropped_tombstone_revision: 0,
            supersede_after: reuse_after / 2,
            entries: BTreeMap::new(),
            by_revision: BTreeMap::new(),
            by_address: BTreeMap::new(),
            registered_count: 0,
            counters: RegistryCounters::default(),
            departure_log: DepartureLog::default(),
        }
    }

    /// The current version.
    pub fn version(&self) -> RegistryVersion {
        self.version_at(self.revision)
    }

    /// Counters since the start of the process.
    pub fn counters(&self) -> RegistryCounters {
        self.counters
    }

    /// Counts a heartbeat whose body could not be decoded.
    pub fn count_undecodable_heartbeat(&mut self) {
        self.counters.invalid += 1;
    }

    /// Number of registered replicas.
    pub fn registered_count(&self) -> usize {
        self.registered_count
    }

    /// Newest status of the replica `id`; `None` if the id is unknown.
    pub fn status(&self, id: &str) -> Option<&ReplicaStatus> {
        self.entries.get(id).map(|entry| &entry.status)
    }

    /// Registered replicas, ordered by id.
    pub fn replicas(&self, now: Duration) -> impl Iterator<Item = RegisteredReplica<'_>> {
        self.entries.values().filter_map(move |entry| {
            let record = entry.status.record()?;
            Some(RegisteredReplica {
                record,
                idle_time: now.saturating_sub(entry.updated_at),
            })
        })
    }

    /// Applies a heartbeat that the replica `id` sent to this machine.
    ///
    /// # Errors
    /// If a field is invalid, the heartbeat is stale, or the replica has deregistered. Only the counters change then.
    pub fn heartbeat(
        &mut self,
        now: Duration,
        id: &str,
        heartbeat: Heartbeat,
    ) -> Result<HeartbeatOutcome, HeartbeatError> {
        if let Err(error) = check_heartbeat(id, &heartbeat) {
            self.counters.invalid += 1;
            return Err(error);
        }
        let record = ReplicaRecord::new(id, heartbeat);
        let outcome = self.compare_with_known(id, &record)?;
        let address = record.heartbeat.address;
        self.counters.accepted += 1;
        self.replace_status(now, id, ReplicaStatus::Registered(record));
        self.supersede_others_at(now, address, id);
        Ok(outcome)
    }

    /// Determines the effect of a valid heartbeat on the entry of `id`. Counts the heartbeat if it is rejected.
    fn compare_with_known(
        &mut self,
        id: &str,
        record: &ReplicaRecord,
    ) -> Result<HeartbeatOutcome, HeartbeatError> {
        let outcome = match self.entries.get(id).map(|entry| &entry.status) {
            Some(ReplicaStatus::Departed {
                departure: Departure::Deregistered,
                ..
            }) => {
                self.counters.departed += 1;
                return DepartedSnafu { id }.fail();
            }
            Some(ReplicaStatus::Registered(known)) if known == record => {
                HeartbeatOutcome::Unchanged
            }
            Some(known) if record.heartbeat.sequence <= known.sequence() => {
                self.counters.stale += 1;
                let newest = known.sequence();
                return StaleSnafu {
                    id,
                    sequence: record.heartbeat.sequence,
                    newest,
                }
                .fail();
            }
            Some(ReplicaStatus::Registered(known)) if known.has_same_content(record) => {
                HeartbeatOutcome::Unchanged
            }
            _ => HeartbeatOutcome::Changed,
        };
        Ok(if record.heartbeat.state == ReplicaState::Draining {
            HeartbeatOutcome::Departing
        } else {
            outcome
        })
    }

    /// Applies the deregistration that the replica `id` sent to this machine. Adds a tombstone for an unknown id too,
    /// so that a delayed heartbeat does not register the replica.
    ///
    /// # Errors
    /// If the id is invalid.
    pub fn deregister(
        &mut self,
        now: Duration,
        id: &str,
    ) -> Result<HeartbeatOutcome, HeartbeatError> {
        check_id(id)?;
        self.replace_status(now, id, ReplicaStatus::deregistered());
        Ok(HeartbeatOutcome::Departing)
    }

    /// Merges another core machine's status of `id`. Returns whether observers have to be notified.
    ///
    /// If `status` is a departure that this registry refutes by a newer heartbeat, the replica is assigned a new
    /// revision. Observers that received the departure from the other machine then receive the newer status.
    pub fn merge(&mut self, now: Duration, id: &str, status: ReplicaStatus) -> bool {
        if check_id(id).is_err() {
            return false;
        }
        let Some(entry) = self.entries.get(id) else {
            self.replace_status(now, id, status);
            return true;
        };
        if status.is_newer_than(&entry.status) {
            self.replace_status(now, id, status);
            return true;
        }
        let is_refuted =
            matches!(status, ReplicaStatus::Departed { .. }) && entry.status.record().is_some();
        if is_refuted {
            self.assign_revision(id);
        }
        is_refuted
    }

    /// Applies a heartbeat without changes that another core machine received.
    pub fn refresh(&mut self, now: Duration, refresh: &Refresh) -> RefreshResult {
        let Some(entry) = self.entries.get_mut(&refresh.id) else {
            return RefreshResult::Unknown;
        };
        if refresh.sequence <= entry.status.sequence() {
            return RefreshResult::Known;
        }
        match &mut entry.status {
            ReplicaStatus::Registered(record) if entry.digest == refresh.digest => {
                record.heartbeat.sequence = refresh.sequence;
                entry.updated_at = now;
                RefreshResult::Known
            }
            _ => RefreshResult::Unknown,
        }
    }

    /// Refresh to forward to the other core machines after `id` sent a heartbeat without changes. `None` unless `id` is
    /// registered.
    pub fn refresh_for(&self, id: &str) -> Option<Refresh> {
        let entry = self.entries.get(id)?;
        let record = entry.status.record()?;
        Some(Refresh {
            id: id.to_owned(),
            sequence: record.heartbeat.sequence,
            digest: entry.digest,
        })
    }

    /// Changes since the version `known`, at most `limit` statuses.
    ///
    /// If `known` belongs to another incarnation, or is older than a dropped tombstone, returns the complete list. Its
    /// first part has `reset` set.
    pub fn changes_since(&self, known: RegistryVersion, limit: usize) -> RegistryChanges {
        let comparable = known.incarnation == self.incarnation
            && known.revision.max(known.dropped_tombstone_revision)
                >= self.dropped_tombstone_revision
            && known.revision <= self.revision;
        let after = if comparable { known.revision } else { 0 };
        let mut statuses = Vec::new();
        let mut reached = self.revision;
        let mut has_more = false;
        for (revision, id) in self.by_revision.range(after + 1..) {
            if statuses.len() == limit {
                has_more = true;
                break;
            }
            reached = *revision;
            statuses.push(IdentifiedStatus {
                id: id.clone(),
                status: self.entries[id].status.clone(),
            });
        }
        if !has_more {
            reached = self.revision;
        }
        RegistryChanges {
            version: self.version_at(reached),
            reset: !comparable,
            has_more,
            statuses,
        }
    }

    fn version_at(&self, revision: u64) -> RegistryVersion {
        RegistryVersion {
            incarnation: self.incarnation,
            revision,
            dropped_tombstone_revision: self.dropped_tombstone_revision,
        }
    }

    /// Replaces the status of `id`, and assigns a new revision if the content has changed. Updates all indexes.
    fn replace_status(&mut self, now: Duration, id: &str, status: ReplicaStatus) {
        let digest = status.record().map_or(0, ReplicaRecord::content_digest);
        let previous = self.entries.remove(id);
        let is_same = match (&previous, &status) {
            (None, _) => false,
            (
                Some(Entry {
                    status: ReplicaStatus::Registered(old),
                    ..
                }),
                ReplicaStatus::Registered(new),
            ) => old.has_same_content(new),
            (Some(entry), status) => entry.status == *status,
        };
        if let Some(record) = previous.as_ref().and_then(|entry| entry.status.record()) {
            self.registered_count -= 1;
            self.remove_address(record.heartbeat.address, id);
        }
        if let Some(record) = status.record() {
            self.registered_count += 1;
            self.by_address
                .entry(record.heartbeat.address)
                .or_default()
                .insert(id.to_owned());
        }
        if status.is_new_departure(previous.as_ref().map(|entry| &entry.status)) {
            self.departure_log.record(id);
        }
        let revision = previous.map_or(0, |entry| entry.revision);
        self.entries.insert(
            id.to_owned(),
            Entry {
                status,
                digest,
                revision,
                updated_at: now,
            },
        );
        if !is_same {
            self.assign_revision(id);
        }
    }

    fn remove_address(&mut self, address: SocketAddr, id: &str) {
        let Some(ids) = self.by_address.get_mut(&address) else {
            return;
        };
        ids.remove(id);
        if ids.is_empty() {
            self.by_address.remove(&address);
        }
    }

    fn assign_revision(&mut self, id: &str) {
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        self.revision += 1;
        self.by_revision.remove(&entry.revision);
        entry.revision = self.revision;
        self.by_revision.insert(self.revision, id.to_owned());
    }
}
