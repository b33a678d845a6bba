//! Unloaded latencies: those of calls that found nothing else of ours in flight at their replica.

use crate::samples::{Sample, push, quantile, since};
use std::collections::{BTreeMap, VecDeque};

const AGE: f64 = 20.0; // seconds for which a sample counts
const OWN: usize = 32; // samples of one replica: turn over in seconds, have a 0.97 quantile
const FLEET: usize = 256; // samples of the fleet average
/// With fewer samples of its own a replica counts as average: a quantile says nothing of so few, and swollen
/// samples push queuing deadlines below zero, so that such calls jump every queue.
const LEAST: usize = 8;

/// A moving window of unloaded latencies (seconds) for each replica, and one of the fleet.
pub struct UnloadedLatency<R> {
    replicas: BTreeMap<R, VecDeque<Sample>>,
    fleet: VecDeque<f64>,
    start: f64,
}

impl<R: Ord + Clone> UnloadedLatency<R> {
    /// `start`: the quantile (seconds) that stands in before the first sample.
    pub fn new(start: f64) -> Self {
        UnloadedLatency { replicas: BTreeMap::new(), fleet: VecDeque::new(), start }
    }

    /// Records the latency of an answered call; that of an ejected replica is kept out of the fleet's.
    pub fn record(&mut self, now: f64, replica: &R, latency: f64, ejected: bool) {
        let own = self.replicas.entry(replica.clone()).or_default();
        push(own, Sample { at: now, value: latency }, OWN);
        if !ejected {
            push(&mut self.fleet, latency, FLEET);
        }
    }

    /// Forgets the samples of a replica that has gone or restarted.
    pub fn forget(&mut self, replica: &R) {
        self.replicas.remove(replica);
    }

    /// The fleet's latest samples, oldest first.
    pub fn fleet(&self) -> Vec<f64> {
        self.fleet.iter().copied().collect()
    }

    /// A replica's own samples; none if it counts as average.
    pub fn own(&self, now: f64, replica: &R) -> Option<Vec<f64>> {
        let own = since(self.replicas.get(replica)?, now - AGE);
        (own.len() >= LEAST).then_some(own)
    }

    /// Samples to judge a replica by; `None` for one that counts as average, such as an ejected one.
    pub fn samples(&self, now: f64, replica: Option<&R>) -> Vec<f64> {
        replica.and_then(|r| self.own(now, r)).unwrap_or_else(|| self.fleet())
    }

    /// The `p` quantile of `samples`, or the start value.
    pub fn quantile(&self, now: f64, replica: Option<&R>, p: f64) -> f64 {
        quantile(self.samples(now, replica), p).unwrap_or(self.start)
    }

    /// The smallest time by which calls at all these replicas are answered with probability `p` or more, by
    /// the product of their unloaded distributions.
    pub fn product_quantile(&self, now: f64, replicas: &[Option<&R>], p: f64) -> f64 {
        let own = |replica: &Option<&R>| replica.and_then(|r| self.own(now, r));
        let mut own: Vec<Vec<f64>> = replicas.iter().filter_map(own).collect();
        let average = (replicas.len() - own.len()) as i32;
        let mut fleet = self.fleet();
        own.iter_mut().chain([&mut fleet]).for_each(|s| s.sort_by(f64::total_cmp));
        let mut times: Vec<f64> = own.iter().chain([&fleet]).flatten().copied().collect();
        times.sort_by(f64::total_cmp);
        let by = |s: &Vec<f64>, t: f64| s.partition_point(|x| *x <= t) as f64 / s.len().max(1) as f64;
        let product = |t: f64| own.iter().map(|s| by(s, t)).product::<f64>() * by(&fleet, t).powi(average);
        times.get(times.partition_point(|t| product(*t) < p)).copied().unwrap_or(self.start)
    }
}
