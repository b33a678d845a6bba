//! Latencies by route: unloaded latency, and the thresholds for late and lost attempts.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use woadreach_routing::decide::part_budget::PartBudget;
use woadreach_routing::samples::{push, quantile};
use woadreach_routing::unloaded_latency::UnloadedLatency;

use crate::keys::{ReplicaKey, RouteKey};

/// Number of recent latencies from which the thresholds are computed.
const MAX_RECENT_LATENCIES: usize = 64;
/// Number of recorded latencies between two updates of the thresholds.
const ANSWERS_PER_UPDATE: usize = 8;
/// With fewer recent latencies, the threshold for late attempts is the route's latency target.
const MIN_SAMPLES: usize = 16;
/// An attempt is late if its latency exceeds both this quantile of the recent latencies and [`LATE_MEDIAN_MULTIPLE`]
/// times their median. Slow responses of a sixth of the replicas do not raise the quantile. Of exponentially
/// distributed latencies 6 in 100 are late, so four late ones among eight in a row are rare.
const LATE_QUANTILE: f64 = 0.8;
/// Multiple of the median of the recent latencies; see [`LATE_QUANTILE`].
const LATE_MEDIAN_MULTIPLE: f64 = 4.0;
/// Lower bound of the threshold for late attempts, as a share of the latency target, so that a short stall of this
/// process does not eject a replica.
const MIN_LATE_SHARE_OF_TARGET: f64 = 0.125;
/// Lower bound of the threshold for lost attempts, as a multiple of the longest recent latency.
const LOST_LONGEST_MULTIPLE: f64 = 1.5;
/// Assumed unloaded latency before the first sample, as a share of the latency target.
const INITIAL_LATENCY_SHARE_OF_TARGET: f64 = 0.1;

/// Latencies of one route in seconds, measured to the first event of a stream or the head of any other response.
pub(crate) struct RouteLatencies {
    pub unloaded: UnloadedLatency<ReplicaKey>,
    /// Latency target of the route.
    target: f64,
    /// Latest [`MAX_RECENT_LATENCIES`] latencies, under any load.
    recent: VecDeque<f64>,
    /// Number of latencies recorded so far.
    recorded: usize,
    /// Latency beyond which an attempt is late.
    late_threshold: f64,
    /// Latency beyond which an attempt may be lost; at least `late_threshold`.
    lost_threshold: f64,
    /// Median of `recent`; an assumed value until there are [`MIN_SAMPLES`] latencies.
    recent_median: f64,
}

impl RouteLatencies {
    fn new(target: f64) -> Self {
        RouteLatencies {
            unloaded: UnloadedLatency::new(target * INITIAL_LATENCY_SHARE_OF_TARGET),
            target,
            recent: VecDeque::new(),
            recorded: 0,
            late_threshold: target,
            lost_threshold: target * LOST_LONGEST_MULTIPLE,
            recent_median: target * INITIAL_LATENCY_SHARE_OF_TARGET,
        }
    }

    /// Applies the route's latency target. Does nothing if it has not changed.
    fn set_target(&mut self, target: f64) {
        if self.target == target {
            return;
        }
        self.target = target;
        self.unloaded
            .set_initial(target * INITIAL_LATENCY_SHARE_OF_TARGET);
        if self.recent.len() >= MIN_SAMPLES {
            self.update_thresholds();
        } else {
            self.late_threshold = target;
            self.lost_threshold = target * LOST_LONGEST_MULTIPLE;
            self.recent_median = target * INITIAL_LATENCY_SHARE_OF_TARGET;
        }
    }

    /// Records the latency of an attempt whose response has started.
    pub(crate) fn record(&mut self, latency: f64) {
        push(&mut self.recent, latency, MAX_RECENT_LATENCIES);
        self.recorded += 1;
        if self.recent.len() >= MIN_SAMPLES && self.recorded.is_multiple_of(ANSWERS_PER_UPDATE) {
            self.update_thresholds();
        }
    }

    /// Seconds after which an attempt is late.
    pub(crate) fn late_threshold(&self) -> f64 {
        self.late_threshold
    }

    /// Median of the recent latencies, under any load, in seconds.
    pub(crate) fn recent_median(&self) -> f64 {
        self.recent_median
    }

