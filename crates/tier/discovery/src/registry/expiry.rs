//! Ends of replicas and tombstones in a [`Registry`]: replicas that send no heartbeats expire, those whose address another
//! one uses are superseded, and old tombstones are dropped.

use std::net::SocketAddr;
use std::time::Duration;

use super::Registry;
use crate::status::{Departure, ReplicaStatus};

/// Time for which a tombstone is retained.
pub const TOMBSTONE_TTL: Duration = Duration::from_secs(300);
/// Limit on the number of tombstones in a registry without replicas. Each registered replica raises the limit by one.
/// The oldest tombstones are dropped first. After a restart no replica is registered yet, but the tombstones on disk are
/// needed.
pub const MIN_TOMBSTONE_LIMIT: usize = 16_384;

impl Registry {
    /// Expires the replicas without a heartbeat for longer than `timeout`. Returns their ids.
    pub fn expire(&mut self, now: Duration, timeout: Duration) -> Vec<String> {
        let expired: Vec<String> = self
            .replicas(now)
            .filter(|replica| replica.idle_time > timeout)
            .map(|replica| replica.record.id.clone())
            .collect();
        for id in &expired {
            self.replace_by_tombstone(now, id, Departure::Unresponsive);
        }
        self.counters.expired += expired.len() as u64;
        expired
    }

    /// Resets the time-outs of all entries, because this machine could not receive heartbeats before `now`.
    pub fn restart_timeouts(&mut self, now: Duration) {
        for entry in self.entries.values_mut() {
            entry.updated_at = now;
        }
    }

    /// Drops tombstones that are older than [`TOMBSTONE_TTL`], and the oldest beyond the limit of
    /// [`MIN_TOMBSTONE_LIMIT`].
    pub fn drop_tombstones(&mut self, now: Duration) {
        let limit = MIN_TOMBSTONE_LIMIT + self.registered_count;
        let mut surplus = (self.entries.len() - self.registered_count).saturating_sub(limit);
        let mut dropped = Vec::new();
        for (revision, id) in &self.by_revision {
            let entry = &self.entries[id];
            if entry.status.record().is_some() {
                continue;
            }
            if surplus == 0 && now.saturating_sub(entry.updated_at) <= TOMBSTONE_TTL {
                break;
            }
            surplus = surplus.saturating_sub(1);
            dropped.push(*revision);
        }
        for revision in dropped {
            if let Some(id) = self.by_revision.remove(&revision) {
                self.entries.remove(&id);
                self.departure_log.drop_departure(&id);
            }
            self.dropped_tombstone_revision = self.dropped_tombstone_revision.max(revision);
        }
    }

    /// Replaces all other replicas at `address` that have sent no heartbeat for `supersede_after` by tombstones.
    pub(super) fn supersede_others_at(&mut self, now: Duration, address: SocketAddr, id: &str) {
        let Some(ids) = self.by_address.get(&address) else {
            return;
        };
        if ids.len() < 2 {
            return;
        }
        let superseded: Vec<String> = ids
            .iter()
            .filter(|other| other.as_str() != id)
            .filter_map(|other| self.entries.get(other))
            .filter(|entry| now.saturating_sub(entry.updated_at) >= self.supersede_after)
            .filter_map(|entry| entry.status.record())
            .map(|record| record.id.clone())
            .collect();
        for other in superseded {
            self.counters.superseded += 1;
            self.replace_by_tombstone(now, &other, Departure::Superseded);
        }
    }

    /// Replaces the record of a registered replica by a tombstone. A later heartbeat registers the replica again.
    fn replace_by_tombstone(&mut self, now: Duration, id: &str, departure: Departure) {
        let Some(sequence) = self.status(id).map(ReplicaStatus::sequence) else {
            return;
        };
        let tombstone = ReplicaStatus::Departed {
            sequence,
            departure,
        };
        self.replace_status(now, id, tombstone);
    }
}
