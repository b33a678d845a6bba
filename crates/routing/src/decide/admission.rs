//! Admission of a search on its arrival: whether it is a client's retry, and whether to shed it.

use super::Balancer;
use crate::api::{QueryType, ReplicaId, Search, Seconds, Share};
use crate::balancer::ArrivalRecord;
use crate::samples::{push, quantile};

/// Number of searches of each query type whose remaining time is remembered, the latest: some seconds of traffic, in
/// which retries scatter.
const REMEMBERED_TIMES: usize = 64;
/// Number of searches whose value and tenant are remembered, the latest.
const REMEMBERED_ARRIVALS: usize = 64;
/// Two remaining times are alike if they differ by less: what jitter on the network does to them.
const ALIKE_WITHIN: Seconds = 0.01;
/// Number of searches, the latest, among which a remaining time has to recur. With client timeouts of seconds, two
/// retries that are alike are rare in this number of searches.
const RECURRENCE_WINDOW: usize = 16;
/// A retry's remaining time differs from that of first attempts by more: more than clocks and links differ by, less
/// than any client's pause before a retry.
const RETRY_DIFFERENCE: Seconds = 0.05;
/// A tenant exceeds its share beyond this multiple of it.
const EXCEEDED_SHARE_MULTIPLE: f64 = 1.5;
/// A search of average value is admitted with this chance: below it, it costs others more than it is likely to
/// bring.
const ADMISSION_CHANCE: Share = 0.5;
/// The least value of a search, as a multiple of the average, by which the chance is divided.
const MIN_RELATIVE_VALUE: f64 = 0.6;
/// The greatest such value.
const MAX_RELATIVE_VALUE: f64 = 2.0;
/// Number of a replica's latencies, the latest, that show its queue.
const QUEUE_SAMPLES: usize = 4;
/// The queue that the latest answers show, times this, is the present one: it grows while the answers are in flight.
const QUEUE_GROWTH: f64 = 1.5;

impl Balancer {
    /// Records a new search, and estimates when its client sent its first attempt (docs/design.md, exception 2). First
    /// attempts have the most common remaining time, or one a quarter as common, or one that is under the latency
    /// target and has recurred recently.
    pub(super) fn record_arrival(&mut self, search: &mut Search, query_type: &QueryType) {
        let remaining = search.client_deadline - search.arrived;
        let seen = &mut self.times_remaining[search.query_type.0];
        if search.marked_as_retry != Some(true) {
            push(seen, remaining, REMEMBERED_TIMES);
        }
        let is_alike = |a: &f64, b: &f64| (b - a).abs() < ALIKE_WITHIN;
        let count_alike = |x: &f64| seen.iter().filter(|y| is_alike(x, y)).count();
        let most_common = seen
            .iter()
            .copied()
            .max_by_key(count_alike)
            .unwrap_or(remaining);
        let recent = seen
            .iter()
            .rev()
            .take(RECURRENCE_WINDOW)
            .filter(|y| is_alike(&remaining, y))
            .count();
        let recurs = (remaining < query_type.latency_target && recent > 1)
            || 4 * count_alike(&remaining) >= count_alike(&most_common);
        let is_retry = search.marked_as_retry != Some(false)
            && !recurs
            && (remaining - most_common).abs() > RETRY_DIFFERENCE;
        let age = if is_retry {
            (query_type.client_timeout - remaining).max(0.0)
        } else {
            0.0
        };
        search.first_requested_at = Some(search.arrived - age);
        let arrival = ArrivalRecord {
            value_per_part: query_type.value / search.parts.len().max(1) as f64,
            tenant: search.tenant,
        };
        push(&mut self.arrivals, arrival, REMEMBERED_ARRIVALS);
        self.retries.record_taken(search.arrived, 1);
    }

    /// Whether a search has too little chance to meet its target at the replicas chosen for its parts
    /// (docs/design.md, exception 4). A smaller chance is enough for a search of more than the average value
    /// per part; a tenant that exceeds its share needs a greater one.
    pub(super) fn sheds(
        &mut self,
        now: Seconds,
        target: Seconds,
        search: &Search,
        chosen: &[ReplicaId],
    ) -> bool {
        let query_type = &self.settings.query_types[search.query_type.0];
        let attempts = if self.limits.overloaded || !self.retries.allows_retry(now) {
            1
        } else {
            2
        };
        let part_chance = |id| 1.0 - (1.0 - self.chance(now, id, target - now)).powi(attempts);
        let mut chances: Vec<f64> = chosen.iter().map(part_chance).collect();
        chances.sort_by(|a, b| b.total_cmp(a));
        let needed = (query_type.minimum_weight * chances.len() as f64).ceil() as usize;
        let chance: f64 = chances.iter().take(needed).product();
        let value = self.relative_value(search, query_type);
        let value_per_part = value / search.parts.len().max(1) as f64;
        chance < ADMISSION_CHANCE / value_per_part.clamp(MIN_RELATIVE_VALUE, MAX_RELATIVE_VALUE)
    }

    /// The value of a search as a multiple of the average value per part of the latest ones.
    fn relative_value(&self, search: &Search, query_type: &QueryType) -> f64 {
        let count = self.arrivals.len() as f64;
        let total: f64 = self
            .arrivals
            .iter()
            .map(|arrival| arrival.value_per_part)
            .sum();
        let mean = total / count;
        let of_tenant = |arrival: &&ArrivalRecord| arrival.tenant == search.tenant;
        let own_share = self.arrivals.iter().filter(of_tenant).count() as f64 / count;
        let exceeds_share = self
            .settings
            .tenants
            .get(search.tenant.0)
            .is_some_and(|share| own_share > EXCEEDED_SHARE_MULTIPLE * share);
        let multiple = if exceeds_share {
            self.settings.over_share_value
        } else {
            1.0
        };
        multiple * query_type.value / mean.max(1e-9)
    }

    /// The chance that a part that is sent now is answered within the time that remains: unloaded samples,
    /// delayed by the replica's queue. Answers show a queue only once it has passed, so that what is in flight
    /// counts by its age.
    fn chance(&self, now: Seconds, id: &ReplicaId, remaining: Seconds) -> Share {
        let since = now - self.limits.memory();
        let Some(replica) = self
            .fleet
            .get(id)
            .filter(|replica| !replica.state.health.all_failed(since))
        else {
            return 0.0;
        };
        let samples = self.unloaded.samples(now, self.if_own_samples_count(id));
        if samples.is_empty() {
            return 1.0;
        }
        let recent = replica
            .state
            .loaded
            .iter()
            .rev()
            .take(QUEUE_SAMPLES)
            .filter(|sample| sample.at > since)
            .map(|sample| sample.value)
            .collect();
        let seen = quantile(recent, 0.5)
            .unwrap_or(0.0)
            .max(replica.oldest(now));
        let queue = QUEUE_GROWTH * (seen - quantile(samples.clone(), 0.5).unwrap_or(0.0)).max(0.0);
        let in_time = samples
            .iter()
            .filter(|sample| **sample + queue <= remaining)
            .count();
        in_time as f64 / samples.len() as f64
    }
}
