//! Singleton roles: what this process does for others, and what their holders decide for it.

use super::{PeerTask, WarmingDemand, ZoneObservations};
use crate::events::{EndpointReport, Event, QuotaFactor, RoleUpdate};
use std::collections::BTreeMap;
use tracing::info;
use woadreach_lease::{LeaseEvent, LocalDemand, ReplicaKey, RoleActions};
use woadreach_runtime::Net;

/// Smallest change of a quota share of which the core is notified.
const MIN_FACTOR_CHANGE: f64 = 1e-9;

/// What was last known of a warming replica.
#[derive(Clone, Copy)]
pub(super) struct WarmingShare {
    /// Attempts that it was wanted for since the start.
    demand: u64,
    /// The quota share that the core was notified of, as a multiple of an even share.
    factor: f64,
}

impl Default for WarmingShare {
    fn default() -> Self {
        WarmingShare {
            demand: 0,
            factor: 1.0,
        }
    }
}

impl<N: Net> PeerTask<N> {
    pub(super) fn endpoint_reported(&mut self, report: EndpointReport) {
        let now = self.net.now();
        if let Some(roles) = &mut self.roles {
            roles.listed(now, report.replica, report.departure);
        }
    }

    /// Hands observations to the roles, and new quota shares to the core.
    pub(super) fn update_roles(&mut self, now: f64, observed: &ZoneObservations) {
        let Some(roles) = &mut self.roles else {
            return;
        };
        let last = |r: &ReplicaKey| self.warming.get(r).copied().unwrap_or_default();
        let demands: Vec<LocalDemand> = observed
            .warming
            .iter()
            .map(|demand| local_demand(demand, last(&demand.replica)))
            .collect();
        let actions = roles.look(now, self.peer.view(), &demands);
        let mut shares = Vec::new();
        let mut warming = BTreeMap::new();
        for demand in &observed.warming {
            let replica = demand.replica;
            let factor = roles.times(now, replica);
            if (factor - last(&replica).factor).abs() > MIN_FACTOR_CHANGE {
                shares.push(QuotaFactor { replica, factor });
            }
            let share = WarmingShare {
                demand: demand.total,
                factor,
            };
            warming.insert(replica, share);
        }
        self.warming = warming;
        self.peer.role_messages = roles.riders(now);
        if !shares.is_empty() {
            self.send_role_update(RoleUpdate::QuotaShares(shares));
        }
        self.perform_role_actions(actions);
    }

    /// Carries out what the roles ask for.
    pub(super) fn perform_role_actions(&mut self, actions: RoleActions) {
        for (to, bytes) in &actions.send {
            let out = self.peer.tell(*to, bytes);
            self.perform(out);
        }
        for event in &actions.changes {
            match event {
                LeaseEvent::Acquired(role, epoch) => info!(?role, epoch, "lease acquired"),
                LeaseEvent::Lost(role, epoch) => info!(?role, epoch, "lease lost"),
            }
        }
        if self.config.log_role_actions {
            for (role, epoch) in &actions.acts {
                info!(?role, epoch, "role action performed");
            }
        }
        if !actions.closed.is_empty() {
            self.send_role_update(RoleUpdate::Closed(actions.closed));
        }
        if !actions.lapsed.is_empty() {
            self.send_role_update(RoleUpdate::Expired(actions.lapsed));
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
        let counts = roles.counts();
        info!(
            held = roles.leases.held(now).len(),
            acquired = counts.held,
            lost = counts.lost,
            stale = counts.stale,
            clock_jumps = counts.jumped,
            refused = roles.refused,
            ahead = roles.ahead(),
            "roles reported"
        );
    }
}

/// The demand since the last observation.
fn local_demand(demand: &WarmingDemand, last: WarmingShare) -> LocalDemand {
    let new = demand.total.saturating_sub(last.demand);
    LocalDemand {
        replica: demand.replica,
        wants: new.min(u64::from(u32::MAX)) as u32,
        sent: demand.sent,
    }
}
