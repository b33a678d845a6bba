//! An overloaded service with two routes of different priority. The route of the higher priority must not be served
//! less often than the other.

mod common;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use common::{Driver, End, call, replicas, service};
use woadreach_scheduler::{Action, Call, CallId, Outcome, ServerLoad};

const SECONDS: f64 = 8.0;
/// Seconds before which arrivals are not counted, since the scheduler has not observed the load yet.
const WARM_UP: f64 = 2.0;
/// Seconds for which a call occupies a slot of its replica.
const SERVICE_TIME: f64 = 0.1;
const REPLICAS: [&str; 4] = ["a", "b", "c", "d"];
const SLOTS: usize = 6;
/// Number of calls that a replica queues beyond its slots.
const QUEUE_CAPACITY: usize = 6;
/// Seconds after which clients cancel their calls.
const CLIENT_TIMEOUT: f64 = 1.2;

#[derive(Clone, Copy, Debug)]
enum Event {
    Arrival(u64),
    Finished {
        replica: usize,
        call: u64,
        attempt: u32,
    },
    Cancelled(u64),
}

#[derive(Default)]
struct SimulatedReplica {
    running: usize,
    waiting: VecDeque<(u64, u32)>,
}

impl SimulatedReplica {
    fn load(&self) -> Option<ServerLoad> {
        Some(ServerLoad {
            running: self.running as u32,
            waiting: self.waiting.len() as u32,
            slots: SLOTS as u32,
        })
    }
}

/// Whether a call belongs to the route of the higher priority.
fn is_urgent(id: u64) -> bool {
    id.is_multiple_of(2)
}

/// One edge process, four replicas, and clients whose calls alternate between the two routes.
struct OverloadSimulation {
    driver: Driver,
    replicas: [SimulatedReplica; 4],
    events: BTreeMap<(u128, u64), Event>,
    scheduled: u64,
}

impl OverloadSimulation {
    fn new(seed: u64) -> OverloadSimulation {
        OverloadSimulation {
            driver: Driver::new(seed, service(), &replicas(&REPLICAS)),
            replicas: Default::default(),
            events: BTreeMap::new(),
            scheduled: 0,
        }
    }

    fn schedule(&mut self, at: f64, event: Event) {
        self.scheduled += 1;
        let nanoseconds = Duration::from_secs_f64(at).as_nanos();
        self.events.insert((nanoseconds, self.scheduled), event);
    }

    fn execute(&mut self, actions: Vec<Action>) {
        for action in actions {
            if let Action::Send {
                call: CallId(call),
                attempt,
                replica,
                ..
            } = action
            {
                let index = REPLICAS.iter().position(|name| *name == &*replica);
                self.receive(index.expect("a known replica"), call, attempt);
            }
        }
    }

    fn receive(&mut self, replica: usize, call: u64, attempt: u32) {
        let at = &mut self.replicas[replica];
        if at.running < SLOTS {
            at.running += 1;
            let finished = Event::Finished {
                replica,
                call,
                attempt,
            };
            self.schedule(self.driver.now + SERVICE_TIME, finished);
        } else if at.waiting.len() < QUEUE_CAPACITY {
            at.waiting.push_back((call, attempt));
        } else {
            let load = at.load();
            let outcome = Outcome::NotExecuted { retry_after: None };
            let actions = self
                .driver
                .attempt_ended_with_load(call, attempt, outcome, load);
            self.execute(actions);
        }
    }

    fn finish(&mut self, replica: usize, call: u64, attempt: u32) {
        let at = &mut self.replicas[replica];
        at.running -= 1;
        let load = at.load();
        if let Some((next, next_attempt)) = at.waiting.pop_front() {
            self.receive(replica, next, next_attempt);
        }
        let actions = self
            .driver
            .attempt_ended_with_load(call, attempt, Outcome::Answered, load);
        self.execute(actions);
    }

    /// Runs with `rate` calls a second. Returns the answered shares of the calls of the urgent route and of the other.
    fn served_shares(mut self, rate: f64) -> (f64, f64) {
        let start = self.driver.now;
        let count = (rate * SECONDS) as u64;
        for id in 1..=count {
            self.schedule(start + id as f64 / rate, Event::Arrival(id));
        }
        while let Some(((nanoseconds, _), event)) = self.events.pop_first() {
            let at = Duration::from_nanos(nanoseconds as u64).as_secs_f64();
            let woken = self.driver.advance((at - self.driver.now).max(0.0));
            self.execute(woken);
            match event {
                Event::Arrival(id) => {
                    let now = self.driver.now;
                    self.schedule(now + CLIENT_TIMEOUT, Event::Cancelled(id));
                    let actions = self.driver.submit(Call {
                        route: Arc::from(if is_urgent(id) { "urgent" } else { "other" }),
                        priority: u8::from(!is_urgent(id)),
                        deadline: now + CLIENT_TIMEOUT,
                        ..call(now, id)
                    });
                    self.execute(actions);
                }
                Event::Finished {
                    replica,
                    call,
                    attempt,
                } => self.finish(replica, call, attempt),
                Event::Cancelled(id) => {
                    let actions = self.driver.call_ended(id);
                    self.execute(actions);
                }
            }
        }
        let first = (rate * WARM_UP) as u64;
        let share = |urgent: bool| {
            let ids: Vec<u64> = (first..=count)
                .filter(|id| is_urgent(*id) == urgent)
                .collect();
            let served = ids
                .iter()
                .filter(|id| self.driver.end(**id) == Some(End::Answered));
            served.count() as f64 / ids.len() as f64
        };
        (share(true), share(false))
    }
}

/// Throughput of all replicas together, in calls a second.
const CAPACITY: f64 = REPLICAS.len() as f64 * SLOTS as f64 / SERVICE_TIME;

#[test]
fn an_urgent_route_is_served_at_least_as_often_under_overload() {
    for seed in 0..2 {
        for load in [1.2, 1.6, 2.4] {
            let (urgent, other) = OverloadSimulation::new(seed).served_shares(CAPACITY * load);
            println!(
                "seed {seed}, load {load}: {urgent:.3} of the urgent, {other:.3} of the other"
            );
            assert!(
                urgent >= other - 0.05,
                "seed {seed}, load {load}: {urgent} of the urgent, {other} of the other"
            );
        }
    }
}

#[test]
fn both_routes_are_served_below_capacity() {
    let (urgent, other) = OverloadSimulation::new(1).served_shares(CAPACITY * 0.8);
    assert!(urgent > 0.99 && other > 0.99, "{urgent}, {other}");
}
