//! An edge process with a CPU quota, which is throttled at the end of every 100 ms period. It observes responses only
//! after the stall, so that they seem late; healthy replicas must not be ejected for that.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use common::{Driver, call, replicas, service};
use woadreach_scheduler::Outcome;
use woadreach_sim_support::CpuQuota;

const REPLICAS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];
const CALLS_PER_SECOND: f64 = 60.0;
const SECONDS: f64 = 20.0;
/// Seconds of an interval, in each of which a replica that is not ejected receives calls.
const INTERVAL: f64 = 3.0;

/// An event at the edge process.
#[derive(Clone, Copy, Debug)]
enum Event {
    Arrival(u64),
    Answer(u64, u32),
}

/// The edge process, and its future events by time in nanoseconds and then in the order of scheduling.
struct Edge {
    driver: Driver,
    quota: Option<CpuQuota>,
    events: BTreeMap<(u128, u64), Event>,
    scheduled: u64,
    random: oorandom::Rand32,
    /// Number of first attempts by interval and replica.
    sends: BTreeMap<(u64, String), usize>,
    hedges: usize,
}

impl Edge {
    fn new(seed: u64, quota: Option<CpuQuota>) -> Edge {
        Edge {
            driver: Driver::new(seed, service(), &replicas(&REPLICAS)),
            quota,
            events: BTreeMap::new(),
            scheduled: 0,
            random: oorandom::Rand32::new(seed),
            sends: BTreeMap::new(),
            hedges: 0,
        }
    }

    fn schedule(&mut self, at: f64, event: Event) {
        self.scheduled += 1;
        let nanoseconds = Duration::from_secs_f64(at).as_nanos();
        self.events.insert((nanoseconds, self.scheduled), event);
    }

    /// Time at which the edge process observes an event that occurs at `at`.
    fn observed_at(&self, at: f64) -> f64 {
        let now = Duration::from_secs_f64(at);
        let until = self
            .quota
            .as_ref()
            .and_then(|quota| quota.stalled_until(0, now));
        until.map_or(at, |until| until.as_secs_f64())
    }

    /// Schedules the answers to new attempts, after 15 to 30 ms.
    fn schedule_answers(&mut self, known: &mut BTreeMap<(u64, u32), ()>) {
        for (id, attempt) in self.driver.attempts_in_flight() {
            if known.insert((id, attempt), ()).is_some() {
                continue;
            }
            self.hedges += usize::from(attempt > 0);
            let latency = 0.015 + 0.015 * f64::from(self.random.rand_float());
            let at = self.observed_at(self.driver.now + latency);
            self.schedule(at, Event::Answer(id, attempt));
        }
    }

    fn run(mut self) -> Edge {
        let start = self.driver.now;
        let mut known = BTreeMap::new();
        for id in 0..(CALLS_PER_SECOND * SECONDS) as u64 {
            let at = start + id as f64 / CALLS_PER_SECOND;
            let at = self.observed_at(at);
            self.schedule(at, Event::Arrival(id + 1));
        }
        while let Some(((nanoseconds, _), event)) = self.events.pop_first() {
            let at = Duration::from_nanos(nanoseconds as u64).as_secs_f64();
            self.advance_to(at);
            match event {
                Event::Arrival(id) => {
                    self.driver.submit(call(self.driver.now, id));
                    if let Some(replica) = self.driver.sent_to(id).first() {
                        let interval = ((self.driver.now - start) / INTERVAL) as u64;
                        *self.sends.entry((interval, replica.clone())).or_default() += 1;
                    }
                }
                Event::Answer(id, attempt) => {
                    self.driver.attempt_ended(id, attempt, Outcome::Answered);
                }
            }
            self.schedule_answers(&mut known);
        }
        self
    }

    /// Advances the scheduler's clock. Timers that become due during a stall fire at its end.
    fn advance_to(&mut self, at: f64) {
        let wake = self.driver.scheduler.next_wake(self.driver.now);
        if let Some(wake) = wake.filter(|wake| *wake <= at) {
            let runs_at = self.observed_at(wake.max(self.driver.now));
            if runs_at <= at {
                self.driver.now = runs_at;
                self.driver.run_due();
                return self.advance_to(at);
            }
        }
        self.driver.now = self.driver.now.max(at);
    }

    /// Pairs of interval and replica without any first attempt.
    fn intervals_without_calls(&self) -> Vec<(u64, &str)> {
        let intervals = (SECONDS / INTERVAL) as u64;
        let all = (0..intervals).flat_map(|interval| REPLICAS.map(|replica| (interval, replica)));
        all.filter(|(interval, replica)| {
            !self
                .sends
                .contains_key(&(*interval, (*replica).to_string()))
        })
        .collect()
    }
}

#[test]
fn stalls_of_the_edge_process_eject_no_replica() {
    for seed in 0..6 {
        let period = Duration::from_millis(100);
        let stall = Duration::from_millis(30)..=Duration::from_millis(95);
        let edge = Edge::new(seed, Some(CpuQuota::new(seed, period, stall))).run();
        assert_eq!(edge.intervals_without_calls(), [], "seed {seed}");
        println!("seed {seed}: {} hedges", edge.hedges);
    }
}

#[test]
fn no_replica_is_ejected_without_stalls() {
    let edge = Edge::new(1, None).run();
    assert_eq!(edge.intervals_without_calls(), []);
}
