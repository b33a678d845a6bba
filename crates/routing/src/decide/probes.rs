//! Probes of ejected replicas. A probe is a hedge that no search depends on; all other hedges are chosen in `placement`
//! and allowed or not in `repeats`.

use super::{Balancer, ReplicaState};
use crate::api::{ReplicaId, Search, Seconds};
use crate::fleet::Replica;

impl Balancer {
    /// Sends a further attempt of a part in flight, as a probe, to an ejected replica that has nothing in flight.
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
        // A replica that is ejected itself follows its own probe interval. The zone's probes are sent to the others.
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
