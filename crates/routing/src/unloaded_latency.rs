//! Unloaded latencies: those of calls that found nothing else of ours in flight at their replica. Windows and
//! quantiles alone; `decide::part_budget` says how many samples count, and for how long.

use crate::decide::part_budget::{FLEET_SAMPLES, LEAST_SAMPLES, OWN_SAMPLES, SAMPLE_AGE};
use crate::samples::{Sample, product_quantile, push, quantile, since};
use std::collections::{BTreeMap, VecDeque};

/// A moving window of unloaded latencies (seconds) for each replica, and one of the fleet.
pub struct UnloadedLatency<R> {
    replicas: BTreeMap<R, VecDeque<Sample>>,
    fleet: VecDeque<f64>,
    start: f64,
}

impl<R: Ord> UnloadedLatency<R> {
    /// `start`: the quantile (seconds) that stands in before the first sample.
    pub fn new(start: f64) -> Self {
        UnloadedLatency {
            replicas: BTreeMap::new(),
            fleet: VecDeque::new(),
            start,
        }
    }

    /// Records the latency of an answered call; that of an ejected replica is kept out of the fleet's.
    pub fn record(&mut self, now: f64, replica: &R, latency: f64, ejected: bool)
    where
        R: Clone,
    {
        let own = self.replicas.entry(replica.clone()).or_default();
        push(
            own,
            Sample {
                at: now,
                value: latency,
            },
            OWN_SAMPLES,
        );
        if !ejected {
            push(&mut self.fleet, latency, FLEET_SAMPLES);
        }
    }

    /// Forgets the samples of a replica that has departed or restarted.
    pub fn forget(&mut self, replica: &R) {
        self.replicas.remove(replica);
    }

    /// The fleet's latest samples, oldest first.
    pub fn fleet(&self) -> Vec<f64> {
        self.fleet.iter().copied().collect()
    }

    /// A replica's own samples; none if it counts as average.
    pub fn own(&self, now: f64, replica: &R) -> Option<Vec<f64>> {
        let own = since(self.replicas.get(replica)?, now - SAMPLE_AGE);
        (own.len() >= LEAST_SAMPLES).then_some(own)
    }

    /// Samples to judge a replica by; `None` for one that counts as average, such as an ejected one.
    pub fn samples(&self, now: f64, replica: Option<&R>) -> Vec<f64> {
        replica
            .and_then(|r| self.own(now, r))
            .unwrap_or_else(|| self.fleet())
    }

    /// The `p` quantile of `samples`, or the start value.
    pub fn quantile(&self, now: f64, replica: Option<&R>, p: f64) -> f64 {
        quantile(self.samples(now, replica), p).unwrap_or(self.start)
    }

    /// The smallest time by which all these replicas have answered with probability `p` or more.
    pub fn product_quantile(&self, now: f64, replicas: &[Option<&R>], p: f64) -> f64 {
        let own: Vec<_> = replicas
            .iter()
            .filter_map(|r| r.and_then(|r| self.own(now, r)))
            .collect();
        let average = replicas.len() - own.len();
        product_quantile(own, self.fleet(), average, p).unwrap_or(self.start)
    }
}