    fn update_thresholds(&mut self) {
        let recent: Vec<f64> = self.recent.iter().copied().collect();
        let high = quantile(recent.clone(), LATE_QUANTILE).unwrap_or(self.target);
        self.recent_median = quantile(recent, 0.5).unwrap_or(self.recent_median);
        let floor =
            (self.recent_median * LATE_MEDIAN_MULTIPLE).max(self.target * MIN_LATE_SHARE_OF_TARGET);
        self.late_threshold = high.max(floor);
        let longest = self.recent.iter().copied().fold(0.0, f64::max);
        self.lost_threshold = self.late_threshold.max(longest * LOST_LONGEST_MULTIPLE);
    }
}

/// Latencies of all configured routes for which calls have arrived.
#[derive(Default)]
pub(crate) struct LatenciesByRoute {
    keys: BTreeMap<Arc<str>, RouteKey>,
    /// Number of the next key; keys are never reused.
    next_key: u32,
    routes: BTreeMap<RouteKey, RouteLatencies>,
    pub part_budget: PartBudget,
}

impl LatenciesByRoute {
    /// Returns the key of a route, and sets its latency target in seconds. Assigns the key at the first call of the
    /// route.
    pub(crate) fn key(&mut self, name: &Arc<str>, target: f64) -> RouteKey {
        if let Some(key) = self.keys.get(name) {
            if let Some(route) = self.routes.get_mut(key) {
                route.set_target(target);
            }
            return *key;
        }
        let key = RouteKey::new(self.next_key);
        self.next_key += 1;
        self.keys.insert(name.clone(), key);
        self.routes.insert(key, RouteLatencies::new(target));
        key
    }

    /// Removes the routes that are neither `configured` nor have unfinished calls (`in_flight`).
    pub(crate) fn retain(&mut self, configured: &BTreeSet<&str>, in_flight: &BTreeSet<RouteKey>) {
        self.keys
            .retain(|name, key| configured.contains(&**name) || in_flight.contains(key));
        let kept: BTreeSet<RouteKey> = self.keys.values().copied().collect();
        self.routes.retain(|key, _| kept.contains(key));
    }

    pub(crate) fn get(&self, key: RouteKey) -> Option<&RouteLatencies> {
        self.routes.get(&key)
    }

    pub(crate) fn get_mut(&mut self, key: RouteKey) -> Option<&mut RouteLatencies> {
        self.routes.get_mut(&key)
    }

    /// Seconds after which an attempt of this route is late; infinite if the route is unknown.
    pub(crate) fn late_threshold(&self, key: RouteKey) -> f64 {
        self.routes
            .get(&key)
            .map_or(f64::INFINITY, RouteLatencies::late_threshold)
    }

    /// Seconds after which an attempt of this route is lost if its replica is unresponsive or has started the responses
    /// to later attempts; infinite if the route is unknown.
    pub(crate) fn lost_threshold(&self, key: RouteKey) -> f64 {
        self.routes
            .get(&key)
            .map_or(f64::INFINITY, |route| route.lost_threshold)
    }

    /// Unloaded tail latency of a replica for one of `k` concurrent calls, in seconds; of the average replica if
    /// `replica` is `None`.
    pub(crate) fn tail(
        &self,
        now: f64,
        key: RouteKey,
        replica: Option<ReplicaKey>,
        k: usize,
    ) -> f64 {
        let Some(route) = self.routes.get(&key) else {
            return 0.0;
        };
        self.part_budget
            .tail(now, &route.unloaded, replica.as_ref(), k)
    }

    /// Median unloaded latency of this route over all replicas, in seconds; 0 if the route is unknown.
    pub(crate) fn unloaded_median(&self, now: f64, key: RouteKey) -> f64 {
        self.routes
            .get(&key)
            .map_or(0.0, |route| route.unloaded.quantile(now, None, 0.5))
    }

    /// Removes the latencies of a replica that has departed.
    pub(crate) fn remove_replica(&mut self, replica: ReplicaKey) {
        self.routes
            .values_mut()
            .for_each(|route| route.unloaded.forget(&replica));
    }
}

#[cfg(test)]
#[path = "../tests/unit/routes.rs"]
mod tests;
