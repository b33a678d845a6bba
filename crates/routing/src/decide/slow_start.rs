//! Slow start: the guard of cold replicas (docs/design.md, exception 7).

use super::{Balancer, Known};
use crate::samples::{Sample, mean, push};
use crate::{api::*, fleet::Replica, mutations::is_mutated};
use std::cell::Cell;
use std::collections::VecDeque;

/// Steps of turns over the tier: in any window as many have theirs as their shares add up to.
const GOLDEN: f64 = 0.618_033_988_75;

/// What this co-ordinator knows of one replica's start.
#[derive(Default)]
pub(crate) struct Warming {
    phase: f64,
    pub quota_share: Option<f64>, // so many times its even share, as the tier shares it out
    pub sends: VecDeque<f64>,
    pub suppressed: Cell<u64>, // parts that it would have had but for the guard
    reset: bool,               // its connections were reset since it last answered
    restarted: bool,           // judged a new process that is not listed yet
    restarted_at: Option<f64>,
}

impl Warming {
    /// A process that has just been listed. Turns begin elsewhere for each replica and co-ordinator.
    pub fn new(replica: &ReplicaId, me: Option<u64>, random: f64) -> Self {
        let offset = replica
            .0
            .bytes()
            .fold(0, |hash, b| (hash * 31 + u64::from(b)) % 997);
        Warming {
            phase: me.map_or(random, |me| (me + offset) as f64 * GOLDEN),
            ..Warming::default()
        }
    }

    /// One that resets connections and then refuses a new one has died: what answers next is a cold process,
    /// listed only seconds later. A way that is cut falls silent instead.
    pub fn ended(&mut self, ending: Ending) {
        self.restarted |= self.reset && ending == Ending::Unreachable;
        self.reset = ending == Ending::Broken || (self.reset && ending != Ending::Answered);
    }

    /// A part leaves for the replica.
    pub fn sent(&mut self, now: f64, rule: Option<&SlowStartConfig>) {
        if std::mem::take(&mut self.restarted) {
            (self.restarted_at, self.sends) = (Some(now), VecDeque::new());
        }
        if let Some(rule) = rule {
            self.sends.retain(|t| *t > now - rule.overload_window);
            self.sends.push_back(now);
        }
    }
}

impl Balancer {
    /// What an open replica can do by now, in warm ones.
    pub(super) fn capacity_of(&self, now: f64, r: &Replica<Known>) -> f64 {
        let warmed = |(at, c): (f64, &SlowStartConfig)| {
            (c.initial_capacity + (1.0 - c.initial_capacity) * (now - at) / c.duration).min(1.0)
        };
        if r.open {
            r.ready_at
                .zip(self.set.slow_start.as_ref())
                .map_or(1.0, warmed)
        } else {
            0.0
        }
    }

    /// Looks at the fleet's capacity, for as long as answers count for a replica's share.
    pub(super) fn watch_capacity(&mut self, now: f64) {
        if self.capacity.back().is_none_or(|last| now > last.at + 0.25) {
            let value = self
                .fleet
                .iter()
                .map(|(_, r)| self.capacity_of(now, r))
                .sum();
            push(&mut self.capacity, Sample { at: now, value }, 9);
        }
    }

    /// Whether a replica is too cold for one more part: it falls over if all co-ordinators together send it
    /// over a multiple of what it can do. Each keeps under what a warm one answers it on average, or half its
    /// even share at the mean unloaded latency on one core. Shares under one part go by turns, a window each.
    pub(super) fn exceeds_slow_start(&self, now: f64, r: &Replica<Known>, planned: usize) -> bool {
        let warming = &r.state.warming;
        let restarted = if warming.restarted {
            Some(now)
        } else {
            warming.restarted_at
        };
        let ready = r
            .ready_at
            .into_iter()
            .chain(restarted)
            .max_by(f64::total_cmp);
        let rule = self
            .set
            .slow_start
            .as_ref()
            .filter(|_| !is_mutated("module-cold-cap"));
        let (Some(rule), Some(ready)) = (rule, ready) else {
            return false;
        };
        let warmth = (now - ready) / rule.duration;
        if warmth >= 1.0 || r.in_flight.len() > r.answers / 4 {
            return warmth < 1.0;
        }
        // The mean, not the median: parts' work is skewed, and the rule sums it (the median broke seed 9217).
        let work = mean(&self.unloaded.fleet()).unwrap_or(self.shortest / 5.0);
        let even = 1.0 / work / self.set.coordinators.max(1) as f64;
        let warm_replicas = self.capacity.iter().map(|c| c.value).fold(1.0, f64::max);
        let own = (self.limits.rate(now) / warm_replicas).max(even / 2.0);
        let given = warming
            .quota_share
            .map_or(own, |n| own * n.min(1.0) + even * (n - 1.0).max(0.0));
        let capacity = rule.initial_capacity + (1.0 - rule.initial_capacity) * warmth.max(0.0);
        let share = rule.overload_multiple * capacity * rule.overload_window * given;
        let sent = warming
            .sends
            .iter()
            .filter(|t| **t > now - rule.overload_window)
            .count()
            + planned;
        let turn = (warming.phase + ((now - ready) / rule.overload_window).floor() * GOLDEN)
            .rem_euclid(1.0);
        let closed = given <= 0.0 || sent as f64 + 1.0 > share + turn;
        warming
            .suppressed
            .set(warming.suppressed.get() + u64::from(closed));
        closed
    }
}
