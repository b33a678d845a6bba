//! Latencies by route: unloaded latency, and thresholds from which an attempt is late or lost.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use woadreach_routing::decide::part_budget::PartBudget;
use woadreach_routing::samples::{push, quantile};
use woadreach_routing::unloaded_latency::UnloadedLatency;

use crate::keys::{ReplicaKey, RouteKey};

/// Number of recent latencies from which the thresholds are derived.
const MAX_RECENT_LATENCIES: usize = 64;
/// Number of answers between two updates of the thresholds.
const ANSWERS_PER_UPDATE: usize = 8;
/// With fewer samples an attempt is late beyond the route's latency target.
const MIN_SAMPLES: usize = 16;
/// An attempt is late beyond this quantile of the recent latencies, which a sixth of the replicas cannot
/// raise by being slow, and beyond [`LATE_MEDIAN_MULTIPLE`] times their median. Of exponentially distributed
/// latencies 6 in 100 are late, so half of eight in a row hardly ever are.
const LATE_QUANTILE: f64 = 0.8;
/// See [`LATE_QUANTILE`].
const LATE_MEDIAN_MULTIPLE: f64 = 4.0;
/// Lower bound of the threshold from which an attempt is late, as a share of the latency target. A short stall
/// of this process must not eject a replica.
const MIN_LATE_SHARE_OF_TARGET: f64 = 0.125;
/// An attempt at a working replica is lost beyond this multiple of the longest recent latency.
const LOST_LONGEST_MULTIPLE: f64 = 1.5;
/// Assumed unloaded latency before the first sample, as a share of the latency target.
const INITIAL_LATENCY_SHARE_OF_TARGET: f64 = 0.1;

/// Latencies of one route in seconds. Those of streams end with the first event.
pub(crate) struct RouteLatencies {
    pub unloaded: UnloadedLatency<ReplicaKey>,
    /// The route's latency target.
    target: f64,
    /// The last [`MAX_RECENT_LATENCIES`] latencies, loaded or not.
    recent: VecDeque<f64>,
    /// Number of latencies recorded so far.
    answers: usize,
    /// Latency from which an attempt is late.
    late_threshold: f64,
    /// Latency from which an attempt may be lost; at least `late_threshold`.
    lost_threshold: f64,
    /// Median of `recent`.
    recent_median: f64,
}

impl RouteLatencies {
    fn new(target: f64) -> Self {
        RouteLatencies {
            unloaded: UnloadedLatency::new(target * INITIAL_LATENCY_SHARE_OF_TARGET),
            target,
            recent: VecDeque::new(),
            answers: 0,
            late_threshold: target,
            lost_threshold: target * LOST_LONGEST_MULTIPLE,
            recent_median: target * INITIAL_LATENCY_SHARE_OF_TARGET,
        }
    }

    /// Applies the route's latency target, which a new configuration may have changed.
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

    /// Records the latency of an attempt that has begun (streams) or was answered.
    pub(crate) fn record(&mut self, latency: f64) {
        push(&mut self.recent, latency, MAX_RECENT_LATENCIES);
        self.answers += 1;
        if self.recent.len() >= MIN_SAMPLES && self.answers.is_multiple_of(ANSWERS_PER_UPDATE) {
            self.update_thresholds();
        }
    }

    /// Seconds from which an attempt counts as late.
    pub(crate) fn late_threshold(&self) -> f64 {
        self.late_threshold
    }

    /// Median of the recent latencies, loaded or not.
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

/// Latencies of all configured routes of which calls have arrived.
#[derive(Default)]
pub(crate) struct LatenciesByRoute {
    keys: BTreeMap<Arc<str>, RouteKey>,
    /// Number of keys assigned so far; a key is never used again.
    assigned: u32,
    routes: BTreeMap<RouteKey, RouteLatencies>,
    pub part_budget: PartBudget,
}

impl LatenciesByRoute {
    /// The key of a route, which is assigned at its first call. Its latency target is `target` from now on.
    pub(crate) fn key(&mut self, name: &Arc<str>, target: f64) -> RouteKey {
        if let Some(key) = self.keys.get(name) {
            if let Some(route) = self.routes.get_mut(key) {
                route.set_target(target);
            }
            return *key;
        }
        let key = RouteKey::new(self.assigned);
        self.assigned += 1;
        self.keys.insert(name.clone(), key);
        self.routes.insert(key, RouteLatencies::new(target));
        key
    }

    /// Forgets the routes that are neither `configured` nor those of calls `in_flight`.
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

    /// Seconds from which an attempt of this route counts as late.
    pub(crate) fn late_threshold(&self, key: RouteKey) -> f64 {
        self.routes
            .get(&key)
            .map_or(f64::INFINITY, RouteLatencies::late_threshold)
    }

    /// Seconds from which an attempt counts as lost, if its replica is unresponsive or has begun later
    /// attempts.
    pub(crate) fn lost_threshold(&self, key: RouteKey) -> f64 {
        self.routes
            .get(&key)
            .map_or(f64::INFINITY, |route| route.lost_threshold)
    }

    /// The unloaded tail latency of a replica for one of `k` concurrent calls, in seconds.
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

    /// Median unloaded latency of this route over all replicas, in seconds.
    pub(crate) fn unloaded_median(&self, now: f64, key: RouteKey) -> f64 {
        self.routes
            .get(&key)
            .map_or(0.0, |route| route.unloaded.quantile(now, None, 0.5))
    }

    /// Drops the latencies of a replica that has departed.
    pub(crate) fn forget(&mut self, replica: ReplicaKey) {
        self.routes
            .values_mut()
            .for_each(|route| route.unloaded.forget(&replica));
    }
}

#[cfg(test)]
#[path = "../tests/unit/routes.rs"]
mod tests;
