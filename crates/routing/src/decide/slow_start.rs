//! Slow start: limits the rate of parts to a replica that is warming up (docs/design.md, exception 7).

use super::{Balancer, ReplicaState};
use crate::api::{Ending, ReplicaId, Seconds, Share, SlowStartConfig, WarmReplicas};
use crate::fleet::Replica;
use crate::mutations::is_mutated;
use crate::samples::{Sample, mean, push};
use std::cell::Cell;
use std::collections::VecDeque;

/// Fractional part of the golden ratio. Multiples of it are spread evenly over [0, 1), so that in each window the
/// number of co-ordinators with a time slot matches the sum of their shares.
const GOLDEN_FRACTION: f64 = 0.618_033_988_75;
/// Number of recent samples of the fleet's capacity that are stored.
const CAPACITY_SAMPLES: usize = 9;
const CAPACITY_INTERVAL: Seconds = 0.25;

/// Number of answers of a replica that raise its limit of attempts in flight by one.
const ANSWERS_PER_ATTEMPT: usize = 4;
/// Before the first sample, the execution time of a part is assumed to be the shortest latency target divided by this.
const INITIAL_WORK_DIVISOR: f64 = 5.0;
/// A co-ordinator's rate to a warming replica is at least its even share divided by this, before the quota applies.
const MIN_EVEN_SHARE_DIVISOR: f64 = 2.0;

/// Warm-up state of a replica, as far as this co-ordinator knows it.
#[derive(Default)]
pub(crate) struct Warming {
    /// Offset of this co-ordinator's sequence of time slots.
    phase: Share,
    /// Share of the replica that the tier has allocated to this co-ordinator, as a multiple of the even share; `None`
    /// without an allocation.
    pub(crate) quota_share: Option<f64>,
    /// Times of the attempts sent within the overload window, oldest first.
    pub(crate) sends: VecDeque<Seconds>,
    /// Number of times that this co-ordinator's share has prevented sending a part to the replica. Parts prevented by
    /// the limit of attempts in flight are not counted.
    pub(crate) suppressed: Cell<u64>,
    /// Whether a connection to the replica broke since its last answer.
    reset: bool,
    /// Whether the replica has probably restarted, and was sent nothing since.
    restarted: bool,
    /// Time at which a replica that has probably restarted was first sent a part.
    restarted_at: Option<Seconds>,
}

impl Warming {
    /// State of a replica whose process has just been listed. The offset of the time slots differs by replica and
    /// co-ordinator; `random` replaces a missing `coordinator_index`.
    pub(crate) fn new(replica: &ReplicaId, coordinator_index: Option<u64>, random: Share) -> Self {
        let offset = replica
            .0
            .bytes()
            .fold(0, |hash, byte| (hash * 31 + u64::from(byte)) % 997);
        Warming {
            phase: coordinator_index
                .map_or(random, |index| (index + offset) as f64 * GOLDEN_FRACTION),
            ..Warming::default()
        }
    }

    /// Records the end of an attempt. A replica that resets a connection and then refuses a new one has crashed. The
    /// next answer is from a new process, which appears in the endpoint list only seconds later. A partitioned
    /// replica becomes unresponsive instead.
    pub(crate) fn attempt_finished(&mut self, ending: Ending) {
        self.restarted |= self.reset && ending == Ending::Unreachable;
        self.reset = ending == Ending::Broken || (self.reset && ending != Ending::Answered);
    }

    /// Records that a part is sent to the replica.
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

    /// Start time of the replica's process, as far as this co-ordinator knows. `ready_at` is the start time in the
    /// endpoint list.
    fn started_at(&self, now: Seconds, ready_at: Option<Seconds>) -> Option<Seconds> {
        let restarted = if self.restarted {
            Some(now)
        } else {
            self.restarted_at
        };
        ready_at.into_iter().chain(restarted).max_by(f64::total_cmp)
    }

    fn sent_within(&self, now: Seconds, window: Seconds) -> usize {
        self.sends.iter().filter(|at| **at > now - window).count()
    }
}

impl Balancer {
    /// Present capacity of a replica; 0 if it is not open.
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

    /// Samples the fleet's capacity at intervals. The samples cover about the window over which the rate of answers is
    /// measured.
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

    /// Whether another part would exceed this co-ordinator's share of a warming replica, or the limit of attempts in
    /// flight that rises with the replica's answers ([`ANSWERS_PER_ATTEMPT`]). The replica is overloaded if
    /// all co-ordinators together send it more than a multiple of its capacity within an overload window. Fractions
    /// of a part are granted in time slots, each one overload window long. `planned`: number of parts of the present
    /// plan for it.
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
        let slot = (warming.phase + windows * GOLDEN_FRACTION).rem_euclid(1.0);
        let exceeds = rate <= 0.0 || sent as f64 + 1.0 > share + slot;
        let suppressed = warming.suppressed.get() + u64::from(exceeds);
        warming.suppressed.set(suppressed);
        exceeds
    }

    /// Parts per second that this co-ordinator could send to the replica once it is warm. This is the larger of its
    /// average rate of answers from a warm replica and half of its even share of one core at the mean unloaded latency,
    /// adjusted by the share that the tier has allocated.
    fn warming_rate(&self, now: Seconds, warming: &Warming) -> f64 {
        // The mean and not the median: execution times of parts are skewed, and the overload threshold applies to their
        // sum.
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
