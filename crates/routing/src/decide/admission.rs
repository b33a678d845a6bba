//! Admission of a search on its arrival: whether it is a client's retry, and whether to shed it.

use super::Balancer;
use crate::api::{QueryType, ReplicaId, Search};
use crate::balancer::ArrivalRecord;
use crate::samples::{push, quantile};

/// Latest searches of each query type whose time left is remembered: some seconds of traffic, in which retries
/// scatter.
const REMEMBERED_TIMES_LEFT: usize = 64;
/// Latest searches whose value and tenant are remembered.
const REMEMBERED_ARRIVALS: usize = 64;
/// Two times left are alike within this many seconds: what jitter on the network does to them.
const ALIKE_WITHIN: f64 = 0.01;
/// Latest searches among which a time left has to recur. Two retries of so many that are alike are rare over
/// client timeouts of seconds.
const RECURRENCE_WINDOW: usize = 16;
/// A retry's time left differs from that of first attempts by more than this many seconds: more than clocks and
/// links differ by, less than any client's pause before a retry.
const RETRY_DIFFERENCE: f64 = 0.05;
/// A tenant is over its share beyond this multiple of it.
const OVER_SHARE: f64 = 1.5;
/// A search of average value is admitted with this chance: below it, it costs others more than it is likely to
/// bring.
const ADMISSION_CHANCE: f64 = 0.5;

impl Balancer {
    /// Records a new search, and estimates when its client first asked (docs/design.md, exception 2). First
    /// attempts have the most common time left, or one a quarter as common, or one that is under the latency
    /// target and has recurred recently.
    pub(super) fn arrive(&mut self, search: &mut Search, query_type: &QueryType) {
        let time_left = search.client_deadline - search.arrived;
        let seen = &mut self.times_left[search.query_type.0];
        if search.repeated != Some(true) {
            push(seen, time_left, REMEMBERED_TIMES_LEFT);
        }
        let is_alike = |a: &f64, b: &f64| (b - a).abs() < ALIKE_WITHIN;
        let count_alike = |x: &f64| seen.iter().filter(|y| is_alike(x, y)).count();
        let most_common = seen
            .iter()
            .copied()
            .max_by_key(count_alike)
            .unwrap_or(time_left);
        let recent = seen
            .iter()
            .rev()
            .take(RECURRENCE_WINDOW)
            .filter(|y| is_alike(&time_left, y))
            .count();
        let recurs = (time_left < query_type.latency_target && recent > 1)
            || 4 * count_alike(&time_left) >= count_alike(&most_common);
        let is_retry = search.repeated != Some(false)
            && !recurs
            && (time_left - most_common).abs() > RETRY_DIFFERENCE;
        let age = if is_retry {
            (query_type.client_timeout - time_left).max(0.0)
        } else {
            0.0
        };
        search.first_asked_at = Some(search.arrived - age);
        let arrival = ArrivalRecord {
            value_per_part: query_type.value / search.parts.len().max(1) as f64,
            tenant: search.tenant,
        };
        push(&mut self.arrivals, arrival, REMEMBERED_ARRIVALS);
        self.retries.taken(search.arrived, 1);
    }

    /// Whether a search has too little chance to meet its target at the replicas chosen for its parts
    /// (docs/design.md, exception 4). A smaller chance is enough for a search of more than the average value
    /// per part; a tenant over its share needs a greater one.
    pub(super) fn sheds(
        &mut self,
        now: f64,
        target: f64,
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
        chance < ADMISSION_CHANCE / (value / search.parts.len().max(1) as f64).clamp(0.6, 2.0)
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
        let is_over_share = self
            .settings
            .tenants
            .get(search.tenant.0)
            .is_some_and(|share| own_share > OVER_SHARE * share);
        let multiple = if is_over_share {
            self.settings.over_share_value
        } else {
            1.0
        };
        multiple * query_type.value / mean.max(1e-9)
    }

    /// The chance that a part that is sent now is answered within `time_left` seconds: unloaded samples,
    /// delayed by the replica's queue. Answers show a queue only once it has passed, so that what is in flight
    /// counts by its age.
    fn chance(&self, now: f64, id: &ReplicaId, time_left: f64) -> f64 {
        let since = now - self.limits.memory();
        let Some(replica) = self
            .fleet
            .get(id)
            .filter(|replica| !replica.state.health.all_failed(since))
        else {
            return 0.0;
        };
        let samples = self.unloaded.samples(now, self.with_own_samples(id));
        if samples.is_empty() {
            return 1.0;
        }
        let recent = replica
            .state
            .loaded
            .iter()
            .rev()
            .take(4)
            .filter(|sample| sample.at > since)
            .map(|sample| sample.value)
            .collect();
        let seen = quantile(recent, 0.5)
            .unwrap_or(0.0)
            .max(replica.oldest(now));
        // Half as much again: the queue grows while the answers that show it are on their way.
        let queue = 1.5 * (seen - quantile(samples.clone(), 0.5).unwrap_or(0.0)).max(0.0);
        let in_time = samples
            .iter()
            .filter(|sample| **sample + queue <= time_left)
            .count();
        in_time as f64 / samples.len() as f64
    }
}
