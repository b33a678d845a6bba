//! How long a process that was partitioned from the core takes to have the newest configuration again, while
//! further changes come, on a link that carries a bounded number of bytes. Simulated time.
//!
//! Everything that the core machines answer comes through one link, one answer after the other, even if
//! its request has timed out.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use woadreach_discovery::messages::{CoreStatus, PollRequest, PollResponse, RegistryResponse};
use woadreach_discovery::watcher::{WatchAction, Watcher};

const STEP: Duration = Duration::from_millis(1);
const LATENCY: Duration = Duration::from_millis(1);
/// 1,000 Mbit/s.
const FAST_LINK: u64 = 125_000_000;
/// 30 Mbit/s.
const SLOW_LINK: u64 = 3_750_000;
const SMALL: u64 = 1_000;
const LARGE: u64 = 4 << 20;
const POLL_BYTES: u64 = 200;
const LONGEST: Duration = Duration::from_secs(60);

/// An answer in flight to the process.
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
    gives_up_at: Duration,
}

struct Scene {
    now: Duration,
    watcher: Watcher,
    machines: Vec<SocketAddr>,
    generation: u64,
    change_every: Duration,
    next_change: Duration,
    bytes: u64,
    link_rate: u64,
    link_free: Duration,
    is_partitioned: bool,
    next_number: u64,
    /// Polls that machines hold open until there is an update.
    pending_polls: BTreeMap<SocketAddr, (PollRequest, Duration, u64)>,
    polls: BTreeMap<SocketAddr, Call>,
    fetch: Option<Call>,
    in_flight: Vec<(Duration, Answer)>,
    fetches: u64,
}

impl Scene {
    fn new(bytes: u64, link_rate: u64, change_every: Duration) -> Scene {
        let machines: Vec<SocketAddr> = (1..=3)
            .map(|index| SocketAddr::from(([10, 0, 0, index], 7000)))
            .collect();
        Scene {
            now: Duration::from_secs(1),
            watcher: Watcher::new(
                Duration::from_secs(1),
                "edge-1".to_owned(),
                machines.clone(),
            ),
            machines,
            generation: 1,
            change_every,
            next_change: Duration::from_secs(1),
            bytes,
            link_rate,
            link_free: Duration::ZERO,
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
            self.next_change = self.now + self.change_every;
            self.generation += 1;
        }
        for action in self.watcher.start_due_calls(self.now) {
            self.begin(action);
        }
        self.answer_polls();
        self.deliver();
        self.give_up();
    }

    fn begin(&mut self, action: WatchAction) {
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
                        gives_up_at: self.now + timeout,
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
                    gives_up_at: self.now + timeout,
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
        self.link_free = self.link_free.max(self.now) + time;
        self.in_flight.push((self.link_free + LATENCY, answer));
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

    fn give_up(&mut self) {
        let now = self.now;
        for machine in self.machines.clone() {
            if self
                .polls
                .get(&machine)
                .is_some_and(|call| call.gives_up_at <= now)
            {
                self.polls.remove(&machine);
                self.watcher.poll_failed(now, machine);
            }
        }
        if self
            .fetch
            .as_ref()
            .is_some_and(|call| call.gives_up_at <= now)
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

    /// Runs until the process has `generation`. `None` if that takes too long.
    fn time_to(&mut self, generation: u64) -> Option<Duration> {
        let started_at = self.now;
        while self.watcher.configuration_generation() < generation {
            if self.now - started_at > LONGEST {
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

/// Time from the end of a partition, in which `missed` changes came, to the newest configuration of that
/// moment; and number of fetches.
fn catch_up(
    bytes: u64,
    link_rate: u64,
    change_every: Duration,
    missed: u64,
) -> Option<(Duration, u64)> {
    let mut scene = Scene::new(bytes, link_rate, change_every);
    scene.time_to(3)?;
    scene.partition();
    scene.run_until_generation(scene.generation + missed);
    scene.is_partitioned = false;
    scene.fetches = 0;
    let newest = scene.generation;
    let time = scene.time_to(newest)?;
    println!(
        "bytes {bytes} link {link_rate} missed {missed}: {time:?}, {} fetches",
        scene.fetches
    );
    Some((time, scene.fetches))
}

#[test]
fn small_changes_missed() {
    for missed in [1, 10, 100, 1000] {
        let (time, fetches) =
            catch_up(SMALL, FAST_LINK, Duration::from_millis(50), missed).expect("an end");
        assert!(
            time <= Duration::from_millis(2600) && fetches <= 4,
            "{time:?}, {fetches} fetches"
        );
    }
}

#[test]
fn large_changes_missed() {
    for missed in [1, 10, 100] {
        let (time, fetches) =
            catch_up(LARGE, FAST_LINK, Duration::from_millis(200), missed).expect("an end");
        assert!(
            time <= Duration::from_millis(2600) && fetches <= 4,
            "{time:?}, {fetches} fetches"
        );
    }
}

/// A configuration takes longer than the first fetch waits, and is overtaken by the next change.
#[test]
fn large_changes_missed_on_a_slow_link() {
    for missed in [1, 10, 100] {
        let (time, fetches) =
            catch_up(LARGE, SLOW_LINK, Duration::from_millis(200), missed).expect("an end");
        assert!(
            time <= Duration::from_secs(10) && fetches <= 8,
            "{time:?}, {fetches} fetches"
        );
    }
}

/// The longest time-out of a fetch is three seconds: 4 MB on 11 Mbit/s.
#[test]
fn a_link_that_is_too_slow_is_found() {
    assert_eq!(
        catch_up(LARGE, 1_000_000, Duration::from_millis(200), 1),
        None
    );
}
