//! Singleton roles: what this process does for others, and what their holders decide for it.

use super::{CoreObservations, PeerTask, WarmingDemand};
use crate::events::{EndpointReport, EvenShares, Event, RoleUpdate};
use std::collections::BTreeMap;
use tracing::info;
use woadreach_lease::{LeaseEvent, LocalDemand, ReplicaKey, RoleActions};
use woadreach_runtime::Net;

/// Smallest change of a quota share of which the core is notified, in even shares.
const MIN_SHARE_CHANGE: f64 = 1e-9;

/// What was last known of a warming replica.
#[derive(Clone, Copy)]
pub(super) struct WarmingState {
    /// Parts that slow start had kept from it since the start.
    suppressed: u64,
    /// The quota share that the core was notified of, in even shares.
    even_shares: f64,
}

impl Default for WarmingState {
    fn default() -> Self {
        WarmingState {
            suppressed: 0,
            even_shares: 1.0,
        }
    }
}

impl<N: Net> PeerTask<N> {
    pub(super) fn endpoint_reported(&mut self, report: EndpointReport) {
        let now = self.net.now();
        if let Some(roles) = &mut self.roles {
            roles.record_endpoint_state(now, report.replica, report.departure);
        }
    }

    /// Hands observations to the roles, and new quota shares to the core.
    pub(super) fn update_roles(&mut self, now: f64, observed: &CoreObservations) {
        let Some(roles) = &mut self.roles else {
            return;
        };
        let last = |r: &ReplicaKey| self.warming.get(r).copied().unwrap_or_default();
        let demands: Vec<LocalDemand> = observed
            .warming
            .iter()
            .map(|demand| local_demand(demand, last(&demand.replica)))
            .collect();
        let actions = roles.update(now, self.peer.view(), &demands);
        let mut shares = Vec::new();
        let mut warming = BTreeMap::new();
        for demand in &observed.warming {
            let replica = demand.replica;
            let even_shares = roles.multiple_of_even_share(now, replica);
            if (even_shares - last(&replica).even_shares).abs() > MIN_SHARE_CHANGE {
                shares.push(EvenShares {
                    replica,
                    even_shares,
                });
            }
            let state = WarmingState {
                suppressed: demand.suppressed,
                even_shares,
            };
            warming.insert(replica, state);
        }
        self.warming = warming;
        self.peer.role_gossip = roles.gossip(now);
        if !shares.is_empty() {
            self.send_role_update(RoleUpdate::QuotaShares(shares));
        }
        self.perform_role_actions(actions);
    }

    /// Carries out what the roles ask for.
    pub(super) fn perform_role_actions(&mut self, actions: RoleActions) {
        for payload in &actions.payloads {
            let out = self.peer.send_role_payload(payload.to, &payload.bytes);
            self.perform(out);
        }
        for event in &actions.events {
            match event {
                LeaseEvent::Acquired { role, epoch } => info!(?role, epoch, "lease acquired"),
                LeaseEvent::Lost { role, epoch } => info!(?role, epoch, "lease lost"),
            }
        }
        if self.config.log_role_actions {
            for action in &actions.lease_actions {
                info!(role = ?action.role, epoch = action.epoch, "role action performed");
            }
        }
        if !actions.closed_replicas.is_empty() {
            let closed = actions.closed_replicas.iter();
            let closed = closed.map(|c| c.replica).collect();
            self.send_role_update(RoleUpdate::Closed(closed));
        }
        if !actions.expired_closures.is_empty() {
            self.send_role_update(RoleUpdate::Expired(actions.expired_closures));
        }
    }

    fn send_role_update(&self, update: RoleUpdate) {
        // The core ends with the process.
        let _ = self.events.send(Event::Role(update));
    }

    pub(super) fn log_roles(&self, now: f64) {
        let Some(roles) = &self.roles else {
            return;
        };
        let counts = roles.counters();
        info!(
            held = roles.leases().held_roles(now).len(),
            acquired = counts.acquired,
            lost = counts.lost,
            stale = counts.stale_tokens,
            clock_jumps = counts.clock_jumps,
            refused = roles.rejected(),
            ahead = roles.updates_ahead_of_list(),
            "roles reported"
        );
    }
}

/// The demand since the last observation.
fn local_demand(demand: &WarmingDemand, last: WarmingState) -> LocalDemand {
    let new = demand.suppressed.saturating_sub(last.suppressed);
    LocalDemand {
        replica: demand.replica,
        parts: new.min(u64::from(u32::MAX)) as u32,
        sent_recently: demand.sent,
    }
}
