//! Unloaded latencies: those of calls that were sent while this process had nothing else in flight at the replica.
//! `decide::part_budget` has the number and the maximum age of the samples that are used.

use crate::api::{Seconds, Share};
use crate::decide::part_budget::{FLEET_SAMPLES, MIN_OWN_SAMPLES, OWN_SAMPLES, SAMPLE_AGE};
use crate::samples::{Sample, product_quantile, push, quantile, since};
use std::collections::{BTreeMap, VecDeque};

/// Sliding windows of unloaded latencies: one for each replica, and one for the fleet.
pub struct UnloadedLatency<R> {
    replicas: BTreeMap<R, VecDeque<Sample>>,
    fleet: VecDeque<Seconds>,
    initial: Seconds,
}

impl<R: Ord> UnloadedLatency<R> {
    /// `initial`: the latency that is returned for any quantile before the first sample.
    pub fn new(initial: Seconds) -> Self {
        UnloadedLatency {
            replicas: BTreeMap::new(),
            fleet: VecDeque::new(),
            initial,
        }
    }

    /// Replaces the latency that is returned for any quantile before the first sample.
    pub fn set_initial(&mut self, initial: Seconds) {
        self.initial = initial;
    }

    /// Records the latency of an answered call. Latencies of an `ejected` replica are not added to the fleet's samples.
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

    /// Removes the samples of a replica that has departed or restarted.
    pub fn forget(&mut self, replica: &R) {
        self.replicas.remove(replica);
    }

    /// Latest samples of the fleet, oldest first.
    pub fn fleet(&self) -> Vec<Seconds> {
        self.fleet.iter().copied().collect()
    }

    /// Recent samples of a replica; `None` if there are too few, so that the replica counts as average.
    pub fn own(&self, now: Seconds, replica: &R) -> Option<Vec<Seconds>> {
        let own = since(self.replicas.get(replica)?, now - SAMPLE_AGE);
        (own.len() >= MIN_OWN_SAMPLES).then_some(own)
    }

    /// Samples of a replica, or of the fleet if the replica has too few or `replica` is `None`. Callers pass `None`
    /// for a replica that counts as average, such as an ejected one.
    pub fn samples(&self, now: Seconds, replica: Option<&R>) -> Vec<Seconds> {
        replica
            .and_then(|replica| self.own(now, replica))
            .unwrap_or_else(|| self.fleet())
    }

    /// Quantile of [`UnloadedLatency::samples`] at this share; the initial value without samples.
    pub fn quantile(&self, now: Seconds, replica: Option<&R>, share: Share) -> Seconds {
        quantile(self.samples(now, replica), share).unwrap_or(self.initial)
    }

    /// Smallest time within which all these replicas answer with at least this probability. A `None` stands for a
    /// replica that counts as average.
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
