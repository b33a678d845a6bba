//! Exchange of replicas' heartbeats between core machines: the [`Outbox`] and [`Inbox`] of a
//! [`CoreState`](crate::core_state::CoreState).
//!
//! Each machine sends, in numbered batches, only the heartbeats that it received from replicas directly; it does not
//! forward those received from other core machines. The receiver requests the sender's registry after a missing batch,
//! a new incarnation of the sender, or a heartbeat whose content it does not know.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use crate::messages::{Batch, StatusEntry};
use crate::registry::{RefreshResult, Registry, RegistryVersion};
use crate::status::IdentifiedStatus;

/// Minimum interval between batches that contain only heartbeats without changes.
pub const BATCH_INTERVAL: Duration = Duration::from_millis(250);
/// Delay of changes other than departures, so that one batch can contain several of them.
pub const CHANGE_DELAY: Duration = Duration::from_millis(25);
/// Maximum interval between batches. If there is nothing to send, an empty batch shows the peers that this machine is
/// reachable.
pub const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(1000);

/// Collects the heartbeats and changes that this machine received from replicas directly, for the next batch.
pub struct Outbox {
    /// Incarnation of this process.
    incarnation: u64,
    /// Internal address of this machine.
    sender: SocketAddr,
    /// Number of the last numbered batch; 0 before the first.
    serial: u64,
    /// Ids of the replicas that have sent heartbeats without changes since the last batch.
    refreshed: BTreeSet<String>,
    /// Ids of the replicas that have changed since the last batch. Disjoint from `refreshed`.
    changed: BTreeSet<String>,
    /// When the last numbered batch was created; `None` before the first.
    sent_at: Option<Duration>,
}

impl Outbox {
    /// Creates the empty outbox of a process; `sender` is its internal address.
    pub fn new(incarnation: u64, sender: SocketAddr) -> Self {
        Self {
            incarnation,
            sender,
            serial: 0,
            refreshed: BTreeSet::new(),
            changed: BTreeSet::new(),
            sent_at: None,
        }
    }

    /// Records a heartbeat of `id` without changes.
    pub fn record_heartbeat(&mut self, id: &str) {
        if !self.changed.contains(id) {
            self.refreshed.insert(id.to_owned());
        }
    }

    /// Records that the status of `id` has changed.
    pub fn record_change(&mut self, id: &str) {
        self.refreshed.remove(id);
        self.changed.insert(id.to_owned());
    }

    /// Next numbered batch; `None` if no batch is due. `warming` is set if this machine may not know all replicas.
    pub fn next_batch(
        &mut self,
        now: Duration,
        registry: &Registry,
        warming: bool,
    ) -> Option<Batch> {
        let since_last_batch = self
            .sent_at
            .map_or(KEEPALIVE_INTERVAL, |sent_at| now.saturating_sub(sent_at));
        let due = !self.changed.is_empty()
            || (!self.refreshed.is_empty() && since_last_batch >= BATCH_INTERVAL)
            || since_last_batch >= KEEPALIVE_INTERVAL;
        if !due {
            return None;
        }
        self.sent_at = Some(now);
        self.serial += 1;
        let refreshed = std::mem::take(&mut self.refreshed);
        let changed = std::mem::take(&mut self.changed);
        Some(Batch {
            incarnation: self.incarnation,
            sender: self.sender.into(),
            serial: self.serial,
            warming,
            refreshes: refreshed
                .iter()
                .filter_map(|id| registry.refresh_for(id))
                .collect(),
            statuses: statuses(registry, changed.iter()),
        })
    }

    /// An unnumbered batch that contains only the status of `id`.
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

/// How soon pending polls have to be answered after a change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// Nothing has changed.
    #[default]
    Unchanged,
    /// After [`CHANGE_DELAY`], together with other changes.
    Soon,
    /// Immediately: a replica departs.
    Now,
}

/// Actions required after a batch was received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BatchResult {
    /// How soon pending polls have to be answered.
    pub urgency: Urgency,
    /// Whether the sender's registry has to be requested because updates are missing.
    pub incomplete: bool,
}

/// State of the exchange with one core machine.
#[derive(Default)]
struct Peer {
    /// Incarnation in the last numbered batch; 0 before the first.
    incarnation: u64,
    /// Number of the last numbered batch; 0 before the first.
    serial: u64,
    /// Version up to which its registry has been received.
    version: RegistryVersion,
    /// Whether a batch was missed and the peer's registry has not been received since.
    incomplete: bool,
}

/// Receives the batches of the other core machines.
#[derive(Default)]
pub struct Inbox {
    /// State of each peer by its internal address.
    peers: BTreeMap<SocketAddr, Peer>,
}

impl Inbox {
    /// Merges a batch into `registry`.
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
            let IdentifiedStatus { id, status } = entry.into_status();
            let urgency = if status.is_departure() {
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

    /// Version up to which the registry of `peer` has been received.
    pub fn version(&self, peer: SocketAddr) -> RegistryVersion {
        self.peers
            .get(&peer)
            .map(|peer| peer.version)
            .unwrap_or_default()
    }

    /// Records that the registry of `peer` has been received up to `version`. `has_more` is set if the peer has more
    /// changes: if the next request fails, the next batch leads to another one.
    pub fn record_registry(&mut self, peer: SocketAddr, version: RegistryVersion, has_more: bool) {
        let peer = self.peers.entry(peer).or_default();
        peer.version = version;
        peer.incomplete = has_more;
    }
}
