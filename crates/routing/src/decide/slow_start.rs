//! Slow start: limits what is sent to a replica that is warming up (docs/design.md, exception 7).

use super::{Balancer, ReplicaState};
use crate::api::{Ending, ReplicaId, Seconds, Share, SlowStartConfig, WarmReplicas};
use crate::fleet::Replica;
use crate::mutations::is_mutated;
use crate::samples::{Sample, mean, push};
use std::cell::Cell;
use std::collections::VecDeque;

/// The golden ratio's fraction. Steps of it spread the co-ordinators' turns evenly: in any window as many have
/// theirs as their shares add up to.
const GOLDEN: f64 = 0.618_033_988_75;
/// Number of samples of the fleet's capacity that are kept, the latest.
const CAPACITY_SAMPLES: usize = 9;
/// Interval between two samples of the fleet's capacity.
const CAPACITY_INTERVAL: Seconds = 0.25;

/// Answers of a replica after which it may have one more attempt in flight.
const ANSWERS_PER_ATTEMPT: usize = 4;
/// Before any sample, the work of a part is taken for the shortest latency target divided by this.
const INITIAL_WORK_DIVISOR: f64 = 5.0;
/// A co-ordinator without quota has at least its even share of a warming replica divided by this.
const MIN_EVEN_SHARE_DIVISOR: f64 = 2.0;

/// What this co-ordinator knows of a replica's start.
#[derive(Default)]
pub(crate) struct Warming {
    /// Where this co-ordinator's turns begin.
    phase: Share,
    /// What the tier has allocated to this co-ordinator, in even shares.
    pub(crate) quota_share: Option<f64>,
    /// Times of the attempts sent within the overload window.
    pub(crate) sends: VecDeque<Seconds>,
    /// Number of parts that slow start has kept from the replica.
    pub(crate) suppressed: Cell<u64>,
    /// Whether its connections were reset since it last answered.
    reset: bool,
    /// Whether it is taken for a new process that isn't listed yet.
    restarted: bool,
    /// When such a process was first sent a part.
    restarted_at: Option<Seconds>,
}

impl Warming {
    /// A process that has just been listed. The turns of different replicas and co-ordinators begin apart.
    pub(crate) fn new(replica: &ReplicaId, coordinator_index: Option<u64>, random: Share) -> Self {
        let offset = replica
            .0
            .bytes()
            .fold(0, |hash, byte| (hash * 31 + u64::from(byte)) % 997);
        Warming {
            phase: coordinator_index.map_or(random, |index| (index + offset) as f64 * GOLDEN),
            ..Warming::default()
        }
    }

    /// Records how an attempt ended. A replica that resets connections and then refuses a new one has died:
    /// what answers next is a new process, which is listed only seconds later. A replica that can't be reached
    /// becomes unresponsive instead.
    pub(crate) fn attempt_finished(&mut self, ending: Ending) {
        self.restarted |= self.reset && ending == Ending::Unreachable;
        self.reset = ending == Ending::Broken || (self.reset && ending != Ending::Answered);
    }

    /// Records that a part leaves for the replica.
    pub(crate) fn attempt_sent(&mut self, now: Seconds, config: Option<&SlowStartConfig>) {
        if std::mem::take(&mut self.restarted) {
            self.restarted_at = Some(now);
            self.sends.clear();
        }
        if let Some(config) = config {
            self.sends.retain(|at| *at > now - config.overload_window);
            self.sends.push_back(now);
        }
    }

    /// When its process started, as far as this co-ordinator knows; `ready_at` is what the list says.
    fn started_at(&self, now: Seconds, ready_at: Option<Seconds>) -> Option<Seconds> {
        let restarted = if self.restarted {
            Some(now)
        } else {
            self.restarted_at
        };
        ready_at.into_iter().chain(restarted).max_by(f64::total_cmp)
    }

    /// Number of attempts sent within the last `window`.
    fn sent_within(&self, now: Seconds, window: Seconds) -> usize {
        self.sends.iter().filter(|at| **at > now - window).count()
    }
}

impl Balancer {
    /// The present capacity of an open replica; 0 for one that isn't open.
    pub(super) fn capacity_of(
        &self,
        now: Seconds,
        replica: &Replica<ReplicaState>,
    ) -> WarmReplicas {
        if !replica.open {
            return 0.0;
        }
        let Some((started_at, config)) = replica.ready_at.zip(self.settings.slow_start.as_ref())
        else {
            return 1.0;
        };
        let initial = config.initial_capacity;
        (initial + (1.0 - initial) * (now - started_at) / config.duration).min(1.0)
    }

    /// Samples the fleet's capacity, for as long as answers count for a replica's share.
    pub(super) fn sample_capacity(&mut self, now: Seconds) {
        if self
            .capacity
            .back()
            .is_none_or(|last| now > last.at + CAPACITY_INTERVAL)
        {
            let value = self
                .fleet
                .iter()
                .map(|(_, replica)| self.capacity_of(now, replica))
                .sum();
            push(
                &mut self.capacity,
                Sample { at: now, value },
                CAPACITY_SAMPLES,
            );
        }
    }

    /// Whether one more part would exceed this co-ordinator's share of a warming replica. The replica is
    /// overloaded if all co-ordinators together send it more than a multiple of its capacity. A share of less
    /// than one part goes by turns, one overload window each.
    pub(super) fn exceeds_slow_start(
        &self,
        now: Seconds,
        replica: &Replica<ReplicaState>,
        planned: usize,
    ) -> bool {
        let warming = &replica.state.warming;
        let config = self
            .settings
            .slow_start
            .as_ref()
            .filter(|_| !is_mutated("routing-cold-cap"));
        let (Some(config), Some(started_at)) = (config, warming.started_at(now, replica.ready_at))
        else {
            return false;
        };
        let warmth = (now - started_at) / config.duration;
        if warmth >= 1.0 || replica.in_flight.len() > replica.answers / ANSWERS_PER_ATTEMPT {
            return warmth < 1.0;
        }
        let initial = config.initial_capacity;
        let capacity = initial + (1.0 - initial) * warmth.max(0.0);
        let rate = self.warming_rate(now, warming);
        let share = config.overload_multiple * capacity * config.overload_window * rate;
        let sent = warming.sent_within(now, config.overload_window) + planned;
        let windows = ((now - started_at) / config.overload_window).floor();
        let turn = (warming.phase + windows * GOLDEN).rem_euclid(1.0);
        let is_closed = rate <= 0.0 || sent as f64 + 1.0 > share + turn;
        let suppressed = warming.suppressed.get() + u64::from(is_closed);
        warming.suppressed.set(suppressed);
        is_closed
    }

    /// Parts per second that this co-ordinator may send to a replica that is warm: what a warm one answers it on
    /// average, or half of its even share at the mean unloaded latency on one core; adjusted by the share that
    /// the tier has allocated.
    fn warming_rate(&self, now: Seconds, warming: &Warming) -> f64 {
        // The mean, not the median: the work of parts is skewed, and the overload threshold sums it.
        let work =
            mean(&self.unloaded.fleet()).unwrap_or(self.shortest_target / INITIAL_WORK_DIVISOR);
        let even = 1.0 / work / self.settings.coordinators.max(1) as f64;
        let warm_replicas = self
            .capacity
            .iter()
            .map(|sample| sample.value)
            .fold(1.0, f64::max);
        let own = (self.limits.answers_per_second(now) / warm_replicas)
            .max(even / MIN_EVEN_SHARE_DIVISOR);
        warming.quota_share.map_or(own, |even_shares| {
            own * even_shares.min(1.0) + even * (even_shares - 1.0).max(0.0)
        })
    }
}
