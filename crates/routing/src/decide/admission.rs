//! Admission control: estimates whether a new search is a client's retry, and decides whether to shed it.

use super::Balancer;
use crate::api::{QueryType, ReplicaId, Search, Seconds, Share};
use crate::balancer::ArrivalRecord;
use crate::samples::{push, quantile};

/// Number of recent searches of each query type whose remaining time is stored. They cover some seconds of traffic,
/// over which the remaining times of retries are scattered.
const REMEMBERED_TIMES: usize = 64;
/// Number of recent searches whose value and tenant are stored.
const REMEMBERED_ARRIVALS: usize = 64;
/// Two remaining times are similar if they differ by less than this, which network jitter explains.
const SIMILAR_WITHIN: Seconds = 0.01;
/// Number of recent searches among which a remaining time has to recur. With client timeouts of seconds, two retries
/// with similar remaining times are rare among so few searches.
const RECURRENCE_WINDOW: usize = 16;
/// Least difference between the remaining time of a retry and that of first attempts. It is larger than the
/// differences due to clocks and links, and smaller than any client's pause before a retry.
const MIN_RETRY_DIFFERENCE: Seconds = 0.05;
/// Multiple of a tenant's share above which the tenant exceeds it.
const EXCEEDED_SHARE_MULTIPLE: f64 = 1.5;
/// Least chance of meeting the target with which a search of average value is admitted. With a smaller chance, its
/// expected value is less than what its load costs other searches.
const MIN_ADMISSION_CHANCE: Share = 0.5;
/// Lower bound on a search's value per part, as a multiple of the average, in the division of the required chance.
const MIN_RELATIVE_VALUE: f64 = 0.6;
/// Upper bound on that value.
const MAX_RELATIVE_VALUE: f64 = 2.0;
/// Number of a replica's recent latencies from which its queuing delay is estimated.
const QUEUE_SAMPLES: usize = 4;
/// Ratio of the present queuing delay to the one that the latest answers had: the queue grows while they are in flight.
const QUEUE_GROWTH: f64 = 1.5;

impl Balancer {
    /// Records a new search, and estimates when its client sent its first attempt (docs/design.md, exception 2). A
    /// search counts as a first attempt if its remaining time is the most common one, at least a quarter as common, or
    /// below the latency target and seen more than once recently.
    pub(super) fn record_arrival(&mut self, search: &mut Search, query_type: &QueryType) {
        let remaining = search.client_deadline - search.arrived;
        let times = &mut self.times_remaining[search.query_type.0];
        if search.marked_as_retry != Some(true) {
            push(times, remaining, REMEMBERED_TIMES);
        }
        let is_similar = |a: &f64, b: &f64| (b - a).abs() < SIMILAR_WITHIN;
        let count_similar = |x: &f64| times.iter().filter(|y| is_similar(x, y)).count();
        let most_common = times
            .iter()
            .copied()
            .max_by_key(count_similar)
            .unwrap_or(remaining);
        let recent = times
            .iter()
            .rev()
            .take(RECURRENCE_WINDOW)
            .filter(|y| is_similar(&remaining, y))
            .count();
        let recurs = (remaining < query_type.latency_target && recent > 1)
            || 4 * count_similar(&remaining) >= count_similar(&most_common);
        let is_retry = search.marked_as_retry != Some(false)
            && !recurs
            && (remaining - most_common).abs() > MIN_RETRY_DIFFERENCE;
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
        self.retries.record_work(search.arrived, 1);
    }

    /// Whether to shed a search because its chance of meeting the target at the replicas chosen for its parts is too
    /// small (docs/design.md, exception 4). The required chance is smaller for a search of more than average value per
    /// part, and larger for a tenant that exceeds its share.
    pub(super) fn should_shed(
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
        let part_chance =
            |id| 1.0 - (1.0 - self.in_time_chance(now, id, target - now)).powi(attempts);
        let mut chances: Vec<f64> = chosen.iter().map(part_chance).collect();
        chances.sort_by(|a, b| b.total_cmp(a));
        let needed = (query_type.minimum_weight * chances.len() as f64).ceil() as usize;
        let chance: f64 = chances.iter().take(needed).product();
        let value = self.relative_value(search, query_type);
        let value_per_part = value / search.parts.len().max(1) as f64;
        chance < MIN_ADMISSION_CHANCE / value_per_part.clamp(MIN_RELATIVE_VALUE, MAX_RELATIVE_VALUE)
    }

    /// Value of a search as a multiple of the average value per part of recent searches, reduced for a tenant that
    /// exceeds its share.
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

    /// Chance that a part sent now is answered within `remaining`: the share of unloaded latencies that fit, each plus
    /// the replica's queuing delay. Answered calls reveal a queue only after the fact, so the age of the oldest call in
    /// flight counts as well.
    fn in_time_chance(&self, now: Seconds, id: &ReplicaId, remaining: Seconds) -> Share {
        let since = now - self.limits.queue_turnover();
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
        let loaded = quantile(recent, 0.5)
            .unwrap_or(0.0)
            .max(replica.oldest_age(now));
        let queuing_delay =
            QUEUE_GROWTH * (loaded - quantile(samples.clone(), 0.5).unwrap_or(0.0)).max(0.0);
        let in_time = samples
            .iter()
            .filter(|sample| **sample + queuing_delay <= remaining)
            .count();
        in_time as f64 / samples.len() as f64
    }
}
