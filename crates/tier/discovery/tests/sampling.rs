//! Peer sampling among many processes. Simulated time.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use oorandom::Rand32;
use quickcheck::quickcheck;
use woadreach_discovery::messages::{decode, encode};
use woadreach_discovery::sampling::{
    AgedEntry, MAX_SHUFFLE_ENTRIES, MAX_VIEW_ENTRIES, NodeEntry, NodeRole, PartialView,
    RESERVED_CORE_ENTRIES, Shuffle,
};

const STEP: Duration = Duration::from_millis(100);

fn address(process: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, (process >> 8) as u8, process as u8], 7380))
}

fn process_at(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else {
        panic!("addresses of the test are IPv4")
    };
    let octets = address.ip().octets();
    usize::from(octets[2]) << 8 | usize::from(octets[3])
}

fn entry(process: usize, cores: usize) -> NodeEntry {
    let role = if process < cores {
        NodeRole::Core
    } else {
        NodeRole::Proxy
    };
    NodeEntry {
        node: format!("node-{process}"),
        role,
        address: address(process).into(),
        control: None,
    }
}

struct Tier {
    now: Duration,
    cores: usize,
    views: Vec<PartialView>,
    running: Vec<bool>,
    bytes: Vec<u64>,
    random: Rand32,
}

impl Tier {
    fn new(seed: u64, cores: usize, size: usize) -> Self {
        let seeds: Vec<SocketAddr> = (0..cores.min(3)).map(address).collect();
        let view = |process| {
            PartialView::new(
                Duration::ZERO,
                entry(process, cores),
                seeds.clone(),
                seed * 1000 + process as u64,
            )
        };
        Self {
            now: Duration::ZERO,
            cores,
            views: (0..size).map(view).collect(),
            running: vec![true; size],
            bytes: vec![0; size],
            random: Rand32::new(seed),
        }
    }

    fn run_for(&mut self, duration: Duration) {
        let until = self.now + duration;
        while self.now < until {
            self.now += STEP;
            let first = self.random.rand_range(0..self.views.len() as u32) as usize;
            for offset in 0..self.views.len() {
                self.shuffle((first + offset) % self.views.len());
            }
        }
    }

    fn shuffle(&mut self, process: usize) {
        if !self.running[process] {
            return;
        }
        let Some(started) = self.views[process].start_shuffle(self.now) else {
            return;
        };
        let (partner, shuffle) = (process_at(started.partner), started.shuffle);
        assert_ne!(partner, process, "a process shuffles with itself");
        let answer =
            self.running[partner].then(|| self.views[partner].answer(self.now, shuffle.clone()));
        let sent =
            encode(&shuffle).len() + answer.as_ref().map_or(0, |answer| encode(answer).len());
        self.bytes[process] += sent as u64;
        self.bytes[partner] += sent as u64;
        self.views[process].complete_shuffle(self.now, answer);
    }

    fn known(&self, process: usize) -> Vec<usize> {
        let entries = self.views[process].entries(self.now);
        entries
            .into_iter()
            .map(|entry| process_at(entry.address.into()))
            .collect()
    }

    fn reachable_from(&self, process: usize) -> usize {
        let mut reached = BTreeSet::from([process]);
        let mut unvisited = VecDeque::from([process]);
        while let Some(next) = unvisited.pop_front() {
            for known in self.known(next) {
                if self.running[known] && reached.insert(known) {
                    unvisited.push_back(known);
                }
            }
        }
        reached.len()
    }

    fn restart(&mut self, process: usize, seeds: Vec<SocketAddr>) {
        let random_seed = u64::from(self.random.rand_u32());
        self.views[process] =
            PartialView::new(self.now, entry(process, self.cores), seeds, random_seed);
        self.running[process] = true;
    }
}

#[test]
fn every_process_discovers_core_machines_and_the_views_stay_connected() {
    for (seed, cores, size) in [(1, 3, 13), (2, 3, 80), (3, 19, 640)] {
        let mut tier = Tier::new(seed, cores, size);
        tier.run_for(Duration::from_secs(60));
        for process in 0..size {
            let known = tier.known(process);
            assert!(known.len() <= MAX_VIEW_ENTRIES);
            assert!(
                known.iter().any(|known| *known < cores),
                "{process} of {size} knows no core machine"
            );
        }
        assert_eq!(tier.reachable_from(size - 1), size, "{size} processes");
    }
}

