//! Peer sampling with shuffled partial views, by which the processes of the tier discover each other. Driven by
//! [`Sampler`](crate::Sampler).
//!
//! Each process has a view with the entries of a few other processes. It periodically exchanges some of them with the
//! process whose entry is the oldest (S. Voulgaris, D. Gavidia, M. van Steen: CYCLON, 2005). The entries of a process
//! that no longer answers disappear from the views. A restarted process is contacted by the processes that still have
//! its entry. Some entries are reserved for core machines, so that every process knows a few of them in a tier of any
//! size.

use std::net::SocketAddr;
use std::time::Duration;

use oorandom::Rand32;
use speedy::{Readable, Writable};

use crate::messages::Endpoint;

/// Maximum number of entries in a view.
pub const MAX_VIEW_ENTRIES: usize = 8;
/// Maximum number of entries in a shuffle, including the sender's own.
pub const MAX_SHUFFLE_ENTRIES: usize = 4;
/// Number of entries of core machines that are not evicted in favour of other entries.
pub const RESERVED_CORE_ENTRIES: usize = 3;
/// Minimum number of entries with which a view counts as stable, so that shuffles are less frequent.
pub const MIN_STABLE_ENTRIES: usize = 4;
/// Mean interval between shuffles while the view is not stable or the process is disconnected from the core.
pub const SHUFFLE_INTERVAL: Duration = Duration::from_millis(1000);
/// Mean interval between shuffles while the view is stable.
pub const STABLE_SHUFFLE_INTERVAL: Duration = Duration::from_millis(2000);
/// Maximum age of an entry.
pub const MAX_ENTRY_AGE: Duration = Duration::from_secs(120);
/// Maximum length of a node's name in bytes.
pub const MAX_NODE_BYTES: usize = 128;

/// Role of a process. Encoded by position, so the order of the variants must not change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Readable, Writable)]
pub enum NodeRole {
    /// Data plane.
    Proxy,
    /// Control plane.
    Core,
    /// Storage of turns and budgets.
    Storage,
}

/// Description of a process of the tier, issued by the process itself.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct NodeEntry {
    /// Name of the process's machine; empty for a seed that has not answered yet.
    pub node: String,
    /// Role of the process.
    pub role: NodeRole,
    /// Internal address of the process.
    pub address: Endpoint,
    /// Address for replicas and operators; `None` if the process does not serve them.
    pub control: Option<Endpoint>,
}

/// Entry with its age, on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct AgedEntry {
    /// Description of the process.
    pub entry: NodeEntry,
    /// Time since the process issued the entry, in milliseconds.
    pub age_ms: u32,
}

/// Entries that one process sends to another. The answer is a shuffle too.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Shuffle {
    /// Entries, of which the first is the sender's own.
    pub entries: Vec<AgedEntry>,
}

#[derive(Clone)]
struct ViewEntry {
    description: NodeEntry,
    /// Age of the entry at its receipt.
    age: Duration,
    /// Time of the receipt.
    received_at: Duration,
}

impl ViewEntry {
    fn age(&self, now: Duration) -> Duration {
        self.age + now.saturating_sub(self.received_at)
    }

    fn address(&self) -> SocketAddr {
        self.description.address.into()
    }

    fn is_core(&self) -> bool {
        self.description.role == NodeRole::Core
    }
}

/// Shuffle that the driver has to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartedShuffle {
    /// Internal address of the process to send the shuffle to.
    pub partner: SocketAddr,
    /// The entries to send.
    pub shuffle: Shuffle,
}

/// Shuffle in flight.
struct PendingShuffle {
    partner: SocketAddr,
    /// Addresses of the sent entries, without the sender's own.
    sent: Vec<SocketAddr>,
}

/// Partial view of one process.
pub struct PartialView {
    /// Entry of this process. No entry of the view has the same address.
    own: NodeEntry,
    /// Internal addresses of the core machines in the settings.
    seeds: Vec<SocketAddr>,
    /// Entries with distinct addresses; at most [`MAX_VIEW_ENTRIES`] after each merge.
    entries: Vec<ViewEntry>,
    random: Rand32,
    /// When the next shuffle is due.
    next_shuffle: Duration,
    /// Shuffle in flight; `None` if there is none.
    pending: Option<PendingShuffle>,
    /// Whether this process is disconnected from the core.
    is_disconnected: bool,
}

