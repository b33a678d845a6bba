//! What is known of a search on its arrival: whether it is a retry, and whether it is worth taking.

use super::Balancer;
use crate::api::*;
use crate::samples::{push, quantile};

impl Balancer {
    /// Notes a new search, and when its client first asked (docs/design.md, exception 2). First tries have
    /// the most common time left, or one a quarter as common, or under the target and seen again of late.
    pub(super) fn arrive(&mut self, search: &mut Search, t: &QueryType) {
        let left = search.client_deadline - search.arrived;
        let seen = &mut self.times_left[search.query_type.0];
        if search.repeated != Some(true) {
            push(seen, left, 64); // some seconds of traffic, in which retries scatter
        }
        // 10 ms: what jitter on the way does to a time left.
        let alike = |x: &f64| seen.iter().filter(|y| (*y - x).abs() < 0.01).count();
        let first = seen.iter().copied().max_by_key(alike).unwrap_or(left);
        // 16: two retries of so many that lie within 10 ms are rare over client timeouts of seconds.
        let lately = seen
            .iter()
            .rev()
            .take(16)
            .filter(|y| (*y - left).abs() < 0.01)
            .count();
        let recurs = (left < t.latency_target && lately > 1) || 4 * alike(&left) >= alike(&first);
        // 50 ms: more than clocks and links differ by, less than any client's pause before a retry.
        let retry = search.repeated != Some(false) && !recurs && (left - first).abs() > 0.05;
        search.first_asked_at = Some(
            search.arrived
                - if retry {
                    (t.client_timeout - left).max(0.0)
                } else {
                    0.0
                },
        );
        push(
            &mut self.arrivals,
            (t.value / search.parts.len().max(1) as f64, search.tenant),
            64,
        );
        self.retries.taken(search.arrived, 1);
    }

    /// Whether its replicas give a search too little chance to make its target (docs/design.md, exception 4):
    /// less is enough for one worth more than the average a part, more is asked of a tenant over its share.
    pub(super) fn sheds(&mut self, now: f64, target: f64, q: &Search, at: &[ReplicaId]) -> bool {
        let t = &self.set.query_types[q.query_type.0];
        let tries = if self.limits.overloaded || !self.retries.has_room(now) {
            1
        } else {
            2
        };
        let chance = |id| 1.0 - (1.0 - self.chance(now, id, target - now)).powi(tries);
        let mut chances: Vec<f64> = at.iter().map(chance).collect();
        chances.sort_by(|a, b| b.total_cmp(a));
        let needed = (t.minimum_weight * chances.len() as f64).ceil() as usize;
        let chance: f64 = chances.iter().take(needed).product();
        let n = self.arrivals.len() as f64;
        let mean = self.arrivals.iter().map(|a| a.0).sum::<f64>() / n;
        let own = self.arrivals.iter().filter(|a| a.1 == q.tenant).count() as f64 / n;
        let is_over_share = self
            .set
            .tenants
            .get(q.tenant.0)
            .is_some_and(|share| own > 1.5 * share);
        let value = if is_over_share {
            self.set.over_share_value
        } else {
            1.0
        } * t.value
            / mean.max(1e-9);
        // Half: below it a search of average worth costs others more than it is likely to bring.
        chance < 0.5 / (value / q.parts.len().max(1) as f64).clamp(0.6, 2.0)
    }

    /// The chance that a part sent now is answered within `left`: unloaded samples put off by the queue.
    /// Answers tell of a queue only once it has passed, so what is in flight counts by its age.
    fn chance(&self, now: f64, id: &ReplicaId, left: f64) -> f64 {
        let since = now - self.limits.memory();
        let Some(r) = self
            .fleet
            .get(id)
            .filter(|r| !r.state.health.all_failed(since))
        else {
            return 0.0;
        };
        let samples = self.unloaded.samples(now, self.judged(id));
        if samples.is_empty() {
            return 1.0;
        }
        let fresh = r
            .state
            .loaded
            .iter()
            .rev()
            .take(4)
            .filter(|s| s.at > since)
            .map(|s| s.value)
            .collect();
        let seen = quantile(fresh, 0.5).unwrap_or(0.0).max(r.oldest(now));
        // Half as much again: the queue grows while the answers that tell of it are on their way.
        let queue = 1.5 * (seen - quantile(samples.clone(), 0.5).unwrap_or(0.0)).max(0.0);
        samples.iter().filter(|x| **x + queue <= left).count() as f64 / samples.len() as f64
    }
}
