//! How often a process fetches a configuration that it cannot parse, and how soon it fetches a newer one.

use std::net::SocketAddr;
use std::time::Duration;

use woadreach_discovery::messages::{CoreStatus, PollResponse, RegistryResponse};
use woadreach_discovery::watcher::{WatchAction, Watcher};

const STEP: Duration = Duration::from_millis(1);
const CORE_STATUS: CoreStatus = CoreStatus {
    in_quorum: true,
    warming: false,
};

/// Process whose polls are answered at once, and whose fetches all return a configuration that cannot be parsed.
struct Simulation {
    now: Duration,
    watcher: Watcher,
    generation: u64,
    fetched_at: Vec<Duration>,
}

impl Simulation {
    fn new() -> Simulation {
        let machines: Vec<SocketAddr> = (1..=3)
            .map(|host| SocketAddr::from(([10, 0, 0, host], 7000)))
            .collect();
        let now = Duration::from_secs(1);
        Simulation {
            now,
            watcher: Watcher::new(now, "edge-1".to_owned(), machines),
            generation: 1,
            fetched_at: Vec::new(),
        }
    }

    fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            for action in self.watcher.start_due_calls(self.now) {
                match action {
                    WatchAction::Poll { machine, .. } => self.answer_poll(machine),
                    WatchAction::FetchConfiguration { .. } => {
                        self.fetched_at.push(self.now);
                        self.watcher.configuration_fetched(self.now, None);
                    }
                }
            }
            self.now += STEP;
        }
    }

    fn answer_poll(&mut self, machine: SocketAddr) {
        let response = PollResponse {
            core_status: CORE_STATUS,
            configuration_generation: self.generation,
            view: None,
            storage_view: None,
            registry: RegistryResponse {
                version: Default::default(),
                warming: false,
                reset: false,
                has_more: false,
                statuses: Vec::new(),
            },
        };
        self.watcher.poll_answered(self.now, machine, response);
    }
}

#[test]
fn a_configuration_that_cannot_be_parsed_is_fetched_with_backoff() {
    let mut simulation = Simulation::new();
    simulation.run_for(Duration::from_secs(10));
    // Without growing backoff, one fetch every 60 ms would be 166 fetches. The three sources are tried once in each of
    // the rounds with backoffs of 60, 120, 240 and 480 ms. After that, there is one fetch every 0.8 s.
    assert!(
        simulation.fetched_at.len() <= 24,
        "{} fetches",
        simulation.fetched_at.len()
    );
    let last = &simulation.fetched_at[simulation.fetched_at.len() - 2..];
    assert_eq!(last[1] - last[0], Duration::from_millis(800));
}

#[test]
fn every_source_is_tried_before_the_backoff_grows() {
    let mut simulation = Simulation::new();
    simulation.run_for(Duration::from_millis(200));
    let gaps: Vec<Duration> = simulation
        .fetched_at
        .windows(2)
        .map(|pair| pair[1] - pair[0])
        .collect();
    assert_eq!(gaps, [Duration::from_millis(60); 2]);
}

#[test]
fn a_newer_configuration_is_fetched_at_once() {
    let mut simulation = Simulation::new();
    simulation.run_for(Duration::from_secs(10));
    simulation.generation = 2;
    let changed_at = simulation.now;
    let before = simulation.fetched_at.len();
    simulation.run_for(Duration::from_millis(100));
    let first = simulation.fetched_at[before];
    // The minimum interval between polls is 15 ms.
    assert!(
        first - changed_at <= Duration::from_millis(20),
        "fetched after {:?}",
        first - changed_at
    );
}