#[test]
fn traffic_per_process_does_not_grow_with_the_size_of_the_tier() {
    let seconds = 60;
    let mut worst = BTreeMap::new();
    for (cores, size) in [(3, 13), (19, 640)] {
        let mut tier = Tier::new(4, cores, size);
        tier.run_for(Duration::from_secs(30));
        tier.bytes = vec![0; size];
        tier.run_for(Duration::from_secs(seconds));
        // Seeds and other core machines receive more shuffles than others.
        worst.insert(size, tier.bytes[cores..].iter().max().unwrap() / seconds);
    }
    assert!(
        worst.values().all(|bytes| *bytes < 600),
        "{worst:?} bytes a second"
    );
}

#[test]
fn ended_processes_are_removed_from_the_views() {
    let mut tier = Tier::new(5, 3, 40);
    tier.run_for(Duration::from_secs(60));
    for ended in [1, 20, 21, 22, 23] {
        tier.running[ended] = false;
    }
    tier.run_for(Duration::from_secs(150));
    for process in (0..40).filter(|process| tier.running[*process]) {
        assert!(
            tier.known(process).iter().all(|known| tier.running[*known]),
            "{process}"
        );
    }
}

#[test]
fn a_restarted_process_whose_seeds_are_down_discovers_the_core() {
    for seed in 0..20 {
        let mut tier = Tier::new(seed, 5, 40);
        tier.run_for(Duration::from_secs(40));
        // The seeds end for good; only the other core machines continue to run.
        for ended in 0..3 {
            tier.running[ended] = false;
        }
        tier.run_for(Duration::from_secs(20));
        tier.restart(30, (0..3).map(address).collect());
        tier.run_for(Duration::from_secs(30));
        let cores = tier.views[30].core_machines(tier.now);
        assert!(
            cores.iter().any(|core| tier.running[process_at(*core)]),
            "seed {seed}: {cores:?}"
        );
    }
}

quickcheck! {
    /// For any received shuffles, a view has a bounded number of entries with distinct addresses, and none of its own
    /// process.
    fn a_view_stays_in_bounds(shuffles: Vec<Vec<(u8, bool, u32)>>) -> bool {
        let own = entry(0, 1);
        let mut view = PartialView::new(Duration::ZERO, own, vec![address(1)], 9);
        shuffles.iter().enumerate().all(|(step, entries)| {
            let now = STEP * step as u32 * 20;
            let entries = entries.iter().map(|(process, is_core, age_ms)| AgedEntry {
                entry: entry(usize::from(*process), if *is_core { usize::MAX } else { 0 }),
                age_ms: *age_ms,
            });
            let answer = view.answer(now, Shuffle { entries: entries.collect() });
            let entries: Vec<SocketAddr> =
                view.entries(now).into_iter().map(|entry| entry.address.into()).collect();
            let distinct: BTreeSet<SocketAddr> = entries.iter().copied().collect();
            let started = view.start_shuffle(now);
            answer.entries.len() <= MAX_SHUFFLE_ENTRIES
                && started.is_none_or(|started| started.shuffle.entries.len() <= MAX_SHUFFLE_ENTRIES)
                && entries.len() <= MAX_VIEW_ENTRIES
                && entries.len() == distinct.len()
                && !distinct.contains(&address(0))
        })
    }

    /// Reserved entries of core machines are retained, however many entries of other processes are received.
    fn entries_of_core_machines_are_not_evicted(others: Vec<u8>) -> bool {
        let mut view = PartialView::new(Duration::ZERO, entry(0, 0), vec![], 9);
        for core in 1..=RESERVED_CORE_ENTRIES {
            let aged = AgedEntry { entry: entry(300 + core, usize::MAX), age_ms: 1000 };
            view.answer(Duration::ZERO, Shuffle { entries: vec![aged] });
        }
        for other in others {
            let aged = AgedEntry { entry: entry(usize::from(other), 0), age_ms: 0 };
            view.answer(STEP, Shuffle { entries: vec![aged] });
        }
        view.core_machines(STEP).len() == RESERVED_CORE_ENTRIES
    }

    fn arbitrary_bytes_decode_to_an_error_or_a_bounded_shuffle(bytes: Vec<u8>) -> bool {
        let mut message = vec![1];
        message.extend(&bytes);
        decode::<Shuffle>(&message).map_or(true, |shuffle| encode(&shuffle).len() <= message.len())
    }
}
