//! Probes of ejected replicas: hedges on which no search waits. `placement` picks the other hedges, `repeats` allows
//! them.

use super::{Balancer, ReplicaState};
use crate::api::{ReplicaId, Search, Seconds};
use crate::fleet::Replica;

impl Balancer {
    /// Sends a second attempt of a part in flight to an ejected replica with nothing in flight, as a probe on
    /// which no search waits.
    pub(super) fn send_probe(
        &mut self,
        now: Seconds,
        until: Seconds,
        search: &mut Search,
        part_index: usize,
    ) {
        let (part, class) = (&search.parts[part_index], search.query_type);
        if !self.settings.hedging_allowed
            || !self.may_hedge(now, search, part)
            || !self.retries.allows_retry(now)
        {
            return;
        }
        // A replica's own ejection goes first: the probes of its zone are for the others.
        let is_due = |(id, replica): &(&ReplicaId, &Replica<ReplicaState>)| {
            let own = &replica.state.health;
            let is_probe_due = if own.is_ejected_for(class) {
                own.probe_due(now, class)
            } else {
                self.zone_detector(replica)
                    .is_some_and(|zone| zone.probe_due(now, ()))
            };
            is_probe_due
                && replica.in_flight.is_empty()
                && !part.tried(id)
                && !self.exceeds_slow_start(now, replica, 0)
        };
        let Some(id) = self
            .fleet
            .holders(part.shard)
            .find(is_due)
            .map(|(id, _)| id.clone())
        else {
            return;
        };
        let Some(replica) = self.fleet.get_mut(&id) else {
            return;
        };
        if replica.state.health.is_ejected_for(class) {
            replica.state.health.probe_sent(now);
        } else if let Some(zone) = replica.zone.and_then(|zone| self.zones.get_mut(&zone)) {
            zone.probe_sent(now);
        }
        self.send(now, until, search, part_index, id);
    }
}
