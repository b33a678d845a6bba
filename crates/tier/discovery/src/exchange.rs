//! What core machines tell each other of the replicas they hear.
//!
//! Each machine sends what it heard from replicas directly, never what it learned from another, in numbered
//! batches. A batch that is missing, a new incarnation or an unknown content makes the receiver ask the
//! sender for its registry.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use crate::messages::{Batch, StatusEntry};
use crate::registry::{RefreshResult, Registry, RegistryVersion};
use crate::replica::ReplicaState;
use crate::status::ReplicaStatus;

/// Signs of life without news wait this long for others to share their batch.
pub const BATCH_INTERVAL: Duration = Duration::from_millis(250);
/// Changes other than departures wait this long for others.
pub const CHANGE_DELAY: Duration = Duration::from_millis(25);
/// A batch is sent this often also without content, so that peers know that they are heard.
pub const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(1000);

/// Collects what has been heard from replicas directly.
pub struct Outbox {
    incarnation: u64,
    sender: SocketAddr,
    serial: u64,
    heard: BTreeSet<String>,
    changed: BTreeSet<String>,
    sent_at: Option<Duration>,
}

impl Outbox {
    /// Of a process with this incarnation and internal address.
    pub fn new(incarnation: u64, sender: SocketAddr) -> Self {
        Self {
            incarnation,
            sender,
            serial: 0,
            heard: BTreeSet::new(),
            changed: BTreeSet::new(),
            sent_at: None,
        }
    }

    /// `id` gave a sign of life.
    pub fn heard(&mut self, id: &str) {
        if !self.changed.contains(id) {
            self.heard.insert(id.to_owned());
        }
    }

    /// The account of `id` changed.
    pub fn changed(&mut self, id: &str) {
        self.heard.remove(id);
        self.changed.insert(id.to_owned());
    }

    /// The next batch, if one is due.
    pub fn next_batch(
        &mut self,
        now: Duration,
        registry: &Registry,
        warming: bool,
    ) -> Option<Batch> {
        let waited = self
            .sent_at
            .map_or(KEEPALIVE_INTERVAL, |sent_at| now.saturating_sub(sent_at));
        let due = !self.changed.is_empty()
            || (!self.heard.is_empty() && waited >= BATCH_INTERVAL)
            || waited >= KEEPALIVE_INTERVAL;
        if !due {
            return None;
        }
        self.sent_at = Some(now);
        self.serial += 1;
        let heard = std::mem::take(&mut self.heard);
        let changed = std::mem::take(&mut self.changed);
        Some(Batch {
            incarnation: self.incarnation,
            sender: self.sender.into(),
            serial: self.serial,
            warming,
            refreshes: heard
                .iter()
                .filter_map(|id| registry.refresh_for(id))
                .collect(),
            statuses: statuses(registry, changed.iter()),
        })
    }

    /// A batch beside the numbered ones that tells of `id` alone.
    pub fn urgent_batch(&self, id: &str, registry: &Registry, warming: bool) -> Batch {
        Batch {
            incarnation: self.incarnation,
            sender: self.sender.into(),
            serial: 0,
            warming,
            refreshes: Vec::new(),
            statuses: statuses(registry, [id.to_owned()].iter()),
        }
    }
}

fn statuses<'a>(registry: &Registry, ids: impl Iterator<Item = &'a String>) -> Vec<StatusEntry> {
    ids.filter_map(|id| {
        registry
            .status(id)
            .map(|status| StatusEntry::new(id.clone(), status))
    })
    .collect()
}

fn is_leaving(status: &ReplicaStatus) -> bool {
    status
        .record()
        .is_none_or(|record| record.state == ReplicaState::Draining)
}

/// How soon watchers and other core machines are to be told of a change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// Nothing has changed.
    #[default]
    Unchanged,
    /// Soon, together with other changes.
    Soon,
    /// At once: a replica leaves.
    Now,
}

/// What a received batch did.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BatchResult {
    /// How soon the registry's watchers are to be told.
    pub urgency: Urgency,
    /// The sender knows something that did not come: ask it for its registry.
    pub incomplete: bool,
}

#[derive(Default)]
struct Peer {
    incarnation: u64,
    serial: u64,
    version: RegistryVersion,
    /// Something of this peer did not come, and its registry has not been taken in since.
    incomplete: bool,
}

/// What has come from each of the other core machines.
#[derive(Default)]
pub struct Inbox {
    peers: BTreeMap<SocketAddr, Peer>,
}

impl Inbox {
    /// Takes a batch into `registry`.
    pub fn receive(&mut self, now: Duration, batch: Batch, registry: &mut Registry) -> BatchResult {
        let mut result = BatchResult::default();
        if batch.serial > 0 {
            let peer = self.peers.entry(batch.sender.into()).or_default();
            peer.incomplete |=
                peer.incarnation != batch.incarnation || batch.serial != peer.serial + 1;
            peer.incarnation = batch.incarnation;
            peer.serial = batch.serial;
            result.incomplete = peer.incomplete;
        }
        for entry in batch.statuses {
            let (id, status) = entry.into_status();
            let urgency = if is_leaving(&status) {
                Urgency::Now
            } else {
                Urgency::Soon
            };
            if registry.merge(now, &id, status) {
                result.urgency = result.urgency.max(urgency);
            }
        }
        for refresh in &batch.refreshes {
            result.incomplete |= registry.refresh(now, refresh) == RefreshResult::Unknown;
        }
        result
    }

    /// Version of the registry of `peer` that has been taken in.
    pub fn version(&self, peer: SocketAddr) -> RegistryVersion {
        self.peers
            .get(&peer)
            .map(|peer| peer.version)
            .unwrap_or_default()
    }

    /// The registry of `peer` has been taken in up to `version`.
    pub fn record_registry(&mut self, peer: SocketAddr, version: RegistryVersion) {
        let peer = self.peers.entry(peer).or_default();
        peer.version = version;
        peer.incomplete = false;
    }

    /// Forgets all machines but these.
    pub fn retain(&mut self, peers: &BTreeSet<SocketAddr>) {
        self.peers.retain(|peer, _| peers.contains(peer));
    }
}
