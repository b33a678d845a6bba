//! What the peers receive of this process's view: the health of zones and the demand for warming replicas.

use super::Core;
use super::timers::Timer;
use crate::peers::{CoreObservations, WarmingDemand};
use std::collections::BTreeMap;
use tokio::sync::watch;
use woadreach_routing::api::{ReplicaId, SlowStartDemand};
use woadreach_runtime::Net;
use woadreach_zone_failover::ZoneObservation;

/// Seconds between observations while something is wrong: after a failed attempt, or with half of a zone's
/// parts failed.
pub(super) const FAULT_OBSERVATION_INTERVAL: f64 = 0.1;

/// Seconds between observations while all is well. At ten a second throughout, a process with little
/// traffic used half as much processor time again; at two, six processes agreed on a zone cut off after
/// 2.1 s in place of 0.8 s.
const OBSERVATION_INTERVAL: f64 = 0.2;

/// Where observations go, and when the next are due.
pub(crate) struct ObservationSender {
    zones: usize,
    sender: watch::Sender<CoreObservations>,
    /// Earlier timers than the one for this time are void.
    pub(super) next_due: f64,
}

impl ObservationSender {
    /// Sends observations of the first `zones` zones, in the settings' order.
    pub(crate) fn new(zones: usize, sender: watch::Sender<CoreObservations>) -> Self {
        ObservationSender {
            zones,
            sender,
            next_due: f64::INFINITY,
        }
    }
}

impl<N: Net> Core<N> {
    /// Has observations sent at this time, unless some are due before it.
    pub(super) fn schedule_observation(&mut self, at: f64) {
        if let Some(sender) = &mut self.observation_sender
            && at < sender.next_due
        {
            sender.next_due = at;
            self.executor.timers.insert(at, Timer::Observation);
        }
    }

    pub(super) fn send_observations(&mut self, now: f64) {
        let Some(sender) = &mut self.observation_sender else {
            return;
        };
        sender.next_due = f64::INFINITY;
        let zones = sender.zones;
        let observations = CoreObservations {
            zones: self.observe_zones(now, zones),
            attempts_sent: self.executor.attempts_sent,
            warming: self.warming_demands(now),
        };
        let fault = observations
            .zones
            .iter()
            .any(|z| z.failed > 0 && z.failed * 2 >= z.seen);
        if let Some(sender) = &self.observation_sender {
            // Nobody receives it after the end.
            let _ = sender.sender.send(observations);
        }
        let interval = if fault {
            FAULT_OBSERVATION_INTERVAL
        } else {
            OBSERVATION_INTERVAL
        };
        self.schedule_observation(now + interval);
    }

    fn observe_zones(&self, now: f64, zones: usize) -> Vec<ZoneObservation> {
        let mut observations = vec![ZoneObservation::default(); zones];
        for health in self.search_table.zone_health(now) {
            if let Some(observation) = observations.get_mut(health.zone.0 as usize) {
                *observation = ZoneObservation {
                    seen: health.seen as u32,
                    failed: health.failed as u32,
                    capacity: health.capacity,
                };
            }
        }
        observations
    }

    /// Demand for the warming replicas that the endpoint list names.
    fn warming_demands(&self, now: f64) -> Vec<WarmingDemand> {
        let demands: BTreeMap<ReplicaId, SlowStartDemand> = self
            .search_table
            .slow_start_demands(now)
            .into_iter()
            .map(|demand| (demand.replica.clone(), demand))
            .collect();
        if demands.is_empty() {
            return Vec::new();
        }
        let endpoints = self.endpoints.iter();
        endpoints
            .filter_map(|(replica, endpoint)| {
                let demand = demands.get(&ReplicaId(endpoint.id.as_str().into()))?;
                Some(WarmingDemand {
                    replica: *replica,
                    suppressed: demand.suppressed,
                    sent: demand.sent,
                })
            })
            .collect()
    }
}
