//! The replicas that one core machine knows: soft state, built from heartbeats and from the other core
//! machines.
//!
//! Every change of a replica's content gets the next `revision`, by which watchers and other core machines
//! ask for what is new to them. Departures stay as tombstones for [`TOMBSTONE_TTL`], so that neither a
//! delayed heartbeat nor a delayed message of a core machine revives what is gone.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use crate::heartbeat_check::{DepartedSnafu, StaleSnafu, check_heartbeat, check_id};
pub use crate::heartbeat_check::{HeartbeatError, MAX_ID_BYTES, MAX_MODELS, MAX_NAME_BYTES};
use crate::replica::{Heartbeat, ReplicaRecord, ReplicaState};
use crate::status::{Departure, ReplicaStatus};

/// How long a tombstone is kept.
pub const TOMBSTONE_TTL: Duration = Duration::from_secs(300);
/// Most tombstones kept beside one for each replica; the oldest go first.
pub const MIN_TOMBSTONE_LIMIT: usize = 4096;
/// What a heartbeat or a departure that was taken means for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// The same as before: the other core machines learn of it with the next batch.
    Unchanged,
    /// New or changed: told at once.
    Changed,
    /// The replica leaves: acknowledged only after the other core machines have been told.
    Departing,
}

/// Counters of what the registry took and refused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RegistryCounters {
    /// Heartbeats taken.
    pub accepted: u64,
    /// Heartbeats refused because of an older sequence.
    pub stale: u64,
    /// Heartbeats refused because the replica had left.
    pub departed: u64,
    /// Heartbeats refused because of a field.
    pub invalid: u64,
    /// Replicas taken as gone because they were silent.
    pub expired: u64,
    /// Replicas taken as gone because their address serves another incarnation.
    pub superseded: u64,
}

/// Names a state of one machine's registry: versions of different incarnations are not comparable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, speedy::Readable, speedy::Writable)]
pub struct RegistryVersion {
    /// Incarnation of the process; 0 for none.
    pub incarnation: u64,
    /// Revision within it.
    pub revision: u64,
    /// The receiver has nothing of which the tombstone was dropped at this revision or before.
    pub floor: u64,
}

/// What is new since a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegistryChanges {
    /// Version that the receiver has after these changes.
    pub version: RegistryVersion,
    /// Whether they are the start of the whole list: what was listed by an earlier incarnation does not
    /// count.
    pub restart: bool,
    /// Whether more is to come.
    pub more: bool,
    /// Newest account of each replica that changed.
    pub statuses: Vec<(String, ReplicaStatus)>,
}

struct Entry {
    status: ReplicaStatus,
    digest: u32,
    revision: u64,
    /// When its sequence last rose, or when it became a tombstone.
    heard_at: Duration,
}

/// What a direct sign of life that is passed on to other core machines says.
#[derive(Clone, Debug, PartialEq, Eq, speedy::Readable, speedy::Writable)]
pub struct Refresh {
    /// The replica.
    pub id: String,
    /// Its newest sequence.
    pub sequence: u64,
    /// Digest of its content, to find accounts that have diverged.
    pub digest: u32,
}

/// What became of a [`Refresh`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefreshResult {
    /// Taken, or known already.
    Known,
    /// The content is not known here: ask the sender for it.
    Unknown,
}

/// The replicas that one core machine knows.
pub struct Registry {
    incarnation: u64,
    revision: u64,
    /// Revision up to which tombstones may have been dropped.
    dropped_tombstone_revision: u64,
    supersede_after: Duration,
    entries: BTreeMap<String, Entry>,
    by_revision: BTreeMap<u64, String>,
    by_address: BTreeMap<SocketAddr, BTreeSet<String>>,
    present: usize,
    counters: RegistryCounters,
}

impl Registry {
    /// An empty registry of the process `incarnation` (never 0). An address is taken over by another
    /// incarnation once its former holder has been silent for half of `reuse_after`.
    pub fn new(incarnation: u64, reuse_after: Duration) -> Self {
        Self {
            incarnation,
            revision: 1,
            dropped_tombstone_revision: 0,
            supersede_after: reuse_after / 2,
            entries: BTreeMap::new(),
            by_revision: BTreeMap::new(),
            by_address: BTreeMap::new(),
            present: 0,
            counters: RegistryCounters::default(),
        }
    }

    /// The current version.
    pub fn version(&self) -> RegistryVersion {
        self.version_at(self.revision)
    }

    /// Counters since the start.
    pub fn counters(&self) -> RegistryCounters {
        self.counters
    }

    /// Counts a heartbeat whose body could not be read.
    pub fn count_unreadable(&mut self) {
        self.counters.invalid += 1;
    }

