//! Time that a process needs to fetch the newest configuration after a partition from the core, while the configuration
//! continues to change and the rate of the link is limited. Simulated time.
//!
//! All answers of the core machines are sent through one link, one after the other. An answer uses the link even if its
//! request has timed out.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use woadreach_discovery::messages::{CoreStatus, PollRequest, PollResponse, RegistryResponse};
use woadreach_discovery::watcher::{WatchAction, Watcher};

const STEP: Duration = Duration::from_millis(1);
const LATENCY: Duration = Duration::from_millis(1);
/// 1,000 Mbit/s, in bytes per second.
const FAST_LINK_RATE: u64 = 125_000_000;
/// 30 Mbit/s, in bytes per second.
const SLOW_LINK_RATE: u64 = 3_750_000;
const SMALL_CONFIGURATION_BYTES: u64 = 1_000;
const LARGE_CONFIGURATION_BYTES: u64 = 4 << 20;
const POLL_BYTES: u64 = 200;
const MAX_CATCH_UP_TIME: Duration = Duration::from_secs(60);

/// Answer in flight to the process.
enum Answer {
    Poll {
        machine: SocketAddr,
        generation: u64,
        number: u64,
    },
    Configuration {
        generation: u64,
        number: u64,
    },
}

struct Call {
    number: u64,
    times_out_at: Duration,
}

struct Simulation {
    now: Duration,
    watcher: Watcher,
    machines: Vec<SocketAddr>,
    generation: u64,
    change_interval: Duration,
    next_change: Duration,
    bytes: u64,
    link_rate: u64,
    link_free_at: Duration,
    is_partitioned: bool,
    next_number: u64,
    /// Unanswered polls by machine, each with its request, time of receipt and call number.
    pending_polls: BTreeMap<SocketAddr, (PollRequest, Duration, u64)>,
    polls: BTreeMap<SocketAddr, Call>,
    fetch: Option<Call>,
    in_flight: Vec<(Duration, Answer)>,
    fetches: u64,
}

