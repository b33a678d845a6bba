//! Latencies by route: what an answer takes on an idle replica, and from when one is late.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use woadreach_routing::decide::part_budget::PartBudget;
use woadreach_routing::decide::unloaded_latency::UnloadedLatency;
use woadreach_routing::samples::{push, quantile};

use crate::keys::{ReplicaKey, RouteKey};

/// Latest latencies that tell from when one is late.
const MAX_RECENT_LATENCIES: usize = 64;
/// How often the threshold is worked out anew, in answers.
const ANSWERS_PER_UPDATE: usize = 8;
/// With fewer samples the threshold is the route's target.
const MIN_SAMPLES: usize = 16;
/// Late: beyond this quantile of the recent ones, which a sixth of the replicas can't lift by being slow,
/// and so many times their median. Of work with an exponential spread 6 in 100 are, and half of eight in a
/// row hardly ever.
const LATE_QUANTILE: f64 = 0.8;
const LATE_MEDIAN_MULTIPLE: f64 = 4.0;
/// And at least this share of the target: a moment in which this process stood still makes no replica bad.
const LATE_SHARE_OF_TARGET: f64 = 0.125;
/// An attempt counts as lost beyond so many times the longest of the recent ones, if its replica is at work.
const LOST_LONGEST_MULTIPLE: f64 = 1.5;
/// Before any sample an unloaded answer is taken to need this share of the target.
const INITIAL_SHARE_OF_TARGET: f64 = 0.1;

/// Latencies of one route. For streams they run to the first event.
pub(crate) struct Route {
    pub unloaded: UnloadedLatency<ReplicaKey>,
    target: f64,
    recent: VecDeque<f64>,
    answers: usize,
    late_after: f64,
    lost_after: f64,
    typical: f64,
}

impl Route {
    fn new(target: f64) -> Self {
        Route {
            unloaded: UnloadedLatency::new(target * INITIAL_SHARE_OF_TARGET),
            target,
            recent: VecDeque::new(),
            answers: 0,
            late_after: target,
            lost_after: target * LOST_LONGEST_MULTIPLE,
            typical: target * INITIAL_SHARE_OF_TARGET,
        }
    }

    /// Takes in the latency of an attempt that began (streams) or was answered.
    pub fn record(&mut self, latency: f64) {
        push(&mut self.recent, latency, MAX_RECENT_LATENCIES);
        self.answers += 1;
        if self.recent.len() >= MIN_SAMPLES && self.answers.is_multiple_of(ANSWERS_PER_UPDATE) {
            self.update_thresholds();
        }
    }

    /// Seconds from which an attempt counts as late.
    pub fn late_after(&self) -> f64 {
        self.late_after
    }

    /// Median of the recent latencies, loaded or not.
    pub fn typical(&self) -> f64 {
        self.typical
    }

    fn update_thresholds(&mut self) {
        let recent: Vec<f64> = self.recent.iter().copied().collect();
        let high = quantile(recent.clone(), LATE_QUANTILE).unwrap_or(self.target);
        self.typical = quantile(recent, 0.5).unwrap_or(self.typical);
        let floor = (self.typical * LATE_MEDIAN_MULTIPLE).max(self.target * LATE_SHARE_OF_TARGET);
        self.late_after = high.max(floor);
        let longest = self.recent.iter().copied().fold(0.0, f64::max);
        self.lost_after = self.late_after.max(longest * LOST_LONGEST_MULTIPLE);
    }
}

/// All routes that calls came by.
#[derive(Default)]
pub(crate) struct Routes {
    keys: BTreeMap<Arc<str>, RouteKey>,
    routes: BTreeMap<RouteKey, Route>,
    pub budget: PartBudget,
}

impl Routes {
    /// The number of a route, made at its first call.
    pub fn key(&mut self, name: &Arc<str>, target: f64) -> RouteKey {
        if let Some(key) = self.keys.get(name) {
            return *key;
        }
        let key = RouteKey::new(self.keys.len() as u32);
        self.keys.insert(name.clone(), key);
        self.routes.insert(key, Route::new(target));
        key
    }

    pub fn get(&self, key: RouteKey) -> Option<&Route> {
        self.routes.get(&key)
    }

    pub fn get_mut(&mut self, key: RouteKey) -> Option<&mut Route> {
        self.routes.get_mut(&key)
    }

    /// Seconds from which an attempt of this route counts as late.
    pub fn late_after(&self, key: RouteKey) -> f64 {
        self.routes
            .get(&key)
            .map_or(f64::INFINITY, Route::late_after)
    }

    /// Seconds from which an attempt counts as lost, if its replica shows no sign of work or has begun later
    /// ones.
    pub fn lost_after(&self, key: RouteKey) -> f64 {
        self.routes
            .get(&key)
            .map_or(f64::INFINITY, |route| route.lost_after)
    }

    /// The unloaded tail of a replica for one of `k` calls side by side.
    pub fn tail(&self, now: f64, key: RouteKey, replica: Option<ReplicaKey>, k: usize) -> f64 {
        let Some(route) = self.routes.get(&key) else {
            return 0.0;
        };
        self.budget.tail(now, &route.unloaded, replica.as_ref(), k)
    }

    /// What a call of this route takes on an idle replica, on average over the fleet.
    pub fn unloaded_median(&self, now: f64, key: RouteKey) -> f64 {
        self.routes
            .get(&key)
            .map_or(0.0, |route| route.unloaded.quantile(now, None, 0.5))
    }

    /// Forgets what a replica that has left was like.
    pub fn forget(&mut self, replica: ReplicaKey) {
        self.routes
            .values_mut()
            .for_each(|route| route.unloaded.forget(&replica));
    }
}
