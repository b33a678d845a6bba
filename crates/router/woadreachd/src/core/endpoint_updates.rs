//! What is known of endpoints: the lists of discovery, and what other co-ordinators say of its entries.

use super::Core;
use crate::events::{
    Endpoint, EndpointList, EndpointReport, EndpointReports, Lifecycle, RoleUpdate,
};
use std::collections::{BTreeMap, BTreeSet};
use tracing::debug;
use woadreach_lease::{Departure, ReplicaKey};
use woadreach_routing::api::{CellId, ListedReplica, ReplicaId, ZoneId};
use woadreach_runtime::Net;

/// The endpoints that this process's own list names, recorded where they are reported to peers.
#[derive(Default)]
pub(super) struct EndpointState {
    reports: Option<EndpointReports>,
    listed: BTreeMap<ReplicaKey, Endpoint>,
}

/// The hash by which co-ordinators name one incarnation of a replica.
fn replica_key(endpoint: &Endpoint) -> ReplicaKey {
    ReplicaKey::named(&endpoint.id, endpoint.started_at)
}

impl EndpointState {
    /// Keeps endpoints from now on, and reports what the list says of them.
    pub(super) fn report_to(&mut self, reports: EndpointReports) {
        self.reports = Some(reports);
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&ReplicaKey, &Endpoint)> {
        self.listed.iter()
    }

    fn get(&self, replica: &ReplicaKey) -> Option<&Endpoint> {
        self.listed.get(replica)
    }

    /// The endpoint, if the own list has it ready.
    fn ready(&self, replica: &ReplicaKey) -> Option<Endpoint> {
        self.get(replica)
            .filter(|e| e.lifecycle == Lifecycle::Ready)
            .cloned()
    }

    fn record(&mut self, list: &EndpointList) {
        let Some(reports) = &self.reports else {
            return;
        };
        if list.full {
            let named: BTreeSet<ReplicaKey> = list.entries.iter().map(replica_key).collect();
            self.listed.retain(|r, _| named.contains(r));
        }
        for endpoint in &list.entries {
            let replica = replica_key(endpoint);
            let departure = endpoint.lifecycle.departure();
            // A complete list reports no departures: it states them again and again. The receiver ends with
            // the process.
            if !list.full || departure.is_none() {
                let _ = reports.send(EndpointReport { replica, departure });
            }
            // Else the entry of a replica's former incarnation would stay for ever.
            if !list.full {
                self.listed.retain(|_, other| other.id != endpoint.id);
            }
            if departure == Some(Departure::Departed) {
                self.listed.remove(&replica);
            } else {
                self.listed.insert(replica, endpoint.clone());
            }
        }
    }
}

impl<N: Net> Core<N> {
    /// Applies a list of discovery.
    pub(crate) fn apply_endpoint_list(&mut self, list: EndpointList) {
        self.executor.now = self.executor.net.now();
        self.endpoints.record(&list);
        self.apply(&list);
    }

    /// Applies what singleton roles change: by a lease holder's message, or by its expiry.
    ///
    /// Only endpoints that the own list has as ready are closed, and only that list opens them again: a stale
    /// or forged message cannot open an endpoint that the list has closed, nor name one that it does not. It
    /// can take a sound replica out for some seconds.
    pub(super) fn apply_role_update(&mut self, now: f64, update: RoleUpdate) {
        let entries: Vec<Endpoint> = match update {
            RoleUpdate::QuotaShares(shares) => {
                for share in shares {
                    if let Some(endpoint) = self.endpoints.get(&share.replica) {
                        let replica = ReplicaId(endpoint.id.as_str().into());
                        self.search_table
                            .set_quota_share(&replica, share.even_shares);
                    }
                }
                return;
            }
            // Departed or draining, it takes nothing new; attempts in flight may still be answered.
            RoleUpdate::Closed(replicas) => replicas
                .iter()
                .filter_map(|replica| self.endpoints.ready(replica))
                .map(|endpoint| Endpoint {
                    lifecycle: Lifecycle::Draining,
                    ..endpoint
                })
                .collect(),
            RoleUpdate::Expired(replicas) => replicas
                .iter()
                .filter_map(|replica| self.endpoints.ready(replica))
                .collect(),
        };
        if entries.is_empty() {
            return;
        }
        debug!(replicas = entries.len(), "role update applied");
        self.executor.now = now;
        self.apply(&EndpointList {
            generation: 0,
            full: false,
            entries,
        });
    }

    fn apply(&mut self, list: &EndpointList) {
        self.knows_endpoints |= !list.entries.is_empty();
        let lines: Vec<ListedReplica> = list.entries.iter().map(|e| self.listed(e)).collect();
        self.search_table.apply_endpoint_list(list.full, &lines);
        self.executor
            .replicas
            .apply_endpoint_list(self.executor.now, list);
    }

    /// An entry as the routing decisions read it. A zone that the settings do not name gets a number.
    fn listed(&mut self, endpoint: &Endpoint) -> ListedReplica {
        let next = self.zones.len() as u64;
        let zone = self.zones.entry(endpoint.zone.clone()).or_insert(next);
        ListedReplica {
            replica: ReplicaId(endpoint.id.as_str().into()),
            open: endpoint.lifecycle == Lifecycle::Ready,
            zone: ZoneId(*zone),
            cell: CellId(endpoint.cell),
            ready_at: Some(endpoint.started_at).filter(|t| *t > 0.0),
        }
    }
}