    /// Number of replicas that are there.
    pub fn present(&self) -> usize {
        self.present
    }

    /// The newest account of a replica.
    pub fn status(&self, id: &str) -> Option<&ReplicaStatus> {
        self.entries.get(id).map(|entry| &entry.status)
    }

    /// Replicas that are there, by id, each with the time since its last sign of life.
    pub fn replicas(&self, now: Duration) -> impl Iterator<Item = (&ReplicaRecord, Duration)> {
        self.entries.values().filter_map(move |entry| {
            entry
                .status
                .record()
                .map(|record| (record, now.saturating_sub(entry.heard_at)))
        })
    }

    /// Takes a heartbeat that `id` itself sent.
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
        let ack = match self.entries.get(id).map(|entry| &entry.status) {
            Some(ReplicaStatus::Departed {
                departure: Departure::Deregistered,
                ..
            }) => {
                self.counters.departed += 1;
                return DepartedSnafu { id }.fail();
            }
            Some(ReplicaStatus::Present(known)) if *known == record => HeartbeatOutcome::Unchanged,
            Some(known) if record.sequence <= known.sequence() => {
                self.counters.stale += 1;
                let newest = known.sequence();
                return StaleSnafu {
                    id,
                    sequence: record.sequence,
                    newest,
                }
                .fail();
            }
            Some(ReplicaStatus::Present(known)) if known.has_same_content(&record) => {
                HeartbeatOutcome::Unchanged
            }
            _ => HeartbeatOutcome::Changed,
        };
        let ack = if record.state == ReplicaState::Draining {
            HeartbeatOutcome::Departing
        } else {
            ack
        };
        let address = record.address;
        self.counters.accepted += 1;
        self.put(now, id, ReplicaStatus::Present(record));
        self.supersede_others_at(now, address, id);
        Ok(ack)
    }

    /// Takes the word of `id` itself that it ends. Also an unknown id leaves a tombstone, against delayed
    /// messages.
    pub fn deregister(
        &mut self,
        now: Duration,
        id: &str,
    ) -> Result<HeartbeatOutcome, HeartbeatError> {
        check_id(id)?;
        self.put(now, id, ReplicaStatus::deregistered());
        Ok(HeartbeatOutcome::Departing)
    }

    /// Joins another core machine's account of `id`. Returns whether it changed what is known here.
    ///
    /// An account that is older than a departure claimed here, or that claims the departure of a replica
    /// heard since, makes the newer account known again to all watchers.
    pub fn merge(&mut self, now: Duration, id: &str, status: ReplicaStatus) -> bool {
        if check_id(id).is_err() {
            return false;
        }
        let Some(entry) = self.entries.get(id) else {
            self.put(now, id, status);
            return true;
        };
        if status.is_newer_than(&entry.status) {
            self.put(now, id, status);
            return true;
        }
        let refuted =
            matches!(status, ReplicaStatus::Departed { .. }) && entry.status.record().is_some();
        if refuted {
            self.assign_revision(id);
        }
        refuted
    }

    /// Takes another core machine's sign of life of a replica whose content it knows as we do.
    pub fn refresh(&mut self, now: Duration, refresh: &Refresh) -> RefreshResult {
        let Some(entry) = self.entries.get_mut(&refresh.id) else {
            return RefreshResult::Unknown;
        };
        if refresh.sequence <= entry.status.sequence() {
            return RefreshResult::Known;
        }
        match &mut entry.status {
            ReplicaStatus::Present(record) if entry.digest == refresh.digest => {
                record.sequence = refresh.sequence;
                entry.heard_at = now;
                RefreshResult::Known
            }
            _ => RefreshResult::Unknown,
        }
    }

    /// What one machine tells the others of `id` when it has heard of it: its sign of life.
    pub fn refresh_for(&self, id: &str) -> Option<Refresh> {
        let entry = self.entries.get(id)?;
        let record = entry.status.record()?;
        Some(Refresh {
            id: id.to_owned(),
            sequence: record.sequence,
            digest: entry.digest,
        })
    }

    /// Takes as gone the replicas that have been silent for longer than `silence`. Returns their ids.
    pub fn expire(&mut self, now: Duration, silence: Duration) -> Vec<String> {
        let expired: Vec<(String, u64)> = self
            .replicas(now)
            .filter(|(_, silent_for)| *silent_for > silence)
            .map(|(record, _)| (record.id.clone(), record.sequence))
            .collect();
        for (id, sequence) in &expired {
            let status = ReplicaStatus::Departed {
                sequence: *sequence,
                departure: Departure::Unresponsive,
            };
            self.put(now, id, status);
        }
        self.counters.expired += expired.len() as u64;
        expired.into_iter().map(|(id, _)| id).collect()
    }

    /// Counts all silence from now on only: this machine could not hear before.
    pub fn restart_timeouts(&mut self, now: Duration) {
        for entry in self.entries.values_mut() {
            entry.heard_at = now;
        }
    }

    /// Drops tombstones that are older than [`TOMBSTONE_TTL`], or too many.
    pub fn drop_tombstones(&mut self, now: Duration) {
        let limit = MIN_TOMBSTONE_LIMIT + self.present;
        let mut surplus = (self.entries.len() - self.present).saturating_sub(limit);
        let mut dropped = Vec::new();
        for (revision, id) in &self.by_revision {
            let entry = &self.entries[id];
            if entry.status.record().is_some() {
                continue;
            }
            if surplus == 0 && now.saturating_sub(entry.heard_at) <= TOMBSTONE_TTL {
                break;
            }
            surplus = surplus.saturating_sub(1);
            dropped.push((*revision, id.clone()));
        }
        for (revision, id) in dropped {
            self.by_revision.remove(&revision);
            self.entries.remove(&id);
            self.dropped_tombstone_revision = self.dropped_tombstone_revision.max(revision);
        }
    }

    /// What is new since `known`, at most `limit` accounts.
    ///
    /// A receiver of another incarnation, or one from before tombstones were dropped, gets the whole list; a
    /// first answer that has `restart` set begins it.
    pub fn changes_since(&self, known: RegistryVersion, limit: usize) -> RegistryChanges {
        let comparable = known.incarnation == self.incarnation
            && known.revision.max(known.floor) >= self.dropped_tombstone_revision
            && known.revision <= self.revision;
        let after = if comparable { known.revision } else { 0 };
        let mut statuses = Vec::new();
        let mut reached = self.revision;
        let mut more = false;
        for (revision, id) in self.by_revision.range(after + 1..) {
            if statuses.len() == limit {
                more = true;
                break;
            }
            reached = *revision;
            statuses.push((id.clone(), self.entries[id].status.clone()));
        }
        if !more {
            reached = self.revision;
        }
        RegistryChanges {
            version: self.version_at(reached),
            restart: !comparable,
            more,
            statuses,
        }
    }

    fn version_at(&self, revision: u64) -> RegistryVersion {
        RegistryVersion {
            incarnation: self.incarnation,
            revision,
            floor: self.dropped_tombstone_revision,
        }
    }

    fn supersede_others_at(&mut self, now: Duration, address: SocketAddr, id: &str) {
        let Some(holders) = self.by_address.get(&address) else {
            return;
        };
        if holders.len() < 2 {
            return;
        }
        let superseded: Vec<(String, u64)> = holders
            .iter()
            .filter(|other| other.as_str() != id)
            .filter_map(|other| self.entries.get(other))
            .filter(|entry| now.saturating_sub(entry.heard_at) >= self.supersede_after)
            .filter_map(|entry| entry.status.record())
            .map(|record| (record.id.clone(), record.sequence))
            .collect();
        for (other, sequence) in superseded {
            self.counters.superseded += 1;
            self.put(
                now,
                &other,
                ReplicaStatus::Departed {
                    sequence,
                    departure: Departure::Superseded,
                },
            );
        }
    }

    /// The one place where an account is replaced.
    fn put(&mut self, now: Duration, id: &str, status: ReplicaStatus) {
        let digest = status.record().map_or(0, ReplicaRecord::content_digest);
        let former = self.entries.remove(id);
        let same = match (&former, &status) {
            (None, _) => false,
            (
                Some(Entry {
                    status: ReplicaStatus::Present(one),
                    ..
                }),
                ReplicaStatus::Present(two),
            ) => one.has_same_content(two),
            (Some(entry), status) => entry.status == *status,
        };
        if let Some(record) = former.as_ref().and_then(|entry| entry.status.record()) {
            self.present -= 1;
            self.remove_address(record.address, id);
        }
        if let Some(record) = status.record() {
            self.present += 1;
            self.by_address
                .entry(record.address)
                .or_default()
                .insert(id.to_owned());
        }
        let revision = former.map_or(0, |entry| entry.revision);
        self.entries.insert(
            id.to_owned(),
            Entry {
                status,
                digest,
                revision,
                heard_at: now,
            },
        );
        if !same {
            self.assign_revision(id);
        }
    }

    fn remove_address(&mut self, address: SocketAddr, id: &str) {
        let Some(holders) = self.by_address.get_mut(&address) else {
            return;
        };
        holders.remove(id);
        if holders.is_empty() {
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