impl PartialView {
    /// Creates the view of the process `own`, which starts at `now`. `seeds` are internal addresses.
    pub fn new(now: Duration, own: NodeEntry, seeds: Vec<SocketAddr>, random_seed: u64) -> Self {
        let mut random = Rand32::new(random_seed);
        let next_shuffle = now + SHUFFLE_INTERVAL.mul_f32(random.rand_float());
        let mut view = Self {
            own,
            seeds,
            entries: Vec::new(),
            random,
            next_shuffle,
            pending: None,
            is_disconnected: false,
        };
        view.add_seeds(now);
        view
    }

    /// Replaces the seeds after the settings have changed.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Sets whether the process is disconnected from the core. While it is, it shuffles more often.
    pub fn set_disconnected(&mut self, now: Duration, is_disconnected: bool) {
        if is_disconnected && !self.is_disconnected {
            self.next_shuffle = self.next_shuffle.min(now + SHUFFLE_INTERVAL);
        }
        self.is_disconnected = is_disconnected;
    }

    /// All entries of the view, youngest first.
    pub fn entries(&self, now: Duration) -> Vec<NodeEntry> {
        let mut entries: Vec<&ViewEntry> = self.entries.iter().collect();
        entries.sort_by_key(|entry| entry.age(now));
        entries
            .into_iter()
            .map(|entry| entry.description.clone())
            .collect()
    }

    /// Internal addresses of the core machines in the view, youngest entry first.
    pub fn core_machines(&self, now: Duration) -> Vec<SocketAddr> {
        let entries = self.entries(now).into_iter();
        entries
            .filter(|entry| entry.role == NodeRole::Core)
            .map(|entry| entry.address.into())
            .collect()
    }

    /// When the next shuffle is due.
    pub fn next_shuffle(&self) -> Duration {
        self.next_shuffle
    }

    /// Starts a shuffle if one is due, and returns it for the driver to send.
    pub fn start_shuffle(&mut self, now: Duration) -> Option<StartedShuffle> {
        if now < self.next_shuffle {
            return None;
        }
        let is_stable = !self.is_disconnected && self.entries.len() >= MIN_STABLE_ENTRIES;
        let interval = if is_stable {
            STABLE_SHUFFLE_INTERVAL
        } else {
            SHUFFLE_INTERVAL
        };
        // Jitter prevents processes that started together from shuffling at the same time.
        self.next_shuffle = now + interval.mul_f32(0.75 + 0.5 * self.random.rand_float());
        self.evict_expired(now);
        if self.entries.is_empty() {
            self.add_seeds(now);
        }
        let partner = self
            .entries
            .iter()
            .max_by_key(|entry| entry.age(now))?
            .address();
        let chosen = self.choose_entries(partner, MAX_SHUFFLE_ENTRIES - 1);
        let sent = chosen.iter().map(ViewEntry::address).collect();
        self.pending = Some(PendingShuffle { partner, sent });
        let shuffle = self.shuffle_of(now, &chosen);
        Some(StartedShuffle { partner, shuffle })
    }

    /// Merges the shuffle received from another process. Returns the answer.
    pub fn answer(&mut self, now: Duration, shuffle: Shuffle) -> Shuffle {
        let sender = shuffle
            .entries
            .first()
            .map_or(self.own.address, |first| first.entry.address);
        let chosen = self.choose_entries(sender.into(), MAX_SHUFFLE_ENTRIES - 1);
        let sent: Vec<SocketAddr> = chosen.iter().map(ViewEntry::address).collect();
        let answer = self.shuffle_of(now, &chosen);
        self.merge(now, shuffle, &sent);
        answer
    }

