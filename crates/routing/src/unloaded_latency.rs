//! Unloaded latencies: those of calls that found nothing else of ours in flight at their replica. Windows and
//! quantiles alone; `decide::part_budget` says how many samples count, and for how long.

use crate::api::{Seconds, Share};
use crate::decide::part_budget::{FLEET_SAMPLES, LEAST_SAMPLES, OWN_SAMPLES, SAMPLE_AGE};
use crate::samples::{Sample, product_quantile, push, quantile, since};
use std::collections::{BTreeMap, VecDeque};

/// A moving window of unloaded latencies for each replica, and one of the fleet.
pub struct UnloadedLatency<R> {
    replicas: BTreeMap<R, VecDeque<Sample>>,
    fleet: VecDeque<Seconds>,
    initial: Seconds,
}

impl<R: Ord> UnloadedLatency<R> {
    /// `initial`: the quantile that stands in before the first sample.
    pub fn new(initial: Seconds) -> Self {
        UnloadedLatency {
            replicas: BTreeMap::new(),
            fleet: VecDeque::new(),
            initial,
        }
    }

    /// Replaces the quantile that stands in before the first sample.
    pub fn set_initial(&mut self, initial: Seconds) {
        self.initial = initial;
    }

    /// Records the latency of an answered call; that of an ejected replica is kept out of the fleet's.
    pub fn record(&mut self, now: Seconds, replica: &R, latency: Seconds, ejected: bool)
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
    pub fn fleet(&self) -> Vec<Seconds> {
        self.fleet.iter().copied().collect()
    }

    /// A replica's own samples; none if it counts as average.
    pub fn own(&self, now: Seconds, replica: &R) -> Option<Vec<Seconds>> {
        let own = since(self.replicas.get(replica)?, now - SAMPLE_AGE);
        (own.len() >= LEAST_SAMPLES).then_some(own)
    }

    /// Samples to judge a replica by; `None` for one that counts as average, such as an ejected one.
    pub fn samples(&self, now: Seconds, replica: Option<&R>) -> Vec<Seconds> {
        replica
            .and_then(|replica| self.own(now, replica))
            .unwrap_or_else(|| self.fleet())
    }

    /// The quantile of `samples` at this share, or the initial value.
    pub fn quantile(&self, now: Seconds, replica: Option<&R>, share: Share) -> Seconds {
        quantile(self.samples(now, replica), share).unwrap_or(self.initial)
    }

    /// The smallest time by which all these replicas have answered with this probability or more.
    pub fn product_quantile(
        &self,
        now: Seconds,
        replicas: &[Option<&R>],
        probability: Share,
    ) -> Seconds {
        let own: Vec<_> = replicas
            .iter()
            .filter_map(|replica| self.own(now, (*replica)?))
            .collect();
        let average = replicas.len() - own.len();
        product_quantile(own, self.fleet(), average, probability).unwrap_or(self.initial)
    }
}