impl Simulation {
    fn new(bytes: u64, link_rate: u64, change_interval: Duration) -> Simulation {
        let machines: Vec<SocketAddr> = (1..=3)
            .map(|index| SocketAddr::from(([10, 0, 0, index], 7000)))
            .collect();
        Simulation {
            now: Duration::from_secs(1),
            watcher: Watcher::new(
                Duration::from_secs(1),
                "edge-1".to_owned(),
                machines.clone(),
            ),
            machines,
            generation: 1,
            change_interval,
            next_change: Duration::from_secs(1),
            bytes,
            link_rate,
            link_free_at: Duration::ZERO,
            is_partitioned: false,
            next_number: 0,
            pending_polls: BTreeMap::new(),
            polls: BTreeMap::new(),
            fetch: None,
            in_flight: Vec::new(),
            fetches: 0,
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        if self.now >= self.next_change {
            self.next_change = self.now + self.change_interval;
            self.generation += 1;
        }
        for action in self.watcher.start_due_calls(self.now) {
            self.start_call(action);
        }
        self.answer_polls();
        self.deliver();
        self.time_out_calls();
    }

    fn start_call(&mut self, action: WatchAction) {
        self.next_number += 1;
        let number = self.next_number;
        match action {
            WatchAction::Poll {
                machine,
                request,
                timeout,
            } => {
                self.polls.insert(
                    machine,
                    Call {
                        number,
                        times_out_at: self.now + timeout,
                    },
                );
                if !self.is_partitioned {
                    self.pending_polls
                        .insert(machine, (request, self.now, number));
                }
            }
            WatchAction::FetchConfiguration { timeout, .. } => {
                self.fetches += 1;
                self.fetch = Some(Call {
                    number,
                    times_out_at: self.now + timeout,
                });
                if !self.is_partitioned {
                    let generation = self.generation;
                    self.send(self.bytes, Answer::Configuration { generation, number });
                }
            }
        }
    }

    fn send(&mut self, bytes: u64, answer: Answer) {
        let time = Duration::from_nanos(bytes * 1_000_000_000 / self.link_rate);
        self.link_free_at = self.link_free_at.max(self.now) + time;
        self.in_flight.push((self.link_free_at + LATENCY, answer));
    }

    fn answer_polls(&mut self) {
        for machine in self.machines.clone() {
            let Some((request, since, number)) = self.pending_polls.get(&machine).cloned() else {
                continue;
            };
            let has_updates = self.generation > request.configuration_generation;
            if has_updates || self.now >= since + Duration::from_millis(u64::from(request.wait_ms))
            {
                self.pending_polls.remove(&machine);
                let generation = self.generation;
                self.send(
                    POLL_BYTES,
                    Answer::Poll {
                        machine,
                        generation,
                        number,
                    },
                );
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.in_flight = later;
        let due: Vec<(Duration, Answer)> = due;
        for (_, answer) in due {
            match answer {
                Answer::Poll {
                    machine,
                    generation,
                    number,
                } => self.poll_answered(machine, generation, number),
                Answer::Configuration { generation, number } => {
                    if self
                        .fetch
                        .as_ref()
                        .is_some_and(|call| call.number == number)
                    {
                        self.fetch = None;
                        self.watcher.configuration_fetched(now, Some(generation));
                    }
                }
            }
        }
    }

    fn poll_answered(&mut self, machine: SocketAddr, generation: u64, number: u64) {
        if self
            .polls
            .get(&machine)
            .is_none_or(|call| call.number != number)
        {
            return;
        }
        self.polls.remove(&machine);
        let registry = RegistryResponse {
            version: Default::default(),
            warming: false,
            reset: false,
            has_more: false,
            statuses: Vec::new(),
        };
        let response = PollResponse {
            core_status: CoreStatus {
                in_quorum: true,
                warming: false,
            },
            configuration_generation: generation,
            view: None,
            storage_view: None,
            registry,
        };
        self.watcher.poll_answered(self.now, machine, response);
    }

    fn time_out_calls(&mut self) {
        let now = self.now;
        for machine in self.machines.clone() {
            if self
                .polls
                .get(&machine)
                .is_some_and(|call| call.times_out_at <= now)
            {
                self.polls.remove(&machine);
                self.watcher.poll_failed(now, machine);
            }
        }
        if self
            .fetch
            .as_ref()
            .is_some_and(|call| call.times_out_at <= now)
        {
            self.fetch = None;
            self.watcher.configuration_fetched(now, None);
        }
    }

    fn partition(&mut self) {
        self.is_partitioned = true;
        self.pending_polls.clear();
        self.in_flight.clear();
    }

    /// Runs until the process has `generation` and returns the elapsed time. `None` after [`MAX_CATCH_UP_TIME`].
    fn time_until(&mut self, generation: u64) -> Option<Duration> {
        let started_at = self.now;
        while self.watcher.configuration_generation() < generation {
            if self.now - started_at > MAX_CATCH_UP_TIME {
                return None;
            }
            self.step();
        }
        Some(self.now - started_at)
    }

    fn run_until_generation(&mut self, generation: u64) {
        while self.generation < generation {
            self.step();
        }
    }
}

/// Runs a partition during which the configuration changes `missed` times. Returns the time from the end of the
/// partition until the process has the configuration that was the newest at that end, and the number of fetches.
fn catch_up(
    bytes: u64,
    link_rate: u64,
    change_interval: Duration,
    missed: u64,
) -> Option<(Duration, u64)> {
    let mut simulation = Simulation::new(bytes, link_rate, change_interval);
    simulation.time_until(3)?;
    simulation.partition();
    simulation.run_until_generation(simulation.generation + missed);
    simulation.is_partitioned = false;
    simulation.fetches = 0;
    let newest = simulation.generation;
    let time = simulation.time_until(newest)?;
    println!(
        "bytes {bytes} link {link_rate} missed {missed}: {time:?}, {} fetches",
        simulation.fetches
    );
    Some((time, simulation.fetches))
}

/// Panics unless a process catches up within the time and fetches of `bound`, whatever number of configurations it has
/// missed.
fn assert_caught_up(
    missed: &[u64],
    bytes: u64,
    link_rate: u64,
    change_interval: Duration,
    bound: (Duration, u64),
) {
    for missed in missed {
        let (time, fetches) =
            catch_up(bytes, link_rate, change_interval, *missed).expect("the process catches up");
        assert!(
            time <= bound.0 && fetches <= bound.1,
            "{time:?}, {fetches} fetches"
        );
    }
}

#[test]
fn missed_small_configurations_are_caught_up() {
    assert_caught_up(
        &[1, 10, 100, 1000],
        SMALL_CONFIGURATION_BYTES,
        FAST_LINK_RATE,
        Duration::from_millis(50),
        (Duration::from_millis(2600), 4),
    );
}

#[test]
fn missed_large_configurations_are_caught_up() {
    assert_caught_up(
        &[1, 10, 100],
        LARGE_CONFIGURATION_BYTES,
        FAST_LINK_RATE,
        Duration::from_millis(200),
        (Duration::from_millis(2600), 4),
    );
}

/// A configuration takes longer to transfer than the first time-out of a fetch, and the next change is committed before
/// the transfer ends.
#[test]
fn missed_large_configurations_are_caught_up_on_a_slow_link() {
    assert_caught_up(
        &[1, 10, 100],
        LARGE_CONFIGURATION_BYTES,
        SLOW_LINK_RATE,
        Duration::from_millis(200),
        (Duration::from_secs(10), 8),
    );
}

/// The longest time-out of a fetch is three seconds, in which a link of 11 Mbit/s transfers 4 MB.
#[test]
fn a_link_too_slow_for_the_longest_time_out_never_catches_up() {
    assert_eq!(
        catch_up(
            LARGE_CONFIGURATION_BYTES,
            1_000_000,
            Duration::from_millis(200),
            1
        ),
        None
    );
}