    /// Finishes the shuffle in flight. Removes the partner's entry; the partner's answer contains a new one. `answer`
    /// is `None` if the partner has not answered.
    pub fn complete_shuffle(&mut self, now: Duration, answer: Option<Shuffle>) {
        let Some(PendingShuffle { partner, sent }) = self.pending.take() else {
            return;
        };
        self.entries.retain(|entry| entry.address() != partner);
        if let Some(answer) = answer {
            self.merge(now, answer, &sent);
        }
    }

    fn add_seeds(&mut self, now: Duration) {
        for seed in self.seeds.clone() {
            let address = Endpoint::from(seed);
            let entry = NodeEntry {
                node: String::new(),
                role: NodeRole::Core,
                address,
                control: None,
            };
            self.insert(ViewEntry {
                description: entry,
                age: Duration::ZERO,
                received_at: now,
            });
        }
    }

    fn evict_expired(&mut self, now: Duration) {
        self.entries.retain(|entry| entry.age(now) <= MAX_ENTRY_AGE);
    }

    /// Chooses up to `count` random entries other than that of `partner`. Includes an entry of a core machine if the
    /// view has one.
    fn choose_entries(&mut self, partner: SocketAddr, count: usize) -> Vec<ViewEntry> {
        let mut candidates: Vec<ViewEntry> = self
            .entries
            .iter()
            .filter(|entry| entry.address() != partner)
            .cloned()
            .collect();
        for index in (1..candidates.len()).rev() {
            let other = self.random.rand_range(0..index as u32 + 1) as usize;
            candidates.swap(index, other);
        }
        if let Some(core) = candidates.iter().position(ViewEntry::is_core) {
            candidates.swap(0, core);
        }
        candidates.truncate(count);
        candidates
    }

    fn shuffle_of(&self, now: Duration, chosen: &[ViewEntry]) -> Shuffle {
        let mut entries = vec![AgedEntry {
            entry: self.own.clone(),
            age_ms: 0,
        }];
        entries.extend(chosen.iter().map(|entry| AgedEntry {
            entry: entry.description.clone(),
            age_ms: u32::try_from(entry.age(now).as_millis()).unwrap_or(u32::MAX),
        }));
        Shuffle { entries }
    }

    fn merge(&mut self, now: Duration, shuffle: Shuffle, sent: &[SocketAddr]) {
        for aged in shuffle.entries.into_iter().take(MAX_SHUFFLE_ENTRIES) {
            let age = Duration::from_millis(u64::from(aged.age_ms));
            if aged.entry.node.len() <= MAX_NODE_BYTES && age <= MAX_ENTRY_AGE {
                self.insert(ViewEntry {
                    description: aged.entry,
                    age,
                    received_at: now,
                });
            }
        }
        while self.entries.len() > MAX_VIEW_ENTRIES {
            let evicted = self.entry_to_evict(now, sent);
            self.entries.remove(evicted);
        }
    }

    /// Adds an entry. If the view has an entry with the same address, replaces it if the new entry is younger, or if
    /// the present one is that of a seed that has not answered yet.
    fn insert(&mut self, new: ViewEntry) {
        if new.description.address == self.own.address {
            return;
        }
        let now = new.received_at;
        match self
            .entries
            .iter_mut()
            .find(|entry| entry.description.address == new.description.address)
        {
            Some(entry) if entry.description.node.is_empty() || new.age(now) < entry.age(now) => {
                *entry = new
            }
            Some(_) => {}
            None => self.entries.push(new),
        }
    }

    /// Index of the entry to evict: the oldest of those that were sent to the partner, or else the oldest of all.
    /// Entries of core machines are candidates only if there are more than [`RESERVED_CORE_ENTRIES`].
    fn entry_to_evict(&self, now: Duration, sent: &[SocketAddr]) -> usize {
        let keep_core =
            self.entries.iter().filter(|entry| entry.is_core()).count() <= RESERVED_CORE_ENTRIES;
        let candidates = self
            .entries
            .iter()
            .enumerate()
            .filter(|(_, entry)| !(keep_core && entry.is_core()));
        let order = |entry: &ViewEntry| (sent.contains(&entry.address()), entry.age(now));
        candidates
            .max_by_key(|(_, entry)| order(entry))
            .map_or(0, |(index, _)| index)
    }
}
