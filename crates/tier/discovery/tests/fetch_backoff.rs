//! How often a process asks for a configuration that it can't parse, and how soon it asks for the next one.

use std::net::SocketAddr;
use std::time::Duration;

use woadreach_discovery::messages::{CoreStatus, PollResponse, RegistryResponse};
use woadreach_discovery::watcher::{WatchAction, Watcher};

const STEP: Duration = Duration::from_millis(1);
const CORE_STATUS: CoreStatus = CoreStatus {
    in_quorum: true,
    warming: false,
};

/// A process whose polls are answered at once, and whose fetches all yield a configuration that can't be parsed.
struct Scene {
    now: Duration,
    watcher: Watcher,
    generation: u64,
    fetched_at: Vec<Duration>,
}

impl Scene {
    fn new() -> Scene {
        let machines: Vec<SocketAddr> = (1..=3)
            .map(|host| SocketAddr::from(([10, 0, 0, host], 7000)))
            .collect();
        let now = Duration::from_secs(1);
        Scene {
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
    let mut scene = Scene::new();
    scene.run_for(Duration::from_secs(10));
    // One every 60 ms would be 166. The three sources are tried in each of the rounds of 60, 120, 240 and 480 ms;
    // after that one is asked every 0.8 s.
    assert!(
        scene.fetched_at.len() <= 24,
        "{} fetches",
        scene.fetched_at.len()
    );
    let last = &scene.fetched_at[scene.fetched_at.len() - 2..];
    assert_eq!(last[1] - last[0], Duration::from_millis(800));
}

#[test]
fn every_source_is_tried_before_the_backoff_grows() {
    let mut scene = Scene::new();
    scene.run_for(Duration::from_millis(200));
    let gaps: Vec<Duration> = scene
        .fetched_at
        .windows(2)
        .map(|pair| pair[1] - pair[0])
        .collect();
    assert_eq!(gaps, [Duration::from_millis(60); 2]);
}

#[test]
fn a_newer_configuration_is_fetched_at_once() {
    let mut scene = Scene::new();
    scene.run_for(Duration::from_secs(10));
    scene.generation = 2;
    let changed_at = scene.now;
    let before = scene.fetched_at.len();
    scene.run_for(Duration::from_millis(100));
    let first = scene.fetched_at[before];
    // Polls are at least 15 ms apart.
    assert!(
        first - changed_at <= Duration::from_millis(20),
        "fetched after {:?}",
        first - changed_at
    );
}
