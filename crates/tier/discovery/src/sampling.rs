//! Peer sampling with shuffled partial views, by which the processes of the tier know each other.
//! [`Sampler`](crate::Sampler) drives it.
//!
//! Each process has entries of a few others, and periodically exchanges some of them with the process whose
//! entry is the oldest (S. Voulgaris, D. Gavidia, M. van Steen: CYCLON, 2005). A process that no longer
//! answers drops out of the views; one that has restarted is found by those that still have its entry. Some
//! entries are reserved for core machines, so that every process knows a few of them in a tier of any size.

use std::net::SocketAddr;
use std::time::Duration;

use oorandom::Rand32;
use speedy::{Readable, Writable};

use crate::messages::Endpoint;

/// Most entries in a view.
pub const MAX_VIEW_ENTRIES: usize = 8;
/// Most entries in a shuffle, including the sender's own.
pub const MAX_SHUFFLE_ENTRIES: usize = 4;
/// Entries of core machines, up to this number, are not dropped in favour of others.
pub const RESERVED_CORE_ENTRIES: usize = 3;
/// A view with fewer entries is not stable.
pub const MIN_STABLE_ENTRIES: usize = 4;
/// Mean time between shuffles while the view has few entries or the process is disconnected from the core.
pub const SHUFFLE_INTERVAL: Duration = Duration::from_millis(1000);
/// Mean time between shuffles otherwise.
pub const STABLE_SHUFFLE_INTERVAL: Duration = Duration::from_millis(2000);
/// Age after which an entry is dropped.
pub const MAX_ENTRY_AGE: Duration = Duration::from_secs(120);
/// Longest name of a node in bytes.
pub const MAX_NODE_BYTES: usize = 128;

/// Role of a process. On the wire by the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Readable, Writable)]
pub enum NodeRole {
    /// Data plane.
    Proxy,
    /// Control plane.
    Core,
    /// Storage of turns and budgets.
    Storage,
}

/// A process of the tier, as it describes itself.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct NodeEntry {
    /// Name of its machine; empty for a seed that has not answered yet.
    pub node: String,
    /// Its role.
    pub role: NodeRole,
    /// Its internal address.
    pub address: Endpoint,
    /// Address for replicas and operators, if it serves them.
    pub control: Option<Endpoint>,
}

/// An entry and the time since the process issued it.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct AgedEntry {
    /// The process.
    pub entry: NodeEntry,
    /// Milliseconds since it issued the entry.
    pub age_ms: u32,
}

/// Entries that one process sends to another, which answers with as many.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Shuffle {
    /// The entries. The sender's own is the first.
    pub entries: Vec<AgedEntry>,
}

/// An entry of a view.
#[derive(Clone)]
struct ViewEntry {
    node: NodeEntry,
    /// Age of the entry when it was received.
    age: Duration,
    /// When it was received.
    received_at: Duration,
}

impl ViewEntry {
    fn age(&self, now: Duration) -> Duration {
        self.age + now.saturating_sub(self.received_at)
    }

    fn address(&self) -> SocketAddr {
        self.node.address.into()
    }

    fn is_core(&self) -> bool {
        self.node.role == NodeRole::Core
    }
}

/// A shuffle that has been started and is to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartedShuffle {
    /// Internal address of the process to send it to.
    pub partner: SocketAddr,
    /// The entries to send.
    pub shuffle: Shuffle,
}

/// A shuffle that the partner has not answered yet.
struct PendingShuffle {
    partner: SocketAddr,
    /// Addresses of the entries that were sent, the sender's own excepted.
    sent: Vec<SocketAddr>,
}

/// The partial view of one process.
pub struct PartialView {
    /// This process; no entry of the view has its address.
    own: NodeEntry,
    /// Internal addresses of the core machines in the settings.
    seeds: Vec<SocketAddr>,
    /// At most [`MAX_VIEW_ENTRIES`] after each merge, each of another address.
    entries: Vec<ViewEntry>,
    random: Rand32,
    /// When the next shuffle is due.
    next_shuffle: Duration,
    /// The shuffle in flight.
    pending: Option<PendingShuffle>,
    /// Whether this process is disconnected from the core.
    is_disconnected: bool,
}

impl PartialView {
    /// The view of the process `own`, which starts at `now` and knows the internal addresses of `seeds`.
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

    /// Sets whether the process is disconnected from the core, and shuffles more often.
    pub fn set_disconnected(&mut self, now: Duration, is_disconnected: bool) {
        if is_disconnected && !self.is_disconnected {
            self.next_shuffle = self.next_shuffle.min(now + SHUFFLE_INTERVAL);
        }
        self.is_disconnected = is_disconnected;
    }

    /// The known processes, youngest entry first.
    pub fn entries(&self, now: Duration) -> Vec<NodeEntry> {
        let mut entries: Vec<&ViewEntry> = self.entries.iter().collect();
        entries.sort_by_key(|entry| entry.age(now));
        entries
            .into_iter()
            .map(|entry| entry.node.clone())
            .collect()
    }

    /// Internal addresses of the known core machines, youngest entry first.
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

    /// Starts a shuffle if one is due, and returns what to send to whom.
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
        // Jitter: processes that started together must not keep shuffling at the same time.
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

    /// Merges the shuffle of another process. Returns the answer.
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

    /// Ends the shuffle in flight with the partner's answer. The partner's entry is dropped; an answer
    /// contains a fresh one. `answer` is `None` if the partner has not answered.
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
                node: entry,
                age: Duration::ZERO,
                received_at: now,
            });
        }
    }

    fn evict_expired(&mut self, now: Duration) {
        self.entries.retain(|entry| entry.age(now) <= MAX_ENTRY_AGE);
    }

    /// Up to `count` random entries except that of `partner`. One of a core machine is among them if the view
    /// has any.
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
            entry: entry.node.clone(),
            age_ms: u32::try_from(entry.age(now).as_millis()).unwrap_or(u32::MAX),
        }));
        Shuffle { entries }
    }

    fn merge(&mut self, now: Duration, shuffle: Shuffle, sent: &[SocketAddr]) {
        for aged in shuffle.entries.into_iter().take(MAX_SHUFFLE_ENTRIES) {
            let age = Duration::from_millis(u64::from(aged.age_ms));
            if aged.entry.node.len() <= MAX_NODE_BYTES && age <= MAX_ENTRY_AGE {
                self.insert(ViewEntry {
                    node: aged.entry,
                    age,
                    received_at: now,
                });
            }
        }
        while self.entries.len() > MAX_VIEW_ENTRIES {
            let surplus = self.entry_to_evict(now, sent);
            self.entries.remove(surplus);
        }
    }

    /// Adds an entry, or replaces that of the same address if the new one is younger.
    fn insert(&mut self, new: ViewEntry) {
        if new.node.address == self.own.address {
            return;
        }
        let now = new.received_at;
        match self
            .entries
            .iter_mut()
            .find(|entry| entry.node.address == new.node.address)
        {
            Some(entry) if entry.node.node.is_empty() || new.age(now) < entry.age(now) => {
                *entry = new
            }
            Some(_) => {}
            None => self.entries.push(new),
        }
    }

    /// Index of the entry to drop: one that was sent to the partner if there is any, else the oldest. Entries
    /// of core machines are dropped only beyond [`RESERVED_CORE_ENTRIES`].
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
